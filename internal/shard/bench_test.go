package shard

import (
	"encoding/binary"
	"fmt"
	"testing"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// newFullSizeSimulation returns a simulation with 3,000 connected agents in 6
// availability zones and 1,000 racks, and the first of its two entries.
func newFullSizeSimulation(b *testing.B) (*simulation, *simEntry) {
	sim := newSimulation(1)
	e := sim.addEntry("entry-0")
	sim.addEntry("entry-1")
	sim.run(10_000)
	for i := range 3000 {
		rec := wire.AgentRecord{Name: fmt.Sprintf("agent-%d", i), Incarnation: fmt.Sprintf("agent-%d#1", i)}
		rec.Zone, rec.Rack = fmt.Sprintf("z%d", i%6), fmt.Sprintf("r%d", i/3)
		for _, e := range sim.entries {
			e.manager.AgentConnected(rec)
		}
	}
	sim.run(5000)
	if n := len(e.manager.roster.present); n != 3000 {
		b.Fatalf("%d agents joined", n)
	}
	return sim, e
}

func BenchmarkTickIdle(b *testing.B) {
	sim, e := newFullSizeSimulation(b)
	for b.Loop() {
		sim.now++
		e.manager.HandleLogRead(e.clock.Now())
		e.manager.Tick()
	}
}

// BenchmarkTickPromising measures a Tick while all shards are in the state
// "promising": this entry is their home but has not settled the earlier homes yet.
func BenchmarkTickPromising(b *testing.B) {
	sim, e := newFullSizeSimulation(b)
	for i := range e.manager.shards {
		e.manager.shards[i].machine = chart.Shard.NewMachine()
		_ = e.manager.shards[i].machine.Fire("won")
		e.manager.shards[i].ownership = Ownership{Home: e.info.Incarnation, Epoch: 9}
		e.manager.shards[i].epochInfo = EpochInfo{}
	}
	for b.Loop() {
		sim.now += 50
		e.manager.HandleLogRead(e.clock.Now())
		e.manager.Tick()
	}
}

func BenchmarkServing(b *testing.B) {
	_, e := newFullSizeSimulation(b)
	for b.Loop() {
		e.manager.Serving(3)
	}
}

func BenchmarkUsable(b *testing.B) {
	_, e := newFullSizeSimulation(b)
	for b.Loop() {
		e.manager.Usable("agent-77#1", 3)
	}
}

func BenchmarkCandidates(b *testing.B) {
	_, e := newFullSizeSimulation(b)
	var id gypsumtide.SubmissionID
	for b.Loop() {
		id[15]++
		e.manager.Candidates(id, 100)
	}
}

// BenchmarkRecoveryCandidates also reports how many agents a new home asks about an
// id that an earlier home may have accepted. All agents joined before the shard
// changed its home.
func BenchmarkRecoveryCandidates(b *testing.B) {
	for _, agents := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			sim := newSimulation(1)
			e := sim.addEntry("entry-0")
			sim.run(2000)
			for i := range agents {
				e.manager.AgentConnected(wire.AgentRecord{Name: fmt.Sprintf("agent-%d", i), Incarnation: fmt.Sprintf("agent-%d#1", i), Zone: fmt.Sprintf("z%d", i%6), Rack: fmt.Sprintf("r%d", i/3)})
			}
			sim.run(5000)
			newHome := sim.addEntry("entry-1")
			sim.run(9000)
			var id gypsumtide.SubmissionID
			binary.BigEndian.PutUint64(id[:8], uint64(newHome.clock.Wall())<<16)
			for newHome.manager.state.Ownership(id.Shard()).Epoch < 2 {
				id[14]++
				if id[14] == 0 {
					b.Fatal("no shard has changed its home")
				}
			}
			n := 0
			for b.Loop() {
				candidates, _ := newHome.manager.RecoveryCandidates(id, 100)
				n = len(candidates)
			}
			b.ReportMetric(float64(n), "candidates")
		})
	}
}
