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
	// dialTimeout limits a connection attempt including the handshake.
	dialTimeout = 2 * time.Second
)

var errDuplicateSession = errors.New("another session to the same entry exists")

// frameSender is the part of wire.Session by which frames are sent.
type frameSender interface {
	// Update adds messages to the next frame.
	Update(add func(f *wire.Frame)) bool
}

// entrySession is an established session with an entry.
type entrySession struct {
	// number increases with each session.
	number  uint64
	sender  frameSender
	welcome *wire.Welcome
	// counters counts the frames of this session only, so that a drain can detect when a
	// frame has been written.
	counters *wire.Counters
	// updatedAt is the time at which messages were last added to a frame.
	updatedAt gypsumtide.Millis
	// echo is the newest clock reading of this agent that the entry has echoed.
	echo gypsumtide.Millis
}

// target is the address of an entry. The agent dials it whenever it has no session with
// the entry.
type target struct {
	url string
	// configured is set if the address is from the settings of the agent.
	configured bool
	// session is the current session by this address, or nil.
	session *entrySession
	// lastSeen is the last known time at which a connected entry listed the address, a
	// session by it existed, or the agent had no session at all.
	lastSeen gypsumtide.Millis
	// incarnation is the incarnation of the entry last reached at the address.
	incarnation string
}

// dialEntries maintains a session with each entry until ctx is done.
func (a *Agent) dialEntries(ctx context.Context) error {
	g := group.New(ctx)
	a.mu.Lock()
	a.addTarget = func(url string, configured bool) {
		t := &target{url: url, configured: configured, lastSeen: a.clock.Now()}
		a.targets[url] = t
		g.Add("session "+url, func(ctx context.Context) error {
			a.keepSession(ctx, t)
			return nil
		})
	}
	for _, url := range a.cfg.Entries {
		if url = trimURL(url); a.targets[url] == nil {
			a.addTarget(url, true)
		}
	}
	a.mu.Unlock()
	// This function keeps the group running, so that entries learned later can be added.
	g.Add("learn", func(ctx context.Context) error {
		<-ctx.Done()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.addTarget = nil
		return nil
	})
	return g.Wait()
}

// keepSession maintains the session with an entry until ctx is done or dropUnlisted drops
// the target. It dials again, with a back-off that grows while no session can be opened.
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
		if a.dropUnlisted(t) {
			return
		}
		// The random part spreads the dials of many agents to a restarted entry.
		pause := backOff/2 + rand.N(backOff)
		backOff = min(2*backOff, maxBackOff)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// runSession opens a session and runs it until it ends. It reports whether the session
// was established.
func (a *Agent) runSession(ctx context.Context, t *target) (established bool, err error) {
	a.mu.Lock()
	duplicate := a.connected(t.incarnation)
	a.mu.Unlock()
	if duplicate {
		// The entry is connected by another address. It would replace that session with
		// a new one.
		return false, errDuplicateSession
	}
	counters := &wire.Counters{}
	// runAnnouncements sends the heartbeats. The heartbeat interval of the session is
	// only a fallback and is longer, since with two equal timers 4.4 frames were sent
	// per second instead of 3.3.
	timing := wire.Timing{HeartbeatInterval: a.cfg.HeartbeatInterval * 3 / 2, ReceiveTimeout: a.cfg.ReceiveTimeout}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := certificate.Transport(a.cfg.TLS)
	if err != nil {
		return false, gypsumtide.NewError("dial session", t.url, err)
	}
	defer transport.CloseIdleConnections()
	conn, err := wire.Dial(dialCtx, &http.Client{Transport: transport}, sessionURL(t.url), a.sharedKey, a.clock, timing, counters)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	welcome, err := a.handshake(dialCtx, conn)
	if err != nil {
		return false, err
	}
	s := &entrySession{sender: conn, welcome: welcome, counters: counters}
	if err := a.registerSession(t, s); err != nil {
		return false, err
	}
	defer a.unregisterSession(t, s)
	a.handleWelcome(s, welcome)
	return true, conn.Run(ctx, func(f *wire.Frame) error { return a.handle(s, f) })
}

// handshake sends the hello and returns the welcome. It applies the configuration, if
// the entry has sent one with the welcome.
func (a *Agent) handshake(ctx context.Context, conn *wire.Session) (*wire.Welcome, error) {
	hello := &wire.Hello{Kind: "agent", Name: a.cfg.Name, Incarnation: a.incarnation, Zone: a.cfg.Zone, Rack: a.cfg.Rack}
	if err := conn.WriteFrame(ctx, &wire.Frame{Hello: hello}); err != nil {
		return nil, err
	}
	f, err := conn.ReadFrame(ctx)
	if err != nil {
		return nil, err
	}
	if f.Config != nil {
		if err := a.applyConfig(f.Config); err != nil {
			return nil, err
		}
	}
	if f.Welcome == nil {
		return nil, gypsumtide.NewError("handshake", conn.Peer(), errors.New("first frame is not a welcome"))
	}
	return f.Welcome, nil
}

// registerSession adds an established session. It returns errDuplicateSession if there
// is one with the same entry incarnation.
func (a *Agent) registerSession(t *target, s *entrySession) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.incarnation = s.welcome.Incarnation
	if a.connected(t.incarnation) {
		return errDuplicateSession
	}
	a.lastSession++
	s.number = a.lastSession
	a.sessions[s.number] = s
	t.session = s
	announcement := a.announcement()
	a.updateFrame(s, func(f *wire.Frame) { f.Announcement = announcement })
	a.log.Info("session established", "entry", s.welcome.Name, "incarnation", s.welcome.Incarnation, "url", t.url)
	return nil
}

// connected reports whether a session with the entry incarnation exists. The mutex
// must be held.
func (a *Agent) connected(incarnation string) bool {
	for _, s := range a.sessions {
		if s.welcome.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// unregisterSession removes a session that has ended.
func (a *Agent) unregisterSession(t *target, s *entrySession) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s.number)
	t.session = nil
	t.lastSeen = a.clock.Now()
}

// handleWelcome stores the welcome and dials the entries that it newly lists. Entries
// that it no longer lists are dropped by dropUnlisted once they cannot be reached.
func (a *Agent) handleWelcome(s *entrySession, w *wire.Welcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s.welcome = w
	if a.addTarget == nil {
		return
	}
	for _, e := range w.Entries {
		// An entry may advertise an address other than the one by which it is connected.
		if url := trimURL(e.URL); url != "" && a.targets[url] == nil && !a.connected(e.Incarnation) {
			a.addTarget(url, false)
		}
	}
}

// listedByEntry reports whether a connected entry lists the address. The mutex must be
// held.
func (a *Agent) listedByEntry(url string) bool {
	for _, s := range a.sessions {
		if slices.ContainsFunc(s.welcome.Entries, func(e wire.EntryInfo) bool { return trimURL(e.URL) == url }) {
			return true
		}
	}
	return false
}

// dropUnlisted drops a target, and reports true, if it has had no session and no
// connected entry has listed it for EntryGrace. The grace period covers short
// interruptions of the session with an entry that the other entries do not list yet.
// Without any session the target is kept, since the agent cannot tell whether the
// entry has left. Configured targets are always kept.
func (a *Agent) dropUnlisted(t *target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if t.configured || len(a.sessions) == 0 || a.listedByEntry(t.url) {
		t.lastSeen = now
		return false
	}
	if now-t.lastSeen < a.cfg.EntryGrace {
		return false
	}
	delete(a.targets, t.url)
	return true
}

// runAnnouncements sends the announcement when it has changed, and at each heartbeat the
// load on the sessions for which updateFrame was not called within HeartbeatInterval.
func (a *Agent) runAnnouncements(ctx context.Context) error {
	ticker := time.NewTicker(a.cfg.HeartbeatInterval.Duration())
	defer ticker.Stop()
	sent := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.announceNow:
		}
		a.mu.Lock()
		announcement := a.announcement()
		// The registry does not report when a lease or a back-off ends, so the announcement
		// is compared at each heartbeat.
		current := fmt.Sprintf("%+v", *announcement)
		for _, s := range a.sessions {
			if current == sent && a.clock.Now()-s.updatedAt < a.cfg.HeartbeatInterval {
				// A frame with the load and a clock reading has been sent recently or is pending.
				continue
			}
			a.updateFrame(s, func(f *wire.Frame) {
				if current != sent {
					f.Announcement = announcement
				}
			})
		}
		a.mu.Unlock()
		if current != sent {
			// Queued tasks may have lost their upstream or can start at another one.
			notify(a.scheduleNow)
		}
		sent = current
	}
}

func (a *Agent) announcement() *wire.Announcement {
	return &wire.Announcement{Upstreams: a.registry.Announced(), Draining: a.draining, ZoneEvacuated: a.zoneEvacuated}
}

// trimURL removes the trailing slash of a URL, so that equal addresses compare equal.
func trimURL(url string) string { return strings.TrimSuffix(url, "/") }

// sessionURL returns the URL of the session endpoint of an entry.
func sessionURL(base string) string {
	return "ws" + strings.TrimPrefix(trimURL(base), "http") + "/v1/session"
}
