// Package worker implements a stand-in for a worker of the platform. Its one
// upstream announces itself to the dispatcher's agent on the worker's machine, which
// grants it a lease and then sends it tasks over HTTP. A task waits for the run time
// in its payload and does no work. The package is for tests only.
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
	// Name is the name of the upstream.
	Name string
	// Agent is the base URL of the agent on the worker's machine.
	Agent  string
	Listen string
	// URL is the URL that the upstream announces. The default is the listen address.
	URL      string
	Services []string
	// Slots is the number of tasks that the upstream runs at once, and Connections
	// the number of connections that the agent may open to it.
	Slots       int
	Connections int
	Capacity    gypsumtide.Size
	// TTL is the requested duration of the lease. Without a lease the upstream refuses
	// tasks.
	TTL gypsumtide.Millis
	// UsageLag is the age of the reported resource usage.
	UsageLag gypsumtide.Millis
	// DrainTimeout limits the wait for running tasks when the worker leaves.
	DrainTimeout time.Duration
	// History is the file to which task starts and ends are appended; empty means none.
	History string
	// Key is the key shared with the agent. If it is set, it is sent with requests
	// to the agent and required in the agent's requests.
	Key string
	// Client calls the agent; nil means the default client.
	Client *http.Client
	// Exit ends the process when the fault Die is set. The worker continues if it
	// returns, so only tests may let it return.
	Exit func()
}

// DefaultConfig returns a configuration that listens on the loopback interface.
func DefaultConfig() Config {
	return Config{
		Name: "upstream-1", Agent: "http://127.0.0.1:7101", Listen: "127.0.0.1:0", Services: []string{"echo"},
		Slots: 8, Connections: 64, Capacity: gypsumtide.Size{Processors: 16_000, Memory: 32 << 10},
		TTL: 2000, UsageLag: 1000, DrainTimeout: 30 * time.Second, Exit: func() { os.Exit(3) },
	}
}

// Worker is a stand-in worker. It can run once.
type Worker struct {
	cfg       Config
	clock     gypsumtide.Clock
	startedAt time.Time
	history   *history
	metrics   *metrics.Set
	starts    *metrics.Counter
	ends      *metrics.Counter
	refused   *metrics.Counter
	// abort is closed when Run ends, to stop the tasks that still run.
	abort chan struct{}

	// announceMu delays task starts while an announcement is in progress. The agent
	// may send a task before the worker has read the new lease generation from the
	// response to the announcement.
	announceMu sync.RWMutex

	mu              sync.Mutex
	address         string
	leaseGeneration uint64
	leaseExpiry     gypsumtide.Millis
	leaving         bool
	faults          Faults
	tasks           map[*task]struct{}
	usageSamples    []usageSample
	reportedUsage   gypsumtide.Size
}

// New returns a worker and opens its history file. Run starts it.
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
		cfg:       cfg,
		clock:     gypsumtide.NewSystemClock(),
		startedAt: time.Now(),
		history:   h,
		metrics:   set,
		starts:    set.NewCounter("standin_upstream_starts_total"),
		ends:      set.NewCounter("standin_upstream_ends_total"),
		refused:   set.NewCounter("standin_upstream_refused_total"),
		abort:     make(chan struct{}),
		tasks:     make(map[*task]struct{}),
	}, nil
}

// Starts returns the number of tasks started.
func (w *Worker) Starts() uint64 { return w.starts.Get() }

// Address returns the address of the HTTP server, or an empty string before Run
// listens.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Run serves until ctx is done. It then withdraws the upstream from the agent, refuses
// new tasks, waits for the running tasks for up to DrainTimeout and returns nil.
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
	defer close(w.abort)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g := group.New(runCtx)
	g.Add("serve", func(gctx context.Context) error { return w.serve(gctx, listener) })
	g.Add("announce", w.keepLease)
	g.Add("measure", w.sampleUsage)
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

// running returns the number of running tasks.
func (w *Worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// leave withdraws the upstream from the agent, whose answer it ignores, and waits for the
// running tasks for up to DrainTimeout.
func (w *Worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	_ = w.call(ctx, http.MethodDelete, "/v1/upstreams/"+w.cfg.Name, nil, nil)
	deadline := time.Now().Add(w.cfg.DrainTimeout)
	for w.running() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	// The response of the last task may not have been sent yet.
	time.Sleep(50 * time.Millisecond)
}
