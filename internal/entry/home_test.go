package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

const (
	complete = gypsumtide.OutcomeComplete
	failed   = gypsumtide.OutcomeFailed
	notRun   = gypsumtide.OutcomeNotRun
	unknown  = gypsumtide.OutcomeUnknown
	expired  = gypsumtide.OutcomeExpired
)

// stamped returns a new id that is age old.
func stamped(age gypsumtide.Millis) gypsumtide.SubmissionID {
	id, err := gypsumtide.NewSubmissionID()
	So(err, ShouldBeNil)
	at := id.Stamp() - age
	for i := range 6 {
		id[i] = byte(at >> (40 - 8*i))
	}
	return id
}

// homeCase is one fault or order of events at a home, with the answer expected.
type homeCase struct {
	name    string
	run     func(w *world) wire.Answer
	outcome gypsumtide.Outcome
	// problem is the type of the problem, empty for none.
	problem string
	moved   bool
}

func runCases(t *testing.T, cases []homeCase) {
	for _, c := range cases {
		Convey(c.name, t, func() {
			w := newWorld(t)
			a := c.run(w)
			So(a.Outcome, ShouldEqual, c.outcome)
			So(a.Moved, ShouldEqual, c.moved)
			if c.problem == "" {
				So(a.Problem, ShouldBeNil)
			} else {
				So(a.Problem, ShouldNotBeNil)
				So(a.Problem.Type, ShouldEqual, c.problem)
				So(a.Problem.Step, ShouldNotBeEmpty)
			}
			So(len(a.Results) > 0, ShouldEqual, c.outcome == complete)
		})
	}
}

// Guards against a second run of a known id, an answer for another job, and
// ids admitted that may have been forgotten.
func TestAdmission(t *testing.T) {
	other := func(req *wire.Job) *wire.Job {
		o := *req
		o.Team = "other"
		return &o
	}
	ofID := func(w *world, id gypsumtide.SubmissionID) wire.Answer {
		w.agent("a1", 1)
		req := w.job(1)
		req.Submission = id
		return w.answer(w.submit(req, 50))
	}
	runCases(t, []homeCase{
		{"resubmissions get the same answer", func(w *world) wire.Answer {
			a, req := w.agent("a1", 1), w.job(1)
			first := w.submit(req, 5_000)
			ref := a.dispatch(1)
			second := w.submit(req, 5_000)
			a.done(ref, "x")
			got := w.answer(first)
			So(w.answer(second), ShouldResemble, got)
			So(w.answer(w.submit(req, 5_000)), ShouldResemble, got)
			So(a.count(), ShouldEqual, 1)
			return got
		}, complete, "", false},
		{"another job under an id in progress", func(w *world) wire.Answer {
			req := w.job(1)
			w.agent("a1", 0)
			w.submit(req, 5_000)
			return w.answer(w.submit(other(req), 5_000))
		}, notRun, "submission-id-reused", false},
		{"another job under a recorded id", func(w *world) wire.Answer {
			a, req := w.agent("a1", 1), w.job(1)
			ch := w.submit(req, 5_000)
			a.done(a.dispatch(1), "x")
			w.answer(ch)
			return w.answer(w.submit(other(req), 5_000))
		}, notRun, "submission-id-reused", false},
		{"an id ahead", func(w *world) wire.Answer { return ofID(w, stamped(-60_000)) }, notRun, "id-ahead", false},
		{"an expired id", func(w *world) wire.Answer { return ofID(w, stamped(600_100)) }, expired, "expired", false},
		{"an id below the floor", func(w *world) wire.Answer {
			w.mu.Lock()
			w.table = submission.NewTable(1, 1)
			w.table.Add(stamped(500), 1, &wire.Answer{Outcome: failed}, 1)
			w.table.Add(stamped(100), 1, &wire.Answer{Outcome: failed}, 1)
			w.mu.Unlock()
			return ofID(w, stamped(1_000))
		}, expired, "expired", false},
		{"a job larger than every worker", func(w *world) wire.Answer {
			w.agent("a1", 1)
			req := w.job(2)
			req.Tasks[1].Size.Processors = 1001
			return w.answer(w.submit(req, 5_000))
		}, notRun, "unsatisfiable", false},
		{"a service that no upstream has", func(w *world) wire.Answer {
			w.agent("a1", 1)
			req := w.job(1)
			req.Service = "none"
			return w.answer(w.submit(req, 5_000))
		}, notRun, "unsatisfiable", false},
		{"no lease", func(w *world) wire.Answer {
			w.owner.set(func(o *fakeOwner) { o.lost = true })
			return w.answer(w.submit(w.job(1), 5_000))
		}, "", "", true},
	})
}

// Guards against a not-run answer for a job of which a task ran or may run, and
// against jobs that never end.
func TestClosing(t *testing.T) {
	cancelled := func(w *world, req *wire.Job) wire.Answer {
		a, ch := w.cancel(req.Submission)
		if ch == nil {
			return a
		}
		return w.answer(ch)
	}
	runCases(t, []homeCase{
		{"deadline with nothing sent", func(w *world) wire.Answer {
			w.agent("a1", 0)
			return w.answer(w.submit(w.job(2), 50))
		}, notRun, "deadline", false},
		{"deadline with a started task", func(w *world) wire.Answer {
			a := w.agent("a1", 2)
			ch := w.submit(w.job(2), 300)
			a.report(wire.Result{TaskRef: a.dispatch(1), State: wire.TaskRunning})
			return w.answer(ch)
		}, failed, "deadline", false},
		{"deadline with an unsettled dispatch", func(w *world) wire.Answer {
			a := w.agent("a1", 2)
			ch := w.submit(w.job(1), 100)
			a.asked(a.dispatch(1))
			return w.answer(ch)
		}, unknown, "deadline", false},
		{"deadline with a dispatch taken back", func(w *world) wire.Answer {
			a := w.agent("a1", 2)
			ch := w.submit(w.job(1), 100)
			ref := a.dispatch(1)
			a.asked(ref)
			a.notStarted(ref, wire.ReasonCancelled)
			return w.answer(ch)
		}, notRun, "deadline", false},
		// The next home learns from the agents what it started.
		{"deadline without the lease", func(w *world) wire.Answer {
			w.agent("a1", 0)
			ch := w.submit(w.job(1), 100)
			w.owner.set(func(o *fakeOwner) { o.lost = true })
			return w.answer(ch)
		}, "", "", true},
		{"deadline under a later epoch", func(w *world) wire.Answer {
			w.agent("a1", 0)
			ch := w.submit(w.job(1), 100)
			w.owner.set(func(o *fakeOwner) { o.epoch += 2 })
			return w.answer(ch)
		}, "", "", true},
		{"cancelled without the lease", func(w *world) wire.Answer {
			w.agent("a1", 0)
			req := w.job(1)
			ch := w.submit(req, 5_000)
			w.mu.Lock()
			w.owner.set(func(o *fakeOwner) { o.lost = true })
			w.close(w.jobs[req.Submission], &wire.Problem{Type: "cancelled", Step: "cancel"}, w.clock.Now())
			w.mu.Unlock()
			return w.answer(ch)
		}, unknown, "cancelled", false},
		{"a deadline that passed before the home was found", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			got := w.answer(w.submit(w.job(1), 0))
			So(a.count(), ShouldEqual, 0)
			return got
		}, notRun, "deadline", false},
		{"cancelled while waiting", func(w *world) wire.Answer {
			w.agent("a1", 0)
			req := w.job(1)
			ch := w.submit(req, 5_000)
			got := cancelled(w, req)
			So(w.answer(ch), ShouldResemble, got)
			return got
		}, notRun, "cancelled", false},
		{"cancelled with a started task", func(w *world) wire.Answer {
			a, req := w.agent("a1", 2), w.job(1)
			w.submit(req, 5_000)
			a.report(wire.Result{TaskRef: a.dispatch(1), State: wire.TaskRunning})
			w.until("the start", func() bool { return w.jobs[req.Submission].Started() })
			return cancelled(w, req)
		}, failed, "cancelled", false},
		{"cancelled with an unsettled dispatch", func(w *world) wire.Answer {
			a, req := w.agent("a1", 2), w.job(1)
			w.submit(req, 5_000)
			a.dispatch(1)
			return cancelled(w, req)
		}, unknown, "cancelled", false},
		{"a not-run id may be submitted again", func(w *world) wire.Answer {
			a, req := w.agent("a1", 0), w.job(1)
			So(w.answer(w.submit(req, 50)).Outcome, ShouldEqual, notRun)
			a.announce(1)
			ch := w.submit(req, 5_000)
			a.done(a.dispatch(1), "x")
			return w.answer(ch)
		}, complete, "", false},
		{"a task that its upstream fails", func(w *world) wire.Answer {
			a := w.agent("a1", 2)
			ch := w.submit(w.job(2), 5_000)
			a.report(wire.Result{TaskRef: a.dispatch(1), State: wire.TaskDone, Status: 500})
			return w.answer(ch)
		}, failed, "task-failed", false},
		{"the lease ends between admission and dispatch", func(w *world) wire.Answer {
			a := w.agent("a1", 0)
			ch := w.submit(w.job(1), 5_000)
			w.owner.set(func(o *fakeOwner) { o.lost = true })
			a.announce(1)
			time.Sleep(30 * time.Millisecond)
			w.owner.set(func(o *fakeOwner) { o.lost, o.epoch = false, 5 })
			time.Sleep(30 * time.Millisecond)
			So(a.count(), ShouldEqual, 0)
			w.release(func(_ gypsumtide.ShardID, epoch uint64) bool { return epoch == 5 })
			return w.answer(ch)
		}, "", "", true},
	})
}

// Guards against tasks that are lost, run twice or given a wrong outcome when
// sessions break, agents restart and tasks are handed back.
func TestSettling(t *testing.T) {
	// broken dispatches a task of a job to an agent, cuts the session and connects it again.
	broken := func(w *world) (a *fakeAgent, ref wire.TaskRef, ch <-chan wire.Answer) {
		a = w.agent("a1", 1)
		ch = w.submit(w.job(1), 5_000)
		ref = a.dispatch(1)
		a.lost()
		return a, ref, ch
	}
	cases := []homeCase{
		{"never received: moved elsewhere", func(w *world) wire.Answer {
			a, ref, ch := broken(w)
			b := w.agent("b1", 1)
			a.connect()
			a.asked(ref)
			a.notStarted(ref, wire.ReasonNeverReceived)
			a.announce(0)
			b.done(b.dispatch(1), "x")
			return w.answer(ch)
		}, complete, "", false},
		{"running: awaited", func(w *world) wire.Answer {
			a, ref, ch := broken(w)
			b := w.agent("b1", 1)
			a.connect()
			a.asked(ref)
			a.report(wire.Result{TaskRef: ref, State: wire.TaskRunning})
			w.until("the start", func() bool { return w.jobs[ref.Submission].Started() })
			So(b.count(), ShouldEqual, 0)
			a.done(ref, "x")
			return w.answer(ch)
		}, complete, "", false},
		{"running, then refused by the upstream: moved elsewhere", func(w *world) wire.Answer {
			a, ref, ch := broken(w)
			a.connect()
			a.asked(ref)
			a.report(wire.Result{TaskRef: ref, State: wire.TaskRunning})
			a.notStarted(ref, wire.ReasonRefused)
			a.announce(1)
			a.done(a.dispatch(2), "x")
			return w.answer(ch)
		}, complete, "", false},
		{"done: recorded", func(w *world) wire.Answer {
			a, ref, ch := broken(w)
			a.connect()
			a.asked(ref)
			a.done(ref, "x")
			return w.answer(ch)
		}, complete, "", false},
		{"the agent restarted", func(w *world) wire.Answer {
			_, _, ch := broken(w)
			w.agent("a2", 1)
			return w.answer(ch)
		}, unknown, "result-lost", false},
		{"the agent stays away", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			ch := w.submit(w.job(1), 60_000)
			a.dispatch(1)
			a.lost()
			w.clock.shift.Add(int64(agentAbsence) + 1)
			return w.answer(ch)
		}, unknown, "result-lost", false},
		{"a waiting job gets a restarted agent", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			// One task in the slot, one in the overcommit position.
			busy := w.submit(w.job(2), 5_000)
			a.dispatch(2)
			ch := w.submit(w.job(1), 5_000)
			b := w.agent("a2", 1)
			So(w.answer(busy).Outcome, ShouldEqual, unknown)
			b.done(b.dispatch(1), "x")
			return w.answer(ch)
		}, complete, "", false},
		{"results that match no open task", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			req := w.job(1)
			ch := w.submit(req, 5_000)
			ref := a.dispatch(1)
			stale, beyond, foreign := ref, ref, ref
			stale.Epoch--
			beyond.Task = 7
			foreign.Submission = stamped(0)
			for _, r := range []wire.TaskRef{stale, beyond, foreign} {
				a.done(r, "wrong")
			}
			a.done(ref, "right")
			a.done(ref, "late")
			got := w.answer(ch)
			So(string(got.Results[0].Body), ShouldEqual, "right")
			w.until("the late result", func() bool { return w.metrics.unmatched.Get() == 4 })
			So(w.answer(w.submit(req, 5_000)), ShouldResemble, got)
			return got
		}, complete, "", false},
		{"cancelled by the agent alone", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			ch := w.submit(w.job(1), 200)
			a.notStarted(a.dispatch(1), wire.ReasonCancelled)
			return w.answer(ch)
		}, notRun, "deadline", false},
	}
	for _, reason := range []string{
		wire.ReasonFenced, wire.ReasonCreditExpired, wire.ReasonRecalled, wire.ReasonNoUpstream, wire.ReasonDraining,
		wire.ReasonQueueFull, wire.ReasonNeverReceived, wire.ReasonRefused,
	} {
		cases = append(cases, homeCase{"handed back: " + reason, func(w *world) wire.Answer {
			a := w.agent("a1", 2)
			ch := w.submit(w.job(2), 5_000)
			// Many times, so that the retry budget is spent.
			for i := range 12 {
				a.notStarted(a.dispatch(i+1), reason)
			}
			seen := 12
			a.done(a.dispatch(seen+1), "x")
			a.done(a.dispatch(seen+2), "x")
			return w.answer(ch)
		}, complete, "", false})
	}
	runCases(t, cases)
}

// Guards against a second start and against a false outcome of a submission
// that an earlier home may have accepted.
func TestRecovery(t *testing.T) {
	doubt := func(candidates ...shard.RecoveryCandidate) func(o *fakeOwner) {
		return func(o *fakeOwner) { o.doubt, o.candidates = true, candidates }
	}
	a1 := shard.RecoveryCandidate{Incarnation: "a1", CanAnswer: true}
	b1 := shard.RecoveryCandidate{Incarnation: "b1", CanAnswer: true}
	task := func(i uint32, state wire.TaskState) wire.Result {
		return wire.Result{TaskRef: wire.TaskRef{Task: i, Epoch: 3}, State: state, Status: 200, Body: []byte("old")}
	}
	depart := func(w *world, complete bool, req *wire.Job) {
		a := w.agent("a1", 1)
		r := task(0, wire.TaskDone)
		r.Submission = req.Submission
		a.send(func(f *wire.Frame) {
			f.Departures, f.DeparturesComplete = []wire.Recovered{{Submission: req.Submission, Tasks: []wire.Result{r}}}, complete
		})
		w.until("the ledger", func() bool { return w.departed["a1"] != nil })
		a.lost()
		w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "a1"}))
	}
	runCases(t, []homeCase{
		{"all done", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 5_000)
			a.recovered(false, task(0, wire.TaskDone))
			got := w.answer(ch)
			So(string(got.Results[0].Body), ShouldEqual, "old")
			So(a.count(), ShouldEqual, 0)
			return got
		}, complete, "", false},
		{"nothing started", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 5_000)
			a.recovered(false)
			a.done(a.dispatch(1), "x")
			return w.answer(ch)
		}, complete, "", false},
		{"one running, one done, one not started", func(w *world) wire.Answer {
			a, b := w.agent("a1", 1), w.agent("b1", 1)
			w.owner.set(doubt(a1, b1))
			req := w.job(3)
			ch := w.submit(req, 5_000)
			a.recovered(false, task(0, wire.TaskRunning))
			time.Sleep(30 * time.Millisecond)
			So(a.count()+b.count(), ShouldEqual, 0)
			b.recovered(false, task(1, wire.TaskDone))
			ref := b.dispatch(1)
			So(ref.Task, ShouldEqual, 2)
			b.done(ref, "new")
			a.done(wire.TaskRef{Submission: req.Submission, Task: 0, Epoch: 3}, "awaited")
			got := w.answer(ch)
			So(string(got.Results[0].Body)+string(got.Results[1].Body)+string(got.Results[2].Body), ShouldEqual, "awaitedoldnew")
			return got
		}, complete, "", false},
		{"nothing started before the deadline", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 0)
			a.recovered(false)
			got := w.answer(ch)
			So(a.count(), ShouldEqual, 0)
			return got
		}, notRun, "deadline", false},
		{"a task started before the deadline", func(w *world) wire.Answer {
			a := w.agent("a1", 2)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(2), 0)
			a.recovered(false, task(0, wire.TaskRunning))
			got := w.answer(ch)
			So(a.count(), ShouldEqual, 0)
			return got
		}, failed, "deadline", false},
		{"a lost result", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 5_000)
			a.recovered(false, task(0, wire.TaskUnknown))
			return w.answer(ch)
		}, unknown, "outcome-unknown", false},
		{"an agent that is gone", func(w *world) wire.Answer {
			w.agent("a1", 1)
			w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "x1"}))
			return w.answer(w.submit(w.job(1), 5_000))
		}, unknown, "outcome-unknown", false},
		{"an agent that does not come back", func(w *world) wire.Answer {
			w.agent("a1", 1).lost()
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 60_000)
			w.clock.shift.Add(int64(recoveryWait) + 1)
			return w.answer(ch)
		}, unknown, "outcome-unknown", false},
		{"an agent that restarts while asked", func(w *world) wire.Answer {
			w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 5_000)
			w.agent("a2", 1)
			return w.answer(ch)
		}, unknown, "outcome-unknown", false},
		{"agents that nobody can name", func(w *world) wire.Answer {
			w.owner.set(func(o *fakeOwner) { o.doubt, o.incomplete = true, true })
			return w.answer(w.submit(w.job(1), 5_000))
		}, unknown, "outcome-unknown", false},
		{"unknown is not remembered", func(w *world) wire.Answer {
			a, req := w.agent("a1", 1), w.job(1)
			w.owner.set(doubt(a1, shard.RecoveryCandidate{Incarnation: "x1"}))
			So(w.answer(w.submit(req, 5_000)).Outcome, ShouldEqual, unknown)
			w.owner.set(doubt(a1))
			ch := w.submit(req, 5_000)
			a.recovered(false, task(0, wire.TaskDone))
			return w.answer(ch)
		}, complete, "", false},
		{"the deadline passes while asked", func(w *world) wire.Answer {
			w.agent("a1", 1)
			w.owner.set(doubt(a1))
			return w.answer(w.submit(w.job(1), 50))
		}, unknown, "outcome-unknown", false},
		{"a newer home", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 5_000)
			a.recovered(true)
			return w.answer(ch)
		}, "", "", true},
		{"refused after the lease was lost", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			req := w.job(1)
			req.Tasks[0].Size.Processors = 1001
			ch := w.submit(req, 5_000)
			w.owner.set(func(o *fakeOwner) { o.lost = true })
			a.recovered(false)
			return w.answer(ch)
		}, "", "", true},
		{"refused with the lease", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			req := w.job(1)
			req.Tasks[0].Size.Processors = 1001
			ch := w.submit(req, 5_000)
			a.recovered(false)
			return w.answer(ch)
		}, notRun, "unsatisfiable", false},
		{"a failed task of an earlier home", func(w *world) wire.Answer {
			a := w.agent("a1", 1)
			w.owner.set(doubt(a1))
			ch := w.submit(w.job(1), 5_000)
			r := task(0, wire.TaskDone)
			r.Status = 500
			a.recovered(false, r)
			return w.answer(ch)
		}, failed, "task-failed", false},
		{"a departed agent with its ledger", func(w *world) wire.Answer {
			req := w.job(1)
			depart(w, true, req)
			return w.answer(w.submit(req, 5_000))
		}, complete, "", false},
		// Guards against a home that took its shard over before the agent left, without
		// a session to it (seed 6 of TestSeeds).
		{"a departed agent whose ledger another entry passes on", func(w *world) wire.Answer {
			other, req := newWorld(w.t), w.job(1)
			depart(other, true, req)
			w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "a1"}))
			other.mu.Lock()
			passed := other.passedOn
			other.mu.Unlock()
			So(passed, ShouldNotBeEmpty)
			for i := range passed {
				w.receiveLedger("other", &passed[i])
			}
			return w.answer(w.submit(req, 5_000))
		}, complete, "", false},
		// Guards against a second start: a part that was lost with its session may name
		// the job.
		{"a departed agent of whose ledger only the last part was passed on", func(w *world) wire.Answer {
			w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "a1"}))
			w.receiveLedger("other", &wire.DepartedLedger{Agent: wire.DepartedAgent{Name: "a1", Incarnation: "a1"}, Part: 1, Complete: true})
			return w.answer(w.submit(w.job(1), 5_000))
		}, unknown, "outcome-unknown", false},
		{"a departed agent with a part of its ledger", func(w *world) wire.Answer {
			req := w.job(1)
			depart(w, false, req)
			return w.answer(w.submit(req, 5_000))
		}, unknown, "outcome-unknown", false},
		{"an id that a transfer proves new", func(w *world) wire.Answer {
			a, req := w.agent("a1", 1), w.job(1)
			w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "x1"}))
			w.receive(&wire.Transfer{Shard: req.Submission.Shard(), Epoch: 3, After: req.Submission.Stamp() - 1})
			ch := w.submit(req, 5_000)
			a.done(a.dispatch(1), "x")
			return w.answer(ch)
		}, complete, "", false},
		{"an id that a transfer names", func(w *world) wire.Answer {
			req := w.job(1)
			w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "x1"}))
			w.receive(&wire.Transfer{Shard: req.Submission.Shard(), Epoch: 3, After: 1, IDs: []gypsumtide.SubmissionID{req.Submission}})
			return w.answer(w.submit(req, 5_000))
		}, unknown, "outcome-unknown", false},
		{"a transfer of another epoch", func(w *world) wire.Answer {
			req := w.job(1)
			w.owner.set(doubt(shard.RecoveryCandidate{Incarnation: "x1"}))
			w.receive(&wire.Transfer{Shard: req.Submission.Shard(), Epoch: 2, After: 1})
			return w.answer(w.submit(req, 5_000))
		}, unknown, "outcome-unknown", false},
	})
	Convey("a transfer names every accepted and inherited id", t, func() {
		w := newWorld(t)
		a, done, open := w.agent("a1", 1), w.job(1), w.job(1)
		ch := w.submit(done, 5_000)
		a.done(a.dispatch(1), "x")
		w.answer(ch)
		s := done.Submission.Shard()
		for open.Submission.Shard() != s {
			open.Submission = stamped(0)
		}
		w.submit(open, 5_000)
		inherited := stamped(0)
		w.receive(&wire.Transfer{Shard: s, Epoch: 3, After: 5, IDs: []gypsumtide.SubmissionID{inherited}})
		got := w.transfer(s, 3, 100)
		So(got.Epoch, ShouldEqual, 4)
		So(got.After, ShouldEqual, 5)
		So(got.IDs, ShouldHaveLength, 3)
		for _, id := range []gypsumtide.SubmissionID{done.Submission, open.Submission, inherited} {
			So(got.IDs, ShouldContain, id)
		}
	})
}
