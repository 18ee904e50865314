// Package agent is the daemon beside the upstreams of a worker. It starts the
// tasks that the homes dispatch, keeps the start ledger and reports results.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/group"
	"gypsumtide/internal/ledger"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/upstream"
	"gypsumtide/internal/wire"
)

// expireInterval is the time between two sweeps of the ledger.
const expireInterval = 5 * time.Second

// maxBody bounds the answer to a task. The answers of 8 slots together stay
// below the bound of a frame.
const maxBody = 4 << 20

// Agent is one incarnation of the daemon.
type Agent struct {
	cfg         *settings.Agent
	key         string
	log         logr.Logger
	clock       gypsumtide.Clock
	incarnation string
	ledger      *ledger.Ledger
	registry    *upstream.Registry
	metrics     *metrics.Set
	counts      *counts

	// ended receives each task once when its request to the upstream ends.
	ended chan ended
	// wake asks the scheduler to run.
	wake chan struct{}
	// offer asks for a new announcement.
	offer chan struct{}
	// runCtx ends the requests to upstreams when the agent stops.
	runCtx context.Context

	// request sends a started task to its upstream.
	request func(it *item, budget gypsumtide.Millis) wire.Result
	// stops counts the stop requests in progress.
	stops sync.WaitGroup

	mu        sync.Mutex
	queue     *localQueue
	running   map[taskKey]*item
	links     map[uint64]*link
	lastLink  uint64
	targets   map[string]*target
	draining  bool
	config    *wire.Config
	decisions uint64
	address   string
	// dial starts a target; it is nil unless the sessions run.
	dial func(url string, fixed bool)
}

// taskKey identifies a task of a submission.
type taskKey struct {
	submission gypsumtide.SubmissionID
	task       uint32
}

func keyOf(ref wire.TaskRef) taskKey { return taskKey{submission: ref.Submission, task: ref.Task} }

// ended is the end of a request to an upstream.
type ended struct {
	item   *item
	result wire.Result
}

// New returns an agent with a new incarnation.
func New(cfg *settings.Agent, log logr.Logger, clock gypsumtide.Clock) (*Agent, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("agent: incarnation: %w", err)
	}
	key, err := certificate.ReadKey(cfg.SharedKey)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	if _, err := certificate.ClientConfig(cfg.TLS); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg:         cfg,
		key:         key,
		log:         log,
		clock:       clock,
		incarnation: id.String(),
		ended:       make(chan ended, 64),
		wake:        make(chan struct{}, 1),
		offer:       make(chan struct{}, 1),
		queue:       newLocalQueue(cfg.QueueLength),
		running:     make(map[taskKey]*item),
		links:       make(map[uint64]*link),
		targets:     make(map[string]*target),
		metrics:     metrics.NewSet(),
	}
	a.ledger = ledger.New(clock, ledger.Limits{IDRetention: cfg.IDRetention, ResultRetention: cfg.ResultRetention, ResultBytes: cfg.ResultBytes})
	a.registry = upstream.New(clock, upstream.Config{
		DefaultSlots:       cfg.Slots,
		DefaultConnections: cfg.Connections,
		DefaultTTL:         cfg.LeaseTTL,
		ReserveShort:       cfg.ReserveShort,
		MaxRunTime:         cfg.MaxRunTime,
		MaxBody:            maxBody,
		Key:                key,
		TLS:                func() (*tls.Config, error) { return certificate.ClientConfig(cfg.TLS) },
		Health:             upstream.HealthConfig(cfg.Ejection),
	}, func() { notify(a.offer); notify(a.wake) })
	a.counts = newCounts(a)
	a.request = func(it *item, budget gypsumtide.Millis) wire.Result {
		return it.slot.Run(a.runCtx, &it.dispatch, budget)
	}
	return a, nil
}

// Incarnation returns the id of this run of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// Registry returns the upstreams beside the agent.
func (a *Agent) Registry() *upstream.Registry { return a.registry }

// Ledger returns the start ledger.
func (a *Agent) Ledger() *ledger.Ledger { return a.ledger }

// Run serves until ctx is done, then drains and returns.
func (a *Agent) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g := group.New(inner)
	a.runCtx = g.Context()
	server, err := a.listen()
	if err != nil {
		return err
	}
	g.Add("serve", func(ctx context.Context) error { return a.serve(ctx, server) })
	g.Add("schedule", a.loop)
	g.Add("announce", a.announce)
	g.Add("sessions", a.dialEntries)
	g.Add("drain", func(gctx context.Context) error {
		select {
		case <-gctx.Done():
		case <-ctx.Done():
			a.drain(gctx)
			cancel()
		}
		return gctx.Err()
	})
	a.log.Info("agent started", "name", a.cfg.Name, "incarnation", a.incarnation, "listen", server.Addr().String())
	err = g.Wait()
	a.stops.Wait()
	a.registry.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("agent: %w", err)
	}
	a.log.Info("agent stopped", "name", a.cfg.Name)
	return nil
}

// loop finishes tasks, starts queued ones and sweeps the ledger.
func (a *Agent) loop(ctx context.Context) error {
	sweep := time.NewTicker(expireInterval)
	defer sweep.Stop()
	deadline := time.NewTimer(time.Hour)
	defer deadline.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.collect(ctx)
		case e := <-a.ended:
			a.finish(e)
		case <-a.wake:
		case <-deadline.C:
		case <-sweep.C:
			a.ledger.Expire()
		}
		deadline.Reset(a.schedule().Duration())
	}
}

// collect receives the ends of the tasks that the end of ctx interrupts. No
// task starts after it, since nobody would receive its end.
func (a *Agent) collect(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	for {
		a.mu.Lock()
		n := len(a.running)
		a.mu.Unlock()
		if n == 0 {
			return ctx.Err()
		}
		a.finish(<-a.ended)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
