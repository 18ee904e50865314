package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/group"
	"gypsumtide/internal/wire"
)

const (
	minBackOff = 50 * time.Millisecond
	maxBackOff = time.Second
	// dialTimeout bounds a connection attempt including the handshake.
	dialTimeout = 2 * time.Second
)

var errSecondSession = errors.New("another session to the same entry exists")

// sender is the part of a session that messages are added to.
type sender interface {
	// Update adds messages to the next frame.
	Update(add func(f *wire.Frame)) bool
}

// link is an established session. Numbers rise with each session.
type link struct {
	number  uint64
	session sender
	welcome *wire.Welcome
	// counters are the session's own, so that a drain can tell when a frame is written.
	counters *wire.Counters
	// updatedAt is when the last frame was added to.
	updatedAt gypsumtide.Millis
	// echo is the newest of this agent's clock readings that the entry has returned.
	echo gypsumtide.Millis
}

// target is an entry address that the agent keeps dialling.
type target struct {
	url   string
	fixed bool
	link  *link
	// seen is the last time at which the entry was listed or had a session.
	seen gypsumtide.Millis
	// incarnation is the entry met at the address last.
	incarnation string
}

// dialEntries keeps a session to each entry until ctx is done.
func (a *Agent) dialEntries(ctx context.Context) error {
	g := group.New(ctx)
	a.mu.Lock()
	a.dial = func(url string, fixed bool) {
		t := &target{url: url, fixed: fixed, seen: a.clock.Now()}
		a.targets[url] = t
		g.Add("session "+url, func(ctx context.Context) error {
			a.keepSession(ctx, t)
			return nil
		})
	}
	for _, url := range a.cfg.Entries {
		if url = normalURL(url); a.targets[url] == nil {
			a.dial(url, true)
		}
	}
	a.mu.Unlock()
	// This member keeps the group open for entries that are learned later.
	g.Add("learn", func(ctx context.Context) error {
		<-ctx.Done()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.dial = nil
		return nil
	})
	return g.Wait()
}

// keepSession dials again after each break, with a growing back-off.
func (a *Agent) keepSession(ctx context.Context, t *target) {
	backOff := minBackOff
	for ctx.Err() == nil {
		established, err := a.runSession(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if established {
			backOff = minBackOff
		}
		a.log.V(2).Info("session ended", "entry", t.url, "error", fmt.Sprint(err))
		if a.forgotten(t) {
			return
		}
		// Jitter keeps the agents from dialling a restarted entry in step.
		pause := backOff/2 + rand.N(backOff)
		backOff = min(2*backOff, maxBackOff)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (a *Agent) runSession(ctx context.Context, t *target) (established bool, err error) {
	a.mu.Lock()
	second := a.connected(t.incarnation)
	a.mu.Unlock()
	if second {
		// A dial would make the entry replace the session of the other address.
		return false, errSecondSession
	}
	counters := &wire.Counters{}
	// announce sends each heartbeat. The session's own timer is a fallback and
	// longer, since two equal timers sent 4.4 frames a second instead of 3.3.
	timing := wire.Timing{HeartbeatInterval: a.cfg.HeartbeatInterval * 3 / 2, ReceiveTimeout: a.cfg.ReceiveTimeout}
	hctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := certificate.Transport(a.cfg.TLS)
	if err != nil {
		return false, gypsumtide.NewError("dial session", t.url, err)
	}
	defer transport.CloseIdleConnections()
	s, err := wire.Dial(hctx, &http.Client{Transport: transport}, sessionURL(t.url), a.key, a.clock, timing, counters)
	if err != nil {
		return false, err
	}
	defer s.Close()
	welcome, err := a.handshake(hctx, s)
	if err != nil {
		return false, err
	}
	l := &link{session: s, welcome: welcome, counters: counters}
	if err := a.open(t, l); err != nil {
		return false, err
	}
	defer a.close(t, l)
	a.learn(l, welcome)
	return true, s.Run(ctx, func(f *wire.Frame) error { return a.handle(l, f) })
}

func (a *Agent) handshake(ctx context.Context, s *wire.Session) (*wire.Welcome, error) {
	hello := &wire.Hello{Kind: "agent", Name: a.cfg.Name, Incarnation: a.incarnation, Zone: a.cfg.Zone, Rack: a.cfg.Rack}
	if err := s.WriteFrame(ctx, &wire.Frame{Hello: hello}); err != nil {
		return nil, err
	}
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return nil, err
	}
	if f.Config != nil {
		if err := a.configure(f.Config); err != nil {
			return nil, err
		}
	}
	if f.Welcome == nil {
		return nil, gypsumtide.NewError("handshake", s.Peer(), errors.New("no welcome"))
	}
	return f.Welcome, nil
}

// open registers the session, unless the same entry incarnation has one.
func (a *Agent) open(t *target, l *link) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.incarnation = l.welcome.Incarnation
	if a.connected(t.incarnation) {
		return errSecondSession
	}
	a.lastLink++
	l.number = a.lastLink
	a.links[l.number] = l
	t.link = l
	announcement := a.announcement()
	a.update(l, func(f *wire.Frame) { f.Announcement = announcement })
	a.log.Info("session established", "entry", l.welcome.Name, "incarnation", l.welcome.Incarnation, "url", t.url)
	return nil
}

// connected reports whether a session to the entry incarnation exists.
func (a *Agent) connected(incarnation string) bool {
	for _, l := range a.links {
		if l.welcome.Incarnation == incarnation {
			return true
		}
	}
	return false
}

func (a *Agent) close(t *target, l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l.number)
	t.link = nil
	t.seen = a.clock.Now()
}

// learn dials entries that are new in a welcome. Those that left are dropped
// when a dial fails.
func (a *Agent) learn(l *link, w *wire.Welcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.welcome = w
	if a.dial == nil {
		return
	}
	for _, e := range w.Entries {
		// A connected entry may advertise another address than the one dialled.
		if url := normalURL(e.URL); url != "" && a.targets[url] == nil && !a.connected(e.Incarnation) {
			a.dial(url, false)
		}
	}
}

// listed reports whether a connected entry lists the address.
func (a *Agent) listed(url string) bool {
	for _, l := range a.links {
		if slices.ContainsFunc(l.welcome.Entries, func(e wire.EntryInfo) bool { return normalURL(e.URL) == url }) {
			return true
		}
	}
	return false
}

// forgotten drops a target that no connected entry has listed, and that had no
// session, for the grace period. The period covers a short break, since the
// lists of other entries may be older than the entry. Without any session the
// agent keeps dialling, since nothing says that the entry left.
func (a *Agent) forgotten(t *target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if t.fixed || len(a.links) == 0 || a.listed(t.url) {
		t.seen = now
		return false
	}
	if now-t.seen < a.cfg.EntryGrace {
		return false
	}
	delete(a.targets, t.url)
	return true
}

// announce sends load each heartbeat and the announcement when it changes.
func (a *Agent) announce(ctx context.Context) error {
	ticker := time.NewTicker(a.cfg.HeartbeatInterval.Duration())
	defer ticker.Stop()
	sent := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.offer:
		}
		a.mu.Lock()
		announcement := a.announcement()
		// Leases and back-offs end without an event, so each heartbeat compares.
		now := fmt.Sprintf("%+v", *announcement)
		for _, l := range a.links {
			if now == sent && a.clock.Now()-l.updatedAt < a.cfg.HeartbeatInterval {
				// Results have carried load and credit in the meantime.
				continue
			}
			a.update(l, func(f *wire.Frame) {
				if now != sent {
					f.Announcement = announcement
				}
			})
		}
		a.mu.Unlock()
		if now != sent {
			// Queued tasks may have lost their upstream, or found one.
			notify(a.wake)
		}
		sent = now
	}
}

func (a *Agent) announcement() *wire.Announcement {
	return &wire.Announcement{Upstreams: a.registry.Announced(), Draining: a.draining}
}

func normalURL(url string) string { return strings.TrimSuffix(url, "/") }

// sessionURL returns the address of the session endpoint of an entry.
func sessionURL(base string) string {
	return "ws" + strings.TrimPrefix(normalURL(base), "http") + "/v1/session"
}
