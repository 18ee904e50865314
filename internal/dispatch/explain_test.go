package dispatch

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/explain"
	"gypsumtide/internal/link"
	"gypsumtide/internal/wire"
)

// explainedOrders returns how many tasks of the explanation would be ordered at each worker.
func explainedOrders(e explain.Job) map[string]int {
	n := make(map[string]int)
	for _, step := range e.Steps {
		for _, t := range step.Tasks {
			if t.Ordered {
				n[t.Worker]++
			}
		}
	}
	return n
}

// sentOrders returns how many tasks have been ordered at each worker.
func sentOrders(s *State) map[string]int {
	n := make(map[string]int)
	for id, refs := range orderedRuns(s.TakeEffects()) {
		n[id.Agent] += len(refs)
	}
	return n
}

// newBusyRackState returns a State with workers on two racks, jobs that run, and a task that
// waits for a rack.
func newBusyRackState(log gypsumtide.DecisionLogger) *State {
	s := newRackState("r", "r", "q", "q")
	s.log = log
	fill(s, 0, 2, almostFull, 0)
	s.Submit(0, rackSubmission("running", 6, 200))
	s.Tick(5)
	s.Submit(6, rackSubmission("later", 4, 200))
	return s
}

// countingLogger counts decision lines.
type countingLogger struct{ lines int }

func (l *countingLogger) Decision(string, ...any) { l.lines++ }

// Guards against an explanation that changes the state: a job, load, queue, learned value,
// number, effect or decision line of its own would change later decisions.
func TestExplainChangesNothing(t *testing.T) {
	Convey("A state with many explanations equals one without, and behaves the same", t, func() {
		log, otherLog := &countingLogger{}, &countingLogger{}
		s, other := newBusyRackState(log), newBusyRackState(otherLog)
		limited := rackSubmission("limited", 4, 200)
		limited.Job.Steps[0].MaxPerWorker = 1
		limited.Job.Steps[0].Checkpointable = true
		for i := range 200 {
			s.Explain(7, rackSubmission(fmt.Sprint("x", i), 1+i%32, gypsumtide.Millis(10+i)), i%5 == 0)
			s.Explain(7, submission(fmt.Sprint("y", i), 1+i%32, 50, i%3), false)
			s.Explain(7, limited, false)
			s.Explain(7, rackSubmission("running", 6, 200), false)
		}
		So(log.lines, ShouldEqual, otherLog.lines)
		// Functions are only equal if they are nil, and two loggers have different counts later.
		rule, otherRule := s.locality.rule, other.locality.rule
		So(reflect.ValueOf(rule).Pointer(), ShouldEqual, reflect.ValueOf(otherRule).Pointer())
		s.locality.rule, other.locality.rule = nil, nil
		So(reflect.DeepEqual(s, other), ShouldBeTrue)
		s.locality.rule, other.locality.rule = rule, otherRule

		So(sentOrders(s), ShouldResemble, sentOrders(other))
		for now := gypsumtide.Millis(10); now < 400; now += 10 {
			for _, x := range []*State{s, other} {
				x.Tick(now)
				x.Submit(now, rackSubmission(fmt.Sprint("n", now), 3, 60))
			}
			So(s.TakeEffects(), ShouldResemble, other.TakeEffects())
		}
		So(log.lines, ShouldEqual, otherLog.lines)
	})

	Convey("The same submission afterwards goes where the explanation said", t, func() {
		for _, sub := range []Submission{submission("a", 8, 50, 0), submission("b", 32, 300, 1), rackSubmission("c", 20, 200), rackSubmission("d", 3, 20)} {
			s := newBusyRackState(discardLogger{})
			s.TakeEffects()
			e := s.Explain(7, sub, false)
			So(e.Admission.Admitted, ShouldBeTrue)
			So(explainedOrders(e), ShouldNotBeEmpty)
			s.Submit(7, sub)
			So(sentOrders(s), ShouldResemble, explainedOrders(e))
		}
	})

	Convey("A dispatcher explains without counting or submitting", t, func() {
		set := metrics.NewSet()
		d := New(Config{Name: "entry", Zone: "z", Lease: 1000}, &fixedClock{}, discardLogger{}, set, link.NewAddresses(nil, &fixedClock{}))
		before := set.ListMetricNames()
		So(d.Explain(submission("a", 1, 50, 0), false).Admission, ShouldNotBeNil)
		So(d.ExplainWorkers().Known, ShouldEqual, 0)
		So(d.Jobs(), ShouldEqual, 0)
		So(set.ListMetricNames(), ShouldResemble, before)
	})
}

// Guards against an explanation that tells another admission than a submission gets.
func TestExplainAdmission(t *testing.T) {
	explainThenSubmit := func(s *State, sub Submission) (explain.Job, Answer) {
		e := s.Explain(0, sub, false)
		s.Submit(0, sub)
		return e, s.TakeEffects().Answers[sub.Job.ID]
	}

	Convey("A job is admitted on idle workers, and refused with the same answer under load", t, func() {
		e, a := explainThenSubmit(newTestState(3), submission("a", 4, 50, 0))
		So(e.Admission, ShouldResemble, &explain.Admission{Admitted: true, Objective: 140, Deadline: 1500})
		So(*e.Steps[0].Wait, ShouldEqual, 0)
		So(a, ShouldResemble, Answer{})

		s := newTestState(3)
		fill(s, 0, 3, testCapacity, 4*testCapacity)
		e, a = explainThenSubmit(s, submission("a", 4, 50, 0))
		So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(e.Admission.Admitted, ShouldBeFalse)
		So(e.Admission.Reason, ShouldEqual, a.Reason)
		So(e.Admission.RetryAfter, ShouldEqual, a.RetryAfter)
		So(*e.Steps[0].Wait, ShouldBeGreaterThan, e.Steps[0].Allowed)
		So(e.Steps[0].Tasks, ShouldBeEmpty)
	})

	Convey("A job that only evacuated zones could serve is refused with the same answer", t, func() {
		s := newZonedState("a")
		s.SetEvacuations(0, evacuated(7, "a"))
		e, a := explainThenSubmit(s, submission("a", 1, 50, 0))
		So(e.Admission.Reason, ShouldEqual, reasonZoneEvacuated)
		So(a.Reason, ShouldEqual, reasonZoneEvacuated)
		So(e.Admission.RetryAfter, ShouldEqual, a.RetryAfter)
		So(e.Steps[0].Wait, ShouldBeNil)
		So(s.ExplainWorkers(), ShouldResemble, explain.Workers{Known: 1, Usable: 0, EvacuatedZones: []string{"a"}})
	})

	Convey("The id of a stored job is refused, that of an ephemeral one is in progress", t, func() {
		s := newTestState(2)
		s.Adopt(0, StoredJob{Job: submission("stored", 1, 50, 0).Job, Route: submission("stored", 1, 50, 0).Route})
		s.TakeEffects()
		e, a := explainThenSubmit(s, submission("stored", 1, 50, 0))
		So(e.Admission.Reason, ShouldEqual, a.Reason)
		s.Submit(0, submission("a", 1, 50, 0))
		So(s.Explain(0, submission("a", 1, 50, 0), false), ShouldResemble, explain.Job{ID: "a", InProgress: true})
	})

	Convey("A stored job is not subject to admission, and only its first steps are explained", t, func() {
		s := newTestState(2)
		sub := submission("a", maxExplainedTasks+2, 50, 0)
		sub.Job.Steps = append(sub.Job.Steps, gypsumtide.JobStep{Tasks: 1, After: []int{0}})
		e := s.Explain(0, sub, true)
		So(e.Admission, ShouldBeNil)
		So(e.Steps, ShouldHaveLength, 1)
		So(e.Steps[0].Tasks, ShouldHaveLength, maxExplainedTasks)
		So(e.Steps[0].OmittedTasks, ShouldEqual, 2)
	})
}

// Guards against workers that are left out for another reason than the one told.
func TestExplainLeftOut(t *testing.T) {
	Convey("Each worker that takes no task counts for one reason", t, func() {
		s := newTestState(8)
		reports := make([]wire.WorkerReport, 8)
		for i := range reports {
			reports[i] = zoneReport(i, "z", "gpu")
		}
		reports[0].Service = "other"
		reports[1].Capacity.Processors = 100
		reports[2].Labels = nil
		reports[3].Zone = "evacuated"
		reports[5].Accepting = false
		for i, r := range reports {
			s.UpdateWorker(0, workerID(i), r)
		}
		s.SetEvacuations(0, evacuated(1, "evacuated"))
		s.Disconnected(0, workerID(4), "closed")
		sub := submission("a", 3, 50, 0)
		sub.Job.Steps[0].Label, sub.Job.Steps[0].MaxPerWorker = "gpu", 1
		step := s.Explain(0, sub, false).Steps[0]
		So(step.LeftOut, ShouldResemble, explain.LeftOut{
			OtherService: 1, TooSmall: 1, LabelMissing: 1, ZoneEvacuated: 1, NotConnected: 1, NotAccepting: 1, LimitPerWorker: 2,
		})
		So(step.Accepting, ShouldEqual, 2)
		So(step.Tasks[0].Candidates, ShouldEqual, 2)
		So(step.Tasks[2].Candidates, ShouldEqual, 0)
		So(step.Tasks[2].Ordered, ShouldBeFalse)
		So(step.Tasks[2].Worker, ShouldBeEmpty)
	})
}

// Guards against an explanation that names another place than the decision about the rack.
func TestExplainRack(t *testing.T) {
	explainOne := func(s *State, estimate gypsumtide.Millis) explain.Task {
		return s.Explain(0, rackSubmission("a", 1, estimate), false).Steps[0].Tasks[0]
	}

	Convey("An idle rack is chosen, and a short wait pays for a long task", t, func() {
		s := newRackState("r", "q")
		So(explainOne(s, 50).Rack.OnRack, ShouldBeTrue)
		fill(s, 0, 1, almostFull, 0)
		task := explainOne(s, 300)
		So(task.Rack.OnRack, ShouldBeTrue)
		So(task.Rack.Comparison.RackWait, ShouldBeGreaterThan, 0)
		So(task.Rack.Comparison.RackEnd, ShouldBeLessThan, task.Rack.Comparison.ElsewhereEnd)
	})

	Convey("A long wait does not pay for a short task", t, func() {
		s := newRackState("r", "q")
		fill(s, 0, 1, testCapacity, testCapacity)
		task := explainOne(s, 50)
		So(task.Worker, ShouldEqual, workerID(1).Agent)
		So(task.Rack.OnRack, ShouldBeFalse)
		So(task.Rack.Comparison, ShouldNotBeNil)
	})

	Convey("Without a choice there is no comparison", t, func() {
		So(*explainOne(newRackState("q"), 50).Rack, ShouldResemble, explain.RackDecision{Rack: "r", Reason: "no worker of the rack accepts the task"})
		So(*explainOne(newRackState("r"), 50).Rack, ShouldResemble, explain.RackDecision{Rack: "r", OnRack: true, Reason: "only workers of the rack accept the task"})
	})
}

func BenchmarkExplain(b *testing.B) {
	s := newTestState(64)
	sub := submission("a", 8, 50, 0)
	for b.Loop() {
		s.Explain(0, sub, false)
	}
}

// Guards against an explanation that uses another rule than the one that decides: for the longest
// wait with which a job is admitted while tasks are queued, and for idle workers that are slow.
func TestExplainUsesTheRulesOfPlacement(t *testing.T) {
	Convey("The allowed wait is that of admission, also with a backlog", t, func() {
		s := newTestState(1)
		s.backlog.average = 1
		s.UpdateLoad(0, workerID(0), loadReport(testCapacity))
		e := s.Explain(0, submission("a", 1, 50, 0), false)
		So(e.Admission.Admitted, ShouldBeTrue)
		So(*e.Steps[0].Wait, ShouldBeGreaterThan, 0)
		So(*e.Steps[0].Wait, ShouldBeLessThanOrEqualTo, e.Steps[0].Allowed)
	})
	Convey("A task that would wait at the entry goes to an idle slow worker", t, func() {
		s := newTestState(2)
		s.UpdateLoad(0, workerID(0), loadReport(3*testCapacity))
		s.UpdateLoad(0, workerID(1), &wire.LoadReport{Slowness: 100})
		sub := submission("a", 1, 50, 0)
		e := s.Explain(0, sub, true)
		So(e.Steps[0].Tasks[0].Ordered, ShouldBeTrue)
		s.Adopt(0, StoredJob{Job: sub.Job, Route: sub.Route})
		So(s.jobs["a"].tasks[0].worker.Agent, ShouldEqual, e.Steps[0].Tasks[0].Worker)
	})
}
