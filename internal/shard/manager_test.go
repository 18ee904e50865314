package shard

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumtide"
)

// fault is a fault, or the end of faults, that can be injected into a simulation.
type fault struct {
	name   string
	inject func(sim *simulation)
}

var faults = []fault{
	{"none", func(*simulation) {}},
	{"cut entries", func(sim *simulation) {
		a, b := sim.entries[sim.rng.IntN(len(sim.entries))], sim.entries[sim.rng.IntN(len(sim.entries))]
		sim.cutLinks[linkKey(a.info.Incarnation, b.info.Incarnation)] = true
	}},
	{"cut agent", func(sim *simulation) {
		a, e := sim.agents[sim.rng.IntN(len(sim.agents))], sim.entries[sim.rng.IntN(len(sim.entries))]
		sim.cutLinks[linkKey(a.record.Incarnation, e.info.Incarnation)] = true
	}},
	{"isolate entry", func(sim *simulation) {
		e := sim.entries[sim.rng.IntN(len(sim.entries))]
		for _, p := range sim.entries {
			sim.cutLinks[linkKey(p.info.Incarnation, e.info.Incarnation)] = true
		}
	}},
	{"partition", func(sim *simulation) {
		// Separates the first entry and the first half of the agents from the others,
		// which still reach each other. Of the entries, only the first reaches the log.
		for _, e := range sim.entries[1:] {
			e.logUnreachable = true
			sim.cutLinks[linkKey(sim.entries[0].info.Incarnation, e.info.Incarnation)] = true
		}
		for i, a := range sim.agents {
			for j, e := range sim.entries {
				sim.cutLinks[linkKey(a.record.Incarnation, e.info.Incarnation)] = (i < len(sim.agents)/2) != (j == 0)
			}
		}
	}},
	{"heal links", func(sim *simulation) { clear(sim.cutLinks) }},
	{"heal log", func(sim *simulation) {
		sim.logDown, sim.lostReplyPercent = false, 0
		for _, e := range sim.entries {
			e.logUnreachable = false
		}
	}},
	{"log down", func(sim *simulation) { sim.logDown = true }},
	{"cut entry from log", func(sim *simulation) { sim.entries[sim.rng.IntN(len(sim.entries))].logUnreachable = true }},
	{"log loses replies", func(sim *simulation) { sim.lostReplyPercent = 40 }},
	{"pause", func(sim *simulation) {
		sim.entries[sim.rng.IntN(len(sim.entries))].pausedUntil = sim.now + gypsumtide.Millis(200+sim.rng.IntN(4000))
	}},
	{"kill entry", func(sim *simulation) { sim.entries[sim.rng.IntN(len(sim.entries))].dead = true }},
	{"restart entry", func(sim *simulation) { sim.restartEntry(sim.rng.IntN(len(sim.entries))) }},
	{"restart agent", func(sim *simulation) { sim.restartAgent(sim.rng.IntN(len(sim.agents))) }},
	{"new agent", func(sim *simulation) {
		if len(sim.agents) < 8 {
			sim.addAgent(fmt.Sprintf("agent-%d", len(sim.agents)))
		}
	}},
	{"new agent at an entry cut from log", func(sim *simulation) {
		if len(sim.agents) >= 8 {
			return
		}
		a, only := sim.addAgent(fmt.Sprintf("agent-%d", len(sim.agents))), sim.rng.IntN(len(sim.entries))
		sim.entries[only].logUnreachable = true
		for i, e := range sim.entries {
			sim.cutLinks[linkKey(a.record.Incarnation, e.info.Incarnation)] = i != only
		}
	}},
	{"drain entry", func(sim *simulation) { sim.entries[sim.rng.IntN(len(sim.entries))].manager.Drain() }},
	{"heal everything", func(sim *simulation) { sim.heal() }},
}

// simulate runs a simulation with the faults of a plan, which holds indexes of faults,
// and returns it. If prepare is set, it is called before the start. A violated rule or
// a failure to serve again is reported in simulation.violation.
func simulate(seed uint64, entries int, plan []int, prepare func(*simulation)) *simulation {
	sim := newSimulation(seed)
	if prepare != nil {
		prepare(sim)
	}
	for i := range entries {
		sim.addEntry(fmt.Sprintf("entry-%d", i))
	}
	for i := range 3 {
		sim.addAgent(fmt.Sprintf("agent-%d", i))
	}
	sim.run(2000)
	for _, f := range plan {
		faults[f].inject(sim)
		sim.run(gypsumtide.Millis(200 + 10*sim.rng.IntN(250)))
	}
	sim.heal()
	for i, e := range sim.entries {
		if e.manager.draining {
			sim.restartEntry(i)
		}
	}
	sim.awaitRecovery()
	return sim
}

// recoveryBound is the longest time expected until all shards are served after the
// faults end: suspicion, the orphan timeout, the stagger of the claimers, L + C, and
// appends.
const recoveryBound = 800 + 5000 + 3*1000 + 1800 + 1400

func (sim *simulation) awaitRecovery() {
	for end := sim.now + recoveryBound; sim.violation == "" && sim.now < end; sim.run(100) {
		if sim.unservedShard() < 0 {
			break
		}
	}
	sim.run(1000)
	for range 20 {
		if sim.unservedShard() < 0 {
			break
		}
		sim.run(100)
	}
	if s := sim.unservedShard(); s >= 0 {
		sim.fail("shard %d is not served by one home", s)
	}
	for _, e := range sim.entries {
		if e.manager.internalErrors > 0 {
			sim.fail("%s had %d internal errors", e.info.Incarnation, e.manager.internalErrors)
		}
	}
}

// Guards against two starts of one id, two homes that can start tasks of one
// shard, and a shard that is not served after the faults end.
func TestManagersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		entries := rapid.IntRange(2, 4).Draw(t, "entries")
		plan := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 3, 14).Draw(t, "plan")
		sim := simulate(seed, entries, plan, nil)
		if sim.violation != "" {
			for _, f := range plan {
				t.Log(faults[f].name)
			}
			t.Fatal(sim.violation)
		}
	})
}
