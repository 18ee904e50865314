package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// simulateLoad simulates 4 entries and 11 workers, the size of the deployment that the users
// have described, under a constant load relative to the capacity.
func simulateLoad(load float64, seed uint64) simResult {
	return newSimulation(simConfig{seed: seed, entries: 4, workers: 11, seconds: 8, load: constantLoad(load)}).run()
}

// Guards against work that is done too late to be useful under overload, and against
// refusals while the workers have capacity.
func TestOverload(t *testing.T) {
	// The load exceeds the capacity for seconds. Unless the permitted wait shrinks, every
	// job that is served starts at the last moment, and one in seven is late.
	Convey("At 1.2 times the capacity, few jobs are late and the workers are busy", t, func() {
		r := simulateLoad(1.2, 1)
		So(float64(r.late+r.tooLate), ShouldBeLessThan, 0.05*float64(r.jobs))
		So(r.utilization, ShouldBeGreaterThan, 0.85)
		So(r.valueShare(), ShouldBeGreaterThan, 0.85/1.2)
	})
	// The queues of the agents absorb the bursts, since the mean load is below the capacity.
	Convey("At 0.7 times the capacity, almost nothing is refused", t, func() {
		r := simulateLoad(0.7, 1)
		So(float64(r.refused), ShouldBeLessThan, 0.01*float64(r.jobs))
		So(r.valueShare(), ShouldBeGreaterThan, 0.98)
	})
}

// simulateFleet simulates a larger fleet whose agents are connected to some of the entries.
func simulateFleet(entries, workers, sessions int, load float64, seed uint64) simResult {
	return newSimulation(simConfig{seed: seed, entries: entries, workers: workers, sessions: sessions, seconds: 3, load: constantLoad(load)}).run()
}

// Guards against entries that place worse because each sees a part of the workers only: the
// same load is served as well as by entries that see all of them.
func TestPartOfWorkers(t *testing.T) {
	Convey("At 1.2 times the capacity, entries that see a third of the workers lose little", t, func() {
		all, part := simulateFleet(12, 48, 0, 1.2, 1), simulateFleet(12, 48, 4, 1.2, 1)
		So(part.valueShare(), ShouldBeGreaterThan, all.valueShare()-0.02)
		So(float64(part.refused)/float64(part.jobs), ShouldBeLessThan, float64(all.refused)/float64(all.jobs)+0.02)
	})
}

// Guards against a slack share that stays reduced after an overload has ended.
func TestBacklog(t *testing.T) {
	Convey("The slack share stays high in a short burst, falls under overload and recovers", t, func() {
		var b backlog
		So(b.slackShare(), ShouldEqual, 1)
		b.update(10, 0.3)
		So(b.slackShare(), ShouldBeGreaterThan, 0.9)
		b.update(1000, 0.6)
		So(b.slackShare(), ShouldEqual, minSlackShare)
		b.update(1500, 0)
		So(b.slackShare(), ShouldBeGreaterThan, 0.95)
	})
}

// BenchmarkOverload reports the results of admission and placement at several loads.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.7, 0.85, 1, 1.2, 1.5} {
		b.Run(fmt.Sprint("load-", load), func(b *testing.B) {
			var sum simResult
			for i := range b.N {
				r := simulateLoad(load, uint64(i))
				sum.jobs += r.jobs
				sum.inTime += r.inTime
				sum.late += r.late + r.tooLate
				sum.refused += r.refused
				sum.value += r.value
				sum.earned += r.earned
			}
			jobs := float64(sum.jobs)
			b.ReportMetric(sum.valueShare(), "value-share")
			b.ReportMetric(float64(sum.inTime)/jobs, "in-time")
			b.ReportMetric(float64(sum.late)/jobs, "late")
			b.ReportMetric(float64(sum.refused)/jobs, "refused")
		})
	}
}

// BenchmarkFleet reports the results of a large fleet by the number of sessions of an agent.
func BenchmarkFleet(b *testing.B) {
	for _, load := range []float64{0.85, 1.2} {
		for _, sessions := range []int{35, 10, 6} {
			b.Run(fmt.Sprint("load-", load, "/sessions-", sessions), func(b *testing.B) {
				var sum simResult
				for i := range b.N {
					r := simulateFleet(35, 160, sessions, load, uint64(i))
					sum.jobs += r.jobs
					sum.refused += r.refused
					sum.value += r.value
					sum.earned += r.earned
				}
				b.ReportMetric(sum.valueShare(), "value-share")
				b.ReportMetric(float64(sum.refused)/float64(sum.jobs), "refused")
			})
		}
	}
}
