package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// crest plays a load, relative to the capacity, on a deployment of the users' size.
func simulateLoad(load float64, seed uint64) simResult {
	return newSimulation(simConfig{seed: seed, entries: 4, workers: 11, seconds: 8, load: constantLoad(load)}).run()
}

// Guards against work at a crest that is done too late to be useful, and against
// refusals while the workers have room.
func TestOverload(t *testing.T) {
	// Load pattern: a crest above the capacity for seconds. Without a bound on the
	// wait that tightens, every job that is served starts at the last moment, and
	// one in seven is late.
	Convey("At 1.2 times the capacity nearly all that is done is done in time", t, func() {
		r := simulateLoad(1.2, 1)
		So(float64(r.late+r.tooLate), ShouldBeLessThan, 0.05*float64(r.jobs))
		So(r.utilization, ShouldBeGreaterThan, 0.85)
		So(r.valueShare(), ShouldBeGreaterThan, 0.85/1.2)
	})
	// Load pattern: bursts below the capacity, which the queues of the agents absorb.
	Convey("At 0.7 times the capacity nothing is refused", t, func() {
		r := simulateLoad(0.7, 1)
		So(float64(r.refused), ShouldBeLessThan, 0.01*float64(r.jobs))
		So(r.valueShare(), ShouldBeGreaterThan, 0.98)
	})
}

// Guards against a patience that does not return after a crest.
func TestBacklog(t *testing.T) {
	Convey("A short burst leaves the patience, a crest takes it, and it returns", t, func() {
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

// BenchmarkOverload shows how admission and placement do at several loads.
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
			b.ReportMetric(sum.valueShare(), "worth")
			b.ReportMetric(float64(sum.inTime)/jobs, "in-time")
			b.ReportMetric(float64(sum.late)/jobs, "late")
			b.ReportMetric(float64(sum.refused)/jobs, "refused")
		})
	}
}
