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

// countFold keeps the bodies that it was given.
type countFold struct {
	bodies []string
	fail   bool
}

func (f *countFold) Apply(_ uint64, data []byte) { f.bodies = append(f.bodies, string(data)) }

func (f *countFold) Snapshot() ([]byte, error) { return json.Marshal(f.bodies) }

func (f *countFold) Restore(data []byte) error {
	if f.fail {
		return errors.New("unreadable")
	}
	return json.Unmarshal(data, &f.bodies)
}

// node is a follower that runs against the stand-in.
type node struct {
	*Follower
	fold *countFold
	stop func() error
}

func (n *node) bodies() []string {
	var out []string
	n.View(func() { out = append(out, n.fold.bodies...) })
	return out
}

// await waits until cond holds, with the pattern that the doc of Changed gives.
func (n *node) await(cond func() bool) bool {
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

func startLog(t testing.TB, retention gypsumtide.Millis) (*platformlog.Local, string) {
	log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 1 << 20, Retention: retention})
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = log.Stop() })
	return log, log.URL()
}

func newNode(url string, timeout gypsumtide.Millis) *node {
	fold := &countFold{}
	client := NewClient(url, &http.Client{}, timeout)
	return &node{Follower: New(client, "s", fold, gypsumtide.NewSystemClock(), logr.Discard()), fold: fold}
}

func (n *node) run() *node {
	ctx, cancel := context.WithCancel(context.Background())
	done := group.Go(ctx, n.Run)
	n.stop = func() error { cancel(); return <-done }
	return n
}

func startNode(t testing.TB, url string) *node {
	t.Helper()
	n := newNode(url, 200).run()
	t.Cleanup(func() { _ = n.stop() })
	return n
}

func within(d time.Duration, fn func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return fn(ctx)
}

func record(id ID, body string) []byte {
	data, err := encodeEnvelope(envelope{ID: id, Kind: kindRecord, Body: []byte(body)})
	So(err, ShouldBeNil)
	return data
}

// TestAppend guards against an append that is reported wrongly, or that takes
// effect twice, under each fault of the log.
func TestAppend(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platformlog.Faults
		// clear ends the faults after a while.
		clear     bool
		timeout   time.Duration
		unsettled bool
		// bodies are the records that take effect in the end.
		bodies []string
	}{
		{"healthy log", platformlog.Faults{}, false, 2 * time.Second, false, []string{"x"}},
		{"slow log", platformlog.Faults{SlowMillis: 60}, false, 3 * time.Second, false, []string{"x"}},
		{"answer lost", platformlog.Faults{LoseAnswers: 1}, false, 2 * time.Second, false, []string{"x"}},
		{"short outage", platformlog.Faults{Down: true}, true, 3 * time.Second, false, []string{"x"}},
		{"long outage", platformlog.Faults{Down: true}, false, 300 * time.Millisecond, true, nil},
		{"hang that ends", platformlog.Faults{Hang: true}, true, 3 * time.Second, false, []string{"x"}},
		{"hang, takes effect after the caller gave up", platformlog.Faults{Hang: true}, false, 300 * time.Millisecond, true, []string{"x"}},
		{"slower than the client's time-out", platformlog.Faults{SlowMillis: 600}, false, 700 * time.Millisecond, true, []string{"x"}},
	} {
		Convey("Append: "+c.name, t, func() {
			s, url := startLog(t, 0)
			n := startNode(t, url)
			So(n.await(n.Ready), ShouldBeTrue)
			So(s.SetFaults(c.faults), ShouldBeNil)
			if c.clear {
				timer := time.AfterFunc(300*time.Millisecond, func() { _ = s.SetFaults(platformlog.Faults{}) })
				defer timer.Stop()
			}
			err := within(c.timeout, func(ctx context.Context) error { return n.Append(ctx, NewID(), []byte("x")) })
			So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldEqual, c.unsettled)
			So(err != nil, ShouldEqual, c.unsettled)
			if !c.unsettled {
				So(n.bodies(), ShouldResemble, c.bodies)
			}
			So(s.SetFaults(platformlog.Faults{}), ShouldBeNil)
			So(n.await(func() bool { return len(n.bodies()) == len(c.bodies) }), ShouldBeTrue)
			// Held requests and repeats may still arrive.
			time.Sleep(300 * time.Millisecond)
			So(n.bodies(), ShouldResemble, c.bodies)
		})
	}
	Convey("Append: accepted, but unsettled while the follower cannot read it back", t, func() {
		s, url := startLog(t, 0)
		n := newNode(url, 200)
		err := within(200*time.Millisecond, func(ctx context.Context) error { return n.Append(ctx, NewID(), []byte("x")) })
		So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldBeTrue)
		_, end := s.Bounds("s")
		So(end, ShouldEqual, 1)
	})
	Convey("Append: no connection is a settled failure", t, func() {
		n := newNode("http://127.0.0.1:1", 200).run()
		err := within(200*time.Millisecond, func(ctx context.Context) error { return n.Append(ctx, NewID(), []byte("x")) })
		So(errors.Is(err, ErrNotAppended), ShouldBeTrue)
		So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldBeFalse)
		So(errors.Is(n.stop(), context.Canceled), ShouldBeTrue)
	})
}

// TestReadAt guards the base of the home lease: it may only advance by reads
// that reached the end, and counts from their sending.
func TestReadAt(t *testing.T) {
	Convey("Given a follower of a healthy log", t, func() {
		s, url := startLog(t, 0)
		n := startNode(t, url)
		So(n.await(n.Ready), ShouldBeTrue)
		for _, f := range []platformlog.Faults{{Down: true}, {Hang: true}} {
			Convey(fmt.Sprintf("ReadAt stops under %+v and advances afterwards", f), func() {
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
		Convey("A read that was sent before a pause carries the time before the pause", func() {
			So(s.SetFaults(platformlog.Faults{SlowMillis: 150}), ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
			So(n.clock.Now()-n.CaughtUpAt(), ShouldBeGreaterThanOrEqualTo, 100)
		})
		Convey("A full batch does not count as the end", func() {
			n.take(n.Position(), nil, n.Position(), n.clock.Now()+1e6, false)
			So(n.CaughtUpAt(), ShouldBeLessThan, 1e6)
		})
	})
}

// TestRepeats guards against records that take effect more than once.
func TestRepeats(t *testing.T) {
	Convey("All readers ignore repeated ids, invalid records and snapshots", t, func() {
		s, url := startLog(t, 0)
		id := NewID()
		s.Append("s", record(id, "a"))
		s.Append("s", []byte("garbage"))
		s.Append("s", record(NewID(), "b"))
		s.Append("s", record(id, "a again"))
		snapshot, err := EncodeSnapshot(1, []byte("wrong"))
		So(err, ShouldBeNil)
		s.Append("s", snapshot)
		s.Append("s", record(NewID(), "c"))
		n := startNode(t, url)
		So(n.await(func() bool { return n.Position() == 6 }), ShouldBeTrue)
		So(n.bodies(), ShouldResemble, []string{"a", "b", "c"})

		Convey("also readers that start from a snapshot", func() {
			asOf, state, err := n.SnapshotState()
			So(err, ShouldBeNil)
			data, err := EncodeSnapshot(asOf, state)
			So(err, ShouldBeNil)
			s.Append("s", data)
			s.Append("s", record(id, "a once more"))
			s.Trim("s", 6)
			late := startNode(t, url)
			So(late.await(late.Ready), ShouldBeTrue)
			So(late.bodies(), ShouldResemble, []string{"a", "b", "c"})
		})
	})
}

// TestTrimmedStart guards the rule for a reader that starts from a trimmed
// offset: the first snapshot whose as-of offset is still available.
func TestTrimmedStart(t *testing.T) {
	bodies := func(n int) []string { return []string{"r0", "r1", "r2", "r3", "r4", "r5"}[:n] }
	snapshot := func(asOf uint64, records int) []byte {
		state, err := encodeState(newSeenIDs(nil), &countFold{bodies: bodies(records)})
		So(err, ShouldBeNil)
		data, err := EncodeSnapshot(asOf, state)
		So(err, ShouldBeNil)
		return data
	}
	for _, c := range []struct {
		name string
		// snapshots are the as-of offsets of the snapshots after the records 0 to 3.
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
				s.Append("s", record(NewID(), fmt.Sprint("r", i)))
			}
			for _, asOf := range c.snapshots {
				s.Append("s", snapshot(uint64(asOf), asOf))
			}
			s.Append("s", record(NewID(), "r4"))
			s.Trim("s", c.first)
			n := startNode(t, url)
			if c.ready {
				So(n.await(n.Ready), ShouldBeTrue)
				So(n.bodies(), ShouldResemble, bodies(5))
				return
			}
			time.Sleep(300 * time.Millisecond)
			So(n.Ready(), ShouldBeFalse)
			So(n.CaughtUpAt(), ShouldEqual, 0)
			So(n.bodies(), ShouldBeEmpty)

			Convey("until a snapshot appears: "+c.name, func() {
				_, end := s.Bounds("s")
				s.Append("s", snapshot(end, 5))
				So(n.await(n.Ready), ShouldBeTrue)
				So(n.bodies(), ShouldResemble, bodies(5))
			})
			Convey("until a peer's state is adopted: "+c.name, func() {
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
	Convey("A reader that fell behind the retention keeps its state until it finds a snapshot", t, func() {
		s, url := startLog(t, 0)
		s.Append("s", record(NewID(), "r0"))
		n := newNode(url, 200).run()
		So(n.await(n.Ready), ShouldBeTrue)
		So(n.stop(), ShouldNotBeNil)
		s.Append("s", record(NewID(), "r1"))
		s.Append("s", record(NewID(), "r2"))
		s.Trim("s", 2)
		n.run()
		time.Sleep(200 * time.Millisecond)
		So(n.bodies(), ShouldResemble, bodies(1))
		s.Append("s", snapshot(3, 3))
		So(n.await(func() bool { return len(n.bodies()) == 3 }), ShouldBeTrue)
		So(n.stop(), ShouldNotBeNil)
	})
}

// TestAdopt guards against a state that is replaced by an older one.
func TestAdopt(t *testing.T) {
	state := func(bodies ...string) []byte {
		data, err := encodeState(newSeenIDs(nil), &countFold{bodies: bodies})
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
		{"fold rejects it", true, true, 6, false, false, true},
	} {
		Convey("Adopt: "+c.name, t, func() {
			n := newNode("http://127.0.0.1:1", 200)
			n.position, n.ready, n.fold.bodies, n.fold.fail = 5, c.ready, []string{"own"}, c.fail
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
	Convey("A read of an abandoned search leaves no gap after an adopted state", t, func() {
		n := newNode("http://127.0.0.1:1", 200)
		n.startSeek(50)
		n.seek.next = 100
		_, err := n.Adopt(60, state("peer"))
		So(err, ShouldBeNil)
		n.take(100, []gypsumtide.Record{{Offset: 100, Data: record(NewID(), "x")}}, 101, 1, true)
		So(n.Position(), ShouldEqual, 60)
		So(n.CaughtUpAt(), ShouldEqual, 0)
	})
	Convey("A follower that is not ready hands out no state", t, func() {
		n := newNode("http://127.0.0.1:1", 200)
		_, _, err := n.SnapshotState()
		So(errors.Is(err, ErrNotReady), ShouldBeTrue)
		So(errors.Is(within(10*time.Millisecond, n.AwaitReady), ErrNotReady), ShouldBeTrue)
	})
}

// TestSnapshots guards against a stream whose records all expire before a
// snapshot is written, and against snapshots by every reader.
func TestSnapshots(t *testing.T) {
	Convey("Two readers keep the state of an idle stream beyond its retention", t, func() {
		const retention = 600
		s, url := startLog(t, retention)
		s.Append("s", record(NewID(), "kept"))
		var nodes []*node
		for range 2 {
			n := newNode(url, 200)
			n.SetRetention(retention)
			nodes = append(nodes, n.run())
		}
		time.Sleep(3 * retention * time.Millisecond)
		first, end := s.Bounds("s")
		So(first, ShouldBeGreaterThan, 0)
		So(end, ShouldBeLessThan, 16)
		late := newNode(url, 200).run()
		So(late.await(late.Ready), ShouldBeTrue)
		So(late.bodies(), ShouldResemble, []string{"kept"})
		for _, n := range append(nodes, late) {
			So(errors.Is(n.stop(), context.Canceled), ShouldBeTrue)
		}
	})
	Convey("A snapshot is due by age, by count, and after one of a reader that lags", t, func() {
		n := newNode("http://127.0.0.1:1", 200)
		n.position, n.ready, n.snapshotFloor = 10, true, 10
		So(n.dueSnapshot(), ShouldNotBeNil)
		lagging, err := EncodeSnapshot(5, nil)
		So(err, ShouldBeNil)
		n.take(10, []gypsumtide.Record{{Offset: 10, Data: lagging}}, 11, 1, true)
		So(n.dueSnapshot(), ShouldNotBeNil)
		current, err := EncodeSnapshot(11, nil)
		So(err, ShouldBeNil)
		n.take(11, []gypsumtide.Record{{Offset: 11, Data: current}}, 12, 1, true)
		So(n.dueSnapshot(), ShouldBeNil)
		n.sinceSnapshot = snapshotRecords
		So(n.dueSnapshot(), ShouldNotBeNil)
	})
}

// TestIDWindow guards the bound on remembered ids.
func TestIDWindow(t *testing.T) {
	Convey("The window keeps the newest ids", t, func() {
		s := newSeenIDs(nil)
		for i := range idWindow + 1 {
			So(s.add(ID{byte(i), byte(i >> 8), 1}), ShouldBeTrue)
		}
		So(len(s.known), ShouldEqual, idWindow)
		So(s.has(ID{0, 0, 1}), ShouldBeFalse)
		So(s.add(ID{1, 0, 1}), ShouldBeFalse)
	})
}
