package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"gypsumtide"
	"gypsumtide/internal/clientlimit"
	"gypsumtide/internal/group"
)

// ErrPeerTimeout means that no frame arrived from the peer within ReceiveTimeout.
var ErrPeerTimeout = errors.New("no frame received from the peer within the timeout")

// ErrNoRoom means that there is no memory for a large frame beside those of other sessions.
var ErrNoRoom = errors.New("no memory for a large frame")

// Timing holds the intervals of a session.
type Timing struct {
	// HeartbeatInterval is the longest time between two sent frames.
	HeartbeatInterval gypsumtide.Millis
	// IdleInterval replaces HeartbeatInterval while the session is idle, see SetIdle. 0
	// means that it does not.
	IdleInterval gypsumtide.Millis
	// ReceiveTimeout is the longest time between two received frames, and the
	// longest time that a write may take. It is extended by the difference of the
	// intervals after a frame that announced the IdleInterval of the peer.
	ReceiveTimeout gypsumtide.Millis
}

// Counters counts the traffic of all sessions that share it.
type Counters struct {
	framesSent, framesReceived, bytesSent, bytesReceived atomic.Uint64
}

// FramesSent returns the number of sent frames.
func (c *Counters) FramesSent() uint64 { return c.framesSent.Load() }

// FramesReceived returns the number of received frames.
func (c *Counters) FramesReceived() uint64 { return c.framesReceived.Load() }

// BytesSent returns the number of encoded bytes sent.
func (c *Counters) BytesSent() uint64 { return c.bytesSent.Load() }

// BytesReceived returns the number of encoded bytes received.
func (c *Counters) BytesReceived() uint64 { return c.bytesReceived.Load() }

// Session is a long-lived WebSocket connection between two processes. Messages
// added while a frame is being written are sent together in the next frame.
type Session struct {
	conn     *websocket.Conn
	peer     string
	clock    gypsumtide.Clock
	timing   Timing
	counters *Counters
	// frames counts what has been read of a frame. It is nil if the session was dialled.
	frames *clientlimit.FrameCounter
	// observe is called for every frame that is read or written.
	observe func(f *Frame)

	mu sync.Mutex
	// pending is the next frame, or nil if no message was added since the last write.
	pending *Frame
	closed  bool
	wake    chan struct{}
	// intervalChanged signals that the session is not idle any more.
	intervalChanged chan struct{}

	// idle is set while heartbeats are sent at the IdleInterval only.
	idle atomic.Bool
	// peerInterval is the time within which the last received frame announced the next
	// one.
	peerInterval atomic.Int64

	peerClock    atomic.Int64
	lastReceived atomic.Int64
	// acknowledgedReport is the number of the last processed run report, which is sent
	// with every frame.
	acknowledgedReport atomic.Uint64
}

// Dial connects to the WebSocket at url.
func Dial(ctx context.Context, client *http.Client, url, key string, clock gypsumtide.Clock, timing Timing, counters *Counters) (*Session, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
	conn, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		if resp != nil {
			err = fmt.Errorf("status %d: %w", resp.StatusCode, err)
		}
		return nil, gypsumtide.NewError("dial session", url, err)
	}
	return newSession(conn, url, clock, timing, counters), nil
}

// Accept upgrades the request to a session. The caller must have checked the key.
func Accept(w http.ResponseWriter, r *http.Request, clock gypsumtide.Clock, timing Timing, counters *Counters) (*Session, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, gypsumtide.NewError("accept session", r.RemoteAddr, err)
	}
	s := newSession(conn, r.RemoteAddr, clock, timing, counters)
	s.frames = clientlimit.Frames(r.Context())
	return s, nil
}

func newSession(conn *websocket.Conn, peer string, clock gypsumtide.Clock, timing Timing, counters *Counters) *Session {
	conn.SetReadLimit(MaxFrameBytes)
	s := &Session{conn: conn, peer: peer, clock: clock, timing: timing, counters: counters, observe: func(*Frame) {}, wake: make(chan struct{}, 1), intervalChanged: make(chan struct{}, 1)}
	s.lastReceived.Store(int64(clock.Now()))
	s.peerInterval.Store(int64(timing.HeartbeatInterval))
	return s
}

// SetReadLimit sets the size of the largest frame that is accepted from now on. It is
// MaxFrameBytes at first.
func (s *Session) SetReadLimit(bytes int64) { s.conn.SetReadLimit(bytes) }

// Peer returns the URL that was dialled, or the address of the peer if the session was
// accepted.
func (s *Session) Peer() string { return s.peer }

// PeerClock returns the newest monotonic time received from the peer, or 0 before the
// first frame.
func (s *Session) PeerClock() gypsumtide.Millis { return gypsumtide.Millis(s.peerClock.Load()) }

// LastReceived returns the local monotonic time of the last received frame, or of the
// start of the session before the first one.
func (s *Session) LastReceived() gypsumtide.Millis { return gypsumtide.Millis(s.lastReceived.Load()) }

// AcknowledgeReports sets the number of the last processed run report, which is sent
// with every frame from now on.
func (s *Session) AcknowledgeReports(number uint64) { s.acknowledgedReport.Store(number) }

// SetIdle says whether the loss of the session may be noticed late, because no work
// depends on it. A session that is not idle any more has its next heartbeat within the
// HeartbeatInterval. The session is not idle at first.
func (s *Session) SetIdle(idle bool) {
	if s.idle.Swap(idle) && !idle {
		s.wakeWriter(s.intervalChanged)
	}
}

// interval returns the longest time until the next frame is sent.
func (s *Session) interval() gypsumtide.Millis {
	if s.idle.Load() && s.timing.IdleInterval > 0 {
		return s.timing.IdleInterval
	}
	return s.timing.HeartbeatInterval
}

// wakeWriter signals the writing goroutine without waiting for it.
func (s *Session) wakeWriter(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Update adds messages to the next frame. It returns false once Run has ended, in
// which case nothing will be sent. A result of true does not mean that the frame
// arrives. add is called with the session's lock held.
//
// The frame's Echo is read before the first message is added. If the process is
// paused after that, it sends an outdated Echo, which the agent rejects.
func (s *Session) Update(add func(f *Frame)) bool {
	if !s.addPending(add) {
		return false
	}
	s.wakeWriter(s.wake)
	return true
}

func (s *Session) addPending(add func(f *Frame)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.pending == nil {
		s.pending = &Frame{Echo: s.PeerClock()}
	}
	add(s.pending)
	return true
}

// Run reads and writes frames until the session fails or ctx is done. It calls
// handle for each received frame, in order and from one goroutine.
func (s *Session) Run(ctx context.Context, handle func(f *Frame) error) error {
	g := group.New(ctx)
	var readErr error
	g.Add("read session", func(ctx context.Context) error {
		readErr = s.read(ctx, handle)
		return readErr
	})
	g.Add("write session", s.write)
	err := g.Wait()
	if errors.Is(readErr, ErrPeerTimeout) {
		// The timeout closes the connection, so that a write may have failed first.
		err = readErr
	}
	s.mu.Lock()
	s.closed = true
	s.pending = nil
	s.mu.Unlock()
	_ = s.conn.CloseNow()
	if err == nil {
		return ctx.Err()
	}
	return gypsumtide.NewError("session", s.peer, err)
}

// Observe sets a function that is called for every frame that is read or written.
// It must be called before Run. fn runs on the reading and writing goroutines.
func (s *Session) Observe(fn func(f *Frame)) { s.observe = fn }

// Close closes the session immediately, without a closing handshake.
func (s *Session) Close() {
	_ = s.conn.CloseNow()
}

func (s *Session) read(ctx context.Context, handle func(f *Frame) error) error {
	for {
		f, err := s.ReadFrame(ctx)
		if err != nil {
			return err
		}
		if err := handle(f); err != nil {
			return fmt.Errorf("handle frame: %w", err)
		}
	}
}

// ReadFrame reads one frame. Other packages call it only for the handshake, before Run.
func (s *Session) ReadFrame(ctx context.Context) (*Frame, error) {
	rctx, cancel := context.WithTimeoutCause(ctx, s.receiveTimeout().Duration(), ErrPeerTimeout)
	defer cancel()
	defer s.frames.End()
	kind, data, err := s.readMessage(rctx)
	if err != nil {
		if errors.Is(context.Cause(rctx), ErrPeerTimeout) {
			return nil, ErrPeerTimeout
		}
		return nil, fmt.Errorf("read: %w", err)
	}
	if kind != websocket.MessageBinary {
		return nil, errors.New("read: not a binary message")
	}
	var f Frame
	if err := Unmarshal(data, &f); err != nil {
		return nil, err
	}
	s.peerInterval.Store(int64(max(s.timing.HeartbeatInterval, min(f.NextWithin, maxIdleInterval))))
	s.counters.framesReceived.Add(1)
	s.counters.bytesReceived.Add(uint64(len(data)))
	s.lastReceived.Store(int64(s.clock.Now()))
	if int64(f.Clock) > s.peerClock.Load() {
		s.peerClock.Store(int64(f.Clock))
	}
	s.observe(&f)
	return &f, nil
}

const (
	// uncountedBytes is the size up to which a frame is not counted, so that ordinary frames are
	// read whatever others send.
	uncountedBytes = 64 << 10
	// readChunkBytes is the size of the parts in which frames are read.
	readChunkBytes = 32 << 10
)

// readMessage reads one WebSocket message.
func (s *Session) readMessage(ctx context.Context) (websocket.MessageType, []byte, error) {
	kind, r, err := s.conn.Reader(ctx)
	if err != nil {
		return 0, nil, err
	}
	var data bytes.Buffer
	for {
		n, err := io.CopyN(&data, r, readChunkBytes)
		if errors.Is(err, io.EOF) {
			return kind, data.Bytes(), nil
		}
		if err != nil {
			return 0, nil, err
		}
		if data.Len() > uncountedBytes && !s.frames.Grow(n) {
			return 0, nil, ErrNoRoom
		}
	}
}

// maxIdleInterval limits the interval that a peer may announce.
const maxIdleInterval gypsumtide.Millis = 5000

// receiveTimeout returns the longest time until the next frame arrives.
func (s *Session) receiveTimeout() gypsumtide.Millis {
	return s.timing.ReceiveTimeout + gypsumtide.Millis(s.peerInterval.Load()) - s.timing.HeartbeatInterval
}

func (s *Session) write(ctx context.Context) error {
	// The peer expects the first frame within this time, as no frame has announced another.
	heartbeat := time.NewTimer(s.timing.HeartbeatInterval.Duration())
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.intervalChanged:
			heartbeat.Reset(s.interval().Duration())
			continue
		case <-s.wake:
		case <-heartbeat.C:
		}
		next := s.untilHeartbeat()
		if err := s.WriteFrame(ctx, s.takePending()); err != nil {
			return err
		}
		heartbeat.Reset(next)
	}
}

// processStart is the time from which idle intervals are counted.
var processStart = time.Now()

// untilHeartbeat returns the time until the next heartbeat. The idle sessions of a process
// send their heartbeats at the same time, so that the process wakes up once for all of
// them.
func (s *Session) untilHeartbeat() time.Duration {
	interval := s.interval().Duration()
	if s.timing.IdleInterval == 0 || interval != s.timing.IdleInterval.Duration() {
		return interval
	}
	return interval - time.Since(processStart)%interval
}

// takePending returns the frame with the messages added since the last write, or an empty
// frame as a heartbeat.
func (s *Session) takePending() *Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.pending
	s.pending = nil
	if f == nil {
		f = &Frame{Echo: s.PeerClock()}
	}
	return f
}

// WriteFrame writes one frame. Other packages call it only for the handshake, before Run.
func (s *Session) WriteFrame(ctx context.Context, f *Frame) error {
	f.Clock = s.clock.Now()
	f.AcknowledgedReport = s.acknowledgedReport.Load()
	if next := s.interval(); next > s.timing.HeartbeatInterval {
		f.NextWithin = next
	}
	data, err := Marshal(f)
	if err != nil {
		return err
	}
	// A peer that does not read for as long as ReceiveTimeout counts as lost.
	wctx, cancel := context.WithTimeout(ctx, s.timing.ReceiveTimeout.Duration())
	defer cancel()
	if err := s.conn.Write(wctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	s.counters.framesSent.Add(1)
	s.counters.bytesSent.Add(uint64(len(data)))
	s.observe(f)
	return nil
}
