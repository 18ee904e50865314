// Package object defines the configuration objects that operators publish. It
// parses them and checks them as one set, and it maintains the published revisions.
package object

import "gypsumtide"

// DefaultPool is the pool of services that do not name one. It exists even if no
// object defines it.
const DefaultPool = "default"

// DefaultPayloadBytes is the maximum size of a task's payload unless its service
// sets another.
const DefaultPayloadBytes = 1 << 20

// Service is a named kind of task.
type Service struct {
	Name string `json:"name"`
	// Pool runs the service's tasks unless a route names another pool.
	Pool string `json:"pool"`
	// RunTime is the expected run time in milliseconds; 0 means unknown. No home reads
	// it: until run times have been observed, homes use those that tasks declare.
	RunTime gypsumtide.Millis `json:"run-time"`
	// MaxPayloadBytes is the maximum size of a task's payload.
	MaxPayloadBytes int64 `json:"max-payload-bytes"`
}

// Pool is a named set of upstreams with placement settings.
type Pool struct {
	Name string `json:"name"`
	// AvailabilityZones restricts the pool to upstreams in these zones; empty means all.
	AvailabilityZones []string `json:"availability-zones"`
	// Overcommit is the number of tasks that may be sent to an agent beyond its slots.
	// They wait there for a free slot. Only PlacementBelievedFree observes it; the other
	// placement policies send tasks whether or not a slot is free.
	Overcommit int `json:"overcommit"`
	// ReserveShortPercent is the percentage of slots that tasks of class long may not
	// use.
	ReserveShortPercent int `json:"reserve-short-percent"`
	// MaxEjectedPercent is the percentage of the agents for a service that may be ejected
	// at once. Further agents whose upstreams are ejected still receive tasks, so that the
	// failure of a common dependency cannot empty the pool.
	MaxEjectedPercent int `json:"max-ejected-percent"`
	// Placement is the placement policy, one of PlacementPolicies.
	Placement string `json:"placement"`
	// Queue is the queue policy, one of QueuePolicies.
	Queue string `json:"queue"`
}

// The placement policies, which package placement implements. PlacementBelievedFree
// prefers an agent that is estimated to have a free slot.
const (
	PlacementLeastLoaded  = "least-loaded"
	PlacementPowerOfTwo   = "power-of-two"
	PlacementRoundRobin   = "round-robin"
	PlacementRandom       = "random"
	PlacementBelievedFree = "believed-free"
)

// The queue policies: fair queueing by the weights of the teams, or first in, first
// out.
const (
	QueueFair = "fair"
	QueueFIFO = "fifo"
)

// PlacementPolicies returns the names of the placement policies.
func PlacementPolicies() []string {
	return []string{PlacementLeastLoaded, PlacementPowerOfTwo, PlacementRoundRobin, PlacementRandom, PlacementBelievedFree}
}

// QueuePolicies returns the names of the queue policies.
func QueuePolicies() []string { return []string{QueueFair, QueueFIFO} }

// Limit bounds the rate, concurrency or queue length of tasks. 0 means unlimited.
type Limit struct {
	Name string `json:"name"`
	// Rate is the maximum number of tasks admitted per second.
	Rate float64 `json:"rate"`
	// Burst is the number of tasks that may be admitted at once. It defaults
	// to Rate, rounded up.
	Burst int `json:"burst"`
	// Concurrency is the maximum number of admitted tasks that have not ended.
	Concurrency int `json:"concurrency"`
	// QueueLength is the number of tasks that may wait at a home, in addition to as many
	// as the pool has slots. Tasks are counted per team, and separately for each of its
	// routes that names limits.
	QueueLength int `json:"queue-length"`
	// Parent names a limit that every task under this limit is charged to as well.
	Parent string `json:"parent"`
}

// Route selects the pool and limits for a service and, optionally, a team.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Team restricts the route to one team; empty means all.
	Team string `json:"team"`
	// Pool overrides the pool of the service; empty keeps it.
	Pool   string   `json:"pool"`
	Limits []string `json:"limits"`
	// Priority decides between routes that match a service and a team equally well:
	// the highest one applies. It does not affect the order of tasks.
	Priority int `json:"priority"`
}

// Team is a group of callers.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share of a pool with the policy QueueFair, relative to other
	// teams.
	Weight float64  `json:"weight"`
	Limits []string `json:"limits"`
}

// Evacuation keeps tasks from starting in an availability zone for as long as it exists.
type Evacuation struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
}

func defaultService(name string) Service {
	return Service{Name: name, Pool: DefaultPool, MaxPayloadBytes: DefaultPayloadBytes}
}

func defaultPool(name string) Pool {
	return Pool{Name: name, AvailabilityZones: []string{}, Overcommit: 1, ReserveShortPercent: 25, MaxEjectedPercent: 50, Placement: PlacementBelievedFree, Queue: QueueFair}
}

func defaultTeam(name string) Team { return Team{Name: name, Weight: 1, Limits: []string{}} }
