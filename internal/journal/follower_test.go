package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/standin/platformlog"
)

// bodyList is a StateMachine that records the bodies applied to it.
type bodyList struct {
	bodies      []string
	failRestore bool
}

func (l *bodyList) Apply(_ uint64, data []byte) { l.bodies = append(l.bodies, string(data)) }

func (l *bodyList) Snapshot() ([]byte, error) { return json.Marshal(l.bodies) }

func (l *bodyList) Restore(data []byte) error {
	if l.failRestore {
		return errors.New("restore fails")
	}
	return json.Unmarshal(data, &l.bodies)
}

// testFollower is a follower with its state machine, usually connected to the
// stand-in log.
type testFollower struct {
	*Follower
	machine *bodyList
	stop    func() error
}

func (n *testFollower) bodies() []string {
	var out []string
	n.View(func() { out = append(out, n.machine.bodies...) })
	return out
}

// await waits up to 3 s for cond, in the way that the doc comment of Changed shows.
func (n *testFollower) await(cond func() bool) bool {
	deadline := time.After(3 * time.Second)
	for {
		changed := n.Changed()
		if cond() {
			return true
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			return false
		}
	}
}

func startLog(t testing.TB, retention gypsumtide.Millis) (*platformlog.LocalServer, string) {
	log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 1 << 20, Retention: retention})
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = log.Stop() })
	return log, log.URL()
}

func newTestFollower(url string, timeout gypsumtide.Millis) *testFollower {
	machine := &bodyList{}
	client := NewClient(url, &http.Client{}, timeout)
	return &testFollower{Follower: NewFollower(client, "s", machine, gypsumtide.NewSystemClock(), logr.Discard()), machine: machine}
}

func (n *testFollower) run() *testFollower {
	ctx, cancel := context.WithCancel(context.Background())
	done := group.Go(ctx, n.Run)
	n.stop = func() error { cancel(); return <-done }
	return n
}

func startTestFollower(t testing.TB, url string) *testFollower {
	t.Helper()
	n := newTestFollower(url, 200).run()
	t.Cleanup(func() { _ = n.stop() })
	return n
}

func withTimeout(d time.Duration, fn func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return fn(ctx)
}

func encodeTestRecord(id ID, body string) []byte {
	data, err := encodeEnvelope(envelope{ID: id, Kind: kindRecord, Body: []byte(body)})
	So(err, ShouldBeNil)
	return data
}

// TestAppend guards against an append whose outcome is reported wrongly, or that
// takes effect twice, for each fault of the log.
func TestAppend(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platformlog.Faults
		// clear ends the faults after 300 ms.
		clear          bool
		timeout        time.Duration
		outcomeUnknown bool
		// bodies are the records that have taken effect once the faults are over.
		bodies []string
	}{
		{"healthy log", platformlog.Faults{}, false, 2 * time.Second, false, []string{"x"}},
		{"slow log", platformlog.Faults{SlowMillis: 60}, false, 3 * time.Second, false, []string{"x"}},
		{"answer lost", platformlog.Faults{LoseAnswers: 1}, false, 2 * time.Second, false, []string{"x"}},
		{"short outage", platformlog.Faults{Down: true}, true, 3 * time.Second, false, []string{"x"}},
		{"long outage", platformlog.Faults{Down: true}, false, 300 * time.Millisecond, true, nil},
		{"hang that ends", platformlog.Faults{Hang: true}, true, 3 * time.Second, false, []string{"x"}},
		{"hang, takes effect after the caller has given up", platformlog.Faults{Hang: true}, false, 300 * time.Millisecond, true, []string{"x"}},
		{"slower than the timeout of the client", platformlog.Faults{SlowMillis: 600}, false, 700 * time.Millisecond, true, []string{"x"}},
	} {
		Convey("Append: "+c.name, t, func() {
			s, url := startLog(t, 0)
			n := startTestFollower(t, url)
			So(n.await(n.Ready), ShouldBeTrue)
			So(s.SetFaults(c.faults), ShouldBeNil)
			if c.clear {
				timer := time.AfterFunc(300*time.Millisecond, func() { _ = s.SetFaults(platformlog.Faults{}) })
				defer timer.Stop()
			}
			err := withTimeout(c.timeout, func(ctx context.Context) error { return n.Append(ctx, NewID(), []byte("x")) })
			So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldEqual, c.outcomeUnknown)
			So(err != nil, ShouldEqual, c.outcomeUnknown)
			if !c.outcomeUnknown {
				So(n.bodies(), ShouldResemble, c.bodies)
			}
			So(s.SetFaults(platformlog.Faults{}), ShouldBeNil)
			So(n.await(func() bool { return len(n.bodies()) == len(c.bodies) }), ShouldBeTrue)
			// Requests that the log held back, and repeats, may still arrive.
			time.Sleep(300 * time.Millisecond)
			So(n.bodies(), ShouldResemble, c.bodies)
		})
	}
	Convey("Append: accepted, but outcome unknown while the follower cannot read it back", t, func() {
		s, url := startLog(t, 0)
		n := newTestFollower(url, 200)
		err := withTimeout(200*time.Millisecond, func(ctx context.Context) error { return n.Append(ctx, NewID(), []byte("x")) })
		So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldBeTrue)
		_, end := s.Bounds("s")
		So(end, ShouldEqual, 1)
	})
	Convey("Append: without a connection, the record is known not to be appended", t, func() {
		n := newTestFollower("http://127.0.0.1:1", 200).run()
		err := withTimeout(200*time.Millisecond, func(ctx context.Context) error { return n.Append(ctx, NewID(), []byte("x")) })
		So(errors.Is(err, ErrNotAppended), ShouldBeTrue)
		So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldBeFalse)
		So(errors.Is(n.stop(), context.Canceled), ShouldBeTrue)
	})
}

// TestCaughtUpAt guards against an entry that serves a shard after its lease should
// have ended. The lease counts from CaughtUpAt, which may advance only by reads that
// reached the end of the stream, and only to the time at which they were sent.
func TestCaughtUpAt(t *testing.T) {
	Convey("Given a follower of a healthy log", t, func() {
		s, url := startLog(t, 0)
		n := startTestFollower(t, url)
		So(n.await(n.Ready), ShouldBeTrue)
		for _, f := range []platformlog.Faults{{Down: true}, {Hang: true}} {
			Convey(fmt.Sprintf("CaughtUpAt stops under %+v and advances afterwards", f), func() {
				So(s.SetFaults(f), ShouldBeNil)
				stopped := n.clock.Now()
				time.Sleep(300 * time.Millisecond)
				So(n.CaughtUpAt(), ShouldBeLessThanOrEqualTo, stopped)
				So(s.SetFaults(platformlog.Faults{}), ShouldBeNil)
				cleared := n.clock.Now()
				So(n.await(func() bool { return n.CaughtUpAt() > cleared }), ShouldBeTrue)
				So(n.clock.Now()-cleared, ShouldBeLessThan, 1500)
			})
		}
		Convey("With a slow log, CaughtUpAt is the time at which the read was sent", func() {
			So(s.SetFaults(platformlog.Faults{SlowMillis: 150}), ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
			So(n.clock.Now()-n.CaughtUpAt(), ShouldBeGreaterThanOrEqualTo, 100)
		})
		Convey("A full batch does not count as the end of the stream", func() {
			n.applyBatch(n.Position(), nil, n.Position(), n.clock.Now()+1e6, false)
			So(n.CaughtUpAt(), ShouldBeLessThan, 1e6)
		})
	})
}

// TestRepeats guards against records that take effect more than once, and against
// readers that disagree about which records to ignore.
func TestRepeats(t *testing.T) {
	Convey("All readers ignore repeated ids, invalid records and snapshots", t, func() {
		s, url := startLog(t, 0)
		id := NewID()
		s.Append("s", encodeTestRecord(id, "a"))
		s.Append("s", []byte("garbage"))
		s.Append("s", encodeTestRecord(NewID(), "b"))
		s.Append("s", encodeTestRecord(id, "a again"))
		snapshot, err := EncodeSnapshot(1, []byte("wrong"))
		So(err, ShouldBeNil)
		s.Append("s", snapshot)
		s.Append("s", encodeTestRecord(NewID(), "c"))
		n := startTestFollower(t, url)
		So(n.await(func() bool { return n.Position() == 6 }), ShouldBeTrue)
		So(n.bodies(), ShouldResemble, []string{"a", "b", "c"})

		Convey("and so do readers that start from a snapshot", func() {
			asOf, state, err := n.SnapshotState()
			So(err, ShouldBeNil)
			data, err := EncodeSnapshot(asOf, state)
			So(err, ShouldBeNil)
			s.Append("s", data)
			s.Append("s", encodeTestRecord(id, "a once more"))
			s.Trim("s", 6)
			late := startTestFollower(t, url)
			So(late.await(late.Ready), ShouldBeTrue)
			So(late.bodies(), ShouldResemble, []string{"a", "b", "c"})
		})
	})
}

// TestTrimmedStart guards against a gap in the state of a reader whose offset has
// been trimmed. It must start from the first snapshot whose as-of offset is still
// available.
func TestTrimmedStart(t *testing.T) {
	bodies := func(n int) []string { return []string{"r0", "r1", "r2", "r3", "r4", "r5"}[:n] }
	snapshot := func(asOf uint64, records int) []byte {
		state, err := encodeState(newSeenIDs(nil), &bodyList{bodies: bodies(records)})
		So(err, ShouldBeNil)
		data, err := EncodeSnapshot(asOf, state)
		So(err, ShouldBeNil)
		return data
	}
	for _, c := range []struct {
		name string
		// snapshots are the as-of offsets of the snapshots appended after records 0 to 3.
		snapshots []int
		first     uint64
		ready     bool
	}{
		{"nothing trimmed", []int{1}, 0, true},
		{"snapshot at the first offset", []int{2}, 2, true},
		{"older snapshot is skipped", []int{1, 3}, 2, true},
		{"snapshot of all records", []int{4}, 3, true},
		{"no usable snapshot", []int{1}, 3, false},
		{"no snapshot", nil, 1, false},
	} {
		Convey("Start: "+c.name, t, func() {
			s, url := startLog(t, 0)
			for i := range 4 {
				s.Append("s", encodeTestRecord(NewID(), fmt.Sprint("r", i)))
			}
			for _, asOf := range c.snapshots {
				s.Append("s", snapshot(uint64(asOf), asOf))
			}
			s.Append("s", encodeTestRecord(NewID(), "r4"))
			s.Trim("s", c.first)
			n := startTestFollower(t, url)
			if c.ready {
				So(n.await(n.Ready), ShouldBeTrue)
				So(n.bodies(), ShouldResemble, bodies(5))
				return
			}
			time.Sleep(300 * time.Millisecond)
			So(n.Ready(), ShouldBeFalse)
			So(n.CaughtUpAt(), ShouldEqual, 0)
			So(n.bodies(), ShouldBeEmpty)

			Convey("is ready after a snapshot appears: "+c.name, func() {
				_, end := s.Bounds("s")
				s.Append("s", snapshot(end, 5))
				So(n.await(n.Ready), ShouldBeTrue)
				So(n.bodies(), ShouldResemble, bodies(5))
			})
			Convey("is ready after a peer's state is adopted: "+c.name, func() {
				asOf, state, err := DecodeSnapshot(snapshot(4, 4))
				So(err, ShouldBeNil)
				adopted, err := n.Adopt(asOf, state)
				So(err, ShouldBeNil)
				So(adopted, ShouldBeTrue)
				So(n.await(func() bool { return n.CaughtUpAt() > 0 }), ShouldBeTrue)
				So(n.bodies(), ShouldResemble, bodies(5))
			})
		})
	}
	Convey("A reader whose next offset was trimmed keeps its state until it finds a snapshot", t, func() {
		s, url := startLog(t, 0)
		s.Append("s", encodeTestRecord(NewID(), "r0"))
		n := newTestFollower(url, 200).run()
		So(n.await(n.Ready), ShouldBeTrue)
		So(n.stop(), ShouldNotBeNil)
		s.Append("s", encodeTestRecord(NewID(), "r1"))
		s.Append("s", encodeTestRecord(NewID(), "r2"))
		s.Trim("s", 2)
		n.run()
		time.Sleep(200 * time.Millisecond)
		So(n.bodies(), ShouldResemble, bodies(1))
		s.Append("s", snapshot(3, 3))
		So(n.await(func() bool { return len(n.bodies()) == 3 }), ShouldBeTrue)
		So(n.stop(), ShouldNotBeNil)
	})
}

// TestAdopt guards against a state that is replaced by an older or invalid one.
func TestAdopt(t *testing.T) {
	state := func(bodies ...string) []byte {
		data, err := encodeState(newSeenIDs(nil), &bodyList{bodies: bodies})
		So(err, ShouldBeNil)
		return data
	}
	for _, c := range []struct {
		name    string
		ready   bool
		fail    bool
		asOf    uint64
		garbage bool
		adopted bool
		err     bool
	}{
		{"newer", true, false, 6, false, true, false},
		{"older", true, false, 4, false, false, false},
		{"same age", true, false, 5, false, false, false},
		{"same age, not ready", false, false, 5, false, true, false},
		{"older, not ready", false, false, 4, false, false, false},
		{"garbage", true, false, 6, true, false, true},
		{"state machine rejects it", true, true, 6, false, false, true},
	} {
		Convey("Adopt: "+c.name, t, func() {
			n := newTestFollower("http://127.0.0.1:1", 200)
			n.position, n.ready, n.machine.bodies, n.machine.failRestore = 5, c.ready, []string{"own"}, c.fail
			data := state("peer")
			if c.garbage {
				data = []byte("garbage")
			}
			changed := n.Changed()
			adopted, err := n.Adopt(c.asOf, data)
			So(adopted, ShouldEqual, c.adopted)
			So(err != nil, ShouldEqual, c.err)
			if !c.adopted {
				So(n.bodies(), ShouldResemble, []string{"own"})
				So(n.Position(), ShouldEqual, 5)
				return
			}
			<-changed
			So(n.bodies(), ShouldResemble, []string{"peer"})
			So(n.Position(), ShouldEqual, c.asOf)
			So(n.Ready(), ShouldBeTrue)
			So(n.CaughtUpAt(), ShouldEqual, 0)
		})
	}
	Convey("A read of an abandoned search is discarded, as it would leave a gap after the adopted state", t, func() {
		n := newTestFollower("http://127.0.0.1:1", 200)
		n.startSearch(50)
		n.search.next = 100
		_, err := n.Adopt(60, state("peer"))
		So(err, ShouldBeNil)
		n.applyBatch(100, []gypsumtide.Record{{Offset: 100, Data: encodeTestRecord(NewID(), "x")}}, 101, 1, true)
		So(n.Position(), ShouldEqual, 60)
		So(n.CaughtUpAt(), ShouldEqual, 0)
	})
	Convey("A follower that is not ready returns no state", t, func() {
		n := newTestFollower("http://127.0.0.1:1", 200)
		_, _, err := n.SnapshotState()
		So(errors.Is(err, ErrNotReady), ShouldBeTrue)
		So(errors.Is(withTimeout(10*time.Millisecond, n.AwaitReady), ErrNotReady), ShouldBeTrue)
	})
}

// TestSnapshots guards against a stream whose records all expire before a snapshot
// is written, and against more snapshots than needed because every reader writes
// its own.
func TestSnapshots(t *testing.T) {
	Convey("Two readers keep the state of an idle stream beyond its retention", t, func() {
		const retention = 600
		s, url := startLog(t, retention)
		s.Append("s", encodeTestRecord(NewID(), "kept"))
		var followers []*testFollower
		for range 2 {
			n := newTestFollower(url, 200)
			n.SetRetention(retention)
			followers = append(followers, n.run())
		}
		time.Sleep(3 * retention * time.Millisecond)
		first, end := s.Bounds("s")
		So(first, ShouldBeGreaterThan, 0)
		So(end, ShouldBeLessThan, 16)
		late := newTestFollower(url, 200).run()
		So(late.await(late.Ready), ShouldBeTrue)
		So(late.bodies(), ShouldResemble, []string{"kept"})
		for _, n := range append(followers, late) {
			So(errors.Is(n.stop(), context.Canceled), ShouldBeTrue)
		}
	})
	Convey("A snapshot is due by age, by record count, and if the last one was written by a reader that lags behind", t, func() {
		n := newTestFollower("http://127.0.0.1:1", 200)
		n.position, n.ready, n.minSnapshotAsOf = 10, true, 10
		So(n.dueSnapshot(), ShouldNotBeNil)
		lagging, err := EncodeSnapshot(5, nil)
		So(err, ShouldBeNil)
		n.applyBatch(10, []gypsumtide.Record{{Offset: 10, Data: lagging}}, 11, 1, true)
		So(n.dueSnapshot(), ShouldNotBeNil)
		current, err := EncodeSnapshot(11, nil)
		So(err, ShouldBeNil)
		n.applyBatch(11, []gypsumtide.Record{{Offset: 11, Data: current}}, 12, 1, true)
		So(n.dueSnapshot(), ShouldBeNil)
		n.recordsSinceSnapshot = recordsPerSnapshot
		So(n.dueSnapshot(), ShouldNotBeNil)
	})
}

// TestIDWindow guards against a set of ids that grows without bound or forgets the
// newest ones.
func TestIDWindow(t *testing.T) {
	Convey("Only the newest ids are kept", t, func() {
		s := newSeenIDs(nil)
		for i := range idWindow + 1 {
			So(s.add(ID{byte(i), byte(i >> 8), 1}), ShouldBeTrue)
		}
		So(len(s.known), ShouldEqual, idWindow)
		So(s.has(ID{0, 0, 1}), ShouldBeFalse)
		So(s.add(ID{1, 0, 1}), ShouldBeFalse)
	})
}
