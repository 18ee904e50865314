package entry

// router answers from the configuration in force.
type router interface {
	// Pool returns the pool that the service and team are routed to.
	Pool(service, team string) (string, error)
	// InPool reports whether workers of the availability zone belong to the pool.
	InPool(pool, zone string) bool
	// Spec returns the settings of a pool.
	Spec(pool string) poolSpec
}

type defaultRouter struct{}

func (defaultRouter) Pool(string, string) (string, error) { return "default", nil }
func (defaultRouter) InPool(string, string) bool          { return true }

func (defaultRouter) Spec(pool string) poolSpec {
	return poolSpec{name: pool, overcommit: 1, reserveShort: 25, maxEjected: 50}
}
