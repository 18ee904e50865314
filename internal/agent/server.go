package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/clientlimit"
	"gypsumtide/internal/wire"
)

// Status is the response to GET /v1/status.
type Status struct {
	Name        string            `json:"name"`
	Incarnation string            `json:"incarnation"`
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack"`
	Revision    uint64            `json:"revision"`
	Draining    bool              `json:"draining"`
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
	Entries     []StatusEntry     `json:"entries"`
	Upstreams   []wire.Upstream   `json:"upstreams"`
	Ledger      StatusLedger      `json:"ledger"`
	Now         gypsumtide.Millis `json:"now-ms"`
}

// StatusEntry is an address that the agent dials.
type StatusEntry struct {
	URL         string `json:"url"`
	Name        string `json:"name,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Connected   bool   `json:"connected"`
}

// StatusLedger summarises the ledger.
type StatusLedger struct {
	Entries       int `json:"entries"`
	RetainedBytes int `json:"retained-bytes"`
}

// listen opens the listener of the HTTP server, with TLS if it is configured.
func (a *Agent) listen() (net.Listener, *clientlimit.Pool, error) {
	tlsConfig, err := certificate.ServerConfig(a.cfg.TLS)
	if err != nil {
		return nil, nil, fmt.Errorf("agent: %w", err)
	}
	inner, err := net.Listen("tcp", a.cfg.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("agent: listen: %w", err)
	}
	guard := clientlimit.NewGuard(a.cfg.Limits(), a.clock, a.metrics, clientlimit.LogTurnedAway(a.log))
	l, pool, err := guard.Listen("agent", inner, clientlimit.ShareAll, tlsConfig)
	if err != nil {
		return nil, nil, errors.Join(err, inner.Close())
	}
	a.mu.Lock()
	a.address = l.Addr().String()
	a.mu.Unlock()
	return l, pool, nil
}

// Address returns the address of the HTTP server, or an empty string before Run
// listens.
func (a *Agent) Address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// idleTimeout is the time after which idle connections are closed. It is longer than that of
// the clients of the system's own processes.
const idleTimeout = 2 * time.Minute

// serve runs the HTTP server until ctx is done. Open requests get a second to finish.
func (a *Agent) serve(ctx context.Context, l net.Listener, pool *clientlimit.Pool) error {
	srv := &http.Server{Handler: a.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout}
	pool.Protect(srv)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return fmt.Errorf("http server: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		_ = srv.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("http server: %w", err)
	}
	return ctx.Err()
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	upstreams := a.registry.Handler()
	mux.Handle("/v1/upstreams", upstreams)
	mux.Handle("/v1/upstreams/", upstreams)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.metrics.WritePrometheus(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", a.ready)
	return mux
}

// ready responds with status 200 if the agent has a session and is not draining.
func (a *Agent) ready(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	ok := len(a.sessions) > 0 && !a.draining
	a.mu.Unlock()
	if !ok {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (a *Agent) status(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	s := Status{
		Name: a.cfg.Name, Incarnation: a.incarnation, Zone: a.cfg.Zone, Rack: a.cfg.Rack,
		Revision: a.revision(), Draining: a.draining, Running: len(a.running), Queued: a.queue.len(),
		Upstreams: a.registry.Announced(), Now: a.clock.Now(),
		Ledger: StatusLedger{Entries: a.ledger.TaskCount(), RetainedBytes: a.ledger.RetainedBytes()},
	}
	for _, t := range a.targets {
		e := StatusEntry{URL: t.url, Connected: t.session != nil}
		if t.session != nil {
			e.Name, e.Incarnation = t.session.welcome.Name, t.session.welcome.Incarnation
		}
		s.Entries = append(s.Entries, e)
	}
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}
