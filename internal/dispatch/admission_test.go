package dispatch

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against jobs of many tasks that are admitted like jobs of one task and then wait for
// their last tasks until they are late.
func TestWaitForAll(t *testing.T) {
	Convey("The wait covers all tasks at all workers", t, func() {
		rooms := []workerRoom{{2.9, 0.1}, {-3, 0.1}, {1, 0.05}}
		for tasks, wait := range map[float64]float64{3: 0, 4: 6.7, 8: 32, 9: 36} {
			So(waitForAll(rooms, tasks), ShouldAlmostEqual, wait, 1)
		}
		So(math.IsInf(waitForAll(nil, 2), 1), ShouldBeTrue)
		So(waitForAll([]workerRoom{{math.Inf(1), math.MaxFloat64}}, 2000), ShouldEqual, 0)
	})
	Convey("With a limit per worker, the next task waits for the end of another", t, func() {
		s := newTestState(1)
		step := gypsumtide.JobStep{Size: gypsumtide.Size{Processors: 100}, MaxPerWorker: 2}
		room := []workerRoom{s.workers[workerID(0)].roomFor(&step, 0, 50)}
		for tasks, wait := range map[float64]float64{2: 0, 3: 25, 4: 50} {
			So(waitForAll(room, tasks), ShouldAlmostEqual, wait, 1)
		}
	})
}

// Guards against a wide job that is held until it is late, although it was clear on arrival
// that its tasks cannot all start in time.
func TestAdmitWholeJob(t *testing.T) {
	Convey("At a nearly full worker a job of one task is admitted and one of 32 is refused at once", t, func() {
		s := newTestState(1)
		s.UpdateLoad(0, workerID(0), loadReport(testCapacity-1600))
		s.Submit(0, submission("wide", 32, 50, 0))
		So(s.TakeEffects().Answers["wide"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		s.Submit(0, submission("narrow", 1, 50, 0))
		So(s.TakeEffects().Answers, ShouldBeEmpty)
	})
}

// Guards against a burst of arrivals between two reports, each admitted into the same room.
func TestAdmitCountsWaitingTasks(t *testing.T) {
	Convey("Tasks that wait at the entry use up the room, also before the next tick", t, func() {
		s := newTestState(1)
		s.UpdateLoad(0, workerID(0), loadReport(testCapacity))
		// The worker can start 3 tasks within the slack of 84 ms. Two of them are ordered at
		// once, and the third waits at the entry because its order would wait over 60 ms.
		for i := range 40 {
			s.Submit(0, submission(fmt.Sprint("j", i), 1, 50, 0))
		}
		So(s.effects.Answers, ShouldHaveLength, 37)
		s.Tick(10)
		s.TakeEffects()
		s.Submit(10, submission("next", 1, 50, 0))
		So(s.TakeEffects().Answers, ShouldHaveLength, 1)
	})
}

// Guards against routes that ask for much work and take the capacity from those that ask for
// little, and against lower priorities that get nothing.
func TestFairShares(t *testing.T) {
	route := func(name string, priority int) *gypsumtide.QueueRoute {
		return &gypsumtide.QueueRoute{Name: name, Priority: priority}
	}
	offer := func(excess float64, urgent float64) *fairShares {
		f := newFairShares()
		f.admit(0, route("urgent", 0), urgent)
		f.admit(0, route("little", 2), 300)
		f.admit(0, route("much", 1), 500)
		f.integral = excess
		f.update(0, targetBacklog)
		return &f
	}
	Convey("The work to refuse is taken from the route that asks for most", t, func() {
		f := offer(0.2, 200)
		So(f.routes["urgent"].part, ShouldEqual, 1)
		So(f.routes["little"].part, ShouldEqual, 1)
		So(f.routes["much"].part, ShouldAlmostEqual, 0.6, 0.001)
	})
	Convey("Urgent work over the capacity leaves the others a part", t, func() {
		f := offer(0.8, 2000)
		So(f.routes["little"].part, ShouldEqual, minPart)
	})
	Convey("A lasting backlog raises the part to refuse, and its end lowers it", t, func() {
		f := newFairShares()
		for now := gypsumtide.Millis(0); now < 1000; now += 10 {
			f.update(now, 0.3)
		}
		So(f.excess, ShouldBeGreaterThan, 0.5)
		for now := gypsumtide.Millis(1000); now < 3000; now += 10 {
			f.update(now, 0)
		}
		So(f.excess, ShouldEqual, 0)
	})
	// A tenth of the jobs is 8 times as large as the others, and nearly half of the work.
	Convey("The admitted work is the part, and large jobs are admitted at least half as often", t, func() {
		f := offer(0.2, 200)
		r := f.routes["much"]
		var work, admittedWork, large, admittedLarge, admitted float64
		for i := range 10000 {
			w, isLarge := 40+float64(i*7919%97), i%10 == 0
			if isLarge {
				w *= 8
			}
			r.part = 0.6
			ok := f.admit(0, route("much", 1), w)
			work += w
			if isLarge {
				large++
			}
			if ok {
				admitted++
				admittedWork += w
				if isLarge {
					admittedLarge++
				}
			}
		}
		So(admittedWork/work, ShouldAlmostEqual, 0.6, 0.01)
		So(admittedLarge/large, ShouldBeGreaterThan, admitted/10000/2)
		So(admitted/10000, ShouldBeGreaterThan, 0.62)
	})
	Convey("A job beyond the share of its route is refused on arrival, although there is room", t, func() {
		s := newTestState(4)
		s.shares = *offer(0.2, 200)
		s.shares.routes["test"] = &routeShare{part: 0.5}
		sub := submission("j", 1, 50, 0)
		sub.Route.Name = "test"
		s.Submit(0, sub)
		So(s.TakeEffects().Answers["j"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
	})
}

// Guards against idle slow workers while tasks wait at the entry for a fast one.
func TestIdleWorkerInsteadOfWaiting(t *testing.T) {
	Convey("A task that would wait at the entry runs on an idle slow worker, if it ends there in time", t, func() {
		type testCase struct {
			estimate gypsumtide.Millis
			idle     gypsumtide.Millis // when the slow worker becomes idle
			ordered  int
		}
		for _, c := range []testCase{{200, 0, 1}, {200, 10, 1}, {1000, 0, 0}} {
			s := newTestState(2)
			s.UpdateLoad(0, workerID(0), loadReport(testCapacity*117/100))
			setSlow := func(load int64) {
				s.UpdateLoad(0, workerID(1), loadReport(load))
				s.workers[workerID(1)].slowness = 1.8
			}
			setSlow(testCapacity * 3 / 2)
			if c.idle == 0 {
				setSlow(testCapacity * 85 / 100)
			}
			s.Submit(0, submission("j", 1, c.estimate, 1))
			if c.idle > 0 {
				setSlow(testCapacity * 85 / 100)
				s.Tick(c.idle)
			}
			So(orderedRuns(s.TakeEffects())[workerID(1)], ShouldHaveLength, c.ordered)
		}
	})
}

// Guards against tasks of middle priority that fill the fast workers under overload, because
// the tasks that they overtake there did not count, while slow workers stay partly idle.
func TestQueuedTasksCount(t *testing.T) {
	Convey("Queued tasks of a lower priority make a worker expensive, but not for priority 0", t, func() {
		s := newTestState(1)
		w := s.workers[workerID(0)]
		step := &submission("j", 1, 50, 0).Job.Steps[0]
		for priority, rises := range map[int]bool{0: false, 1: true} {
			w.otherWaiting = nil
			before := w.estimateCost("z", step, priority, 50, 1.5).cost
			w.otherWaiting = []queuedLoad{{2, gypsumtide.Size{Processors: testCapacity / 2}}}
			So(w.estimateCost("z", step, priority, 50, 1.5).cost > before, ShouldEqual, rises)
		}
	})
}

// Guards against retries that add to an overload: the more work is refused, the longer the
// interval over which they are spread.
func TestRetryAfterUnderOverload(t *testing.T) {
	Convey("Retries are spread over a longer time if more is refused", t, func() {
		s := newTestState(1)
		latest := func(excess float64) (latest gypsumtide.Millis) {
			s.shares.excess = excess
			for hash := range uint64(100) {
				after := s.retryAfter(&job{hash: hash * 7919}, 0)
				So(after, ShouldBeGreaterThanOrEqualTo, minRetryAfter)
				latest = max(latest, after)
			}
			return latest
		}
		So(latest(0), ShouldBeBetween, minRetryAfter+retrySpread*9/10, minRetryAfter+retrySpread)
		So(latest(0.4), ShouldBeBetween, minRetryAfter+6000, minRetryAfter+6667)
		So(latest(0.9), ShouldBeBetween, minRetryAfter+7200, minRetryAfter+maxRetrySpread)
	})
}

// Guards against an overload in which jobs are held and refused late, or run too late, and
// against kinds and sizes of jobs that bear all of the refusals.
func TestHardLoad(t *testing.T) {
	Convey("At 1.2 times the capacity jobs are refused at once, and no kind or size is shut out", t, func() {
		r := simulateHardLoad(1.2, "none", 4, 1)
		So(r.valueShare(), ShouldBeGreaterThan, 0.77)
		So(float64(r.held), ShouldBeLessThan, 0.04*float64(r.jobs))
		for _, k := range r.kinds {
			So(k.largest, ShouldBeGreaterThan, k.all/2)
			So(k.large, ShouldBeGreaterThan, k.all/2)
			So(k.all, ShouldBeGreaterThan, 0.6)
		}
		So(r.kinds["short"].all, ShouldBeGreaterThan, 0.9)
	})
}

// BenchmarkAdmission measures the admission of a job of 8 tasks at full workers.
func BenchmarkAdmission(b *testing.B) {
	s := newTestState(64)
	for i := range 64 {
		report := loadReport(testCapacity)
		report.Waiting = []wire.WaitingLoad{{Priority: 1, Size: wire.SizeArray{Processors: 1600, Memory: 64}}, {Priority: 2, Size: wire.SizeArray{Processors: 1600, Memory: 64}}}
		s.UpdateLoad(0, workerID(i), report)
	}
	for _, tasks := range []int{8, 500} {
		j := newJob(0, submission("j", tasks, 50, 2))
		j.objective = 140
		b.Run(fmt.Sprint("tasks-", tasks), func(b *testing.B) {
			for b.Loop() {
				s.admit(0, j)
			}
		})
	}
}
