// Package link opens the sessions between entries and agents and keeps the
// addresses of the entries.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Intervals of a session. ReceiveTimeout and the agent's grace for a lost entry stay
// together below the time after which callers submit a job again.
const (
	heartbeat      gypsumtide.Millis = 150
	ReceiveTimeout gypsumtide.Millis = 500
	// MaxEchoAge is the age at which an agent rejects the echo of an order.
	MaxEchoAge gypsumtide.Millis = 450
	// dialTimeout bounds a connection attempt. An attempt at a host that is about
	// to return hangs until it ends, so it is short.
	dialTimeout gypsumtide.Millis = 150
)

// Path is the HTTP path of agent sessions.
const Path = "/v1/agents"

var timing = wire.Timing{HeartbeatInterval: heartbeat, ReceiveTimeout: ReceiveTimeout}

var client = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext,
}}

var counters wire.Counters

// Counters returns the traffic counts of all sessions of the process.
func Counters() *wire.Counters { return &counters }

// Dial opens a session to the entry at address.
func Dial(ctx context.Context, address string, clock gypsumtide.Clock) (*wire.Session, error) {
	dctx, cancel := context.WithTimeout(ctx, 2*dialTimeout.Duration())
	defer cancel()
	return wire.Dial(dctx, client, "http://"+address+Path, "", clock, timing, &counters)
}

// Accept upgrades a request to a session.
func Accept(w http.ResponseWriter, r *http.Request, clock gypsumtide.Clock) (*wire.Session, error) {
	return wire.Accept(w, r, clock, timing, &counters)
}

// ClientHandshake sends hello and waits for the answer.
func ClientHandshake(ctx context.Context, s *wire.Session, hello wire.Hello) (wire.Welcome, error) {
	if err := s.WriteFrame(ctx, &wire.Frame{Hello: &hello}); err != nil {
		return wire.Welcome{}, gypsumtide.NewError("introduce", s.Peer(), err)
	}
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return wire.Welcome{}, gypsumtide.NewError("introduce", s.Peer(), err)
	}
	if f.Welcome == nil {
		return wire.Welcome{}, gypsumtide.NewError("introduce", s.Peer(), errors.New("first frame is no welcome"))
	}
	return *f.Welcome, nil
}

// ServerHandshake waits for the hello of a peer and answers it.
func ServerHandshake(ctx context.Context, s *wire.Session, welcome wire.Welcome) (wire.Hello, error) {
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return wire.Hello{}, gypsumtide.NewError("greet", s.Peer(), err)
	}
	if f.Hello == nil {
		return wire.Hello{}, gypsumtide.NewError("greet", s.Peer(), errors.New("first frame is no hello"))
	}
	if err := s.WriteFrame(ctx, &wire.Frame{Welcome: &welcome}); err != nil {
		return wire.Hello{}, gypsumtide.NewError("greet", s.Peer(), err)
	}
	return *f.Hello, nil
}
