package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// silent drops decision lines.
type silent struct{}

func (silent) Decision(string, ...any) {}

var testTiming = Timing{ResumeGrace: 450, LostRun: 1100}

const testCapacity = 16000

func workerID(n int) WorkerID { return WorkerID{Agent: fmt.Sprint("agent-", n), Incarnation: "a"} }

func lifeOf(n int) gypsumtide.Incarnation {
	return gypsumtide.Incarnation{ID: fmt.Sprint("w-", n), StartTime: 1}
}

func loadReport(booked int64) *wire.LoadReport {
	return &wire.LoadReport{Booked: wire.SizeRow{Processors: booked}, Slowness: 1}
}

// newTestState returns a State with n idle workers, long after its start.
func newTestState(n int) *State {
	s := NewState(-10_000, "z", 1.5, testTiming, silent{})
	for i := range n {
		s.Connected(0, workerID(i), wire.Resume{Complete: true})
		s.Observe(0, workerID(i), wire.WorkerReport{
			Incarnation: lifeOf(i), Service: "stock", Zone: "z", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Accepting: true,
		})
		s.ObserveLoad(0, workerID(i), loadReport(0))
	}
	s.Take()
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

// ordered returns the refs of the orders for each worker.
func ordered(e Effects) map[WorkerID][]gypsumtide.RunRef {
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
			s.Report(now, id, r)
		}
	}
}

func TestSubmit(t *testing.T) {
	Convey("A job ends when all its tasks are done", t, func() {
		s := newTestState(3)
		s.Submit(0, submission("a", 8, 50, 0))
		orders := ordered(s.Take())
		reportAll(s, 60, orders, wire.RunReport{End: gypsumtide.EndDone, RunTime: 50})
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
		So(s.Jobs(), ShouldEqual, 0)
	})

	// Load pattern: a wide job on idle workers ends with its slowest task, so its
	// tasks must not share one worker.
	Convey("The tasks of a wide job are spread", t, func() {
		s := newTestState(8)
		s.Submit(0, submission("a", 8, 50, 0))
		for _, refs := range ordered(s.Take()) {
			So(len(refs), ShouldBeLessThanOrEqualTo, 2)
		}
	})

	// Load pattern: thousands of workers. Comparing all of them for each task took
	// most of an entry's processor time.
	Convey("Among many workers a choice compares a bounded number, and finds the only one that suits", t, func() {
		const workers = 1000
		s := newTestState(workers)
		chosen := make(map[WorkerID]bool)
		for i := range 100 {
			s.Submit(0, submission(fmt.Sprintf("%016x", i), 1, 50, 0))
			c := s.choose(s.jobs[fmt.Sprintf("%016x", i)].tasks[0])
			So(c.candidates, ShouldEqual, maxCandidates)
			for id := range ordered(s.Take()) {
				chosen[id] = true
			}
		}
		So(len(chosen), ShouldBeGreaterThan, 80)
		only := workerID(workers / 2)
		s.Observe(0, only, wire.WorkerReport{
			Incarnation: lifeOf(workers / 2), Service: "stock", Labels: []string{"rare"}, Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Accepting: true,
		})
		sub := submission("rare", 1, 50, 0)
		sub.Job.Steps[0].Label = "rare"
		s.Submit(0, sub)
		So(ordered(s.Take())[only], ShouldHaveLength, 1)
	})

	// Load pattern: entries that see the same loads choose before the next report.
	Convey("Two entries do not choose the same worker for different jobs", t, func() {
		chosen := make(map[WorkerID]int)
		for i := range 64 {
			s := newTestState(8)
			s.Submit(0, submission(fmt.Sprintf("%016x", i), 1, 50, 0))
			for id := range ordered(s.Take()) {
				chosen[id]++
			}
		}
		So(len(chosen), ShouldEqual, 8)
		for _, n := range chosen {
			So(n, ShouldBeLessThan, 24)
		}
	})

	Convey("A failed task is tried elsewhere, until its attempts are used up", t, func() {
		s := newTestState(3)
		s.Submit(0, submission("a", 1, 50, 0))
		var before WorkerID
		for attempt := 1; attempt <= 3; attempt++ {
			orders := ordered(s.Take())
			So(len(orders), ShouldEqual, 1)
			for id := range orders {
				So(id, ShouldNotResemble, before)
				before = id
			}
			reportAll(s, gypsumtide.Millis(attempt*10), orders, wire.RunReport{End: gypsumtide.EndFailed, RunTime: 5})
		}
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeFailed)
	})

	Convey("A step starts when the steps that it depends on are done", t, func() {
		s := newTestState(2)
		sub := submission("a", 1, 20, 0)
		sub.Job.Steps = append(sub.Job.Steps, gypsumtide.JobStep{Tasks: 2, Size: sub.Job.Steps[0].Size, Estimate: 20, After: []int{0}})
		s.Submit(0, sub)
		first := ordered(s.Take())
		So(len(first), ShouldEqual, 1)
		reportAll(s, 20, first, wire.RunReport{End: gypsumtide.EndDone, RunTime: 20})
		second := ordered(s.Take())
		reportAll(s, 40, second, wire.RunReport{End: gypsumtide.EndDone, RunTime: 20})
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
	})
}

func TestRefusal(t *testing.T) {
	Convey("A job that cannot end before its deadline is refused at once", t, func() {
		s := newTestState(3)
		s.Submit(0, submission("a", 1, 5000, 0))
		a := s.Take().Answers["a"]
		So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(a.RetryAfter, ShouldBeGreaterThan, 0)
	})

	Convey("A job too large for every worker is refused at once", t, func() {
		s := newTestState(3)
		sub := submission("a", 1, 50, 0)
		sub.Job.Steps[0].Size.Processors = testCapacity + 1
		s.Submit(0, sub)
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
	})

	// Load pattern: a crest above the capacity. A job that cannot meet its objective
	// takes room from jobs that could.
	Convey("At a crest a job is refused at once, unless less urgent work waits ahead of it", t, func() {
		s := newTestState(1)
		r := loadReport(testCapacity)
		r.Waiting = []wire.WaitingLoad{{Priority: 1, Size: wire.SizeRow{Processors: 3 * testCapacity}}}
		s.ObserveLoad(0, workerID(0), r)
		s.Submit(0, submission("low", 1, 50, 1))
		s.Submit(0, submission("high", 1, 50, 0))
		e := s.Take()
		So(e.Answers["low"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(e.Answers["high"].Outcome, ShouldBeEmpty)
	})

	// Guards against a refusal that is not true.
	Convey("A refusal waits until no order can start any more", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 2, 50, 0))
		orders := ordered(s.Take())
		reportAll(s, 2, orders, wire.RunReport{Queued: true})
		full := loadReport(testCapacity)
		for i := range 2 {
			s.ObserveLoad(80, workerID(i), full)
		}
		refs, ids := []gypsumtide.RunRef{}, []WorkerID{}
		for id, list := range orders {
			for _, ref := range list {
				refs, ids = append(refs, ref), append(ids, id)
			}
		}
		s.Report(90, ids[0], wire.RunReport{Ref: refs[0], End: gypsumtide.EndNotStarted, Reason: "expired"})
		So(s.Take().Answers, ShouldBeEmpty)

		Convey("and is given then", func() {
			s.Report(95, ids[1], wire.RunReport{Ref: refs[1], End: gypsumtide.EndNotStarted, Reason: "recalled"})
			So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		})
		Convey("and is withdrawn if one has started", func() {
			s.Report(95, ids[1], wire.RunReport{Ref: refs[1], Started: true})
			So(s.Take().Answers, ShouldBeEmpty)
			s.Report(96, ids[1], wire.RunReport{Ref: refs[1], End: gypsumtide.EndStopped})
			So(s.Take().Answers, ShouldBeEmpty)
			s.Tick(1500)
			So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
	})

	// Load pattern: all hosts return after a loss of power, and callers arrive first.
	Convey("A starting entry waits for agents before it refuses", t, func() {
		s := NewState(0, "z", 1.5, testTiming, silent{})
		s.Submit(10, submission("a", 1, 50, 0))
		So(s.Take().Answers, ShouldBeEmpty)
		s.Tick(2000)
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		s.Submit(4000, submission("b", 1, 50, 0))
		So(s.Take().Answers["b"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
	})
}

func TestMoves(t *testing.T) {
	// Load pattern: several entries choose the same worker before its next report.
	Convey("An order that waits is recalled when another worker has room", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 50, 0))
		orders := ordered(s.Take())
		reportAll(s, 2, orders, wire.RunReport{Queued: true})
		for id := range orders {
			s.ObserveLoad(3, id, loadReport(testCapacity))
		}
		s.Tick(20)
		recalls := 0
		for _, m := range s.Take().Messages {
			recalls += len(m.Recalls)
		}
		So(recalls, ShouldEqual, 1)
		reportAll(s, 22, orders, wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "recalled"})
		next := ordered(s.Take())
		So(len(next), ShouldEqual, 1)
		for id := range next {
			So(orders, ShouldNotContainKey, id)
		}
	})

	// Load pattern: a worker whose tasks stand still while others go on.
	Convey("A run on a worker that stands still is stopped and tried elsewhere", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 50, 0))
		orders := ordered(s.Take())
		s.Tick(20)
		for id := range orders {
			r := loadReport(1600)
			r.Slowness = 6
			s.ObserveLoad(200, id, r)
		}
		s.Tick(210)
		stops := 0
		for _, m := range s.Take().Messages {
			stops += len(m.Stops)
		}
		So(stops, ShouldEqual, 1)
		reportAll(s, 215, orders, wire.RunReport{End: gypsumtide.EndStopped})
		for id := range ordered(s.Take()) {
			So(orders, ShouldNotContainKey, id)
		}
	})

	// Load pattern: a worker begins to hang, and its load falls with every run that
	// is moved away, so that it looks best.
	Convey("A run that makes no progress is moved, also from the emptiest worker", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 50, 0))
		orders := ordered(s.Take())
		for _, id := range []WorkerID{workerID(0), workerID(1)} {
			if _, ok := orders[id]; !ok {
				s.ObserveLoad(30, id, loadReport(testCapacity*9/10))
			}
		}
		reportAll(s, 45, orders, wire.RunReport{Remaining: 4000, Stalled: true})
		e := s.Take()
		So(e.Answers, ShouldBeEmpty)
		for id := range orders {
			So(e.Messages[id].Stops, ShouldHaveLength, 1)
		}
		reportAll(s, 50, orders, wire.RunReport{End: gypsumtide.EndStopped})
		for id := range ordered(s.Take()) {
			So(orders, ShouldNotContainKey, id)
		}
	})

	// Load pattern: a crest at which every worker has a queue. An order at an
	// agent cannot go to the worker that has room first.
	Convey("At full workers tasks wait at the entry and go out in order of priority", t, func() {
		s := newTestState(2)
		full := loadReport(testCapacity)
		full.Waiting = []wire.WaitingLoad{{Size: wire.SizeRow{Processors: testCapacity / 4}}}
		for n := range 2 {
			s.ObserveLoad(0, workerID(n), full)
		}
		s.Submit(0, submission("low", 1, 500, 1))
		s.Submit(1, submission("high", 1, 500, 0))
		So(ordered(s.Take()), ShouldBeEmpty)
		s.ObserveLoad(2, workerID(1), loadReport(testCapacity-1600))
		s.Tick(10)
		orders := ordered(s.Take())
		So(orders[workerID(1)], ShouldNotBeEmpty)
		So(orders[workerID(1)][0].Task.Job, ShouldEqual, "high")
	})

	// Load pattern: a crest beside slow workers that nobody chooses.
	Convey("Before a refusal a worker with room is used, however slow, if the answer is still useful", t, func() {
		for _, c := range []struct {
			slowness float32
			refused  bool
		}{{2.5, false}, {9, true}} {
			s := newTestState(2)
			full := loadReport(testCapacity)
			full.Waiting = []wire.WaitingLoad{{Size: wire.SizeRow{Processors: testCapacity}}}
			idle := loadReport(0)
			idle.Slowness = c.slowness
			s.Submit(0, submission("a", 1, 300, 0))
			orders := ordered(s.Take())
			s.ObserveLoad(1, workerID(0), full)
			s.ObserveLoad(1, workerID(1), idle)
			reportAll(s, 350, orders, wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "expired"})
			e := s.Take()
			So(e.Answers["a"].Outcome == gypsumtide.OutcomeNotRun, ShouldEqual, c.refused)
			So(len(ordered(e)[workerID(1)]) == 1, ShouldEqual, !c.refused)
		}
	})

	Convey("A run that cannot end in time on any worker is given up at once", t, func() {
		s := newTestState(2)
		s.Submit(0, submission("a", 1, 500, 0))
		orders := ordered(s.Take())
		reportAll(s, 100, orders, wire.RunReport{Remaining: 5000})
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
	})

	// Guards against choices that follow the errors of the callers' estimates.
	Convey("Speeds follow from the tasks of one job, whatever its estimate", t, func() {
		s := newTestState(2)
		for n := range 60 {
			id := fmt.Sprintf("%016x", n)
			s.Submit(gypsumtide.Millis(n*100), submission(id, 16, 50, 0))
			for w, refs := range ordered(s.Take()) {
				ran := gypsumtide.Millis(200)
				if w == workerID(0) {
					ran = 300
				}
				for _, ref := range refs {
					s.Report(gypsumtide.Millis(n*100+50), w, wire.RunReport{Ref: ref, End: gypsumtide.EndDone, RunTime: ran})
				}
			}
			s.Take()
		}
		So(s.workers[workerID(0)].slowness/s.workers[workerID(1)].slowness, ShouldAlmostEqual, 1.5, 0.15)
	})
}

// Load pattern: hundreds of callers are refused in the same moment. They must not
// all return in the same moment.
func TestRetryAfter(t *testing.T) {
	Convey("Refused callers are told different times to return", t, func() {
		s := newTestState(1)
		s.ObserveLoad(0, workerID(0), loadReport(20*testCapacity))
		seconds := make(map[gypsumtide.Millis]int)
		for i := range 300 {
			s.Submit(0, submission(fmt.Sprintf("%016x", i), 1, 50, 0))
		}
		for _, a := range s.Take().Answers {
			So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
			So(a.RetryAfter, ShouldBeBetweenOrEqual, retryAfter, retryAfter+retrySpread)
			seconds[(a.RetryAfter-retryAfter)*4/retrySpread]++
		}
		So(seconds, ShouldHaveLength, 4)
		for _, n := range seconds {
			So(n, ShouldBeGreaterThan, 45)
		}
	})
}

func TestLostAgent(t *testing.T) {
	Convey("Given a job on an agent whose session breaks", t, func() {
		s := newTestState(1)
		s.Submit(0, submission("a", 1, 50, 0))
		ref := ordered(s.Take())[workerID(0)][0]
		s.Disconnected(10, workerID(0), "reset")

		Convey("a run that the agent still holds goes on", func() {
			s.Connected(100, workerID(0), wire.Resume{Held: []gypsumtide.RunRef{ref}, Complete: true})
			s.Report(120, workerID(0), wire.RunReport{Ref: ref, End: gypsumtide.EndDone, RunTime: 50})
			So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
		})
		Convey("an order that did not arrive is given again", func() {
			s.Connected(30, workerID(0), wire.Resume{Complete: true})
			So(len(ordered(s.Take())[workerID(0)]), ShouldEqual, 1)
		})
		// Guards against reports that are taken for repeats: a job whose ends were
		// dropped waited until its deadline, and a stored job for ever (soak seed 24).
		Convey("reports of an agent that has forgotten the earlier ones count", func() {
			So(s.New(workerID(0), 7), ShouldBeTrue)
			s.Opening(workerID(0), wire.Resume{})
			So(s.New(workerID(0), 1), ShouldBeTrue)
			So(s.New(workerID(0), 1), ShouldBeFalse)
		})
		// Guards against a refusal of a job that had run: an entry was paused for a
		// second, and the agent had forgotten it with its reports (soak seed 7).
		Convey("an order that the agent has forgotten may have run", func() {
			s.Connected(1000, workerID(0), wire.Resume{})
			s.Tick(1500)
			So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
		Convey("nothing is started elsewhere before the lease has expired", func() {
			s.Connected(20, workerID(1), wire.Resume{Complete: true})
			s.Observe(20, workerID(1), wire.WorkerReport{Incarnation: lifeOf(1), Service: "stock", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 9999}, Accepting: true})
			s.Tick(1000)
			So(ordered(s.Take()), ShouldBeEmpty)
			s.Tick(1110)
			So(len(ordered(s.Take())[workerID(1)]), ShouldEqual, 1)
		})
		// Guards against two runs of a task: the new incarnation took orders while it
		// was still stopping the runs of the one before (deploy/days/own-processes).
		Convey("a new incarnation of the agent ends its runs when nothing is left of them", func() {
			id := WorkerID{Agent: "agent-0", Incarnation: "b"}
			s.Connected(200, id, wire.Resume{Complete: true})
			So(ordered(s.Take()), ShouldBeEmpty)
			r := wire.WorkerReport{Incarnation: lifeOf(0), Service: "stock", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 9999}, Accepting: true}
			s.Observe(210, id, r)
			So(ordered(s.Take()), ShouldBeEmpty)
			r.EarlierRunsEnded = true
			s.Observe(240, id, r)
			So(len(ordered(s.Take())[id]), ShouldEqual, 1)
		})
		Convey("a report that arrives twice counts once", func() {
			So(s.New(workerID(0), 1), ShouldBeTrue)
			So(s.New(workerID(0), 1), ShouldBeFalse)
		})
	})

	// Guards against two runs of a task: the orders that replaced lost ones were
	// taken for lost as well, in the same pass over the runs of the agent
	// (deploy/days/own-processes).
	Convey("Orders that did not arrive are given again once each", t, func() {
		for range 50 { // The order of a map's keys is random.
			s := newTestState(1)
			s.Submit(0, submission("a", 10, 50, 0))
			So(ordered(s.Take())[workerID(0)], ShouldHaveLength, 10)
			s.Disconnected(10, workerID(0), "reset")
			s.Connected(30, workerID(0), wire.Resume{Complete: true})
			again := make(map[gypsumtide.TaskName]int)
			for _, ref := range ordered(s.Take())[workerID(0)] {
				again[ref.Task]++
			}
			So(again, ShouldHaveLength, 10)
			for _, n := range again {
				So(n, ShouldEqual, 1)
			}
		}
	})

	// Guards against a run number that the worker has seen from an earlier
	// submission of the job at another entry.
	Convey("An order with an old run number is repeated with a higher one", t, func() {
		s := newTestState(1)
		s.Submit(0, submission("a", 1, 50, 0))
		ref := ordered(s.Take())[workerID(0)][0]
		s.Report(3, workerID(0), wire.RunReport{Ref: ref, End: gypsumtide.EndNotStarted, Reason: runner.ReasonOldRun})
		So(ordered(s.Take())[workerID(0)][0].Number, ShouldBeGreaterThan, ref.Number+1)
	})
}
