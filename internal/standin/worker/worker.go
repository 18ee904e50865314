// Package worker is a stand-in for a worker of the platform with one upstream.
// It is for tests only.
package worker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// Config describes the worker and its upstream.
type Config struct {
	Name string
	// Agent is the base URL of the agent beside the worker.
	Agent  string
	Listen string
	// URL is the address that the upstream announces; the default is the listen address.
	URL         string
	Services    []string
	Slots       int
	Connections int
	Capacity    gypsumtide.Size
	TTL         gypsumtide.Millis
	// UsageLag is the age of the reported use.
	UsageLag gypsumtide.Millis
	// DrainTimeout bounds the wait for running tasks when the worker leaves.
	DrainTimeout time.Duration
	// History is the file that starts and ends are appended to; empty means none.
	History string
	// Key is presented to the agent and asked from it, if it is set.
	Key string
	// Client calls the agent; nil means the default client.
	Client *http.Client
	// Exit ends the process for the fault die. It must not return to the caller's work.
	Exit func()
}

// DefaultConfig returns a worker that runs on loopback.
func DefaultConfig() Config {
	return Config{
		Name: "upstream-1", Agent: "http://127.0.0.1:7101", Listen: "127.0.0.1:0", Services: []string{"echo"},
		Slots: 8, Connections: 64, Capacity: gypsumtide.Size{Processors: 16_000, Memory: 32 << 10},
		TTL: 2000, UsageLag: 1000, DrainTimeout: 30 * time.Second, Exit: func() { os.Exit(3) },
	}
}

// Worker is one run of the stand-in.
type Worker struct {
	cfg     Config
	clock   gypsumtide.Clock
	start   time.Time
	history *history
	metrics *metrics.Set
	starts  *metrics.Counter
	ends    *metrics.Counter
	refused *metrics.Counter
	// closed ends the tasks that the drain did not wait for.
	closed chan struct{}

	// announcing holds tasks back while an announcement is in progress. The agent
	// may send a task before its answer with the new generation has been read.
	announcing sync.RWMutex

	mu       sync.Mutex
	address  string
	lease    uint64
	expires  gypsumtide.Millis
	leaving  bool
	faults   Faults
	tasks    map[*task]struct{}
	usage    []usageSample
	usageNow gypsumtide.Size
}

// New returns a worker that does not run yet.
func New(cfg Config) (*Worker, error) {
	h, err := openHistory(cfg.History)
	if err != nil {
		return nil, err
	}
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	set := metrics.NewSet()
	return &Worker{
		cfg:     cfg,
		clock:   gypsumtide.NewSystemClock(),
		start:   time.Now(),
		history: h,
		metrics: set,
		starts:  set.NewCounter("standin_upstream_starts_total"),
		ends:    set.NewCounter("standin_upstream_ends_total"),
		refused: set.NewCounter("standin_upstream_refused_total"),
		closed:  make(chan struct{}),
		tasks:   make(map[*task]struct{}),
	}, nil
}

// Starts returns the number of tasks started.
func (w *Worker) Starts() uint64 { return w.starts.Get() }

// Address returns the address of the HTTP server once Run listens.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Run serves until ctx is done, then leaves and finishes the running tasks.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.cfg.Listen)
	if err != nil {
		return fmt.Errorf("worker: listen: %w", err)
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	if w.cfg.URL == "" {
		w.cfg.URL = "http://" + w.address
	}
	w.mu.Unlock()
	defer func() { _ = w.history.close() }()
	defer close(w.closed)
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g := group.New(inner)
	g.Add("serve", func(gctx context.Context) error { return w.serve(gctx, listener) })
	g.Add("announce", w.keepLease)
	g.Add("measure", w.measure)
	g.Add("leave", func(gctx context.Context) error {
		select {
		case <-gctx.Done():
		case <-ctx.Done():
			w.leave(gctx)
			cancel()
		}
		return gctx.Err()
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("worker: %w", err)
	}
	return nil
}

func (w *Worker) serve(ctx context.Context, listener net.Listener) error {
	srv := &http.Server{Handler: w.handler(), ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(listener) }()
	select {
	case err := <-done:
		return fmt.Errorf("http server: %w", err)
	case <-ctx.Done():
	}
	_ = srv.Close()
	<-done
	return ctx.Err()
}

func (w *Worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// leave tells the agent, and waits for the running tasks.
func (w *Worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	_ = w.call(ctx, http.MethodDelete, "/v1/upstreams/"+w.cfg.Name, nil, nil)
	deadline := time.Now().Add(w.cfg.DrainTimeout)
	for w.running() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	// The answer of the last task may still be on its way out.
	time.Sleep(50 * time.Millisecond)
}
