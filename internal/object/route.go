package object

import (
	"cmp"
	"fmt"
	"slices"
)

// ResolvedRoute holds the objects that apply to a service and a team.
type ResolvedRoute struct {
	service Service
	team    Team
	pool    Pool
	route   string
	limits  []Limit
}

// Service returns the service.
func (r ResolvedRoute) Service() Service { return r.service }

// Team returns the team.
func (r ResolvedRoute) Team() Team { return r.team }

// Pool returns the pool that runs the tasks.
func (r ResolvedRoute) Pool() Pool { return r.pool }

// Route returns the name of the route that applies, or "" if none matches.
func (r ResolvedRoute) Route() string { return r.route }

// Limits returns the limits of the team, then those of the route, each followed by
// its parents. No limit is listed twice.
func (r ResolvedRoute) Limits() []Limit { return r.limits }

// Route selects the route, pool and limits for a service and a team. A route that
// names the team takes precedence over one for all teams, then a higher priority
// over a lower one.
func (s *Set) Route(service, team string) ResolvedRoute {
	resolved := ResolvedRoute{service: s.Service(service), team: s.Team(team)}
	pool, names := resolved.service.Pool, slices.Clone(resolved.team.Limits)
	if matching := s.matchingRoutes(service, team); len(matching) > 0 {
		r := matching[0]
		resolved.route = r.Name
		pool = cmp.Or(r.Pool, pool)
		names = append(names, r.Limits...)
	}
	resolved.pool = s.pools[pool]
	resolved.limits = s.LimitChain(names...)
	return resolved
}

// RouteByName returns the route with the name and whether it exists.
func (s *Set) RouteByName(name string) (Route, bool) {
	r, ok := s.routes[name]
	return r, ok
}

// matchingRoutes returns the routes that match a service and a team in order of
// precedence. The first one applies.
func (s *Set) matchingRoutes(service, team string) []Route {
	var out []Route
	for _, r := range s.routesByService[service] {
		if r.Team == "" || r.Team == team {
			out = append(out, r)
		}
	}
	return out
}

// specificity ranks routes that name a team above those for all teams.
func specificity(r Route) int {
	if r.Team != "" {
		return 1
	}
	return 0
}

// Explanation describes which objects apply to a service and a team, and why.
type Explanation struct {
	Service Service `json:"service"`
	Team    Team    `json:"team"`
	Route   string  `json:"route"`
	Pool    Pool    `json:"pool"`
	Limits  []Limit `json:"limits"`
	// Reasons explains each selection to operators, one line each.
	Reasons []string `json:"reasons"`
}

// Explain returns the same objects as Route together with the reasons.
func (s *Set) Explain(service, team string) Explanation {
	resolved := s.Route(service, team)
	e := Explanation{Service: resolved.service, Team: resolved.team, Route: resolved.route, Pool: resolved.pool, Limits: resolved.limits}
	if e.Limits == nil {
		e.Limits = []Limit{}
	}
	if _, ok := s.services[service]; !ok {
		e.addReason("service %q is not defined: the defaults apply", service)
	}
	if _, ok := s.teams[team]; !ok {
		e.addReason("team %q is not defined: weight 1, no limits", team)
	}
	s.explainRoutes(&e, service, team)
	if r, ok := s.routes[resolved.route]; ok && r.Pool != "" {
		e.addReason("pool %s: named by route %s", resolved.pool.Name, resolved.route)
	} else {
		e.addReason("pool %s: the pool of the service", resolved.pool.Name)
	}
	s.explainEvacuations(&e)
	s.explainLimits(&e)
	return e
}

func (e *Explanation) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (s *Set) explainRoutes(e *Explanation, service, team string) {
	matching := s.matchingRoutes(service, team)
	for i, r := range matching {
		switch {
		case i == 0 && r.Team != "":
			e.addReason("route %s applies: names the service and the team, priority %d", r.Name, r.Priority)
		case i == 0:
			e.addReason("route %s applies: names the service, priority %d", r.Name, r.Priority)
		case specificity(r) < specificity(matching[0]):
			e.addReason("route %s matches, but route %s is more specific", r.Name, matching[0].Name)
		default:
			e.addReason("route %s matches, but route %s has a higher priority (%d, not %d)", r.Name, matching[0].Name, matching[0].Priority, r.Priority)
		}
	}
	if len(matching) == 0 {
		e.addReason("no route matches")
	}
}

func (s *Set) explainEvacuations(e *Explanation) {
	for _, o := range s.Evacuations() {
		if zones := e.Pool.AvailabilityZones; len(zones) == 0 || slices.Contains(zones, o.AvailabilityZone) {
			e.addReason("availability zone %s is not used: evacuation %s", o.AvailabilityZone, o.Name)
		}
	}
}

func (s *Set) explainLimits(e *Explanation) {
	for _, l := range e.Limits {
		switch {
		case slices.Contains(e.Team.Limits, l.Name):
			e.addReason("limit %s: named by team %s", l.Name, e.Team.Name)
		case slices.Contains(s.routes[e.Route].Limits, l.Name):
			e.addReason("limit %s: named by route %s", l.Name, e.Route)
		default:
			for _, child := range e.Limits {
				if child.Parent == l.Name {
					e.addReason("limit %s: parent of limit %s", l.Name, child.Name)
					break
				}
			}
		}
	}
	if len(e.Limits) == 0 {
		e.addReason("no limits apply")
	}
}
