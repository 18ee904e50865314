// Package agent implements the daemon that runs on the host of the upstreams. It
// keeps a session with each entry. The entry that is the home of a submission
// dispatches the tasks of the submission to the agent, which queues them, sends them to
// upstreams, records in its ledger which tasks have started and reports the results.
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

// ledgerSweepInterval is the interval at which expired tasks are removed from the
// ledger.
const ledgerSweepInterval = 5 * time.Second

// maxResponseBytes limits the response to a task. The responses of 8 slots together
// stay below the size limit of a frame.
const maxResponseBytes = 4 << 20

// Agent is one run of the daemon, identified by its incarnation.
type Agent struct {
	cfg         *settings.Agent
	sharedKey   string
	log         logr.Logger
	clock       gypsumtide.Clock
	incarnation string
	ledger      *ledger.Ledger
	registry    *upstream.Registry
	metrics     *metrics.Set
	taskMetrics *taskMetrics

	// taskEnds receives each started task once, when its request to the upstream has
	// ended.
	taskEnds chan taskEnd
	// scheduleNow wakes the scheduler.
	scheduleNow chan struct{}
	// announceNow requests a new announcement.
	announceNow chan struct{}
	// requestCtx is the context of the requests to upstreams. It is cancelled when the
	// agent stops.
	requestCtx context.Context

	// sendTask sends a started task to its upstream.
	sendTask func(t *task, budget gypsumtide.Millis) wire.Result
	// stopRequests counts the stop requests in progress.
	stopRequests sync.WaitGroup

	mu      sync.Mutex
	queue   *taskQueue
	running map[taskKey]*task
	// sessions contains the established sessions by number. lastSession is the number of
	// the newest one.
	sessions    map[uint64]*entrySession
	lastSession uint64
	// targets contains the addresses of entries to dial, by URL.
	targets  map[string]*target
	draining bool
	// config is the current configuration, or nil before the first one.
	config *wire.Config
	// zoneEvacuated is set while no task may start because the agent's availability zone is
	// evacuated.
	zoneEvacuated bool
	// decisionCount counts the decisions for the sampling of the log.
	decisionCount uint64
	// address is the address of the HTTP server.
	address string
	// addTarget starts to dial an entry. It is nil while dialEntries does not run.
	addTarget func(url string, configured bool)
}

// taskKey identifies a task of a submission.
type taskKey struct {
	submission gypsumtide.SubmissionID
	task       uint32
}

func keyOf(ref wire.TaskRef) taskKey { return taskKey{submission: ref.Submission, task: ref.Task} }

// taskEnd is the end of a task's request to its upstream.
type taskEnd struct {
	task   *task
	result wire.Result
}

// New returns an agent with a new incarnation.
func New(cfg *settings.Agent, log logr.Logger, clock gypsumtide.Clock) (*Agent, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("agent: create incarnation id: %w", err)
	}
	key, err := certificate.ReadKey(cfg.SharedKeyFile)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	if _, err := certificate.ClientConfig(cfg.TLS); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg:         cfg,
		sharedKey:   key,
		log:         log,
		clock:       clock,
		incarnation: id.String(),
		taskEnds:    make(chan taskEnd, 64),
		scheduleNow: make(chan struct{}, 1),
		announceNow: make(chan struct{}, 1),
		queue:       newTaskQueue(cfg.QueueLength),
		running:     make(map[taskKey]*task),
		sessions:    make(map[uint64]*entrySession),
		targets:     make(map[string]*target),
		metrics:     metrics.NewSet(),
	}
	a.ledger = ledger.New(clock, ledger.Limits{IDRetention: cfg.IDRetention, ResultRetention: cfg.ResultRetention, ResultBytes: cfg.ResultBytes})
	a.registry = upstream.New(clock, upstream.Config{
		DefaultSlots:        cfg.Slots,
		DefaultConnections:  cfg.Connections,
		DefaultTTL:          cfg.LeaseTTL,
		ReserveShortPercent: cfg.ReserveShortPercent,
		MaxRunTime:          cfg.MaxRunTime,
		MaxResponseBytes:    maxResponseBytes,
		SharedKey:           key,
		TLS:                 func() (*tls.Config, error) { return certificate.ClientConfig(cfg.TLS) },
		Health:              upstream.HealthConfig(cfg.Ejection),
	}, func() { notify(a.announceNow); notify(a.scheduleNow) })
	a.taskMetrics = newTaskMetrics(a)
	a.sendTask = func(t *task, budget gypsumtide.Millis) wire.Result {
		return t.slot.Run(a.requestCtx, &t.dispatch, budget)
	}
	return a, nil
}

// Incarnation returns the id of this incarnation of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// Registry returns the registry of the agent's upstreams.
func (a *Agent) Registry() *upstream.Registry { return a.registry }

// Ledger returns the ledger of started tasks.
func (a *Agent) Ledger() *ledger.Ledger { return a.ledger }

// Run runs the agent until ctx is done, drains it and returns.
func (a *Agent) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g := group.New(runCtx)
	a.requestCtx = g.Context()
	server, pool, err := a.listen()
	if err != nil {
		return err
	}
	g.Add("serve", func(ctx context.Context) error { return a.serve(ctx, server, pool) })
	g.Add("schedule", a.runScheduler)
	g.Add("announce", a.runAnnouncements)
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
	a.stopRequests.Wait()
	a.registry.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("agent: %w", err)
	}
	a.log.Info("agent stopped", "name", a.cfg.Name)
	return nil
}

// runScheduler finishes tasks, starts queued tasks and removes expired tasks from the
// ledger.
func (a *Agent) runScheduler(ctx context.Context) error {
	sweep := time.NewTicker(ledgerSweepInterval)
	defer sweep.Stop()
	deadline := time.NewTimer(time.Hour)
	defer deadline.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.collectEnds(ctx)
		case e := <-a.taskEnds:
			a.finishTask(e)
		case <-a.scheduleNow:
		case <-deadline.C:
		case <-sweep.C:
			a.ledger.Expire()
		}
		deadline.Reset(a.schedule().Duration())
	}
}

// collectEnds receives the ends of the running tasks after ctx is done. It sets
// draining first, so that no task starts whose end would not be received.
func (a *Agent) collectEnds(ctx context.Context) error {
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
		a.finishTask(<-a.taskEnds)
	}
}

// notify signals the channel without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
