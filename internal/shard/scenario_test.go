package shard

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// newServingSimulation returns a simulation without faults in which all shards are
// served.
func newServingSimulation(entries int) *simulation {
	sim := newSimulation(uint64(entries))
	for i := range entries {
		sim.addEntry(fmt.Sprintf("entry-%d", i))
	}
	for i := range 3 {
		sim.addAgent(fmt.Sprintf("agent-%d", i))
	}
	sim.run(15_000)
	return sim
}

// runUntil runs until cond holds or the limit is reached, and returns the time taken.
func (sim *simulation) runUntil(limit gypsumtide.Millis, cond func() bool) gypsumtide.Millis {
	start := sim.now
	for sim.now < start+limit && !cond() && sim.violation == "" {
		sim.step()
	}
	return sim.now - start
}

func (sim *simulation) allServed() bool { return sim.unservedShard() < 0 }

// homeOf returns the index of the entry that serves a shard, or -1.
func (sim *simulation) homeOf(s gypsumtide.ShardID) int {
	for i, e := range sim.entries {
		if _, ok := e.manager.Serving(s); ok && !e.dead {
			return i
		}
	}
	return -1
}

// successorOf returns the index of the named successor of a shard, or -1.
func (sim *simulation) successorOf(s gypsumtide.ShardID) int {
	for i, e := range sim.entries {
		if e.info.Incarnation == sim.entries[0].state.Ownership(s).Successor {
			return i
		}
	}
	return -1
}

// isolate cuts the links of an entry to the other entries.
func (sim *simulation) isolate(i int) {
	for _, p := range sim.entries {
		sim.cutLinks[linkKey(p.info.Incarnation, sim.entries[i].info.Incarnation)] = true
	}
}

// Guards against a home that stops serving later than docs/design.md allows after one
// fault, and against shards that are served again too late, with one, two or three
// entries.
func TestServiceBounds(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entries int
		fault   func(sim *simulation)
		// stopBy is the time by which the home of shard 0 must have stopped serving;
		// 0 means that it must not stop.
		stopBy gypsumtide.Millis
		// servedBy is the time by which all shards must be served again; a negative
		// value means that shard 0 must not be.
		servedBy gypsumtide.Millis
	}{
		{"restart of the only entry", 1, func(sim *simulation) { sim.restartEntry(0) }, 10, 1000},
		{"home dies, agents answer", 2, func(sim *simulation) { sim.entries[sim.homeOf(0)].dead = true }, 10, 1500},
		{"home dies, agents do not answer the successor", 3, func(sim *simulation) {
			h := sim.homeOf(0)
			for _, a := range sim.agents {
				for i, e := range sim.entries {
					sim.cutLinks[linkKey(a.record.Incarnation, e.info.Incarnation)] = i != h
				}
			}
			sim.entries[h].dead = true
		}, 10, 3000},
		{"home is cut from the log", 2, func(sim *simulation) { sim.entries[sim.homeOf(0)].logUnreachable = true }, 0, 0},
		{"home is cut from the other entries", 2, func(sim *simulation) { sim.isolate(sim.homeOf(0)) }, 3000, 6000},
		{"home is cut from the log and the other entries", 3, func(sim *simulation) {
			sim.entries[sim.homeOf(0)].logUnreachable = true
			sim.isolate(sim.homeOf(0))
		}, 810, 3000},
		{"log is down, two entries", 2, func(sim *simulation) { sim.logDown = true }, 0, 0},
		{"log is down, one entry", 1, func(sim *simulation) { sim.logDown = true }, 810, -1},
		{"home drains", 3, func(sim *simulation) { sim.entries[sim.homeOf(0)].manager.Drain() }, 100, 1000},
		{"home pauses", 3, func(sim *simulation) { sim.entries[sim.homeOf(0)].pausedUntil = sim.now + 5000 }, 810, 3000},
	} {
		Convey(tt.name, t, func() {
			sim := newServingSimulation(tt.entries)
			So(sim.allServed(), ShouldBeTrue)
			old := sim.entries[sim.homeOf(0)]
			tt.fault(sim)
			serves := func() bool { _, ok := old.manager.Serving(0); return ok && !old.dead }
			if tt.stopBy == 0 {
				sim.runUntil(20_000, func() bool { return !serves() || !sim.allServed() })
				So(serves(), ShouldBeTrue)
				So(sim.allServed(), ShouldBeTrue)
				return
			}
			stopped := sim.runUntil(tt.stopBy+1000, func() bool { return !serves() })
			So(stopped, ShouldBeLessThanOrEqualTo, tt.stopBy)
			if tt.servedBy < 0 {
				sim.run(10_000)
				So(sim.homeOf(0), ShouldEqual, -1)
				return
			}
			So(stopped+sim.runUntil(20_000, sim.allServed), ShouldBeLessThanOrEqualTo, tt.servedBy)
			// Rebalancing interrupts a shard for a few round trips.
			sim.run(5000)
			So(sim.runUntil(1000, sim.allServed), ShouldBeLessThan, 500)
			So(sim.violation, ShouldEqual, "")
		})
	}
}

// Guards against shards that are no longer served after all entries are replaced
// within a minute, whether they drain or are killed.
func TestReplaceAllEntries(t *testing.T) {
	for name, remove := range map[string]func(e *simEntry){
		"drained": func(e *simEntry) { e.manager.Drain() },
		"killed":  func(e *simEntry) { e.dead = true },
	} {
		for n := 1; n <= 3; n++ {
			Convey(fmt.Sprintf("%d entries, %s", n, name), t, func() {
				sim := newServingSimulation(n)
				for i := range n {
					sim.addEntry(fmt.Sprintf("new-%d", i))
					sim.run(8000)
					remove(sim.entries[i])
					So(sim.runUntil(10_000, sim.allServed), ShouldBeLessThanOrEqualTo, 3000)
					sim.run(9000)
					So(sim.entries[i].dead || sim.entries[i].manager.HasLeft(), ShouldBeTrue)
				}
				So(sim.allServed(), ShouldBeTrue)
				So(sim.violation, ShouldEqual, "")
				for _, s := range simShards {
					So(sim.homeOf(s), ShouldBeGreaterThanOrEqualTo, n)
				}
			})
		}
	}
}

// Guards against an orphan claim that starts tasks while the old home and its
// successor may still serve with agents that only they know, and against one that
// waits longer than necessary.
func TestOrphanClaims(t *testing.T) {
	for name, proveEnd := range map[string]func(sim *simulation, home, successor int){
		"the home restarts":      func(sim *simulation, h, _ int) { sim.restartEntry(h) },
		"the successor restarts": func(sim *simulation, _, s int) { sim.restartEntry(s) },
		"an operator retires the home": func(sim *simulation, h, _ int) {
			sim.log = append(sim.log, mustMarshal(RetireEntryRecord(1, sim.entries[h].info.Incarnation)))
		},
	} {
		Convey("home and successor die, and the orphan claim is settled once "+name, t, func() {
			sim := newServingSimulation(3)
			home, successor := sim.homeOf(0), sim.successorOf(0)
			sim.entries[home].dead, sim.entries[successor].dead = true, true
			sim.run(15_000)
			e := sim.entries[3-home-successor]
			So(e.manager.ShardState(0), ShouldEqual, "promising")
			So(sim.homeOf(0), ShouldEqual, -1)
			proveEnd(sim, home, successor)
			So(sim.runUntil(5000, func() bool { return sim.homeOf(0) >= 0 }), ShouldBeLessThan, 3000)
			_, complete := e.manager.RecoveryCandidates(sim.lastIDOf(0), 1)
			So(complete, ShouldBeFalse)
			So(sim.violation, ShouldEqual, "")
		})
	}
	Convey("an unreachable agent blocks an orphan claim until an operator retires it", t, func() {
		sim := newServingSimulation(1)
		for _, e := range sim.entries {
			sim.cutLinks[linkKey(sim.agents[0].record.Incarnation, e.info.Incarnation)] = true
		}
		sim.agents[0].dead = true
		sim.restartEntry(0)
		sim.run(10_000)
		So(sim.homeOf(0), ShouldEqual, -1)
		sim.log = append(sim.log, mustMarshal(RetireAgentsRecord(1, sim.agents[0].record.Incarnation)))
		So(sim.runUntil(2000, sim.allServed), ShouldBeLessThan, 500)
	})
}

// lastIDOf returns the last submitted id of a shard.
func (sim *simulation) lastIDOf(s gypsumtide.ShardID) gypsumtide.SubmissionID {
	for i := len(sim.ids) - 1; i >= 0; i-- {
		if sim.ids[i].Shard() == s {
			return sim.ids[i]
		}
	}
	return gypsumtide.SubmissionID{}
}

// Guards against agents that stay unusable during a log outage although the
// successor knows them, and against the use of an agent that the next home would
// not know of.
func TestRosterRule(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entries int
		want    bool
	}{{"unusable without a successor", 1, false}, {"usable once the successor acknowledges it", 2, true}} {
		Convey("agent joins during a log outage: "+tt.name, t, func() {
			sim := newServingSimulation(tt.entries)
			sim.logDown = true
			sim.run(100)
			a := sim.addAgent("late-1")
			home := sim.entries[sim.homeOf(0)]
			So(home.manager.Usable(a.record.Incarnation, 0), ShouldBeFalse)
			sim.run(1000)
			So(home.manager.Usable(a.record.Incarnation, 0), ShouldEqual, tt.want)
			sim.logDown = false
			sim.run(3000)
			So(sim.entries[sim.homeOf(0)].manager.Usable(a.record.Incarnation, 0), ShouldBeTrue)
			home.manager.AgentLeft(a.record.Incarnation)
			sim.run(2000)
			So(sim.entries[sim.homeOf(0)].manager.Usable(a.record.Incarnation, 0), ShouldBeFalse)
		})
	}
}

// Guards against a lost successor that is not replaced, and against shards that
// are not rebalanced when an entry joins.
func TestSuccessorsAndBalance(t *testing.T) {
	Convey("a lost successor is replaced", t, func() {
		sim := newServingSimulation(3)
		home, successor := sim.homeOf(0), sim.successorOf(0)
		sim.entries[successor].dead = true
		took := sim.runUntil(5000, func() bool {
			return sim.entries[home].state.Ownership(0).Successor == sim.entries[3-home-successor].info.Incarnation
		})
		So(took, ShouldBeBetween, 900, 1600)
		So(sim.homeOf(0), ShouldEqual, home)
	})
	Convey("a new entry receives its share of the shards", t, func() {
		sim := newServingSimulation(2)
		e := sim.addEntry("entry-new")
		share := func() (n int) {
			for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
				if _, ok := e.manager.Serving(i); ok {
					n++
				}
			}
			return n
		}
		sim.run(5000)
		So(share(), ShouldEqual, 0)
		sim.run(12_000)
		So(share(), ShouldBeBetween, 10, 35)
		So(sim.violation, ShouldEqual, "")
	})
}

// Guards against an entry that accepts ids while its clock is wrong, and against
// entries that refuse them because of the clock of another one.
func TestSkew(t *testing.T) {
	Convey("of three entries, only the one with the wrong clock reports too much skew", t, func() {
		sim := newServingSimulation(3)
		sim.entries[1].clock.wall += 1200
		sim.run(1000)
		for i, e := range sim.entries {
			So(e.manager.SkewExceeded(), ShouldEqual, i == 1)
		}
	})
}

// Guards against ids that are answered as not run although they may have run, and
// against ids that run again because an earlier home is overlooked.
func TestProvablyNewAndHomeless(t *testing.T) {
	// idAhead returns an id of shard 0 whose timestamp is the given time ahead of the
	// clock of e.
	idAhead := func(sim *simulation, e *simEntry, ahead gypsumtide.Millis) gypsumtide.SubmissionID {
		id := sim.lastIDOf(0)
		for id[15] = 0; ; id[15]++ {
			timestamp := uint64(e.clock.Wall() + ahead)
			for i := range 6 {
				id[i] = byte(timestamp >> (8 * (5 - i)))
			}
			if id.Shard() == 0 || id[15] == 255 {
				return id
			}
		}
	}
	Convey("all ids are provably new in the first epoch; in a later one, only ids with a timestamp more than 1 s after the takeover", t, func() {
		sim := newServingSimulation(1)
		So(sim.entries[0].manager.ProvablyNew(idAhead(sim, sim.entries[0], -500_000)), ShouldBeTrue)
		sim.restartEntry(0)
		So(sim.runUntil(3000, sim.allServed), ShouldBeLessThan, 3000)
		e := sim.entries[0]
		tookOverAt, ok := e.manager.TookOverAt(0)
		So(ok, ShouldBeTrue)
		now := e.clock.Wall()
		So(e.manager.ProvablyNew(idAhead(sim, e, tookOverAt-now+1000)), ShouldBeFalse)
		So(e.manager.ProvablyNew(idAhead(sim, e, tookOverAt-now+1001)), ShouldBeTrue)
	})
	Convey("a shard counts as homeless only after its home has provably ended", t, func() {
		sim := newServingSimulation(3)
		home, successor := sim.homeOf(0), sim.successorOf(0)
		e := sim.entries[3-home-successor]
		_, _, ok := e.manager.HomelessSince(0)
		So(ok, ShouldBeFalse)
		sim.entries[home].dead, sim.entries[successor].dead = true, true
		sim.run(2000)
		_, _, ok = e.manager.HomelessSince(0)
		So(ok, ShouldBeFalse)
		sim.log = append(sim.log, mustMarshal(RetireEntryRecord(42, sim.entries[home].info.Incarnation)))
		sim.run(200)
		since, asOf, ok := e.manager.HomelessSince(0)
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, 42)
		So(asOf, ShouldBeBetween, e.clock.Now()-100, e.clock.Now())
	})
}
