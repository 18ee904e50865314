// Package daemon runs the members of a process, serves its HTTP interfaces, and
// ends it without cutting requests.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"gypsumtide"
	"gypsumtide/internal/eventlog"
	"gypsumtide/internal/group"
)

// Config holds the parameters of a Process.
type Config struct {
	Name string
	Zone string
	// Metrics is the address of the metrics.
	Metrics string
	// Grace is the time between the request to end and the kill.
	Grace gypsumtide.Millis
	// LogBytes is the budget of decision lines in bytes a second.
	LogBytes int
	// Reload checks changed settings. It is called on SIGHUP.
	Reload func() error
}

// Process is what the roles of a program share.
type Process struct {
	cfg         Config
	incarnation string
	clock       gypsumtide.Clock
	log         *eventlog.Log
	metrics     *metrics.Set
	draining    atomic.Bool
}

// gcPercent lets the small heap grow further between two collections, which
// would take a noticeable part of a small processor share.
const gcPercent = 100

// incarnationLength is enough to tell the incarnations of one host apart.
const incarnationLength = 8

// New returns a Process with an incarnation of its own.
func New(cfg Config) *Process {
	debug.SetGCPercent(gcPercent)
	clock := gypsumtide.NewBootClock()
	incarnation := uuid.NewString()[:incarnationLength]
	log := eventlog.New(os.Stdout, clock, cfg.LogBytes).WithNode(cfg.Name, incarnation)
	set := metrics.NewSet()
	log.Register(set)
	return &Process{cfg: cfg, incarnation: incarnation, clock: clock, log: log, metrics: set}
}

// Incarnation identifies this life of the process.
func (p *Process) Incarnation() string { return p.incarnation }

// Clock returns the process's clock.
func (p *Process) Clock() gypsumtide.Clock { return p.clock }

// Log returns the log of decision lines.
func (p *Process) Log() *eventlog.Log { return p.log }

// Metrics returns the set of the process's metrics.
func (p *Process) Metrics() *metrics.Set { return p.metrics }

// Draining reports whether the process has been asked to end.
func (p *Process) Draining() bool { return p.draining.Load() }

// Margins of a stop.
const (
	// noticeTime covers the probes after which the balancer sends no new connections.
	noticeTime gypsumtide.Millis = 3000
	// endMargin is left before the process is killed.
	endMargin gypsumtide.Millis = 500
	// answerTime is the part of endMargin in which the last answers leave.
	answerTime gypsumtide.Millis = 250
)

// WorkTimeout bounds the wait for work in progress at the end of a process that
// serves no callers.
func (p *Process) WorkTimeout() gypsumtide.Millis { return max(endMargin, p.cfg.Grace-2*endMargin) }

// requestTimeout bounds the wait for open requests after the listener has closed.
func (p *Process) requestTimeout() gypsumtide.Millis {
	return max(endMargin, p.cfg.Grace-noticeTime-endMargin)
}

// Drain waits for the request to end, and returns when the listener for callers
// may close: until then the balancer may still send connections.
func (p *Process) Drain(ctx context.Context, asked <-chan struct{}) error {
	select {
	case <-asked:
	case <-ctx.Done():
		return ctx.Err()
	}
	p.draining.Store(true)
	p.log.Decision("drain", "grace-ms", p.cfg.Grace)
	gypsumtide.Sleep(ctx, min(noticeTime, p.cfg.Grace/2))
	return nil
}

// Limits of a connection.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// Serve runs an HTTP server until ctx is done. It then closes idle connections
// and waits for the requests in progress. Those that are left at the end of the
// grace are cut, but for the answers that giveUp causes. It may be nil.
func (p *Process) Serve(ctx context.Context, address string, h http.Handler, giveUp func()) error {
	srv := newServer(h)
	first := &arrivals{}
	first.watch(srv)
	return p.serve(ctx, address, srv, func() {
		sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.requestTimeout().Duration())
		defer cancel()
		first.wait(sctx)
		if err := srv.Shutdown(sctx); err == nil {
			return
		}
		if giveUp != nil {
			giveUp()
		}
		p.finish(ctx, srv, address)
	})
}

// finish gives the last answers time to leave, and cuts what is open then.
func (p *Process) finish(ctx context.Context, srv *http.Server, address string) {
	actx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime.Duration())
	defer cancel()
	if err := srv.Shutdown(actx); err != nil {
		p.log.Decision("requests-cut", "address", address, "error", err.Error())
		_ = srv.Close()
	}
}

// ServeSessions is like Serve for connections that do not end by themselves.
func (p *Process) ServeSessions(ctx context.Context, address string, h http.Handler) error {
	srv := newServer(h)
	return p.serve(ctx, address, srv, func() { _ = srv.Close() })
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// serve runs srv until ctx is done. It then accepts no more connections, and ends
// those that are open by stop.
func (p *Process) serve(ctx context.Context, address string, srv *http.Server, stop func()) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return gypsumtide.NewError("listen", address, err)
	}
	done := group.Go(ctx, func(context.Context) error { return srv.Serve(l) })
	select {
	case err := <-done:
		return gypsumtide.NewError("serve", address, err)
	case <-ctx.Done():
	}
	// The server ends by an error of the closed listener, after it has registered the
	// connections accepted before.
	cerr := l.Close()
	err = <-done
	stop()
	if cerr != nil || !errors.Is(err, net.ErrClosed) {
		return gypsumtide.NewError("serve", address, errors.Join(cerr, err))
	}
	return ctx.Err()
}

// Run runs the members together with what every process has, until ctx is done
// or a member ends with an error, and logs the start and the end.
func (p *Process) Run(ctx context.Context, members map[string]func(ctx context.Context) error) error {
	logs, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	written := group.Go(logs, p.log.Run)
	p.log.Decision("start", "pid", os.Getpid(), "zone", p.cfg.Zone, "metrics", p.cfg.Metrics)
	g := group.New(ctx)
	g.Add("metrics", func(ctx context.Context) error { return p.Serve(ctx, p.cfg.Metrics, p.metricsHandler(), nil) })
	g.Add("reload", p.watchReload)
	for name, member := range members {
		g.Add(name, member)
	}
	err := g.Wait()
	p.log.Decision("stop", "error", gypsumtide.ErrorText(err))
	stopLogs()
	<-written
	return err
}

func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// watchReload keeps SIGHUP from ending the process. Addresses cannot change in
// one life; what a new file says is checked and logged.
func (p *Process) watchReload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			p.log.Decision("reload", "error", gypsumtide.ErrorText(p.cfg.Reload()))
		}
	}
}
