// Package placement chooses agents for tasks. The policies do no I/O: they read a
// snapshot of the agents and a clock value, and return a decision with its reason.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gypsumtide"
)

// The names of the placement policies. BelievedFree is the default, the others are
// baselines for comparison.
const (
	BelievedFree = "believed-free"
	LeastLoaded  = "least-loaded"
	PowerOfTwo   = "power-of-two"
	Random       = "random"
	RoundRobin   = "round-robin"
)

// The ways in which BelievedFree estimates the load of other homes at an agent.
const (
	// StaleLoadRaw uses the last report unchanged.
	StaleLoadRaw = "raw"
	// StaleLoadMean moves the reported load towards the mean of all agents, by an amount
	// that grows with the age of the report.
	StaleLoadMean = "mean"
)

// Options configure a policy. The zero value of a field selects its default.
type Options struct {
	// Zone is the availability zone of the home, the entry that places the tasks. Agents
	// in this zone are preferred if the loads are almost equal.
	Zone string
	// Overcommit is the number of tasks that may wait in the queue of an agent whose slots
	// are all in use, apart from the equal share of the home; negative means none.
	Overcommit int
	// StaleLoad is StaleLoadRaw or StaleLoadMean, the default.
	StaleLoad string
	// ScanLimit is the number of agents up to which all of them are compared. With
	// more agents, random pairs are tried first.
	ScanLimit int
	// Seed makes the random choices reproducible; 0 selects a random seed.
	Seed uint64
}

const (
	// defaultOvercommit gives a slot that becomes free its next task without a round
	// trip.
	defaultOvercommit = 1
	// defaultScanLimit is above 150, the number of candidates of a job of 1,200 tasks,
	// which is the default maximum. Random pairs send 4.0% of the tasks to full agents
	// while another agent has a free slot (60 agents, 70% load), a scan of all agents
	// 0.0%. A scan of 100 agents takes 3.5 us.
	defaultScanLimit = 256
)

func (o Options) withDefaults() Options {
	switch {
	case o.Overcommit == 0:
		o.Overcommit = defaultOvercommit
	case o.Overcommit < 0:
		o.Overcommit = 0
	}
	if o.StaleLoad == "" {
		o.StaleLoad = StaleLoadMean
	}
	if o.ScanLimit <= 0 {
		o.ScanLimit = defaultScanLimit
	}
	// Beyond the limit, Place takes a sample of meanSampleSize agents.
	o.ScanLimit = max(o.ScanLimit, meanSampleSize)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// Names returns the names that New accepts.
func Names() []string {
	return []string{BelievedFree, LeastLoaded, PowerOfTwo, Random, RoundRobin}
}

// New returns the named policy. An empty name selects BelievedFree. A policy is not safe
// for concurrent use.
func New(name string, o Options) (gypsumtide.Placer, error) {
	o = o.withDefaults()
	if !slices.Contains([]string{StaleLoadRaw, StaleLoadMean}, o.StaleLoad) {
		return nil, fmt.Errorf("placement: unknown treatment of stale load %q", o.StaleLoad)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	switch name {
	case BelievedFree, "":
		return &believedFree{opts: o, rng: rng}, nil
	case LeastLoaded:
		return &baseline{name: name, choose: leastLoaded, rng: rng}, nil
	case PowerOfTwo:
		return &baseline{name: name, choose: powerOfTwo, rng: rng}, nil
	case Random:
		return &baseline{name: name, choose: random, rng: rng}, nil
	case RoundRobin:
		return &baseline{name: name, choose: roundRobin, rng: rng}, nil
	}
	return nil, fmt.Errorf("placement: unknown policy %q, known are %v", name, Names())
}
