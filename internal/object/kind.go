// Package object holds the configuration objects that operators publish. They
// are checked as one set.
package object

import "gypsumtide"

// DefaultPool is the pool of services that name no other. It exists even if no
// object defines it.
const DefaultPool = "default"

// DefaultPayloadBytes bounds a task's payload unless its service says otherwise.
const DefaultPayloadBytes = 1 << 20

// Service is a named kind of task.
type Service struct {
	Name string `json:"name"`
	// Pool serves the service unless a route names another pool.
	Pool string `json:"pool"`
	// RunTime is a hint in milliseconds until run times have been observed; 0 is none.
	RunTime gypsumtide.Millis `json:"run-time"`
	// MaxPayloadBytes bounds the payload of one task.
	MaxPayloadBytes int64 `json:"max-payload-bytes"`
}

// Pool is a named set of upstreams with placement settings.
type Pool struct {
	Name string `json:"name"`
	// AvailabilityZones restricts the pool; empty means all.
	AvailabilityZones []string `json:"availability-zones"`
	// Overcommit is the number of tasks that may wait at an agent.
	Overcommit int `json:"overcommit"`
	// ReserveShortPercent is the share of slots that long work may not use.
	ReserveShortPercent int `json:"reserve-short-percent"`
	// MaxEjectedPercent is the share of upstreams that may be ejected at once.
	MaxEjectedPercent int `json:"max-ejected-percent"`
	// Placement is one of PlacementPolicies.
	Placement string `json:"placement"`
	// Queue is one of QueuePolicies.
	Queue string `json:"queue"`
}

// The placement policies.
const (
	PlacementLeastLoaded  = "least-loaded"
	PlacementPowerOfTwo   = "power-of-two"
	PlacementRoundRobin   = "round-robin"
	PlacementRandom       = "random"
	PlacementBelievedFree = "believed-free"
)

// The queue policies.
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

// Limit is a bound on rate, concurrency or queue length. A bound of 0 is none.
type Limit struct {
	Name string `json:"name"`
	// Rate is in tasks per second.
	Rate float64 `json:"rate"`
	// Burst is the number of tasks that may be admitted at once. It defaults
	// to the tasks of one second.
	Burst int `json:"burst"`
	// Concurrency bounds the tasks admitted and not ended.
	Concurrency int `json:"concurrency"`
	// QueueLength bounds the tasks that wait.
	QueueLength int `json:"queue-length"`
	// Parent is a limit that is charged too.
	Parent string `json:"parent"`
}

// Route is the choice of pool and limits for a service and a team.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Team restricts the route to one team; empty means all.
	Team string `json:"team"`
	// Pool replaces the pool of the service; empty keeps it.
	Pool     string   `json:"pool"`
	Limits   []string `json:"limits"`
	Priority int      `json:"priority"`
}

// Team is a group of callers.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share of a pool relative to other teams.
	Weight float64  `json:"weight"`
	Limits []string `json:"limits"`
}

func defaultService(name string) Service {
	return Service{Name: name, Pool: DefaultPool, MaxPayloadBytes: DefaultPayloadBytes}
}

func defaultPool(name string) Pool {
	return Pool{Name: name, AvailabilityZones: []string{}, Overcommit: 1, ReserveShortPercent: 25, MaxEjectedPercent: 50, Placement: PlacementBelievedFree, Queue: QueueFair}
}

func defaultTeam(name string) Team { return Team{Name: name, Weight: 1, Limits: []string{}} }
