// Package link opens the sessions between entries and agents, makes HTTP calls
// between entries and keeps the addresses of the entries.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Intervals and time limits of a session.
const (
	heartbeatInterval gypsumtide.Millis = 150
	// agentIdleInterval replaces heartbeatInterval for an agent that holds no order of the
	// entry. Together with the time that frames take, it must stay below MaxEchoAge, since
	// the entry returns the clock reading of the agent's last frame with its next order.
	agentIdleInterval gypsumtide.Millis = 250
	// entryIdleInterval replaces heartbeatInterval for an entry that has no task at the
	// agent.
	entryIdleInterval gypsumtide.Millis = 1000
	// ReceiveTimeout is the time without a received frame after which a session is
	// closed, unless the last frame announced an idle interval. Together with the time for which an agent continues the runs of a
	// disconnected entry, it must stay below the time after which callers submit a job
	// again.
	ReceiveTimeout gypsumtide.Millis = 500
	// MaxEchoAge is the highest age of the echo in a frame at which an agent accepts
	// the frame's Orders, which start runs. The echo is a clock reading of the agent
	// that the entry returns. Older orders are rejected because an entry that was
	// suspended may send orders whose callers no longer wait.
	MaxEchoAge gypsumtide.Millis = 450
	// dialTimeout limits a connection attempt. It is short, since an attempt to reach
	// a host that is restarting gets no answer until it times out.
	dialTimeout gypsumtide.Millis = 150
)

// maxAgentFrameBytes is the size of the largest frame that an entry accepts of an agent. The
// longest are the reports and the list of runs with which a session is resumed, of about 100
// bytes for each run.
const maxAgentFrameBytes = 4 << 20

// SessionPath is the HTTP path of agent sessions.
const SessionPath = "/v1/agents"

// agentTiming and entryTiming are used by the two ends of a session.
var (
	agentTiming = wire.Timing{HeartbeatInterval: heartbeatInterval, IdleInterval: agentIdleInterval, ReceiveTimeout: ReceiveTimeout}
	entryTiming = wire.Timing{HeartbeatInterval: heartbeatInterval, IdleInterval: entryIdleInterval, ReceiveTimeout: ReceiveTimeout}
)

// httpClient opens the WebSocket connections of Dial.
var httpClient = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext,
}}

// counters counts the traffic of all sessions that Dial and Accept opened.
var counters wire.Counters

// Counters returns the traffic counters of all sessions that Dial and Accept opened.
func Counters() *wire.Counters { return &counters }

// Dial opens a session to the entry at address.
func Dial(ctx context.Context, address string, clock gypsumtide.Clock) (*wire.Session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, 2*dialTimeout.Duration())
	defer cancel()
	return wire.Dial(dialCtx, httpClient, "http://"+address+SessionPath, "", clock, agentTiming, &counters)
}

// Accept upgrades an HTTP request to a session.
func Accept(w http.ResponseWriter, r *http.Request, clock gypsumtide.Clock) (*wire.Session, error) {
	return wire.Accept(w, r, clock, entryTiming, &counters)
}

// ClientHandshake sends hello and waits for the welcome.
func ClientHandshake(ctx context.Context, s *wire.Session, hello wire.Hello) (wire.Welcome, error) {
	if err := s.WriteFrame(ctx, &wire.Frame{Hello: &hello}); err != nil {
		return wire.Welcome{}, gypsumtide.NewError("handshake", s.Peer(), err)
	}
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return wire.Welcome{}, gypsumtide.NewError("handshake", s.Peer(), err)
	}
	if f.Welcome == nil {
		return wire.Welcome{}, gypsumtide.NewError("handshake", s.Peer(), errors.New("first frame is not a welcome"))
	}
	return *f.Welcome, nil
}

// ServerHandshake waits for the hello of the peer and answers it with welcome.
func ServerHandshake(ctx context.Context, s *wire.Session, welcome wire.Welcome) (wire.Hello, error) {
	s.SetReadLimit(wire.MaxHelloBytes)
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return wire.Hello{}, gypsumtide.NewError("handshake", s.Peer(), err)
	}
	if f.Hello == nil {
		return wire.Hello{}, gypsumtide.NewError("handshake", s.Peer(), errors.New("first frame is not a hello"))
	}
	if err := s.WriteFrame(ctx, &wire.Frame{Welcome: &welcome}); err != nil {
		return wire.Hello{}, gypsumtide.NewError("handshake", s.Peer(), err)
	}
	s.SetReadLimit(maxAgentFrameBytes)
	return *f.Hello, nil
}
