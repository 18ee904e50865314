package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// discardLogger is a gypsumtide.DecisionLogger that discards all decisions.
type discardLogger struct{}

func (discardLogger) Decision(string, ...any) {}

var testTiming = Timing{ReconnectGrace: 450, LostRunTimeout: 1100}

const testCapacity = 16000

func workerID(n int) WorkerID { return WorkerID{Agent: fmt.Sprint("agent-", n), Incarnation: "a"} }

func incarnationOf(n int) gypsumtide.Incarnation {
	return gypsumtide.Incarnation{ID: fmt.Sprint("w-", n), StartTime: 1}
}

func loadReport(booked int64) *wire.LoadReport {
	return &wire.LoadReport{Booked: wire.SizeArray{Processors: booked}, Slowness: 1}
}

// newTestState returns a State with n idle workers, past its startup grace.
func newTestState(n int) *State {
	s := NewState(-10_000, "z", 1.5, testTiming, discardLogger{})
	for i := range n {
		s.Connected(0, workerID(i), wire.Resume{Complete: true})
		s.UpdateWorker(0, workerID(i), wire.WorkerReport{
			Incarnation: incarnationOf(i), Service: "stock", Zone: "z", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Accepting: true,
		})
		s.UpdateLoad(0, workerID(i), loadReport(0))
	}
	s.TakeEffects()
	return s
}

func submission(id string, tasks int, estimate gypsumtide.Millis, priority int) Submission {
	return Submission{
		Job: gypsumtide.JobRequest{ID: id, Spec: "s", Steps: []gypsumtide.JobStep{{
			Tasks: tasks, Size: gypsumtide.Size{Processors: 1600, Memory: 64}, Estimate: estimate,
		}}},
		Route:   gypsumtide.QueueRoute{Name: "r", Service: "stock", Priority: priority, Attempts: 3, SlackFactor: 1.6, Allowance: 60},
		Timeout: 1500,
	}
}

// orderedRuns returns the runs ordered at each worker.
func orderedRuns(e Effects) map[WorkerID][]gypsumtide.RunRef {
	out := make(map[WorkerID][]gypsumtide.RunRef)
	for id, m := range e.Messages {
		for _, o := range m.Orders {
			if !o.Update {
				out[id] = append(out[id], o.Ref)
			}
		}
	}
	return out
}

func reportAll(s *State, now gypsumtide.Millis, orders map[WorkerID][]gypsumtide.RunRef, r wire.RunReport) {
	for id, refs := range orders {
		for _, ref := range refs {
			r.Ref = ref
			s.HandleReport(now, id, r)
		}
	}
}

// Guards against tasks that are placed on unsuitable workers or wait while suitable ones
// are idle, and against jobs that end before their last task, or never.
func TestSubmit(t *testing.T) {
	Convey("A job ends when all its tasks are done", t, func() {
		s := newTestState(3)
		s.Submit(0, submission("a", 8, 50, 0))
		orders := orderedRuns(s.TakeEffects())
		reportAll(s, 60, orders, wire.RunReport{End: gypsumtide.EndDone, RunTime: 50})
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
		So(s.Jobs(), ShouldEqual, 0)
	})

	// A job ends with its slowest task, so the tasks of a wide job must not share one
	// worker while others are idle.
	Convey("The tasks of a wide job are spread over the workers", t, func() {
		s := newTestState(8)
		s.Submit(0, submission("a", 8, 50, 0))
		for _, refs := range orderedRuns(s.TakeEffects()) {
			So(len(refs), ShouldBeLessThanOrEqualTo, 2)
		}
	})

	// With thousands of workers, comparing all of them for each task took most of an
	// entry's processor time.
	Convey("Only a bounded number of many workers is compared, and the only suitable one is found", t, func() {
		const workers = 1000
		s := newTestState(workers)
		chosen := make(map[WorkerID]bool)
		for i := range 100 {
			s.Submit(0, submission(fmt.Sprintf("%016x", i), 1, 50, 0))
			c := s.choose(0, s.jobs[fmt.Sprintf("%016x", i)].tasks[0])
			So(c.candidates, ShouldEqual, maxCandidates)
			for id := range orderedRuns(s.TakeEffects()) {
				chosen[id] = true
			}
		}
		So(len(chosen), ShouldBeGreaterThan, 80)
		only := workerID(workers / 2)
		s.UpdateWorker(0, only, wire.WorkerReport{
			Incarnation: incarnationOf(workers / 2), Service: "stock", Labels: []string{"rare"}, Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Accepting: true,
		})
		sub := submission("rare", 1, 50, 0)
		sub.Job.Steps[0].Label = "rare"
		s.Submit(0, sub)
		So(orderedRuns(s.TakeEffects())[only], ShouldHaveLength, 1)
	})

	// Several entries choose workers from the same load reports, before the next ones arrive.
	Convey("Entries that see the same loads spread different jobs over the workers", t, func() {
		chosen := make(map[WorkerID]int)
		for i := range 64 {
			s := newTestState(8)
			s.Submit(0, submission(fmt.Sprintf("%016x", i), 1, 50, 0))
			for id := range orderedRuns(s.TakeEffects()) {
				chosen[id]++
			}
		}
		So(len(chosen), ShouldEqual, 8)
		for _, n := range chosen {
			So(n, ShouldBeLessThan, 24)
		}
	})

	Convey("A failed task is retried on another worker until its attempts are used up", t, func() {
		s := newTestState(3)
		s.Submit(0, submission("a", 1, 50, 0))
		var previous WorkerID
		for attempt := 1; attempt <= 3; attempt++ {
			orders := orderedRuns(s.TakeEffects())
			So(len(orders), ShouldEqual, 1)
			for id := range orders {
				So(id, ShouldNotResemble, previous)
				previous = id
			}
			reportAll(s, gypsumtide.Millis(attempt*10), orders, wire.RunReport{End: gypsumtide.EndFailed, RunTime: 5})
		}
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeFailed)
	})

	Convey("A step starts when the steps it depends on are done", t, func() {
		s := newTestState(2)
		sub := submission("a", 1, 20, 0)
		sub.Job.Steps = append(sub.Job.Steps, gypsumtide.JobStep{Tasks: 2, Size: sub.Job.Steps[0].Size, Estimate: 20, After: []int{0}})
		s.Submit(0, sub)
		first := orderedRuns(s.TakeEffects())
		So(len(first), ShouldEqual, 1)
		reportAll(s, 20, first, wire.RunReport{End: gypsumtide.EndDone, RunTime: 20})
		second := orderedRuns(s.TakeEffects())
		reportAll(s, 40, second, wire.RunReport{End: gypsumtide.EndDone, RunTime: 20})
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
	})
}

// Guards against refusals that come too late to be of use, and against a refusal of a job
// of which a task has run or may still run.
func TestRefusal(t *testing.T) {
	Convey("A job that cannot end before its deadline is refused at once", t, func() {
		s := newTestState(3)
		s.Submit(0, submission("a", 1, 5000, 0))
		a := s.TakeEffects().Answers["a"]
		So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(a.RetryAfter, ShouldBeGreaterThan, 0)
	})

	Convey("A job that is too large for every worker is refused at once", t, func() {
		s := newTestState(3)
		sub := submission("a", 1, 50, 0)
		sub.Job.Steps[0].Size.Processors = testCapacity + 1
		s.Submit(0, sub)
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
	})

	// Under overload, a job that cannot meet its objective takes capacity from jobs that
	// could.
	Convey("Under overload a job is refused at once unless only less urgent work is queued", t, func() {
		s := newTestState(1)
		r := loadReport(testCapacity)
		r.Waiting = []wire.WaitingLoad{{Priority: 1, Size: wire.SizeArray{Processors: 3 * testCapacity}}}
		s.UpdateLoad(0, workerID(0), r)
		s.Submit(0, submission("low", 1, 50, 1))
		s.Submit(0, submission("high", 1, 50, 0))
		e := s.TakeEffects()
		So(e.Answers["low"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(e.Answers["high"].Outcome, ShouldBeEmpty)
	})

	// Guards against a refusal of a job of which a task has run.
	Convey("A refusal is held back until no order can start any more", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 2, 50, 0))
		orders := orderedRuns(s.TakeEffects())
		reportAll(s, 2, orders, wire.RunReport{Queued: true})
		full := loadReport(testCapacity)
		for i := range 2 {
			s.UpdateLoad(80, workerID(i), full)
		}
		refs, ids := []gypsumtide.RunRef{}, []WorkerID{}
		for id, list := range orders {
			for _, ref := range list {
				refs, ids = append(refs, ref), append(ids, id)
			}
		}
		s.HandleReport(90, ids[0], wire.RunReport{Ref: refs[0], End: gypsumtide.EndNotStarted, Reason: "expired"})
		So(s.TakeEffects().Answers, ShouldBeEmpty)

		Convey("and is sent then", func() {
			s.HandleReport(95, ids[1], wire.RunReport{Ref: refs[1], End: gypsumtide.EndNotStarted, Reason: "recalled"})
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		})
		Convey("and is withdrawn if an order has started", func() {
			s.HandleReport(95, ids[1], wire.RunReport{Ref: refs[1], Started: true})
			So(s.TakeEffects().Answers, ShouldBeEmpty)
			s.HandleReport(96, ids[1], wire.RunReport{Ref: refs[1], End: gypsumtide.EndStopped})
			So(s.TakeEffects().Answers, ShouldBeEmpty)
			s.Tick(1500)
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
	})

	// After a power failure all hosts start at once, and callers arrive before the agents.
	Convey("A starting entry waits for agents before it refuses jobs", t, func() {
		s := NewState(0, "z", 1.5, testTiming, discardLogger{})
		s.Submit(10, submission("a", 1, 50, 0))
		So(s.TakeEffects().Answers, ShouldBeEmpty)
		s.Tick(2000)
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		s.Submit(4000, submission("b", 1, 50, 0))
		So(s.TakeEffects().Answers["b"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
	})
}

// Guards against tasks that stay at a full, slow or hanging worker while another one could
// run them, and against moves that save no time.
func TestMoves(t *testing.T) {
	// Several entries choose the same worker before its next load report.
	Convey("A queued order is recalled when another worker has free capacity", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 50, 0))
		orders := orderedRuns(s.TakeEffects())
		reportAll(s, 2, orders, wire.RunReport{Queued: true})
		for id := range orders {
			s.UpdateLoad(3, id, loadReport(testCapacity))
		}
		s.Tick(20)
		recalls := 0
		for _, m := range s.TakeEffects().Messages {
			recalls += len(m.Recalls)
		}
		So(recalls, ShouldEqual, 1)
		reportAll(s, 22, orders, wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "recalled"})
		next := orderedRuns(s.TakeEffects())
		So(len(next), ShouldEqual, 1)
		for id := range next {
			So(orders, ShouldNotContainKey, id)
		}
	})

	// A worker's tasks stall while those of other workers proceed.
	Convey("A run on a stalled worker is stopped and retried on another one", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 50, 0))
		orders := orderedRuns(s.TakeEffects())
		s.Tick(20)
		for id := range orders {
			r := loadReport(1600)
			r.Slowness = 6
			s.UpdateLoad(200, id, r)
		}
		s.Tick(210)
		stops := 0
		for _, m := range s.TakeEffects().Messages {
			stops += len(m.Stops)
		}
		So(stops, ShouldEqual, 1)
		reportAll(s, 215, orders, wire.RunReport{End: gypsumtide.EndStopped})
		for id := range orderedRuns(s.TakeEffects()) {
			So(orders, ShouldNotContainKey, id)
		}
	})

	// A worker hangs. Its load falls with every run that is moved away, so it appears to
	// be the best choice.
	Convey("A run that makes no progress is moved, even off the least loaded worker", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 50, 0))
		orders := orderedRuns(s.TakeEffects())
		for _, id := range []WorkerID{workerID(0), workerID(1)} {
			if _, ok := orders[id]; !ok {
				s.UpdateLoad(30, id, loadReport(testCapacity*9/10))
			}
		}
		reportAll(s, 45, orders, wire.RunReport{Remaining: 4000, Stalled: true})
		e := s.TakeEffects()
		So(e.Answers, ShouldBeEmpty)
		for id := range orders {
			So(e.Messages[id].Stops, ShouldHaveLength, 1)
		}
		reportAll(s, 50, orders, wire.RunReport{End: gypsumtide.EndStopped})
		for id := range orderedRuns(s.TakeEffects()) {
			So(orders, ShouldNotContainKey, id)
		}
	})

	// Every worker has a queue. An order that waits at an agent cannot go to the worker
	// that has capacity first.
	Convey("While all workers are full, tasks wait at the entry and are placed by priority", t, func() {
		s := newTestState(2)
		full := loadReport(testCapacity)
		full.Waiting = []wire.WaitingLoad{{Size: wire.SizeArray{Processors: testCapacity / 4}}}
		for n := range 2 {
			s.UpdateLoad(0, workerID(n), full)
		}
		s.Submit(0, submission("low", 1, 500, 1))
		s.Submit(1, submission("high", 1, 500, 0))
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.UpdateLoad(2, workerID(1), loadReport(testCapacity-1600))
		s.Tick(10)
		orders := orderedRuns(s.TakeEffects())
		So(orders[workerID(1)], ShouldNotBeEmpty)
		So(orders[workerID(1)][0].Task.Job, ShouldEqual, "high")
	})

	// Under overload slow workers can be idle because no task prefers them.
	Convey("Before a job is refused, an idle worker is used, however slow, if the answer is still useful", t, func() {
		for _, c := range []struct {
			slowness float32
			refused  bool
		}{{2.5, false}, {9, true}} {
			s := newTestState(2)
			full := loadReport(testCapacity)
			full.Waiting = []wire.WaitingLoad{{Size: wire.SizeArray{Processors: testCapacity}}}
			idle := loadReport(0)
			idle.Slowness = c.slowness
			s.Submit(0, submission("a", 1, 300, 0))
			orders := orderedRuns(s.TakeEffects())
			s.UpdateLoad(1, workerID(0), full)
			s.UpdateLoad(1, workerID(1), idle)
			reportAll(s, 350, orders, wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "expired"})
			e := s.TakeEffects()
			So(e.Answers["a"].Outcome == gypsumtide.OutcomeNotRun, ShouldEqual, c.refused)
			So(len(orderedRuns(e)[workerID(1)]) == 1, ShouldEqual, !c.refused)
		}
	})

	Convey("A job whose run cannot end in time on any worker is aborted at once", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 500, 0))
		orders := orderedRuns(s.TakeEffects())
		reportAll(s, 100, orders, wire.RunReport{Remaining: 5000})
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
	})

	// Guards against slowness values that are distorted by errors of the callers' estimates.
	Convey("The slowness of workers is learned by comparing the tasks of each job, whatever its estimate", t, func() {
		s := newTestState(2)
		for n := range 60 {
			id := fmt.Sprintf("%016x", n)
			s.Submit(gypsumtide.Millis(n*100), submission(id, 16, 50, 0))
			for w, refs := range orderedRuns(s.TakeEffects()) {
				runTime := gypsumtide.Millis(200)
				if w == workerID(0) {
					runTime = 300
				}
				for _, ref := range refs {
					s.HandleReport(gypsumtide.Millis(n*100+50), w, wire.RunReport{Ref: ref, End: gypsumtide.EndDone, RunTime: runTime})
				}
			}
			s.TakeEffects()
		}
		So(s.workers[workerID(0)].slowness/s.workers[workerID(1)].slowness, ShouldAlmostEqual, 1.5, 0.15)
	})
}

// Guards against a retry storm: hundreds of callers that are refused at the same moment
// must not all retry at the same moment.
func TestRetryAfter(t *testing.T) {
	Convey("Refused callers are told to retry at different times", t, func() {
		s := newTestState(1)
		s.UpdateLoad(0, workerID(0), loadReport(20*testCapacity))
		// A task of a tenth of the capacity fits when 19.1 times the capacity have ended.
		const room = meanTurnover * 191 / 10
		buckets := make(map[gypsumtide.Millis]int)
		for i := range 300 {
			s.Submit(0, submission(fmt.Sprintf("%016x", i), 1, 50, 0))
		}
		for _, a := range s.TakeEffects().Answers {
			So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
			So(a.RetryAfter, ShouldBeBetweenOrEqual, room, room+retrySpread)
			buckets[(a.RetryAfter-room)*4/retrySpread]++
		}
		So(buckets, ShouldHaveLength, 4)
		for _, n := range buckets {
			So(n, ShouldBeGreaterThan, 45)
		}
	})
}

// Guards against two runs of a task, and against jobs that are refused or never end, after
// the session to an agent was lost.
func TestLostAgent(t *testing.T) {
	Convey("Given a job on an agent whose session is lost", t, func() {
		s := newTestState(1)
		s.Submit(0, submission("a", 1, 50, 0))
		ref := orderedRuns(s.TakeEffects())[workerID(0)][0]
		s.Disconnected(10, workerID(0), "reset")

		Convey("a run that the agent still holds continues", func() {
			s.Connected(100, workerID(0), wire.Resume{Held: []gypsumtide.RunRef{ref}, Complete: true})
			s.HandleReport(120, workerID(0), wire.RunReport{Ref: ref, End: gypsumtide.EndDone, RunTime: 50})
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
		})
		Convey("an order that did not arrive is sent again", func() {
			s.Connected(30, workerID(0), wire.Resume{Complete: true})
			So(len(orderedRuns(s.TakeEffects())[workerID(0)]), ShouldEqual, 1)
		})
		// Guards against new reports that are dropped as duplicates: an ephemeral job whose
		// ends were dropped waited until its deadline, and a stored job forever (soak seed 24).
		Convey("reports of an agent that has removed the earlier ones are accepted", func() {
			So(s.AcceptReport(workerID(0), 7), ShouldBeTrue)
			s.BeginResume(workerID(0), wire.Resume{})
			So(s.AcceptReport(workerID(0), 1), ShouldBeTrue)
			So(s.AcceptReport(workerID(0), 1), ShouldBeFalse)
		})
		// Guards against a refusal of a job that had run: an entry was paused for a second,
		// and the agent had removed the entry's state and its reports (soak seed 7).
		Convey("an order that the agent no longer knows counts as possibly run", func() {
			s.Connected(1000, workerID(0), wire.Resume{})
			s.Tick(1500)
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
		Convey("nothing is started on another worker before the lease has expired", func() {
			s.Connected(20, workerID(1), wire.Resume{Complete: true})
			s.UpdateWorker(20, workerID(1), wire.WorkerReport{Incarnation: incarnationOf(1), Service: "stock", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 9999}, Accepting: true})
			s.Tick(1000)
			So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
			s.Tick(1110)
			So(len(orderedRuns(s.TakeEffects())[workerID(1)]), ShouldEqual, 1)
		})
		// Guards against two runs of a task: the new incarnation accepted orders while it was
		// still stopping the runs of the previous one (deploy/days/own-processes).
		Convey("after a restart of the agent, its earlier runs count as lost once the worker has none of them left", func() {
			id := WorkerID{Agent: "agent-0", Incarnation: "b"}
			s.Connected(200, id, wire.Resume{Complete: true})
			So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
			r := wire.WorkerReport{Incarnation: incarnationOf(0), Service: "stock", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 9999}, Accepting: true}
			s.UpdateWorker(210, id, r)
			So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
			r.EarlierRunsEnded = true
			s.UpdateWorker(240, id, r)
			So(len(orderedRuns(s.TakeEffects())[id]), ShouldEqual, 1)
		})
		Convey("a report that arrives twice is processed once", func() {
			So(s.AcceptReport(workerID(0), 1), ShouldBeTrue)
			So(s.AcceptReport(workerID(0), 1), ShouldBeFalse)
		})
	})

	// Guards against two runs of a task: the orders that replaced lost ones were also
	// counted as lost, in the same iteration over the agent's runs
	// (deploy/days/own-processes).
	Convey("Orders that did not arrive are sent again once each", t, func() {
		for range 50 { // The order of a map's keys is random.
			s := newTestState(1)
			s.Submit(0, submission("a", 10, 50, 0))
			So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 10)
			s.Disconnected(10, workerID(0), "reset")
			s.Connected(30, workerID(0), wire.Resume{Complete: true})
			again := make(map[gypsumtide.TaskName]int)
			for _, ref := range orderedRuns(s.TakeEffects())[workerID(0)] {
				again[ref.Task]++
			}
			So(again, ShouldHaveLength, 10)
			for _, n := range again {
				So(n, ShouldEqual, 1)
			}
		}
	})

	// Guards against a run number that the worker already knows from an earlier submission
	// of the job at another entry.
	Convey("An order with an old run number is sent again with a higher one", t, func() {
		s := newTestState(1)
		s.Submit(0, submission("a", 1, 50, 0))
		ref := orderedRuns(s.TakeEffects())[workerID(0)][0]
		s.HandleReport(3, workerID(0), wire.RunReport{Ref: ref, End: gypsumtide.EndNotStarted, Reason: runner.ReasonStaleRun})
		So(orderedRuns(s.TakeEffects())[workerID(0)][0].Number, ShouldBeGreaterThan, ref.Number+1)
	})
}
