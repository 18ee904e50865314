package shard

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumtide"
)

// fault breaks something in a world.
type fault struct {
	name string
	run  func(w *world)
}

var faults = []fault{
	{"none", func(*world) {}},
	{"cut entries", func(w *world) {
		a, b := w.entries[w.r.IntN(len(w.entries))], w.entries[w.r.IntN(len(w.entries))]
		w.cut[link(a.info.Incarnation, b.info.Incarnation)] = true
	}},
	{"cut agent", func(w *world) {
		a, e := w.agents[w.r.IntN(len(w.agents))], w.entries[w.r.IntN(len(w.entries))]
		w.cut[link(a.record.Incarnation, e.info.Incarnation)] = true
	}},
	{"isolate entry", func(w *world) {
		e := w.entries[w.r.IntN(len(w.entries))]
		for _, p := range w.entries {
			w.cut[link(p.info.Incarnation, e.info.Incarnation)] = true
		}
	}},
	{"split", func(w *world) {
		// The first entry and the first agents keep the log, the others keep each other.
		for _, e := range w.entries[1:] {
			e.noLog = true
			w.cut[link(w.entries[0].info.Incarnation, e.info.Incarnation)] = true
		}
		for i, a := range w.agents {
			for j, e := range w.entries {
				w.cut[link(a.record.Incarnation, e.info.Incarnation)] = (i < len(w.agents)/2) != (j == 0)
			}
		}
	}},
	{"heal links", func(w *world) { clear(w.cut) }},
	{"heal log", func(w *world) {
		w.logDown, w.loseRate = false, 0
		for _, e := range w.entries {
			e.noLog = false
		}
	}},
	{"log down", func(w *world) { w.logDown = true }},
	{"log lost to an entry", func(w *world) { w.entries[w.r.IntN(len(w.entries))].noLog = true }},
	{"log loses answers", func(w *world) { w.loseRate = 40 }},
	{"pause", func(w *world) {
		w.entries[w.r.IntN(len(w.entries))].paused = w.now + gypsumtide.Millis(200+w.r.IntN(4000))
	}},
	{"kill entry", func(w *world) { w.entries[w.r.IntN(len(w.entries))].dead = true }},
	{"restart entry", func(w *world) { w.restartEntry(w.r.IntN(len(w.entries))) }},
	{"restart agent", func(w *world) { w.restartAgent(w.r.IntN(len(w.agents))) }},
	{"new agent", func(w *world) {
		if len(w.agents) < 8 {
			w.addAgent(fmt.Sprintf("agent-%d", len(w.agents)))
		}
	}},
	{"new agent at an entry without log", func(w *world) {
		if len(w.agents) >= 8 {
			return
		}
		a, only := w.addAgent(fmt.Sprintf("agent-%d", len(w.agents))), w.r.IntN(len(w.entries))
		w.entries[only].noLog = true
		for i, e := range w.entries {
			w.cut[link(a.record.Incarnation, e.info.Incarnation)] = i != only
		}
	}},
	{"drain entry", func(w *world) { w.entries[w.r.IntN(len(w.entries))].m.Drain() }},
	{"settle", func(w *world) { w.heal() }},
}

// simulate runs a world with random faults and returns it. A violation or a
// failure to serve again is in world.violation.
func simulate(seed uint64, entries int, plan []int, prepare func(*world)) *world {
	w := newWorld(seed)
	if prepare != nil {
		prepare(w)
	}
	for i := range entries {
		w.addEntry(fmt.Sprintf("entry-%d", i))
	}
	for i := range 3 {
		w.addAgent(fmt.Sprintf("agent-%d", i))
	}
	w.run(2000)
	for _, f := range plan {
		faults[f].run(w)
		w.run(gypsumtide.Millis(200 + 10*w.r.IntN(250)))
	}
	w.heal()
	for i, e := range w.entries {
		if e.m.draining {
			w.restartEntry(i)
		}
	}
	w.recover()
	return w
}

// recoveryBound is the longest way back to service after all faults: suspicion,
// the wait for an orphan claim, the stagger of the claimers, L + C, and appends.
const recoveryBound = 800 + 5000 + 3*1000 + 1800 + 1400

func (w *world) recover() {
	for end := w.now + recoveryBound; w.violation == "" && w.now < end; w.run(100) {
		if w.unserved() < 0 {
			break
		}
	}
	w.run(1000)
	for range 20 {
		if w.unserved() < 0 {
			break
		}
		w.run(100)
	}
	if s := w.unserved(); s >= 0 {
		w.fail("shard %d is not served by one home", s)
	}
	for _, e := range w.entries {
		if e.m.rejected > 0 {
			w.fail("%s had %d rejected chart events", e.info.Incarnation, e.m.rejected)
		}
	}
}

// Guards against two starts of one id, two homes that can start tasks of one
// shard, and a shard that stays without a home after the faults end.
func TestManagersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		entries := rapid.IntRange(2, 4).Draw(t, "entries")
		plan := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 3, 14).Draw(t, "plan")
		w := simulate(seed, entries, plan, nil)
		if w.violation != "" {
			for _, f := range plan {
				t.Log(faults[f].name)
			}
			t.Fatal(w.violation)
		}
	})
}
