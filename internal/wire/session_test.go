package wire

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// manualClock is a clock that the test sets.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() gypsumtide.Millis  { return gypsumtide.Millis(c.now.Load()) }
func (c *manualClock) Wall() gypsumtide.Millis { return c.Now() }

// endpoint is one end of a session with the frames that it has received.
type endpoint struct {
	*Session
	clock    *manualClock
	counters Counters
	done     chan error

	mu     sync.Mutex
	frames []*Frame
}

func (s *endpoint) run(ctx context.Context) {
	s.done = make(chan error, 1)
	go func() {
		s.done <- s.Run(ctx, func(f *Frame) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.frames = append(s.frames, f)
			return nil
		})
	}()
}

// waitForFrame waits for a received frame that satisfies cond.
func (s *endpoint) waitForFrame(t *testing.T, cond func(f *Frame) bool) *Frame {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for _, f := range s.frames {
			if cond(f) {
				s.mu.Unlock()
				return f
			}
		}
		s.mu.Unlock()
	}
	t.Fatal("timed out waiting for a frame")
	return nil
}

// newPair returns the two ends of a session. Run has not been called on either.
func newPair(t *testing.T, timing Timing) (client, server *endpoint) {
	client, server = &endpoint{clock: &manualClock{}}, &endpoint{clock: &manualClock{}}
	accepted, closed := make(chan *Session), make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer k" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		s, err := Accept(w, r, server.clock, timing, &server.counters)
		if err == nil {
			accepted <- s
			<-closed
		}
	}))
	t.Cleanup(func() { close(closed); hs.Close() })
	_, err := Dial(context.Background(), http.DefaultClient, hs.URL, "wrong", client.clock, timing, &client.counters)
	So(err, ShouldNotBeNil)
	So(err.Error(), ShouldContainSubstring, "status 401")
	client.Session, err = Dial(context.Background(), http.DefaultClient, hs.URL, "k", client.clock, timing, &client.counters)
	So(err, ShouldBeNil)
	server.Session = <-accepted
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

func addResults(n uint32) func(f *Frame) {
	return func(f *Frame) {
		for i := range n {
			f.Results = append(f.Results, Result{TaskRef: TaskRef{Task: i}, State: TaskDone})
		}
	}
}

// Guards against a separate frame for each message, an Echo with a clock reading that
// arrived after the decision to dispatch, an undetected loss of the peer, and messages
// that a broken session accepts without sending them.
func TestSession(t *testing.T) {
	slow := Timing{HeartbeatInterval: 10_000, ReceiveTimeout: 10_000}
	Convey("messages added before the write are sent in one frame", t, func() {
		client, server := newPair(t, slow)
		for range 100 {
			So(client.Update(addResults(1)), ShouldBeTrue)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client.run(ctx)
		server.run(ctx)
		f := server.waitForFrame(t, func(f *Frame) bool { return len(f.Results) > 0 })
		So(f.Results, ShouldHaveLength, 100)
		// The sender counts the frame when the write returns, which may be after the
		// frame has arrived.
		for range 1000 {
			if client.counters.FramesSent() > 0 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		So(client.counters.FramesSent(), ShouldEqual, 1)
		So(server.counters.FramesReceived(), ShouldEqual, 1)
		So(server.counters.BytesReceived(), ShouldEqual, client.counters.BytesSent())
	})
	Convey("Echo is read at the first message, Clock at the write", t, func() {
		client, server := newPair(t, slow)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sendClock := func(at int64) {
			client.clock.now.Store(at)
			So(client.WriteFrame(ctx, &Frame{}), ShouldBeNil)
			_, err := server.ReadFrame(ctx)
			So(err, ShouldBeNil)
			So(server.PeerClock(), ShouldEqual, at)
		}
		sendClock(70)
		server.Update(func(f *Frame) { f.Drain = true })
		sendClock(90)
		server.Update(addResults(1))
		server.clock.now.Store(5)
		server.run(ctx)
		f, err := client.ReadFrame(ctx)
		So(err, ShouldBeNil)
		So(f.Drain, ShouldBeTrue)
		So(f.Results, ShouldHaveLength, 1)
		So(f.Echo, ShouldEqual, 70)
		So(f.Clock, ShouldEqual, 5)
		server.Update(addResults(1))
		f, err = client.ReadFrame(ctx)
		So(err, ShouldBeNil)
		So(f.Echo, ShouldEqual, 90)
	})
	Convey("an older Clock does not replace a newer one", t, func() {
		client, server := newPair(t, slow)
		for _, at := range []int64{90, 70} {
			client.clock.now.Store(at)
			So(client.WriteFrame(context.Background(), &Frame{}), ShouldBeNil)
			_, err := server.ReadFrame(context.Background())
			So(err, ShouldBeNil)
		}
		So(server.PeerClock(), ShouldEqual, 90)
	})
	Convey("heartbeats keep an idle session open, a missing peer ends it", t, func() {
		client, server := newPair(t, Timing{HeartbeatInterval: 20, ReceiveTimeout: 150})
		clientCtx, stopClient := context.WithCancel(context.Background())
		client.run(clientCtx)
		server.run(context.Background())
		time.Sleep(400 * time.Millisecond)
		So(client.Update(addResults(1)), ShouldBeTrue)
		server.waitForFrame(t, func(f *Frame) bool { return len(f.Results) == 1 })
		stopClient()
		<-client.done
		So(<-server.done, ShouldNotBeNil)

		_, server = newPair(t, Timing{HeartbeatInterval: 20, ReceiveTimeout: 150})
		server.run(context.Background())
		err := <-server.done
		So(errors.Is(err, ErrPeerTimeout), ShouldBeTrue)
		var e *gypsumtide.Error
		So(errors.As(err, &e), ShouldBeTrue)
		So(e.Step(), ShouldEqual, "session")
		So(e.Peer(), ShouldEqual, server.Peer())
		So(server.Update(addResults(1)), ShouldBeFalse)
	})
	Convey("closing one end also ends the other, and neither accepts more messages", t, func() {
		client, server := newPair(t, slow)
		client.run(context.Background())
		server.run(context.Background())
		client.Close()
		So(<-server.done, ShouldNotBeNil)
		So(<-client.done, ShouldNotBeNil)
		So(server.Update(addResults(1)), ShouldBeFalse)
		So(client.Update(addResults(1)), ShouldBeFalse)
	})
	Convey("an error of the handler ends the session", t, func() {
		client, server := newPair(t, slow)
		fault := errors.New("fault")
		server.done = make(chan error, 1)
		go func() { server.done <- server.Run(context.Background(), func(*Frame) error { return fault }) }()
		So(client.WriteFrame(context.Background(), &Frame{}), ShouldBeNil)
		So(errors.Is(<-server.done, fault), ShouldBeTrue)
	})
}

// FuzzUnmarshal guards against frames that make the decoder panic, and against
// frames that change when they are encoded again.
func FuzzUnmarshal(f *testing.F) {
	for _, frame := range []*Frame{
		{Clock: 5, Echo: 3, Hello: &Hello{Kind: "agent", Name: "a"}},
		{Dispatches: []Dispatch{{TaskRef: TaskRef{Task: 1, Epoch: 2}, Service: "s", Payload: []byte("x")}}, Drain: true},
		{Heartbeat: &Heartbeat{Sequence: 1, Shards: []ShardEpoch{{Shard: 3, Epoch: 4}}}, Transfers: []Transfer{{Epoch: 2, IDs: make([]gypsumtide.SubmissionID, 2)}}},
		{Forwards: []Forward{{Kind: ForwardSubmit, Job: &Job{Tasks: []JobTask{{Payload: []byte{1}}}}}}},
	} {
		data, err := Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second Frame
		if Unmarshal(data, &first) != nil {
			return
		}
		once, err := Marshal(&first)
		if err != nil {
			t.Fatal(err)
		}
		if err := Unmarshal(once, &second); err != nil {
			t.Fatal(err)
		}
		twice, err := Marshal(&second)
		if err != nil {
			t.Fatal(err)
		}
		if string(once) != string(twice) {
			t.Fatalf("%x changed to %x when encoded again", once, twice)
		}
	})
}

// Guards against an idle session that is closed although the peer announced its interval,
// and against a busy one whose loss is noticed as late as that of an idle one.
func TestIdleInterval(t *testing.T) {
	timing := Timing{HeartbeatInterval: 20, IdleInterval: 400, ReceiveTimeout: 100}
	run := func(idle bool) (client, server *endpoint, stop func()) {
		client, server = newPair(t, timing)
		ctx, cancel := context.WithCancel(context.Background())
		client.SetIdle(idle)
		client.run(ctx)
		server.run(ctx)
		return client, server, cancel
	}
	Convey("An idle session stays open although its frames are further apart than the timeout", t, func() {
		client, server, stop := run(true)
		defer stop()
		f := server.waitForFrame(t, func(f *Frame) bool { return f.NextWithin > 0 })
		So(f.NextWithin, ShouldEqual, timing.IdleInterval)
		time.Sleep(900 * time.Millisecond)
		So(server.Update(addResults(1)), ShouldBeTrue)
		So(client.counters.FramesSent(), ShouldBeLessThan, 8)
		So(server.receiveTimeout(), ShouldEqual, 480)
	})
	Convey("A session that is not idle any more has the shorter timeout again with the next frame", t, func() {
		client, server, stop := run(true)
		defer stop()
		server.waitForFrame(t, func(f *Frame) bool { return f.NextWithin > 0 })
		client.SetIdle(false)
		for range 200 {
			if server.receiveTimeout() == timing.ReceiveTimeout {
				break
			}
			time.Sleep(time.Millisecond)
		}
		So(server.receiveTimeout(), ShouldEqual, timing.ReceiveTimeout)
	})
	Convey("A peer cannot announce an interval for which its loss would not be noticed", t, func() {
		client, server, stop := run(false)
		defer stop()
		client.Update(func(f *Frame) { f.NextWithin = 1 << 40 })
		server.waitForFrame(t, func(f *Frame) bool { return f.NextWithin == 1<<40 })
		So(server.receiveTimeout(), ShouldBeLessThanOrEqualTo, maxIdleInterval+timing.ReceiveTimeout)
	})
}

// Guards against a timeout that is reported as the failure of a write: the timeout closes
// the connection while the heartbeat is written.
func TestTimeoutDuringWrite(t *testing.T) {
	Convey("The end of a session whose peer is silent is always a timeout", t, func() {
		for range 60 {
			client, _ := newPair(t, Timing{HeartbeatInterval: 1, ReceiveTimeout: 10})
			busy, stop := context.WithCancel(context.Background())
			written := make(chan struct{})
			go func() {
				defer close(written)
				for busy.Err() == nil {
					client.Update(addResults(200))
				}
			}()
			client.run(context.Background())
			err := <-client.done
			stop()
			<-written
			So(errors.Is(err, ErrPeerTimeout), ShouldBeTrue)
		}
	})
}

// Guards against a panic in one message that leaves the session locked: every other sender of
// the process would wait for it.
func TestPanicInUpdate(t *testing.T) {
	Convey("After a panic the session accepts further messages", t, func() {
		s := &Session{clock: &manualClock{}, wake: make(chan struct{}, 1)}
		So(func() { s.Update(func(*Frame) { panic("odd message") }) }, ShouldPanic)
		So(s.Update(func(*Frame) {}), ShouldBeTrue)
	})
}
