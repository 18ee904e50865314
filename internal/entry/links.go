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
	// heartbeat is the interval of heartbeats between entries.
	heartbeat gypsumtide.Millis = 200
	// entrySilence ends a session between entries.
	entrySilence gypsumtide.Millis = 1_500
	// agentHeartbeat is the interval of an entry's frames to an idle agent.
	agentHeartbeat gypsumtide.Millis = 500
	// agentSilence ends the session of an agent that sends nothing.
	agentSilence gypsumtide.Millis = 1_500
	redialMin                      = 50 * time.Millisecond
	redialMax                      = time.Second
)

// links holds the sessions that this entry dialled to other entries.
type links struct {
	entry *Entry

	mu     sync.Mutex
	dialed map[string]context.CancelFunc
	byInc  map[string]*link
}

// link is one session to another entry. This entry sends its requests over it.
type link struct {
	session     *wire.Session
	incarnation string
	name        string
	// revision is the configuration in force at the peer.
	revision atomic.Uint64

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan wire.Answer
	broken  bool
}

func newLinks(e *Entry) *links {
	return &links{entry: e, dialed: make(map[string]context.CancelFunc), byInc: make(map[string]*link)}
}

// find returns the link to an entry incarnation, or nil.
func (l *links) find(incarnation string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byInc[incarnation]
}

// all returns the links that are up.
func (l *links) all() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	up := make([]*link, 0, len(l.byInc))
	for _, k := range l.byInc {
		up = append(up, k)
	}
	return up
}

// ensure starts dialling every url that is not dialled yet and stops dialling the others.
func (l *links) ensure(g *group.Group, urls map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for url := range urls {
		if _, ok := l.dialed[url]; ok || url == l.entry.cfg.URL {
			continue
		}
		ctx, cancel := context.WithCancel(g.Context())
		l.dialed[url] = cancel
		g.Add("link to "+url, func(context.Context) error {
			l.maintain(ctx, url)
			return nil
		})
	}
	for url, cancel := range l.dialed {
		if !urls[url] {
			cancel()
			delete(l.dialed, url)
		}
	}
}

// maintain keeps a session to url until ctx is done.
func (l *links) maintain(ctx context.Context, url string) {
	pause := redialMin
	for ctx.Err() == nil {
		start := time.Now()
		err := l.connect(ctx, url)
		l.entry.log.V(1).Info("link ended", "peer", url, "error", gypsumtide.ErrorText(err))
		if time.Since(start) > redialMax {
			pause = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, redialMax)
	}
}

// connect dials url and serves the session until it breaks.
func (l *links) connect(ctx context.Context, url string) error {
	e := l.entry
	transport, err := certificate.Transport(e.cfg.TLS)
	if err != nil {
		return gypsumtide.NewError("open link", url, err)
	}
	defer transport.CloseIdleConnections()
	dctx, cancel := context.WithTimeout(ctx, redialMax)
	s, err := wire.Dial(dctx, &http.Client{Transport: transport}, url+"/v1/session", e.key, e.clock, wire.Timing{HeartbeatInterval: heartbeat, ReceiveTimeout: entrySilence}, &e.counters)
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
		return gypsumtide.NewError("open link", url, errNoWelcome)
	}
	if f.Welcome.Incarnation == e.incarnation {
		return gypsumtide.NewError("open link", url, errSelf)
	}
	if l.find(f.Welcome.Incarnation) != nil {
		return gypsumtide.NewError("open link", url, errSecondLink)
	}
	e.learn(f.Welcome.Entries)
	k := &link{
		session: s, incarnation: f.Welcome.Incarnation, name: f.Welcome.Name,
		pending: make(map[uint64]chan wire.Answer),
	}
	l.add(k)
	defer l.remove(k)
	if !e.shards.Ready() || !e.configs.Ready() {
		s.Update(func(f *wire.Frame) { f.StateRequest = true })
	}
	e.log.Info("link up", "peer", k.name, "incarnation", k.incarnation)
	return s.Run(ctx, func(f *wire.Frame) error { return k.handle(e, f) })
}

func (l *links) add(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byInc[k.incarnation] = k
}

func (l *links) remove(k *link) {
	l.mu.Lock()
	if l.byInc[k.incarnation] == k {
		delete(l.byInc, k.incarnation)
	}
	l.mu.Unlock()
	l.entry.owner.SessionDown(k.incarnation)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = true
	for _, ch := range k.pending {
		close(ch)
	}
	k.pending = nil
}

// forward sends a request to the peer and waits for the answer. It reports
// false if the session breaks or ctx ends first.
func (k *link) forward(ctx context.Context, req *wire.Forward) (wire.Answer, bool) {
	ch := make(chan wire.Answer, 1)
	k.mu.Lock()
	if k.broken {
		k.mu.Unlock()
		return wire.Answer{}, false
	}
	k.next++
	req.Request = k.next
	k.pending[req.Request] = ch
	k.mu.Unlock()
	if !k.session.Update(func(f *wire.Frame) { f.Forwards = append(f.Forwards, *req) }) {
		return wire.Answer{}, false
	}
	select {
	case a, ok := <-ch:
		return a, ok
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.pending, req.Request)
		k.mu.Unlock()
		return wire.Answer{}, false
	}
}

// handle takes one frame from the peer.
func (k *link) handle(e *Entry, f *wire.Frame) error {
	e.owner.Heard(k.incarnation)
	if f.Revision > k.revision.Load() {
		k.revision.Store(f.Revision)
	}
	if f.Ack != nil {
		e.owner.HandleAck(k.incarnation, f.Ack)
	}
	for i := range f.Replies {
		k.reply(&f.Replies[i])
	}
	if len(f.RosterAcks) > 0 {
		e.owner.HandleNoteAcks(k.incarnation, f.RosterAcks)
	}
	if f.StateReply != nil {
		return e.adopt(k.name, f.StateReply)
	}
	return nil
}

func (k *link) reply(r *wire.ForwardReply) {
	k.mu.Lock()
	ch := k.pending[r.Request]
	delete(k.pending, r.Request)
	k.mu.Unlock()
	if ch != nil {
		ch <- r.Answer
	}
}
