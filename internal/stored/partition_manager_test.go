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

// testManager is a Keeper in operation.
type testManager struct {
	*PartitionManager
	executor *fakeExecutor
	stop     func()
}

// startManager runs a Keeper until the test ends.
func startManager(t testing.TB, log *memoryLog, member string) *testManager {
	e := newFakeExecutor()
	k := NewPartitionManager(Config{Member: member, OrphanedRunTimeout: 1000}, log, e, gypsumtide.NewSystemClock(), discardRecorder{}, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	inUse := make(chan struct{})
	close(inUse)
	ended := group.Go(ctx, func(ctx context.Context) error { return k.Run(ctx, inUse) })
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
	return &testManager{k, e, stop}
}

// startOwner runs a Keeper that owns all partitions.
func startOwner(t testing.TB, log *memoryLog, member string) *testManager {
	log.assign(member)
	k := startManager(t, log, member)
	k.waitFor("partitions", func() bool { return len(k.ServedPartitions()) == log.partitions })
	return k
}

func (b *testManager) waitFor(what string, cond func() bool) {
	deadline := time.Now().Add(6 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			panic("waited in vain for " + what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *testManager) submit(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	j := testJob(id, 1)
	return b.Submit(ctx, j.request, j.route)
}

func (b *testManager) end(id string, step int) {
	b.Record(dispatch.Progress{Started: []string{id}, Ends: []dispatch.TaskEnd{taskEnd(id, step, 0, gypsumtide.EndDone)}})
}

func TestPartitionManager(t *testing.T) {
	Convey("A job is accepted once it is recorded, and again under the same id", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		So(k.submit("a"), ShouldBeNil)
		So(log.value("a"), ShouldNotBeNil)
		_, ok := k.executor.adoptedJob("a")
		So(ok, ShouldBeTrue)
		So(k.submit("a"), ShouldBeNil)
		So(k.QueuedByRoute(), ShouldResemble, map[string]int{"r": 1})
		state, err := k.State("a")
		So(state, ShouldEqual, gypsumtide.JobPending)
		So(err, ShouldBeNil)

		Convey("It is complete when its ends are recorded", func() {
			k.end("a", 0)
			k.waitFor("the record", func() bool { n, _, _ := k.executor.counts(); return n == 1 })
			state, _ = k.State("a")
			So(state, ShouldEqual, gypsumtide.JobRunning)
			So(k.QueuedByRoute(), ShouldBeEmpty)
			k.end("a", 1)
			k.waitFor("the final state", func() bool { s, _ := k.State("a"); return s == gypsumtide.JobComplete })
			// A cancel comes too late.
			state, err = k.Cancel(context.Background(), "a")
			So(state, ShouldEqual, gypsumtide.JobComplete)
			So(err, ShouldBeNil)
		})

		Convey("It can be cancelled", func() {
			state, err = k.Cancel(context.Background(), "a")
			So(state, ShouldEqual, gypsumtide.JobCancelled)
			So(err, ShouldBeNil)
			_, closed, _ := k.executor.counts()
			So(closed, ShouldEqual, 1)
			state, _ = k.Cancel(context.Background(), "b")
			So(state, ShouldBeEmpty)
		})
	})

	// Guards against refusals that are not true, and against jobs that are accepted
	// after their refusal.
	Convey("What the log refuses is not accepted", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		log.setAppendFailure(func() (error, bool) { return gypsumtide.ErrNotAppended, false })
		So(errors.Is(k.submit("a"), gypsumtide.ErrNotAppended), ShouldBeTrue)
		log.setAppendFailure(func() (error, bool) { return nil, true })
		state, err := k.State("a")
		So(state, ShouldBeEmpty)
		So(err, ShouldBeNil)
		So(k.submit("b"), ShouldBeNil)
		So(log.value("a"), ShouldBeNil)
	})

	Convey("An append without an answer is repeated until its result is known", t, func() {
		for _, carriedOut := range []bool{true, false} {
			log := newMemoryLog()
			k := startOwner(t, log, "one")
			failures := 0
			log.setAppendFailure(func() (error, bool) {
				if failures++; failures <= 3 {
					return errNoAnswer, carriedOut
				}
				return nil, true
			})
			So(k.submit("a"), ShouldBeNil)
			So(k.submit("b"), ShouldBeNil)
			So(log.value("a"), ShouldNotBeNil)
			k.stop()
		}
	})

	// Guards against an end that counts although nobody will know it.
	Convey("Ends are confirmed only if they are recorded", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		So(k.submit("a"), ShouldBeNil)
		log.setAppendFailure(func() (error, bool) { return errNoAnswer, false })
		k.end("a", 0)
		time.Sleep(150 * time.Millisecond)
		recorded, _, _ := k.executor.counts()
		So(recorded, ShouldEqual, 0)
		log.setAppendFailure(func() (error, bool) { return nil, true })
		k.waitFor("the record", func() bool { n, _, _ := k.executor.counts(); return n == 1 })
	})

	Convey("The next owner continues, and the former one records nothing any more", t, func() {
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
		// The former owner may act for its time to live, and its runs end later.
		So(j.NotBefore-two.clock.Now(), ShouldBeGreaterThan, membershipTTL)
		state, _ := two.State("a")
		So(state, ShouldEqual, gypsumtide.JobRunning)
	})

	// Guards against a job that two owners run: its acceptance is written while the
	// partition is being released.
	Convey("A job that was accepted during the release of its partition is left to the next owner", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		log.setAppendFailure(func() (error, bool) {
			k.mu.Lock()
			o := k.owned[partitionOf("a", testPartitions)]
			k.mu.Unlock()
			k.release(o, "test")
			return nil, true
		})
		So(k.submit("a"), ShouldBeNil)
		log.setAppendFailure(func() (error, bool) { return nil, true })
		So(log.value("a"), ShouldNotBeNil)
		k.executor.mu.Lock()
		defer k.executor.mu.Unlock()
		So(k.executor.running, ShouldBeEmpty)
	})

	// Load pattern: more jobs within the retention than an entry may have in progress.
	Convey("Jobs that have ended do not count against the bound of those in progress", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		So(k.submit("a"), ShouldBeNil)
		_, err := k.Cancel(context.Background(), "a")
		So(err, ShouldBeNil)
		k.mu.Lock()
		defer k.mu.Unlock()
		So(k.jobsInProgress(), ShouldEqual, 0)
	})

	Convey("A partition is handed over when its runs have ended", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		So(k.submit("a"), ShouldBeNil)
		k.executor.mu.Lock()
		k.executor.openTasks = 1
		k.executor.mu.Unlock()
		log.assign("two")
		k.waitFor("the pause", func() bool { return len(k.ServedPartitions()) == 0 })
		_, _, released := k.executor.counts()
		So(released, ShouldEqual, 0)
		k.executor.mu.Lock()
		k.executor.openTasks = 0
		k.executor.mu.Unlock()
		k.waitFor("the release", func() bool { _, _, n := k.executor.counts(); return n == 1 })
	})

	// Guards against two owners: an entry that the log does not answer must stop
	// before the log gives its partitions away.
	Convey("Without answers to its joins an entry gives everything up in time", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		So(k.submit("a"), ShouldBeNil)
		log.setJoinError(errTest)
		begin := time.Now()
		k.waitFor("the release", func() bool { _, _, n := k.executor.counts(); return n == 1 })
		So(time.Since(begin), ShouldBeLessThan, membershipTTL.Duration())
		So(k.submit("b"), ShouldEqual, ErrNotOwner)
		log.setJoinError(nil)
		k.waitFor("partitions", func() bool { return len(k.ServedPartitions()) == testPartitions })
		j, _ := k.executor.adoptedJob("a")
		So(j.BaseRunNumber, ShouldEqual, runNumbersPerOwner)
	})

	Convey("At its end an entry leaves", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		So(k.submit("a"), ShouldBeNil)
		k.stop()
		So(log.departed, ShouldResemble, []string{"one"})
		_, _, released := k.executor.counts()
		So(released, ShouldEqual, 1)
	})

	Convey("Many changes go with few appends", t, func() {
		log := newMemoryLog()
		k := startOwner(t, log, "one")
		before := log.appends()
		results := make(chan error, 200)
		for i := range cap(results) {
			go func() { results <- k.submit(fmt.Sprint("job-", i)) }()
		}
		for range cap(results) {
			So(<-results, ShouldBeNil)
		}
		So(log.appends()-before, ShouldBeLessThan, cap(results)/4)
	})
}

// Guards against appends that are taken for refused although they may be in the log.
func TestWriter(t *testing.T) {
	appendOnce := func(w *partitionWriter) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return w.append(ctx, []gypsumtide.KeyedRecord{{Key: "k", Value: []byte("v")}})
	}
	// failing returns a log whose first appends fail.
	failing := func(results ...error) *memoryLog {
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
	Convey("A refusal is reported only if no earlier attempt may have taken effect", t, func() {
		So(errors.Is(appendOnce(&partitionWriter{log: failing(gypsumtide.ErrNotAppended), epoch: 1}), gypsumtide.ErrNotAppended), ShouldBeTrue)
		So(appendOnce(&partitionWriter{log: failing(errNoAnswer, gypsumtide.ErrNotAppended), epoch: 1}), ShouldBeNil)
	})
	Convey("A writer of an earlier epoch is rejected", t, func() {
		log := newMemoryLog()
		So(appendOnce(&partitionWriter{log: log, epoch: 2}), ShouldBeNil)
		So(errors.Is(appendOnce(&partitionWriter{log: log, epoch: 1}), gypsumtide.ErrEpochSuperseded), ShouldBeTrue)
	})
	Convey("The first append of an epoch takes the sequence that the log expects, later ones do not", t, func() {
		w := &partitionWriter{log: failing(&gypsumtide.SequenceError{Expected: 8}), epoch: 1}
		So(appendOnce(w), ShouldBeNil)
		So(w.sequence, ShouldEqual, 8)
		var sequence *gypsumtide.SequenceError
		So(errors.As(appendOnce(&partitionWriter{log: failing(&gypsumtide.SequenceError{Expected: 8}), epoch: 1, epochStarted: true}), &sequence), ShouldBeTrue)
	})
	Convey("A lost append that the log has counted is in the log", t, func() {
		So(appendOnce(&partitionWriter{log: failing(errNoAnswer, &gypsumtide.SequenceError{Expected: 6}), epoch: 1, sequence: 4, epochStarted: true}), ShouldBeNil)
	})
}
