package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/group"
	"gypsumtide/internal/wire"
)

const (
	// entryHeartbeatInterval is the interval of heartbeats between entries, which also
	// report the quota usage.
	entryHeartbeatInterval gypsumtide.Millis = 200
	// entryReceiveTimeout is the time without a frame after which a session that this
	// entry opened to another one ends.
	entryReceiveTimeout gypsumtide.Millis = 1_500
	// agentHeartbeatInterval is the interval of heartbeats to an idle agent. It and
	// agentReceiveTimeout also apply to the sessions that other entries open.
	agentHeartbeatInterval gypsumtide.Millis = 500
	// agentReceiveTimeout is the time without a frame after which the session
	// of an agent ends.
	agentReceiveTimeout gypsumtide.Millis = 1_500
	// minRedialDelay and maxRedialDelay bound the backoff before an entry is dialled
	// again. maxRedialDelay also bounds each dial. The backoff is reset if the dial and
	// the session together took longer than maxRedialDelay.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// peers holds the sessions that this entry opened to other entries.
type peers struct {
	entry *Entry

	mu sync.Mutex
	// cancelDial holds, for each URL, the function that closes the session and stops
	// further connection attempts.
	cancelDial map[string]context.CancelFunc
	// byIncarnation holds the established sessions by the peer's incarnation.
	byIncarnation map[string]*peerSession
}

// peerSession is a session that this entry opened to another entry. This entry
// forwards requests over it; the peer forwards its requests over the session that the
// peer opened.
type peerSession struct {
	session     *wire.Session
	incarnation string
	name        string
	// revision is the configuration revision that the peer uses.
	revision atomic.Uint64

	mu          sync.Mutex
	lastRequest uint64
	pending     map[uint64]chan wire.Answer // by request number
	closed      bool
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, cancelDial: make(map[string]context.CancelFunc), byIncarnation: make(map[string]*peerSession)}
}

// find returns the session to an incarnation of an entry, or nil.
func (p *peers) find(incarnation string) *peerSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byIncarnation[incarnation]
}

// all returns the established sessions.
func (p *peers) all() []*peerSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	sessions := make([]*peerSession, 0, len(p.byIncarnation))
	for _, peer := range p.byIncarnation {
		sessions = append(sessions, peer)
	}
	return sessions
}

// setURLs keeps sessions open to the entries with the given URLs: it starts to dial
// new URLs, and closes the sessions to those that are no longer listed.
func (p *peers) setURLs(g *group.Group, urls map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for url := range urls {
		if _, ok := p.cancelDial[url]; ok || url == p.entry.cfg.URL {
			continue
		}
		ctx, cancel := context.WithCancel(g.Context())
		p.cancelDial[url] = cancel
		g.Add("peer session to "+url, func(context.Context) error {
			p.keepConnected(ctx, url)
			return nil
		})
	}
	for url, cancel := range p.cancelDial {
		if !urls[url] {
			cancel()
			delete(p.cancelDial, url)
		}
	}
}

// keepConnected keeps a session to url open until ctx is done. It retries with
// exponential backoff and jitter.
func (p *peers) keepConnected(ctx context.Context, url string) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		start := time.Now()
		err := p.connect(ctx, url)
		p.entry.log.V(1).Info("peer session ended", "peer", url, "error", gypsumtide.ErrorText(err))
		if time.Since(start) > maxRedialDelay {
			delay = minRedialDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect dials url and serves the session until it ends.
func (p *peers) connect(ctx context.Context, url string) error {
	e := p.entry
	transport, err := certificate.Transport(e.cfg.TLS)
	if err != nil {
		return gypsumtide.NewError("open peer session", url, err)
	}
	defer transport.CloseIdleConnections()
	dialCtx, cancel := context.WithTimeout(ctx, maxRedialDelay)
	s, err := wire.Dial(dialCtx, &http.Client{Transport: transport}, url+"/v1/session", e.sharedKey, e.clock, wire.Timing{HeartbeatInterval: entryHeartbeatInterval, ReceiveTimeout: entryReceiveTimeout}, &e.counters)
	cancel()
	if err != nil {
		return err
	}
	defer s.Close()
	hello := &wire.Hello{Kind: "entry", Name: e.cfg.Name, Incarnation: e.incarnation, Zone: e.cfg.Zone, Rack: e.cfg.Rack}
	if err := s.WriteFrame(ctx, &wire.Frame{Hello: hello}); err != nil {
		return err
	}
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return err
	}
	if f.Welcome == nil {
		return gypsumtide.NewError("open peer session", url, errNoWelcome)
	}
	if f.Welcome.Incarnation == e.incarnation {
		return gypsumtide.NewError("open peer session", url, errDialedSelf)
	}
	if p.find(f.Welcome.Incarnation) != nil {
		return gypsumtide.NewError("open peer session", url, errDuplicateSession)
	}
	e.rememberURLs(f.Welcome.Entries)
	peer := &peerSession{
		session: s, incarnation: f.Welcome.Incarnation, name: f.Welcome.Name,
		pending: make(map[uint64]chan wire.Answer),
	}
	p.add(peer)
	defer p.remove(peer)
	if !e.shardsFollower.Ready() || !e.configurationFollower.Ready() {
		s.Update(func(f *wire.Frame) { f.StateRequest = true })
	}
	e.log.Info("peer session established", "peer", peer.name, "incarnation", peer.incarnation)
	return s.Run(ctx, func(f *wire.Frame) error { return peer.handleFrame(e, f) })
}

func (p *peers) add(peer *peerSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byIncarnation[peer.incarnation] = peer
}

func (p *peers) remove(peer *peerSession) {
	p.mu.Lock()
	if p.byIncarnation[peer.incarnation] == peer {
		delete(p.byIncarnation, peer.incarnation)
	}
	p.mu.Unlock()
	p.entry.shardManager.EntryDisconnected(peer.incarnation)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.closed = true
	for _, ch := range peer.pending {
		close(ch)
	}
	peer.pending = nil
}

// forward sends a request to the peer and waits for the answer. It reports
// false if the session ends or ctx is done first.
func (p *peerSession) forward(ctx context.Context, req *wire.Forward) (wire.Answer, bool) {
	ch := make(chan wire.Answer, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return wire.Answer{}, false
	}
	p.lastRequest++
	req.Request = p.lastRequest
	p.pending[req.Request] = ch
	p.mu.Unlock()
	if !p.session.Update(func(f *wire.Frame) { f.Forwards = append(f.Forwards, *req) }) {
		return wire.Answer{}, false
	}
	select {
	case a, ok := <-ch:
		return a, ok
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pending, req.Request)
		p.mu.Unlock()
		return wire.Answer{}, false
	}
}

// handleFrame processes one frame from the peer.
func (p *peerSession) handleFrame(e *Entry, f *wire.Frame) error {
	e.shardManager.FrameReceived(p.incarnation)
	if f.Revision > p.revision.Load() {
		p.revision.Store(f.Revision)
	}
	if f.HeartbeatAck != nil {
		e.shardManager.HandleAck(p.incarnation, f.HeartbeatAck)
	}
	for i := range f.ForwardReplies {
		p.deliverReply(&f.ForwardReplies[i])
	}
	if len(f.RosterAcks) > 0 {
		e.shardManager.HandleRosterAcks(p.incarnation, f.RosterAcks)
	}
	if f.StateReply != nil {
		return e.adoptState(p.name, f.StateReply)
	}
	return nil
}

func (p *peerSession) deliverReply(r *wire.ForwardReply) {
	p.mu.Lock()
	ch := p.pending[r.Request]
	delete(p.pending, r.Request)
	p.mu.Unlock()
	if ch != nil {
		ch <- r.Answer
	}
}
