package entry

import (
	"context"
	"errors"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/group"
	"gypsumtide/internal/wire"
)

var (
	errNoWelcome        = errors.New("no welcome frame received")
	errDialedSelf       = errors.New("the address belongs to this entry")
	errDuplicateSession = errors.New("a session to this peer already exists")
	errNoHello          = errors.New("no hello frame received")
)

// handleSession accepts the sessions of agents and other entries.
func (e *Entry) handleSession(w http.ResponseWriter, r *http.Request) {
	s, err := wire.Accept(w, r, e.clock, wire.Timing{HeartbeatInterval: agentHeartbeatInterval, ReceiveTimeout: agentReceiveTimeout}, &e.counters)
	if err != nil {
		e.log.Info("session refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	defer s.Close()
	err = e.serveSession(e.sessionCtx, s)
	e.log.V(1).Info("session ended", "peer", r.RemoteAddr, "error", gypsumtide.ErrorText(err))
}

// withKey rejects requests without the shared key, if one is configured. The system's own
// processes and the operators have it.
func (e *Entry) withKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !certificate.Authorized(r, e.sharedKey) {
			writeProblem(w, r, &wire.Problem{Type: "unauthorized", Status: http.StatusUnauthorized, Step: "check key", Detail: "shared key missing or wrong"}, "", nil)
			return
		}
		next(w, r)
	}
}

func (e *Entry) serveSession(ctx context.Context, s *wire.Session) error {
	s.SetReadLimit(wire.MaxHelloBytes)
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return err
	}
	s.SetReadLimit(wire.MaxFrameBytes)
	if f.Hello == nil {
		return gypsumtide.NewError("open session", s.Peer(), errNoHello)
	}
	if err := s.WriteFrame(ctx, &wire.Frame{Welcome: e.welcome()}); err != nil {
		return err
	}
	if f.Hello.Kind == "agent" {
		return e.serveAgent(ctx, f.Hello, s)
	}
	return e.servePeer(ctx, f.Hello, s)
}

// servePeer serves the session that another entry opened, until it ends.
func (e *Entry) servePeer(ctx context.Context, hello *wire.Hello, s *wire.Session) error {
	g := group.New(ctx)
	from := hello.Incarnation
	g.Add("peer session", func(ctx context.Context) error {
		return s.Run(ctx, func(f *wire.Frame) error {
			e.handlePeerFrame(g, from, s, f)
			return nil
		})
	})
	return g.Wait()
}

func (e *Entry) handlePeerFrame(g *group.Group, from string, s *wire.Session, f *wire.Frame) {
	e.shardManager.FrameReceived(from)
	if f.Heartbeat != nil {
		ack := e.shardManager.HandleHeartbeat(from, f.Heartbeat)
		e.home.recordUsage(from, f.Heartbeat.Usage)
		s.Update(func(out *wire.Frame) { out.HeartbeatAck, out.Revision = &ack, e.revision.Load() })
	}
	for i := range f.Forwards {
		req := f.Forwards[i]
		g.AddRequest(e.requestFailed, func(ctx context.Context) { e.answerForward(ctx, s, &req) })
	}
	if len(f.RosterUpdates) > 0 {
		acks := e.shardManager.HandleRosterUpdates(from, f.RosterUpdates)
		s.Update(func(out *wire.Frame) { out.RosterAcks = append(out.RosterAcks, acks...) })
	}
	for i := range f.Transfers {
		e.home.storeTransfer(&f.Transfers[i])
	}
	for i := range f.FinalLedgerParts {
		e.home.receiveFinalLedgerPart(from, &f.FinalLedgerParts[i])
	}
	if f.Drain {
		e.drain()
	}
	if f.StateRequest {
		if reply := e.stateReply(); reply != nil {
			s.Update(func(out *wire.Frame) { out.StateReply = reply })
		}
	}
}

// requestFailed logs the panic of a request that runs in a goroutine of its own.
func (e *Entry) requestFailed(err error) { e.log.Error(err, "request failed") }

// answerForward runs a forwarded request at this home. It ignores a submission that the
// sender must not have accepted.
func (e *Entry) answerForward(ctx context.Context, s *wire.Session, req *wire.Forward) {
	if err := validateForward(req); err != nil {
		e.log.Error(err, "forwarded request ignored", "peer", s.Peer())
		return
	}
	// The sender waits no longer than this for the answer.
	ctx, cancel := context.WithTimeout(ctx, (req.Budget + answerGracePeriod).Duration())
	defer cancel()
	a, ok := e.home.serve(ctx, req)
	if !ok {
		return
	}
	s.Update(func(f *wire.Frame) {
		f.ForwardReplies = append(f.ForwardReplies, wire.ForwardReply{Request: req.Request, Answer: a})
	})
}
