package object

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an immutable set of validated objects.
type Set struct {
	services map[string]Service
	pools    map[string]Pool
	limits   map[string]Limit
	routes   map[string]Route
	teams    map[string]Team
	// evacuations has at most one object for each availability zone.
	evacuations map[string]Evacuation
	// routesByService indexes the routes by service, in order of precedence. The
	// index exists because routes are looked up for every job.
	routesByService map[string][]Route
}

func newSet() *Set {
	return &Set{
		services: map[string]Service{},
		pools:    map[string]Pool{DefaultPool: defaultPool(DefaultPool)},
		limits:   map[string]Limit{},
		routes:   map[string]Route{},
		teams:    map[string]Team{},

		evacuations:     map[string]Evacuation{},
		routesByService: map[string][]Route{},
	}
}

// indexRoutes fills routesByService. It sorts the routes of a service by specificity
// and then by priority, highest first.
func (s *Set) indexRoutes() {
	for _, r := range s.Routes() {
		s.routesByService[r.Service] = append(s.routesByService[r.Service], r)
	}
	for _, routes := range s.routesByService {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(specificity(b), specificity(a)), cmp.Compare(b.Priority, a.Priority))
		})
	}
}

// Default returns the set that applies before the first publish: every service uses the
// pool "default" without limits.
func Default() *Set { return newSet() }

// Service returns the service, or one with the defaults if no object defines it.
func (s *Set) Service(name string) Service {
	if o, ok := s.services[name]; ok {
		return o
	}
	return defaultService(name)
}

// Team returns the team, or one with the defaults if no object defines it.
func (s *Set) Team(name string) Team {
	if o, ok := s.teams[name]; ok {
		return o
	}
	return defaultTeam(name)
}

// Pool returns the pool and whether it exists.
func (s *Set) Pool(name string) (Pool, bool) {
	o, ok := s.pools[name]
	return o, ok
}

// Limit returns the limit and whether it exists.
func (s *Set) Limit(name string) (Limit, bool) {
	o, ok := s.limits[name]
	return o, ok
}

// Services returns the services sorted by name.
func (s *Set) Services() []Service { return sorted(s.services) }

// Pools returns the pools sorted by name.
func (s *Set) Pools() []Pool { return sorted(s.pools) }

// Limits returns the limits sorted by name.
func (s *Set) Limits() []Limit { return sorted(s.limits) }

// Routes returns the routes sorted by name.
func (s *Set) Routes() []Route { return sorted(s.routes) }

// Teams returns the teams sorted by name.
func (s *Set) Teams() []Team { return sorted(s.teams) }

// Evacuations returns the evacuations sorted by name.
func (s *Set) Evacuations() []Evacuation { return sorted(s.evacuations) }

// evacuatedZones returns the evacuated availability zones in ascending order.
func (s *Set) evacuatedZones() []string {
	zones := make([]string, 0, len(s.evacuations))
	for _, o := range s.evacuations {
		zones = append(zones, o.AvailabilityZone)
	}
	slices.Sort(zones)
	return zones
}

func sorted[T any](objects map[string]T) []T {
	out := make([]T, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		out = append(out, objects[name])
	}
	return out
}

// names returns the sorted names of the objects of a kind.
func (s *Set) names(kind string) []string {
	switch kind {
	case KindService:
		return slices.Sorted(maps.Keys(s.services))
	case KindPool:
		return slices.Sorted(maps.Keys(s.pools))
	case KindLimit:
		return slices.Sorted(maps.Keys(s.limits))
	case KindRoute:
		return slices.Sorted(maps.Keys(s.routes))
	case KindTeam:
		return slices.Sorted(maps.Keys(s.teams))
	case KindEvacuation:
		return slices.Sorted(maps.Keys(s.evacuations))
	}
	return nil
}

// has reports whether the set has an object of the kind with the name.
func (s *Set) has(kind, name string) bool {
	var ok bool
	switch kind {
	case KindService:
		_, ok = s.services[name]
	case KindPool:
		_, ok = s.pools[name]
	case KindLimit:
		_, ok = s.limits[name]
	case KindRoute:
		_, ok = s.routes[name]
	case KindTeam:
		_, ok = s.teams[name]
	case KindEvacuation:
		_, ok = s.evacuations[name]
	}
	return ok
}

// LimitChain returns the limits with the given names, each followed by its parents,
// without duplicates. Names of missing limits are skipped.
func (s *Set) LimitChain(names ...string) []Limit {
	var out []Limit
	seen := map[string]bool{}
	for _, name := range names {
		for name != "" && !seen[name] {
			seen[name] = true
			o, ok := s.limits[name]
			if !ok {
				break
			}
			out = append(out, o)
			name = o.Parent
		}
	}
	return out
}
