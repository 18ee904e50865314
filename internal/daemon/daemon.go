// Package daemon runs the components of a process, serves its HTTP interfaces,
// and shuts it down without cutting off requests.
package daemon

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"gypsumtide"
	"gypsumtide/internal/clientlimit"
	"gypsumtide/internal/eventlog"
	"gypsumtide/internal/group"
)

// Config holds the parameters of a Process.
type Config struct {
	Name string
	Zone string
	// MetricsAddress is the address on which metrics are served.
	MetricsAddress string
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod gypsumtide.Millis
	// LogBytesPerSecond is the budget of the decision log in bytes per second.
	LogBytesPerSecond int
	// CheckSettings validates the settings file. It is called on SIGHUP.
	CheckSettings func() error
	// Limits are the limits of the machine, from which those of clients are derived.
	Limits clientlimit.Limits
}

// Process holds the parts that entries and agents share: the clock, the decision log,
// the metrics and the state of the shutdown.
type Process struct {
	cfg         Config
	incarnation string
	clock       gypsumtide.Clock
	log         *eventlog.Log
	metrics     *metrics.Set
	draining    atomic.Bool
	saturation  Saturation
	guard       *clientlimit.Guard
	// handlers are the further handlers on the metrics address, by pattern.
	handlers map[string]http.Handler
}

// gcPercent is the growth of the heap between two garbage collections in percent.
// Since the heap is small, a lower value makes them so frequent that they take a
// noticeable part of a small CPU quota.
const gcPercent = 100

// incarnationLength is the length of an incarnation ID. It is short, since the ID has
// to distinguish only the incarnations of one host.
const incarnationLength = 8

// New returns a Process with a new incarnation ID.
func New(cfg Config) *Process {
	debug.SetGCPercent(gcPercent)
	clock := gypsumtide.NewBootClock()
	incarnation := uuid.NewString()[:incarnationLength]
	log := eventlog.New(os.Stdout, clock, cfg.LogBytesPerSecond).WithNode(cfg.Name, incarnation)
	set := metrics.NewSet()
	log.Register(set)
	p := &Process{cfg: cfg, incarnation: incarnation, clock: clock, log: log, metrics: set}
	p.guard = clientlimit.NewGuard(cfg.Limits, clock, set, p.logTurnedAway)
	return p
}

// logTurnedAway logs how many clients of a listener were turned away, by reason.
func (p *Process) logTurnedAway(listener string, turnedAway map[string]int) {
	fields := []any{"listener", listener}
	for _, reason := range slices.Sorted(maps.Keys(turnedAway)) {
		fields = append(fields, reason, turnedAway[reason])
	}
	p.log.Decision("clients-turned-away", fields...)
}

// HandleOnMetricsAddress serves a handler on the metrics address, which is for operators. The
// pattern is one of http.ServeMux. It must be called before Run.
func (p *Process) HandleOnMetricsAddress(pattern string, h http.Handler) {
	if p.handlers == nil {
		p.handlers = make(map[string]http.Handler)
	}
	p.handlers[pattern] = h
}

// Incarnation returns the incarnation ID, which is new at each start of the process.
func (p *Process) Incarnation() string { return p.incarnation }

// Clock returns the process's clock.
func (p *Process) Clock() gypsumtide.Clock { return p.clock }

// Log returns the decision log.
func (p *Process) Log() *eventlog.Log { return p.log }

// Metrics returns the metrics of the process.
func (p *Process) Metrics() *metrics.Set { return p.metrics }

// Draining reports whether the process has been asked to stop.
func (p *Process) Draining() bool { return p.draining.Load() }

// Durations within a shutdown.
const (
	// drainDelay is the time for which connections of callers are still accepted after
	// the readiness probe has begun to fail. By its end, enough probes have failed that
	// the load balancer sends no new connections.
	drainDelay gypsumtide.Millis = 3000
	// shutdownMargin is the part of the grace period that is reserved for the last steps
	// of the shutdown, so that the process is not killed before it exits.
	shutdownMargin gypsumtide.Millis = 500
	// lastResponseTimeout is the part of shutdownMargin in which the last responses
	// are sent.
	lastResponseTimeout gypsumtide.Millis = 250
)

// DrainTimeout limits the wait for work in progress at the shutdown of a process
// that serves no callers.
func (p *Process) DrainTimeout() gypsumtide.Millis {
	return max(shutdownMargin, p.cfg.GracePeriod-2*shutdownMargin)
}

// requestTimeout limits the wait for requests in progress after the listener has
// been closed.
func (p *Process) requestTimeout() gypsumtide.Millis {
	return max(shutdownMargin, p.cfg.GracePeriod-drainDelay-shutdownMargin)
}

// Drain waits until stopRequested is closed, and marks the process as draining. It
// returns when the listener for callers may be closed: until then the load balancer
// may still send connections.
func (p *Process) Drain(ctx context.Context, stopRequested <-chan struct{}) error {
	select {
	case <-stopRequested:
	case <-ctx.Done():
		return ctx.Err()
	}
	p.draining.Store(true)
	p.log.Decision("drain", "grace-ms", p.cfg.GracePeriod)
	gypsumtide.Sleep(ctx, min(drainDelay, p.cfg.GracePeriod/2))
	return nil
}

// Timeouts of a connection.
const (
	headerTimeout = clientlimit.HeadTimeout
	idleTimeout   = 60 * time.Second
)

// Names of listeners in logs and metrics.
const (
	listenerClients  = "clients"
	listenerSessions = "sessions"
)

// Serve runs an HTTP server for callers or workers until ctx is done. It then stops accepting
// connections, waits for the first requests on new ones, closes idle ones and waits for the
// requests in progress. If some are left shortly before the end of the grace period, it calls
// abort, which should make them respond, and cuts off those that still have no response
// after lastResponseTimeout. abort may be nil.
func (p *Process) Serve(ctx context.Context, address string, h http.Handler, abort func()) error {
	return p.serveRequests(ctx, listenerClients, clientlimit.ShareClients, address, h, abort)
}

// ServeProbes is like Serve for a listener that is not for callers or workers. It has a small
// share of the process's limits.
func (p *Process) ServeProbes(ctx context.Context, name, address string, h http.Handler) error {
	return p.serveRequests(ctx, name, clientlimit.ShareProbes, address, h, nil)
}

func (p *Process) serveRequests(ctx context.Context, name string, share clientlimit.Share, address string, h http.Handler, abort func()) error {
	srv := newServer(h)
	pending := &pendingConns{}
	pending.track(srv)
	return p.serve(ctx, name, share, address, srv, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.requestTimeout().Duration())
		defer cancel()
		pending.wait(shutdownCtx)
		if err := srv.Shutdown(shutdownCtx); err == nil {
			return
		}
		if abort != nil {
			abort()
		}
		p.flushResponses(ctx, srv, address)
	})
}

// flushResponses waits up to lastResponseTimeout for the last responses to be
// sent, and then closes the remaining connections.
func (p *Process) flushResponses(ctx context.Context, srv *http.Server, address string) {
	responseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastResponseTimeout.Duration())
	defer cancel()
	if err := srv.Shutdown(responseCtx); err != nil {
		p.log.Decision("requests-cut", "address", address, "error", err.Error())
		_ = srv.Close()
	}
}

// ServeSessions is like Serve, but closes all connections at once when ctx is
// done, since long-lived connections do not end by themselves.
func (p *Process) ServeSessions(ctx context.Context, address string, h http.Handler) error {
	srv := newServer(h)
	return p.serve(ctx, listenerSessions, clientlimit.ShareSessions, address, srv, func() { _ = srv.Close() })
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// serve runs srv until ctx is done, within the share of the process's limits. It then stops
// accepting connections, and calls stop to end the open ones.
func (p *Process) serve(ctx context.Context, name string, share clientlimit.Share, address string, srv *http.Server, stop func()) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return gypsumtide.NewError("listen", address, err)
	}
	l, pool, err := p.guard.Listen(name, inner, share, nil)
	if err != nil {
		return errors.Join(err, inner.Close())
	}
	pool.Protect(srv)
	done := group.Go(ctx, func(context.Context) error { return srv.Serve(l) })
	select {
	case err := <-done:
		return gypsumtide.NewError("serve", address, err)
	case <-ctx.Done():
	}
	// Closing the listener makes srv.Serve return an error, after it has registered
	// the connections that it accepted before.
	closeErr := l.Close()
	err = <-done
	stop()
	if closeErr != nil || !errors.Is(err, net.ErrClosed) {
		return gypsumtide.NewError("serve", address, errors.Join(closeErr, err))
	}
	return ctx.Err()
}

// Run runs the components together with the metrics server and the SIGHUP handler,
// until ctx is done or a component returns an error. It logs the start and the
// stop.
func (p *Process) Run(ctx context.Context, components map[string]func(ctx context.Context) error) error {
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := group.Go(logCtx, p.log.Run)
	p.log.Decision("start", "pid", os.Getpid(), "zone", p.cfg.Zone, "metrics", p.cfg.MetricsAddress)
	g := group.New(ctx)
	g.Add("metrics", func(ctx context.Context) error {
		return p.ServeProbes(ctx, "metrics", p.cfg.MetricsAddress, p.metricsHandler())
	})
	g.Add("reload", p.watchReload)
	for name, component := range components {
		g.Add(name, component)
	}
	err := g.Wait()
	p.log.Decision("stop", "error", gypsumtide.ErrorText(err))
	stopLog()
	<-logDone
	return err
}

func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	for pattern, h := range p.handlers {
		mux.Handle(pattern, h)
	}
	return mux
}

// watchReload handles SIGHUP, which would otherwise end the process. Addresses
// cannot change while the process runs, so the settings file is only checked and
// the result logged.
func (p *Process) watchReload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			p.log.Decision("reload", "error", gypsumtide.ErrorText(p.cfg.CheckSettings()))
		}
	}
}
