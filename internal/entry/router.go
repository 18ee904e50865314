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
