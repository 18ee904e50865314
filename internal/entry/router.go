package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"gypsumtide/internal/limit"
	"gypsumtide/internal/object"
)

// router looks up routes, pools and limits in the current configuration. It is
// safe for concurrent use.
type router struct {
	set atomic.Pointer[object.Set]
}

func newRouter() *router {
	r := &router{}
	r.set.Store(object.Default())
	return r
}

// setConfiguration replaces the current configuration.
func (r *router) setConfiguration(set *object.Set) { r.set.Store(set) }

// route returns the pool and the limits of a service and a team.
func (r *router) route(service, team string) object.ResolvedRoute {
	return r.set.Load().Route(service, team)
}

// poolHasZone reports whether workers of the availability zone belong to the pool. It is
// true for every zone if the pool lists none or is unknown.
func (r *router) poolHasZone(pool, zone string) bool {
	p, ok := r.set.Load().Pool(pool)
	return !ok || len(p.AvailabilityZones) == 0 || slices.Contains(p.AvailabilityZones, zone)
}

// spec returns the settings of a pool.
func (r *router) spec(pool string) poolSpec {
	p, _ := r.set.Load().Pool(pool)
	return poolSpec{
		name: pool, placement: p.Placement, queue: p.Queue, overcommit: p.Overcommit,
		reserveShort: p.ReserveShortPercent, maxEjected: p.MaxEjectedPercent,
	}
}

// quotaConfig returns the limits as the configuration of the quotas.
func (r *router) quotaConfig() limit.Config {
	set := r.set.Load()
	cfg := limit.Config{Resolve: func(key string) []string { return limitsOf(set, key) }}
	for _, l := range set.Limits() {
		cfg.Limits = append(cfg.Limits, limit.Limit{
			Name: l.Name, Parent: l.Parent, Rate: l.Rate, Burst: float64(l.Burst), Concurrency: l.Concurrency,
		})
	}
	return cfg
}

// quotaKey returns the key that a job is charged to: its team, and its route if
// the route has limits of its own.
func quotaKey(team string, route object.Route) string {
	if len(route.Limits) == 0 {
		return team
	}
	return team + "/" + route.Name
}

// limitsOf returns the names of the limits that apply to a quota key.
func limitsOf(set *object.Set, key string) []string {
	team, routeName, _ := strings.Cut(key, "/")
	names := slices.Clone(set.Team(team).Limits)
	if route, ok := set.RouteByName(routeName); ok {
		names = append(names, route.Limits...)
	}
	return names
}
