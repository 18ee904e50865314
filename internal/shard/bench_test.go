package shard

import (
	"encoding/binary"
	"fmt"
	"testing"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// fullSize returns the manager of an entry that is home for all shards, with
// 3,000 connected agents of 6 availability zones and 1,000 racks.
func fullSize(b *testing.B) (*world, *simEntry) {
	w := newWorld(1)
	e := w.addEntry("entry-0")
	w.addEntry("entry-1")
	w.run(10_000)
	for i := range 3000 {
		rec := wire.AgentRecord{Name: fmt.Sprintf("agent-%d", i), Incarnation: fmt.Sprintf("agent-%d#1", i)}
		rec.Zone, rec.Rack = fmt.Sprintf("z%d", i%6), fmt.Sprintf("r%d", i/3)
		for _, e := range w.entries {
			e.m.AgentUp(rec)
		}
	}
	w.run(5000)
	if n := len(e.m.agents.present); n != 3000 {
		b.Fatalf("%d agents joined", n)
	}
	return w, e
}

func BenchmarkTickIdle(b *testing.B) {
	w, e := fullSize(b)
	for b.Loop() {
		w.now++
		e.m.LogRead(e.clock.Now())
		e.m.Tick()
	}
}

func BenchmarkTickPromising(b *testing.B) {
	w, e := fullSize(b)
	for i := range e.m.shards {
		e.m.shards[i].machine = chart.Shard.Start()
		_ = e.m.shards[i].machine.Fire("won")
		e.m.shards[i].home = Ownership{Home: e.info.Incarnation, Epoch: 9}
		e.m.shards[i].tenure = EpochInfo{}
	}
	for b.Loop() {
		w.now += 50
		e.m.LogRead(e.clock.Now())
		e.m.Tick()
	}
}

func BenchmarkServing(b *testing.B) {
	_, e := fullSize(b)
	for b.Loop() {
		e.m.Serving(3)
	}
}

func BenchmarkUsable(b *testing.B) {
	_, e := fullSize(b)
	for b.Loop() {
		e.m.Usable("agent-77#1", 3)
	}
}

func BenchmarkCandidates(b *testing.B) {
	_, e := fullSize(b)
	var id gypsumtide.SubmissionID
	for b.Loop() {
		id[15]++
		e.m.Candidates(id, 100)
	}
}

// Measures the agents that a new home asks about one id in doubt. All agents
// joined before the shard changed its home.
func BenchmarkRecoveryCandidates(b *testing.B) {
	for _, agents := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			w := newWorld(1)
			e := w.addEntry("entry-0")
			w.run(2000)
			for i := range agents {
				e.m.AgentUp(wire.AgentRecord{Name: fmt.Sprintf("agent-%d", i), Incarnation: fmt.Sprintf("agent-%d#1", i), Zone: fmt.Sprintf("z%d", i%6), Rack: fmt.Sprintf("r%d", i/3)})
			}
			w.run(5000)
			next := w.addEntry("entry-1")
			w.run(9000)
			var id gypsumtide.SubmissionID
			binary.BigEndian.PutUint64(id[:8], uint64(next.clock.Wall())<<16)
			for next.m.state.Ownership(id.Shard()).Epoch < 2 {
				id[14]++
				if id[14] == 0 {
					b.Fatal("no shard has changed its home")
				}
			}
			n := 0
			for b.Loop() {
				list, _ := next.m.RecoveryCandidates(id, 100)
				n = len(list)
			}
			b.ReportMetric(float64(n), "candidates")
		})
	}
}
