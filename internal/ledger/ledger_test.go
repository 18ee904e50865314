package ledger

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// testClock is a clock that changes only when the test sets it.
type testClock struct{ now, wall gypsumtide.Millis }

func (c *testClock) Now() gypsumtide.Millis  { return c.now }
func (c *testClock) Wall() gypsumtide.Millis { return c.wall }

var testLimits = Limits{IDRetention: 600_000, ResultRetention: 60_000, ResultBytes: 4096}

const testWall = gypsumtide.Millis(1_800_000_000_000)

// testID returns an id with the given timestamp and number.
func testID(timestamp gypsumtide.Millis, n uint32) gypsumtide.SubmissionID {
	var id gypsumtide.SubmissionID
	for i := range 6 {
		id[i] = byte(timestamp >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	id[12], id[13], id[14], id[15] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	return id
}

func newTestLedger() (*Ledger, *testClock) {
	clock := &testClock{now: 1, wall: testWall}
	return New(clock, testLimits), clock
}

// step is an operation on the ledger and its expected answer in short form. The
// answer "done to 2 under 3" is a result for the home on session 2 under epoch 3. A
// number after "accepted" or after the epoch of a fence counts the discarded tasks.
// The answer to "recover" is the number of started tasks and whether the recovery
// was fenced.
type step struct {
	// op names the operation. "done", "lost" and "unstarted" finish the task, with
	// the states done, unknown and not-started.
	op    string
	epoch uint64
	// session is 0 if the operation has none.
	session uint64
	want    string
}

func (s step) run(l *Ledger, id gypsumtide.SubmissionID) string {
	ref := wire.TaskRef{Submission: id, Task: 1, Epoch: s.epoch}
	format := func(r wire.Result) string {
		if r.State == 0 {
			return "no answer"
		}
		return fmt.Sprintf("%s %s", r.State, r.Reason)
	}
	switch s.op {
	case "dispatch":
		accepted, r, discarded := l.Accept(ref, s.session, "")
		if accepted {
			return fmt.Sprint("accepted ", len(discarded))
		}
		return format(r)
	case "refuse":
		_, r, _ := l.Accept(ref, s.session, wire.ReasonQueueFull)
		return format(r)
	case "start":
		return fmt.Sprint(l.Start(ref))
	case "done", "lost", "unstarted":
		state := map[string]wire.TaskState{"done": wire.TaskDone, "lost": wire.TaskUnknown, "unstarted": wire.TaskNotStarted}[s.op]
		answer, err := l.Finish(wire.Result{TaskRef: ref, State: state, Reason: map[bool]string{true: "broken"}[s.op == "lost"]})
		if err != nil {
			return "error"
		}
		return fmt.Sprintf("%s to %d under %d", answer.Result().State, answer.Requester().Session(), answer.Result().Epoch)
	case "fence":
		highest, discarded := l.Fence(id.Shard(), s.epoch)
		return fmt.Sprint(highest, " ", len(discarded))
	case "recover":
		reply, _ := l.Recover(wire.RecoveryRequest{Submission: id, Shard: id.Shard(), Epoch: s.epoch}, s.session)
		return fmt.Sprint(len(reply.Tasks), " ", reply.Fenced)
	case "query":
		return format(l.Query(ref, s.session))
	case "recall":
		return format(l.Withdraw(ref, s.session, wire.ReasonRecalled))
	case "drop":
		answer, ok := l.Drop(ref, wire.ReasonDeadline)
		return fmt.Sprint(ok, " ", format(answer.Result()))
	}
	return "unknown operation"
}

// Guards against second starts, starts after a not-started answer or a fence, and
// false answers. Each case is one sequence of requests from homes.
func TestLedgerSequences(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"a task starts once and its state is reported", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"start", 1, 0, "true"}, {"start", 1, 0, "false"},
			{"dispatch", 1, 1, "running "}, {"dispatch", 2, 2, "running "}, {"done", 1, 0, "done to 2 under 2"},
			{"dispatch", 3, 3, "done "}, {"start", 3, 0, "false"},
		}},
		{"a lower epoch is fenced", []step{
			{"fence", 5, 0, "5 0"}, {"dispatch", 4, 1, "not-started fenced"}, {"start", 4, 0, "false"},
			{"dispatch", 5, 1, "accepted 0"}, {"fence", 3, 0, "5 0"},
		}},
		{"a fence discards queued tasks of lower epochs", []step{
			{"dispatch", 4, 1, "accepted 0"}, {"fence", 5, 0, "5 1"}, {"start", 4, 0, "false"},
			{"dispatch", 4, 9, "not-started fenced"}, {"dispatch", 5, 2, "accepted 0"}, {"start", 5, 0, "true"},
		}},
		{"a dispatch of a higher epoch replaces a queued one", []step{
			{"dispatch", 4, 1, "accepted 0"}, {"dispatch", 5, 2, "accepted 1"}, {"start", 4, 0, "false"}, {"start", 5, 0, "true"},
		}},
		// Guards against a refusal for a new home while a copy of an earlier home can still start.
		{"a refused dispatch of a higher epoch discards a queued one", []step{
			{"dispatch", 4, 1, "accepted 0"}, {"refuse", 5, 2, "not-started queue-full"}, {"start", 4, 0, "false"},
		}},
		{"a started task is never reported as fenced", []step{
			{"dispatch", 4, 1, "accepted 0"}, {"start", 4, 0, "true"}, {"fence", 6, 0, "6 0"},
			{"dispatch", 5, 2, "running "}, {"query", 4, 1, "running "}, {"done", 4, 0, "done to 2 under 5"},
		}},
		{"after a query of an unknown task, a delayed dispatch of an older session is refused", []step{
			{"query", 1, 2, "not-started never-received"}, {"dispatch", 1, 1, "not-started fenced"}, {"start", 1, 0, "false"},
			{"dispatch", 1, 2, "accepted 0"}, {"start", 1, 0, "true"},
		}},
		{"a query removes a queued task", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"query", 1, 2, "not-started never-received"}, {"start", 1, 0, "false"},
			{"dispatch", 2, 3, "accepted 0"}, {"start", 2, 0, "true"},
		}},
		{"a second query on a session is not answered", []step{
			{"query", 1, 2, "not-started never-received"}, {"query", 1, 2, "no answer"}, {"query", 1, 3, "not-started never-received"},
			{"query", 1, 2, "no answer"}, {"dispatch", 1, 2, "not-started fenced"}, {"dispatch", 1, 3, "accepted 0"},
		}},
		{"a recall removes only a queued task", []step{
			{"recall", 1, 1, "no answer"}, {"refuse", 1, 1, "not-started queue-full"}, {"recall", 1, 1, "no answer"},
			{"dispatch", 1, 1, "accepted 0"}, {"recall", 1, 1, "not-started recalled"}, {"recall", 1, 1, "no answer"},
			{"start", 1, 0, "false"}, {"dispatch", 1, 1, "accepted 0"}, {"start", 1, 0, "true"}, {"recall", 1, 1, "running "},
		}},
		{"a late recall of an older session does not remove the new dispatch", []step{
			{"query", 1, 2, "not-started never-received"}, {"dispatch", 1, 2, "accepted 0"}, {"recall", 1, 1, "no answer"},
			{"start", 1, 0, "true"},
		}},
		{"a replaced home cannot recall", []step{
			{"dispatch", 2, 2, "accepted 0"}, {"recall", 1, 9, "no answer"}, {"start", 2, 0, "true"}, {"recall", 1, 9, "no answer"},
		}},
		{"a task dropped at its deadline does not start", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"drop", 1, 0, "true not-started deadline"}, {"start", 1, 0, "false"},
			{"drop", 1, 0, "false no answer"}, {"dispatch", 1, 1, "accepted 0"},
		}},
		{"recovery lists started tasks, fences the rest and redirects the result", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"start", 1, 0, "true"}, {"recover", 3, 7, "1 false"},
			{"recover", 2, 8, "0 true"}, {"dispatch", 2, 8, "running "}, {"done", 1, 0, "done to 7 under 3"}, {"recover", 3, 9, "1 false"},
		}},
		{"recovery of an unknown submission fences it", []step{
			{"recover", 3, 7, "0 false"}, {"dispatch", 2, 1, "not-started fenced"}, {"dispatch", 3, 7, "accepted 0"},
		}},
		{"a task whose result is lost stays unknown", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"start", 1, 0, "true"}, {"lost", 1, 0, "unknown to 1 under 1"}, {"done", 1, 0, "error"},
			{"query", 1, 2, "unknown broken"}, {"dispatch", 2, 3, "unknown broken"}, {"start", 2, 0, "false"},
		}},
		{"a task that the upstream did not start can be dispatched again", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"start", 1, 0, "true"}, {"recover", 2, 5, "1 false"},
			{"unstarted", 1, 0, "not-started to 5 under 2"}, {"dispatch", 1, 9, "not-started fenced"}, {"dispatch", 2, 5, "accepted 0"},
		}},
		{"a repeated dispatch of a queued task is not answered and starts once", []step{
			{"dispatch", 1, 1, "accepted 0"}, {"dispatch", 1, 2, "no answer"}, {"start", 1, 0, "true"}, {"start", 1, 0, "false"}, {"done", 1, 0, "done to 2 under 1"},
		}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			l, _ := newTestLedger()
			id := testID(testWall, 1)
			for i, s := range c.steps {
				So(fmt.Sprint(i, " ", s.op, ": ", s.run(l, id)), ShouldEqual, fmt.Sprint(i, " ", s.op, ": ", s.want))
			}
		})
	}
}

// Guards against a second start of a task whose id has expired, also when the
// wall clock is set back, and against the removal of a running task.
func TestExpiredID(t *testing.T) {
	Convey("an id is refused once its tasks may have been removed", t, func() {
		l, clock := newTestLedger()
		finishedID, runningID := testID(testWall, 1), testID(testWall, 2)
		for _, id := range []gypsumtide.SubmissionID{finishedID, runningID} {
			ref := wire.TaskRef{Submission: id, Task: 1, Epoch: 1}
			accepted, _, _ := l.Accept(ref, 1, "")
			So(accepted, ShouldBeTrue)
			So(l.Start(ref), ShouldBeTrue)
		}
		_, err := l.Finish(wire.Result{TaskRef: wire.TaskRef{Submission: finishedID, Task: 1}, State: wire.TaskDone})
		So(err, ShouldBeNil)
		clock.now += testLimits.IDRetention
		clock.wall += testLimits.IDRetention
		l.Expire()
		So(l.TaskCount(), ShouldEqual, 2)
		clock.now += bucketMillis
		clock.wall += bucketMillis
		l.Expire()
		So(l.TaskCount(), ShouldEqual, 1)
		clock.wall = testWall
		ref := wire.TaskRef{Submission: finishedID, Task: 1, Epoch: 2}
		accepted, answer, _ := l.Accept(ref, 2, "")
		So(accepted, ShouldBeFalse)
		So(answer.State, ShouldEqual, wire.TaskUnknown)
		So(answer.Reason, ShouldEqual, ReasonIDExpired)
		So(l.Query(ref, 2).State, ShouldEqual, wire.TaskUnknown)
		reply, _ := l.Recover(wire.RecoveryRequest{Submission: finishedID, Epoch: 2}, 2)
		So(reply.Fenced, ShouldBeTrue)
		So(l.Query(wire.TaskRef{Submission: runningID, Task: 1, Epoch: 2}, 2).State, ShouldEqual, wire.TaskRunning)
	})
}

// Guards against an agent that refuses all new ids after its wall clock has jumped
// ahead and was corrected.
func TestWallClockJump(t *testing.T) {
	Convey("an id with the corrected time is accepted", t, func() {
		l, clock := newTestLedger()
		clock.now += 5000
		clock.wall += 10 * testLimits.IDRetention
		l.Expire()
		clock.now += 5000
		clock.wall = testWall + 10_000
		accepted, _, _ := l.Accept(wire.TaskRef{Submission: testID(clock.wall, 1), Epoch: 1}, 1, "")
		So(accepted, ShouldBeTrue)
	})
}

// Guards against results that exceed the byte limit or are dropped too early.
func TestResultRetention(t *testing.T) {
	finish := func(l *Ledger, n uint32, size int) wire.TaskRef {
		ref := wire.TaskRef{Submission: testID(testWall, n), Task: 1, Epoch: 1}
		accepted, _, _ := l.Accept(ref, 1, "")
		So(accepted && l.Start(ref), ShouldBeTrue)
		answer, err := l.Finish(wire.Result{TaskRef: ref, State: wire.TaskDone, Body: make([]byte, size)})
		So(err, ShouldBeNil)
		So(len(answer.Result().Body), ShouldEqual, size)
		return ref
	}
	Convey("the oldest results are dropped first at the byte limit", t, func() {
		l, _ := newTestLedger()
		first, second := finish(l, 1, 1500), finish(l, 2, 1500)
		third := finish(l, 3, 1500)
		So(l.RetainedBytes(), ShouldBeLessThanOrEqualTo, testLimits.ResultBytes)
		So(l.Query(first, 2).State, ShouldEqual, wire.TaskUnknown)
		So(l.Query(second, 2).State, ShouldEqual, wire.TaskDone)
		So(l.Query(third, 2).State, ShouldEqual, wire.TaskDone)
		huge := finish(l, 4, 2*testLimits.ResultBytes)
		So(l.Query(huge, 2).State, ShouldEqual, wire.TaskUnknown)
		So(l.RetainedBytes(), ShouldEqual, 0)
	})
	Convey("a result is dropped after its retention period", t, func() {
		l, clock := newTestLedger()
		ref := finish(l, 1, 10)
		clock.now += testLimits.ResultRetention - 1
		l.Expire()
		So(l.Query(ref, 2).State, ShouldEqual, wire.TaskDone)
		clock.now++
		l.Expire()
		So(l.Query(ref, 2).State, ShouldEqual, wire.TaskUnknown)
		So(l.Query(ref, 2).Reason, ShouldEqual, ReasonResultDropped)
	})
}

// Guards against growth of the memory that an id uses until it expires: 77 starts
// a second for 10 min are 46,000 ids, and the budget is 64 MB.
func TestBytesPerID(t *testing.T) {
	const n = 50_000
	limits := testLimits
	limits.ResultBytes = 0
	l := New(&testClock{now: 1, wall: testWall}, limits)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range uint32(n) {
		ref := wire.TaskRef{Submission: testID(testWall, i), Task: 1, Epoch: 1}
		l.Accept(ref, 1, "")
		l.Start(ref)
		if _, err := l.Finish(wire.Result{TaskRef: ref, State: wire.TaskDone}); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perID := (after.HeapAlloc - before.HeapAlloc) / n
	t.Logf("%d bytes per id with one task", perID)
	if perID > 300 {
		t.Errorf("%d bytes per id, want at most 300", perID)
	}
	runtime.KeepAlive(l)
}

func BenchmarkAcceptStartFinish(b *testing.B) {
	l := New(&testClock{now: 1, wall: testWall}, testLimits)
	b.ReportAllocs()
	for i := range b.N {
		ref := wire.TaskRef{Submission: testID(testWall, uint32(i)), Task: 1, Epoch: 1}
		l.Accept(ref, 1, "")
		l.Start(ref)
		_, _ = l.Finish(wire.Result{TaskRef: ref, State: wire.TaskDone})
	}
}
