package stored

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
	"gypsumtide/internal/group"
)

// testManager is a running PartitionManager with a fake Executor.
type testManager struct {
	*PartitionManager
	executor *fakeExecutor
	stop     func()
}

// startManager runs a PartitionManager until the test ends.
func startManager(t testing.TB, log *memoryLog, member string) *testManager {
	executor := newFakeExecutor()
	m := NewPartitionManager(Config{Member: member, OrphanedRunTimeout: 1000}, log, executor, gypsumtide.NewSystemClock(), discardLogger{}, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	inUse := make(chan struct{})
	close(inUse)
	ended := group.Go(ctx, func(ctx context.Context) error { return m.Run(ctx, inUse) })
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(stop)
	return &testManager{m, executor, stop}
}

// startOwner runs a PartitionManager that owns all partitions.
func startOwner(t testing.TB, log *memoryLog, member string) *testManager {
	log.assign(member)
	m := startManager(t, log, member)
	m.waitFor("partitions", func() bool { return len(m.ServedPartitions()) == log.partitionCount })
	return m
}

func (m *testManager) waitFor(what string, condition func() bool) {
	deadline := time.Now().Add(6 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			panic("timed out waiting for " + what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *testManager) submit(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	j := testJob(id, 1)
	return m.Submit(ctx, j.request, j.route)
}

// end reports the first task of a step as done.
func (m *testManager) end(id string, step int) {
	m.Record(dispatch.Progress{Started: []string{id}, Ends: []dispatch.TaskEnd{taskEnd(id, step, 0, gypsumtide.EndDone)}})
}

// Guards against accepted jobs that are lost or run by two owners, ends that are confirmed
// without a record, and partitions that are kept after the membership has expired.
func TestPartitionManager(t *testing.T) {
	Convey("A job is accepted once it is recorded, and submitting it again with the same id succeeds", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		So(m.submit("a"), ShouldBeNil)
		So(log.value("a"), ShouldNotBeNil)
		_, ok := m.executor.adoptedJob("a")
		So(ok, ShouldBeTrue)
		So(m.submit("a"), ShouldBeNil)
		So(m.QueuedByRoute(), ShouldResemble, map[string]int{"r": 1})
		state, err := m.knownState("a")
		So(state, ShouldEqual, gypsumtide.JobPending)
		So(err, ShouldBeNil)

		Convey("It is complete when the ends of all its tasks are recorded", func() {
			m.end("a", 0)
			m.waitFor("the record", func() bool { n, _, _ := m.executor.counts(); return n == 1 })
			state, _ = m.knownState("a")
			So(state, ShouldEqual, gypsumtide.JobRunning)
			So(m.QueuedByRoute(), ShouldBeEmpty)
			m.end("a", 1)
			m.waitFor("the final state", func() bool { s, _ := m.knownState("a"); return s == gypsumtide.JobComplete })
			// The job can no longer be cancelled.
			state, err = m.Cancel(context.Background(), "a")
			So(state, ShouldEqual, gypsumtide.JobComplete)
			So(err, ShouldBeNil)
		})

		Convey("It can be cancelled", func() {
			state, err = m.Cancel(context.Background(), "a")
			So(state, ShouldEqual, gypsumtide.JobCancelled)
			So(err, ShouldBeNil)
			_, closed, _ := m.executor.counts()
			So(closed, ShouldEqual, 1)
			state, _ = m.Cancel(context.Background(), "b")
			So(state, ShouldBeEmpty)
		})
	})

	// Guards against jobs that are reported as refused although they are accepted, at once
	// or later.
	Convey("A job that the log refuses is not accepted", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		log.setAppendFailure(func() (error, bool) { return gypsumtide.ErrNotAppended, false })
		So(errors.Is(m.submit("a"), gypsumtide.ErrNotAppended), ShouldBeTrue)
		log.setAppendFailure(func() (error, bool) { return nil, true })
		state, err := m.knownState("a")
		So(state, ShouldBeEmpty)
		So(err, ShouldBeNil)
		So(m.submit("b"), ShouldBeNil)
		So(log.value("a"), ShouldBeNil)
	})

	Convey("An append without an answer is retried until its result is known", t, func() {
		for _, written := range []bool{true, false} {
			log := newMemoryLog()
			m := startOwner(t, log, "one")
			failures := 0
			log.setAppendFailure(func() (error, bool) {
				if failures++; failures <= 3 {
					return errNoAnswer, written
				}
				return nil, true
			})
			So(m.submit("a"), ShouldBeNil)
			So(m.submit("b"), ShouldBeNil)
			So(log.value("a"), ShouldNotBeNil)
			m.stop()
		}
	})

	// Guards against an end that takes effect although it is not in the log, so that the
	// next owner does not know it.
	Convey("The end of a task is confirmed only once it is recorded", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		So(m.submit("a"), ShouldBeNil)
		log.setAppendFailure(func() (error, bool) { return errNoAnswer, false })
		m.end("a", 0)
		time.Sleep(150 * time.Millisecond)
		recorded, _, _ := m.executor.counts()
		So(recorded, ShouldEqual, 0)
		log.setAppendFailure(func() (error, bool) { return nil, true })
		m.waitFor("the record", func() bool { n, _, _ := m.executor.counts(); return n == 1 })
	})

	Convey("The next owner continues the jobs, and the former owner can record nothing more", t, func() {
		log := newMemoryLog()
		one := startOwner(t, log, "one")
		So(one.submit("a"), ShouldBeNil)
		one.end("a", 0)
		one.waitFor("the record", func() bool { n, _, _ := one.executor.counts(); return n == 1 })
		log.assign("two")
		two := startManager(t, log, "two")
		two.waitFor("the job", func() bool { _, ok := two.executor.adoptedJob("a"); return ok })
		one.end("a", 1)
		one.waitFor("the release", func() bool { _, _, n := one.executor.counts(); return n == 1 })
		recorded, _, _ := one.executor.counts()
		So(recorded, ShouldEqual, 1)
		So(one.submit("b"), ShouldEqual, ErrNotOwner)
		j, _ := two.executor.adoptedJob("a")
		So(j.Tasks, ShouldResemble, []dispatch.TaskRecord{{Done: true}, {}})
		// The former owner may act until the TTL of its membership is over, and its runs
		// end later.
		So(j.NotBefore-two.clock.Now(), ShouldBeGreaterThan, membershipTTL)
		state, _ := two.State(context.Background(), "a")
		So(state, ShouldEqual, gypsumtide.JobRunning)
	})

	// Guards against an owner that does not know yet that the log has reassigned its partition,
	// and denies a job that the next owner has accepted (TestSoak, seeds 2 and 202).
	Convey("A former owner whose joins are not answered does not deny a job of the next owner", t, func() {
		log := newMemoryLog()
		one := startOwner(t, log, "one")
		state, err := one.State(context.Background(), "a")
		So(err, ShouldBeNil)
		So(state, ShouldBeEmpty)
		log.setJoinError(errors.New("no answer"))
		gypsumtide.Sleep(context.Background(), 50)
		log.assign("two")
		log.setJoinError(nil)
		two := startManager(t, log, "two")
		two.waitFor("partitions", func() bool { return len(two.ServedPartitions()) == log.partitionCount })
		log.setJoinError(errors.New("no answer"))
		So(two.submit("a"), ShouldBeNil)
		for _, ask := range []func() (gypsumtide.JobState, error){
			func() (gypsumtide.JobState, error) { return one.State(context.Background(), "a") },
			func() (gypsumtide.JobState, error) { return one.Cancel(context.Background(), "a") },
		} {
			_, err := ask()
			So(err, ShouldEqual, ErrNotOwner)
		}
	})
	Convey("If the log refuses the check, the request is refused and nothing is denied", t, func() {
		log := newMemoryLog()
		one := startOwner(t, log, "one")
		log.setAppendFailure(func() (error, bool) { return gypsumtide.ErrNotAppended, false })
		_, err := one.State(context.Background(), "a")
		So(errors.Is(err, gypsumtide.ErrNotAppended), ShouldBeTrue)
	})

	// Guards against two owners running a job because its acceptance is written while the
	// partition is being released.
	Convey("A job accepted during the release of its partition is left to the next owner", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		log.setAppendFailure(func() (error, bool) {
			m.mu.Lock()
			o := m.owned[partitionOf("a", testPartitions)]
			m.mu.Unlock()
			m.release(o, "test")
			return nil, true
		})
		So(m.submit("a"), ShouldBeNil)
		log.setAppendFailure(func() (error, bool) { return nil, true })
		So(log.value("a"), ShouldNotBeNil)
		m.executor.mu.Lock()
		defer m.executor.mu.Unlock()
		So(m.executor.running, ShouldBeEmpty)
	})

	// Guards against refusing jobs because those that ended within the retention exceed
	// the limit of jobs in progress.
	Convey("Ended jobs do not count against the limit of jobs in progress", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		So(m.submit("a"), ShouldBeNil)
		_, err := m.Cancel(context.Background(), "a")
		So(err, ShouldBeNil)
		m.mu.Lock()
		defer m.mu.Unlock()
		So(m.countJobsInProgress(), ShouldEqual, 0)
	})

	Convey("A partition is handed over once its runs have ended", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		So(m.submit("a"), ShouldBeNil)
		m.executor.mu.Lock()
		m.executor.openTasks = 1
		m.executor.mu.Unlock()
		log.assign("two")
		m.waitFor("the pause", func() bool { return len(m.ServedPartitions()) == 0 })
		_, _, released := m.executor.counts()
		So(released, ShouldEqual, 0)
		m.executor.mu.Lock()
		m.executor.openTasks = 0
		m.executor.mu.Unlock()
		m.waitFor("the release", func() bool { _, _, n := m.executor.counts(); return n == 1 })
	})

	// Guards against two owners of a partition: an entry that gets no answer from the log
	// must release its partitions before the log reassigns them.
	Convey("An entry whose joins fail releases its partitions before the TTL of its membership is over", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		So(m.submit("a"), ShouldBeNil)
		log.setJoinError(errTest)
		begin := time.Now()
		m.waitFor("the release", func() bool { _, _, n := m.executor.counts(); return n == 1 })
		So(time.Since(begin), ShouldBeLessThan, membershipTTL.Duration())
		So(m.submit("b"), ShouldEqual, ErrNotOwner)
		log.setJoinError(nil)
		m.waitFor("partitions", func() bool { return len(m.ServedPartitions()) == testPartitions })
		j, _ := m.executor.adoptedJob("a")
		So(j.BaseRunNumber, ShouldEqual, runNumbersPerOwner)
	})

	Convey("At shutdown an entry releases its jobs and leaves the group", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		So(m.submit("a"), ShouldBeNil)
		m.stop()
		So(log.departed, ShouldResemble, []string{"one"})
		_, _, released := m.executor.counts()
		So(released, ShouldEqual, 1)
	})

	Convey("Many writes are batched into few appends", t, func() {
		log := newMemoryLog()
		m := startOwner(t, log, "one")
		appendsBefore := log.appends()
		results := make(chan error, 200)
		for i := range cap(results) {
			go func() { results <- m.submit(fmt.Sprint("job-", i)) }()
		}
		for range cap(results) {
			So(<-results, ShouldBeNil)
		}
		So(log.appends()-appendsBefore, ShouldBeLessThan, cap(results)/4)
	})
}

// Guards against the answer that there is no such job, or that it is refused, for a job whose
// acceptance is recorded: the log refuses the batch after the acceptance, and a request that
// waits for the acceptance has an empty write in that batch.
func TestRefusalAfterAcceptance(t *testing.T) {
	// acceptBeforeRefusal submits job a and calls request while its acceptance is being
	// appended. Job b is then queued, and the log refuses the batch of b.
	acceptBeforeRefusal := func(request func(m *testManager)) {
		log := newMemoryLog()
		log.partitionCount = 1
		m := startOwner(t, log, "one")
		appending, proceed := make(chan struct{}), make(chan struct{})
		appends := 0
		log.setAppendFailure(func() (error, bool) {
			appends++
			switch appends {
			case 1:
				close(appending)
				<-proceed
			case 2:
				return gypsumtide.ErrNotAppended, false
			}
			return nil, true
		})
		results := make(chan error, 2)
		waitForQueue := func(n int) {
			m.waitFor("queued writes", func() bool {
				m.mu.Lock()
				defer m.mu.Unlock()
				return len(m.owned[0].queue) == n
			})
		}
		go func() { results <- m.submit("a") }()
		<-appending
		requested := group.Go(context.Background(), func(context.Context) error {
			request(m)
			return nil
		})
		waitForQueue(1)
		go func() { results <- m.submit("b") }()
		waitForQueue(2)
		close(proceed)
		So(<-requested, ShouldBeNil)
		first, second := <-results, <-results
		So(errors.Is(first, gypsumtide.ErrNotAppended) != errors.Is(second, gypsumtide.ErrNotAppended), ShouldBeTrue)
		So(log.value("a"), ShouldNotBeNil)
	}

	Convey("A job is cancelled if the log refuses the batch after its acceptance", t, func() {
		var state gypsumtide.JobState
		var err error
		acceptBeforeRefusal(func(m *testManager) { state, err = m.Cancel(context.Background(), "a") })
		So(err, ShouldBeNil)
		So(state, ShouldEqual, gypsumtide.JobCancelled)
	})

	Convey("A job submitted again is accepted if the log refuses the batch after its acceptance", t, func() {
		var err error
		acceptBeforeRefusal(func(m *testManager) { err = m.submit("a") })
		So(err, ShouldBeNil)
	})
}

// Guards against reporting an append as refused although it may be in the log.
func TestWriter(t *testing.T) {
	appendOnce := func(w *partitionWriter) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return w.append(ctx, []gypsumtide.KeyedRecord{{Key: "k", Value: []byte("v")}})
	}
	// failingLog returns a log whose first appends fail with the given errors.
	failingLog := func(results ...error) *memoryLog {
		log := newMemoryLog()
		log.setAppendFailure(func() (error, bool) {
			if len(results) == 0 {
				return nil, true
			}
			err := results[0]
			results = results[1:]
			return err, false
		})
		return log
	}
	Convey("A refused append is reported as refused only if no earlier attempt may have been written", t, func() {
		So(errors.Is(appendOnce(&partitionWriter{log: failingLog(gypsumtide.ErrNotAppended), epoch: 1}), gypsumtide.ErrNotAppended), ShouldBeTrue)
		So(appendOnce(&partitionWriter{log: failingLog(errNoAnswer, gypsumtide.ErrNotAppended), epoch: 1}), ShouldBeNil)
	})
	Convey("An append of an earlier epoch is rejected", t, func() {
		log := newMemoryLog()
		So(appendOnce(&partitionWriter{log: log, epoch: 2}), ShouldBeNil)
		So(errors.Is(appendOnce(&partitionWriter{log: log, epoch: 1}), gypsumtide.ErrEpochSuperseded), ShouldBeTrue)
	})
	Convey("The first append of an epoch adopts the sequence that the log expects, later ones do not", t, func() {
		w := &partitionWriter{log: failingLog(&gypsumtide.SequenceError{Expected: 8}), epoch: 1}
		So(appendOnce(w), ShouldBeNil)
		So(w.sequence, ShouldEqual, 8)
		var sequenceErr *gypsumtide.SequenceError
		So(errors.As(appendOnce(&partitionWriter{log: failingLog(&gypsumtide.SequenceError{Expected: 8}), epoch: 1, epochStarted: true}), &sequenceErr), ShouldBeTrue)
	})
	Convey("An append without an answer has succeeded if the log then expects the sequence after it", t, func() {
		So(appendOnce(&partitionWriter{log: failingLog(errNoAnswer, &gypsumtide.SequenceError{Expected: 6}), epoch: 1, sequence: 4, epochStarted: true}), ShouldBeNil)
	})
}
