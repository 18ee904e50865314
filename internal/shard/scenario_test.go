package shard

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// quiet returns a world without faults in which all shards are served.
func quiet(entries int) *world {
	w := newWorld(uint64(entries))
	for i := range entries {
		w.addEntry(fmt.Sprintf("entry-%d", i))
	}
	for i := range 3 {
		w.addAgent(fmt.Sprintf("agent-%d", i))
	}
	w.run(15_000)
	return w
}

// until runs until cond holds or the time is over, and returns the time taken.
func (w *world) until(limit gypsumtide.Millis, cond func() bool) gypsumtide.Millis {
	start := w.now
	for w.now < start+limit && !cond() && w.violation == "" {
		w.step()
	}
	return w.now - start
}

func (w *world) served() bool { return w.unserved() < 0 }

// homeOf returns the index of the entry that serves a shard, or -1.
func (w *world) homeOf(s gypsumtide.ShardID) int {
	for i, e := range w.entries {
		if _, ok := e.m.Serving(s); ok && !e.dead {
			return i
		}
	}
	return -1
}

// successorOf returns the index of the named successor of a shard, or -1.
func (w *world) successorOf(s gypsumtide.ShardID) int {
	for i, e := range w.entries {
		if e.info.Incarnation == w.entries[0].state.Ownership(s).Successor {
			return i
		}
	}
	return -1
}

// cutAll cuts an entry from the other entries.
func (w *world) cutAll(i int) {
	for _, p := range w.entries {
		w.cut[link(p.info.Incarnation, w.entries[i].info.Incarnation)] = true
	}
}

// Guards against a service that stops or returns later than the design page
// allows, at one, two and three entries.
func TestServiceBounds(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entries int
		fault   func(w *world)
		// stopped is the time by which the home of shard 0 must have stopped; 0 means that it must not.
		stopped gypsumtide.Millis
		// back is the time by which all shards must be served.
		back gypsumtide.Millis
	}{
		{"restart of the only entry", 1, func(w *world) { w.restartEntry(0) }, 10, 1000},
		{"home dies, agents answer", 2, func(w *world) { w.entries[w.homeOf(0)].dead = true }, 10, 1500},
		{"home dies, agents do not answer the successor", 3, func(w *world) {
			h := w.homeOf(0)
			for _, a := range w.agents {
				for i, e := range w.entries {
					w.cut[link(a.record.Incarnation, e.info.Incarnation)] = i != h
				}
			}
			w.entries[h].dead = true
		}, 10, 3000},
		{"home is cut from the log", 2, func(w *world) { w.entries[w.homeOf(0)].noLog = true }, 0, 0},
		{"home is cut from the other entries", 2, func(w *world) { w.cutAll(w.homeOf(0)) }, 3000, 6000},
		{"home is cut from the log and the other entries", 3, func(w *world) {
			w.entries[w.homeOf(0)].noLog = true
			w.cutAll(w.homeOf(0))
		}, 810, 3000},
		{"log down at two entries", 2, func(w *world) { w.logDown = true }, 0, 0},
		{"log down at one entry", 1, func(w *world) { w.logDown = true }, 810, -1},
		{"home drains", 3, func(w *world) { w.entries[w.homeOf(0)].m.Drain() }, 100, 1000},
		{"home pauses", 3, func(w *world) { w.entries[w.homeOf(0)].paused = w.now + 5000 }, 810, 3000},
	} {
		Convey(tt.name, t, func() {
			w := quiet(tt.entries)
			So(w.served(), ShouldBeTrue)
			old := w.entries[w.homeOf(0)]
			tt.fault(w)
			serves := func() bool { _, ok := old.m.Serving(0); return ok && !old.dead }
			if tt.stopped == 0 {
				w.until(20_000, func() bool { return !serves() || !w.served() })
				So(serves(), ShouldBeTrue)
				So(w.served(), ShouldBeTrue)
				return
			}
			stopped := w.until(tt.stopped+1000, func() bool { return !serves() })
			So(stopped, ShouldBeLessThanOrEqualTo, tt.stopped)
			if tt.back < 0 {
				w.run(10_000)
				So(w.homeOf(0), ShouldEqual, -1)
				return
			}
			So(stopped+w.until(20_000, w.served), ShouldBeLessThanOrEqualTo, tt.back)
			// Rebalancing interrupts a shard for some round trips.
			w.run(5000)
			So(w.until(1000, w.served), ShouldBeLessThan, 500)
			So(w.violation, ShouldEqual, "")
		})
	}
}

// Guards against a set of entries that loses its shards when all of them are
// replaced, in order or by force, within a minute.
func TestReplaceWholeSet(t *testing.T) {
	for name, remove := range map[string]func(e *simEntry){
		"drained": func(e *simEntry) { e.m.Drain() },
		"killed":  func(e *simEntry) { e.dead = true },
	} {
		for n := 1; n <= 3; n++ {
			Convey(fmt.Sprintf("%d entries, %s", n, name), t, func() {
				w := quiet(n)
				for i := range n {
					w.addEntry(fmt.Sprintf("new-%d", i))
					w.run(8000)
					remove(w.entries[i])
					So(w.until(10_000, w.served), ShouldBeLessThanOrEqualTo, 3000)
					w.run(9000)
					So(w.entries[i].dead || w.entries[i].m.Left(), ShouldBeTrue)
				}
				So(w.served(), ShouldBeTrue)
				So(w.violation, ShouldEqual, "")
				for _, s := range simShards {
					So(w.homeOf(s), ShouldBeGreaterThanOrEqualTo, n)
				}
			})
		}
	}
}

// Guards against an orphan claim that starts tasks while the old pair may
// still serve with agents that only they know, and against one that waits
// longer than needed.
func TestOrphanClaims(t *testing.T) {
	for name, prove := range map[string]func(w *world, home, successor int){
		"the home restarts":      func(w *world, h, _ int) { w.restartEntry(h) },
		"the successor restarts": func(w *world, _, s int) { w.restartEntry(s) },
		"an operator retires the home": func(w *world, h, _ int) {
			w.log = append(w.log, must(RetireEntryRecord(1, w.entries[h].info.Incarnation)))
		},
	} {
		Convey("home and successor die, then "+name, t, func() {
			w := quiet(3)
			h, s := w.homeOf(0), w.successorOf(0)
			w.entries[h].dead, w.entries[s].dead = true, true
			w.run(15_000)
			e := w.entries[3-h-s]
			So(e.m.ShardState(0), ShouldEqual, "promising")
			So(w.homeOf(0), ShouldEqual, -1)
			prove(w, h, s)
			So(w.until(5000, func() bool { return w.homeOf(0) >= 0 }), ShouldBeLessThan, 3000)
			_, complete := e.m.RecoveryCandidates(w.idIn(0), 1)
			So(complete, ShouldBeFalse)
			So(w.violation, ShouldEqual, "")
		})
	}
	Convey("an unreachable agent blocks an orphan claim until an operator retires it", t, func() {
		w := quiet(1)
		for _, e := range w.entries {
			w.cut[link(w.agents[0].record.Incarnation, e.info.Incarnation)] = true
		}
		w.agents[0].dead = true
		w.restartEntry(0)
		w.run(10_000)
		So(w.homeOf(0), ShouldEqual, -1)
		w.log = append(w.log, must(RetireRecord(1, w.agents[0].record.Incarnation)))
		So(w.until(2000, w.served), ShouldBeLessThan, 500)
	})
}

// idIn returns the last id of a shard that a caller used.
func (w *world) idIn(s gypsumtide.ShardID) gypsumtide.SubmissionID {
	for i := len(w.ids) - 1; i >= 0; i-- {
		if w.ids[i].Shard() == s {
			return w.ids[i]
		}
	}
	return gypsumtide.SubmissionID{}
}

// Guards against agents that are unusable for the length of a log outage, and
// against the use of an agent that a takeover would not know of.
func TestRosterRule(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entries int
		want    bool
	}{{"no successor", 1, false}, {"successor acknowledges", 2, true}} {
		Convey("agent joins in a log outage: "+tt.name, t, func() {
			w := quiet(tt.entries)
			w.logDown = true
			w.run(100)
			a := w.addAgent("late-1")
			home := w.entries[w.homeOf(0)]
			So(home.m.Usable(a.record.Incarnation, 0), ShouldBeFalse)
			w.run(1000)
			So(home.m.Usable(a.record.Incarnation, 0), ShouldEqual, tt.want)
			w.logDown = false
			w.run(3000)
			So(w.entries[w.homeOf(0)].m.Usable(a.record.Incarnation, 0), ShouldBeTrue)
			home.m.AgentLeft(a.record.Incarnation)
			w.run(2000)
			So(w.entries[w.homeOf(0)].m.Usable(a.record.Incarnation, 0), ShouldBeFalse)
		})
	}
}

// Guards against a successor that stays named although it is gone, and against
// shards that stay where they are when entries come and go.
func TestSuccessorsAndBalance(t *testing.T) {
	Convey("a lost successor is replaced", t, func() {
		w := quiet(3)
		h, s := w.homeOf(0), w.successorOf(0)
		w.entries[s].dead = true
		took := w.until(5000, func() bool { return w.entries[h].state.Ownership(0).Successor == w.entries[3-h-s].info.Incarnation })
		So(took, ShouldBeBetween, 900, 1600)
		So(w.homeOf(0), ShouldEqual, h)
	})
	Convey("a new entry receives its share", t, func() {
		w := quiet(2)
		e := w.addEntry("entry-new")
		share := func() (n int) {
			for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
				if _, ok := e.m.Serving(i); ok {
					n++
				}
			}
			return n
		}
		w.run(5000)
		So(share(), ShouldEqual, 0)
		w.run(12_000)
		So(share(), ShouldBeBetween, 10, 35)
		So(w.violation, ShouldEqual, "")
	})
}

// Guards against an entry that accepts stamps by a clock that is off, and
// against entries that are blamed for the clock of another one.
func TestSkew(t *testing.T) {
	Convey("one clock of three is off", t, func() {
		w := quiet(3)
		w.entries[1].clock.wall += 1200
		w.run(1000)
		for i, e := range w.entries {
			So(e.m.SkewExceeded(), ShouldEqual, i == 1)
		}
	})
}

// Guards against refusals that are not true and ids that run again because an
// earlier home is overlooked.
func TestFreshAndHomeless(t *testing.T) {
	stamped := func(w *world, e *simEntry, ahead gypsumtide.Millis) gypsumtide.SubmissionID {
		id := w.idIn(0)
		for id[15] = 0; ; id[15]++ {
			stamp := uint64(e.clock.Wall() + ahead)
			for i := range 6 {
				id[i] = byte(stamp >> (8 * (5 - i)))
			}
			if id.Shard() == 0 || id[15] == 255 {
				return id
			}
		}
	}
	Convey("ids of a first claim are fresh, later ones only after the margin", t, func() {
		w := quiet(1)
		So(w.entries[0].m.Fresh(stamped(w, w.entries[0], -500_000)), ShouldBeTrue)
		w.restartEntry(0)
		So(w.until(3000, w.served), ShouldBeLessThan, 3000)
		e := w.entries[0]
		at, ok := e.m.TookOverAt(0)
		So(ok, ShouldBeTrue)
		now := e.clock.Wall()
		So(e.m.Fresh(stamped(w, e, at-now+1000)), ShouldBeFalse)
		So(e.m.Fresh(stamped(w, e, at-now+1001)), ShouldBeTrue)
	})
	Convey("only a proven end of the home counts as homeless", t, func() {
		w := quiet(3)
		h, s := w.homeOf(0), w.successorOf(0)
		e := w.entries[3-h-s]
		_, _, ok := e.m.HomelessSince(0)
		So(ok, ShouldBeFalse)
		w.entries[h].dead, w.entries[s].dead = true, true
		w.run(2000)
		_, _, ok = e.m.HomelessSince(0)
		So(ok, ShouldBeFalse)
		w.log = append(w.log, must(RetireEntryRecord(42, w.entries[h].info.Incarnation)))
		w.run(200)
		since, asOf, ok := e.m.HomelessSince(0)
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, 42)
		So(asOf, ShouldBeBetween, e.clock.Now()-100, e.clock.Now())
	})
}
