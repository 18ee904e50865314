package entry

import (
	"slices"
	"sync/atomic"

	"gypsumtide/internal/limit"
	"gypsumtide/internal/object"
)

// router answers from the configuration in force. It is safe for concurrent use.
type router struct {
	set atomic.Pointer[object.Set]
}

func newRouter() *router {
	r := &router{}
	r.set.Store(object.Default())
	return r
}

// use puts a set into force.
func (r *router) use(set *object.Set) { r.set.Store(set) }

// route returns the pool and the limits of a service and a team.
func (r *router) route(service, team string) object.Choice { return r.set.Load().Route(service, team) }

// inPool reports whether workers of the availability zone belong to the pool.
func (r *router) inPool(pool, zone string) bool {
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

// quotas returns the limits as the quotas enforce them.
func (r *router) quotas() limit.Config {
	set := r.set.Load()
	cfg := limit.Config{Teams: make(map[string]string)}
	for _, l := range set.Limits() {
		cfg.Limits = append(cfg.Limits, limit.Limit{
			Name: l.Name, Parent: l.Parent, Rate: l.Rate, Burst: float64(l.Burst), Concurrency: l.Concurrency,
		})
	}
	for _, t := range set.Teams() {
		if len(t.Limits) > 0 {
			cfg.Teams[t.Name] = t.Limits[0]
		}
	}
	return cfg
}
