package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// rackRule decides whether a task is placed on its rack.
type rackRule = func(s *State, now gypsumtide.Millis, t *task, p places) bool

// lowestCost is the rule of placement without racks.
func lowestCost(_ *State, _ gypsumtide.Millis, _ *task, p places) bool {
	return p.onRack.estimate.cost <= p.elsewhere.estimate.cost
}

// constantWait waits for the rack until a time after the arrival of the job.
func constantWait(wait gypsumtide.Millis) rackRule {
	return func(s *State, now gypsumtide.Millis, t *task, p places) bool {
		return now-t.job.arrivedAt < wait || p.onRack.estimate.wait == 0 || lowestCost(s, now, t, p)
	}
}

// simulateRack simulates 4 entries and 36 workers, of which 6 are on the rack that half of the
// short jobs name, but for the first and the last second.
func simulateRack(load, seconds float64, seed uint64, rule rackRule) (simResult, rackResult) {
	racks := &simRacks{
		workersPerRack: 6, remoteFactor: 1.5, kind: "short", share: 0.5, from: 1, to: seconds - 1, random: rand.New(rand.NewPCG(seed, 3)),
	}
	sim := newSimulation(simConfig{seed: seed, entries: 4, workers: 36, seconds: seconds, load: constantLoad(load), racks: racks})
	for _, e := range sim.entries {
		e.remoteFactor = racks.remoteFactor
		e.locality.rule = rule
	}
	return sim.run(), racks.result
}

// Guards against a placement that lets more tasks leave the rack, or more jobs be late, than
// the rule of placement without racks.
func TestRackLoad(t *testing.T) {
	Convey("At 0.9 times the capacity, more tasks run on a rack that many jobs name, and no more jobs are late", t, func() {
		var plain, computed rackResult
		for seed := range uint64(2) {
			_, r := simulateRack(0.9, 4, seed, lowestCost)
			plain.add(r)
			_, r = simulateRack(0.9, 4, seed, (*State).rackPays)
			computed.add(r)
		}
		So(computed.onRackShare(), ShouldBeGreaterThan, plain.onRackShare()+0.05)
		So(computed.inTimeShare(), ShouldBeGreaterThan, plain.inTimeShare()-0.02)
	})
}

// BenchmarkRackLoad reports the results of the rules at several loads.
func BenchmarkRackLoad(b *testing.B) {
	rules := []struct {
		name string
		rule rackRule
	}{
		{"lowest-cost", lowestCost}, {"constant-20", constantWait(20)}, {"constant-50", constantWait(50)},
		{"constant-100", constantWait(100)}, {"computed", (*State).rackPays},
	}
	for _, load := range []float64{0.4, 0.7, 0.9, 1.1} {
		for _, r := range rules {
			b.Run(fmt.Sprint("load-", load, "/", r.name), func(b *testing.B) {
				var all simResult
				var racks rackResult
				for i := range b.N {
					a, r := simulateRack(load, 7, uint64(i), r.rule)
					all.value += a.value
					all.earned += a.earned
					racks.add(r)
				}
				b.ReportMetric(all.valueShare(), "value-share")
				b.ReportMetric(racks.earned/racks.value, "rack-value-share")
				b.ReportMetric(racks.inTimeShare(), "rack-in-time")
				b.ReportMetric(racks.onRackShare(), "on-rack")
				b.ReportMetric(racks.runTime/float64(racks.tasks), "run-time")
			})
		}
	}
}
