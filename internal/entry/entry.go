// Package entry implements the daemon on an entry host. It serves the HTTP API
// of callers and operators, runs the jobs of the shards that it owns, and forwards
// requests for other shards. The id of a submission determines its shard. The entry
// that owns a shard is called the home of the shard. It serves the shard only while it
// holds the lease. The epoch of a shard increases by one each time that an entry
// becomes its home.
//
// A home sends the tasks of a job to agents, which pass them to their upstreams. A task
// is open while it is at an agent. A job that has to end early, for example because it
// missed its deadline, is first closed: its waiting tasks are no longer dispatched, and
// agents are asked for the state of its open tasks, on which the outcome depends.
//
// An incarnation is one run of the process of an entry or agent. The roster is the list
// of agents that the shards stream of the platform's log records.
//
// When a home hands a shard over, it sends the accepted ids to the next home in a
// transfer. An id that the transfer does not list is new if its timestamp is later than a
// bound in the transfer. For an id that an earlier home may have accepted, the next home
// runs a recovery: it asks the agents which tasks of the submission they started. An agent
// that leaves gracefully cannot be asked later, so it sends its final ledger, the list of
// the tasks that it started, before it exits.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/clientlimit"
	"gypsumtide/internal/group"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/object"
	"gypsumtide/internal/operator"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// handoverTimeout bounds the wait at shutdown for other entries to take over the shards.
const handoverTimeout = 3 * time.Second

// tickInterval is the interval at which the home does its periodic work. Deadlines and
// requeues may be late by this time.
const tickInterval = 10 * time.Millisecond

// logRequestTimeout bounds one request to the platform's log. A read may take longer by the
// time for which it asks the log to wait for new records.
const logRequestTimeout gypsumtide.Millis = 1_000

// Entry is the daemon of an entry host.
type Entry struct {
	cfg          *settings.Entry
	clock        gypsumtide.Clock
	log          logr.Logger
	incarnation  string
	sharedKey    string
	counters     wire.Counters
	jobBudget    *clientlimit.JobBudget
	metrics      *entryMetrics
	shardManager *shard.Manager
	shardState   *shard.State
	// The followers read the control streams of the platform's log. shardState is built
	// from the records of the shards stream.
	shardsFollower        *journal.Follower
	configurationFollower *journal.Follower
	publisher             *object.Publisher
	router                *router
	// revision is the configuration revision in use at this entry.
	revision atomic.Uint64
	// configured is set once the revision that was current at the start is in use.
	configured    atomic.Bool
	currentConfig atomic.Pointer[configMessages]
	home          *home
	peers         *peers
	// sessionCtx ends the accepted sessions when the entry stops.
	sessionCtx context.Context
	// background runs submissions that may outlast the request of their caller.
	background *group.Group
	draining   atomic.Bool

	// owned and announcedEntries are used only by the control goroutine. announcedEntries
	// is the list of entries that was last sent to the agents.
	owned            [gypsumtide.ShardCount]ownedShard
	announcedEntries []wire.EntryInfo

	knownURLsMu sync.Mutex
	// knownURLs holds the URLs of entries that peers have reported.
	knownURLs map[string]bool
}

// New returns an entry that is ready to run.
func New(cfg *settings.Entry, clock gypsumtide.Clock, log logr.Logger) (*Entry, error) {
	sharedKey, err := certificate.ReadKey(cfg.SharedKeyFile)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	transport, err := certificate.Transport(cfg.TLS)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	// A later incarnation of an entry must sort after the earlier ones as text: the
	// higher of two incarnations with one name proves that the lower one has ended.
	incarnation, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("entry: incarnation: %w", err)
	}
	e := &Entry{
		cfg: cfg, clock: clock, log: log, incarnation: incarnation.String(), sharedKey: sharedKey, metrics: newEntryMetrics(),
		knownURLs: make(map[string]bool), jobBudget: clientlimit.NewJobBudget(cfg.Limits()),
	}
	self := wire.EntryInfo{Name: cfg.Name, Incarnation: e.incarnation, URL: cfg.URL, Zone: cfg.Zone}
	e.shardState = shard.NewState()
	shardConfig := shard.DefaultConfig(self)
	shardConfig.MaxSkew = cfg.MaxSkew
	e.shardManager = shard.New(shardConfig, e.shardState, clock)
	platformLog := journal.NewClient(cfg.LogURL, &http.Client{Transport: transport}, logRequestTimeout)
	e.shardsFollower = journal.NewFollower(platformLog, shardsStream, e.shardState, clock, log)
	e.shardsFollower.SetRetention(cfg.LogRetention)
	configurationState := object.NewConfigurationState()
	e.configurationFollower = journal.NewFollower(platformLog, configurationStream, configurationState, clock, log)
	e.configurationFollower.SetRetention(cfg.LogRetention)
	e.publisher = object.NewPublisher(e.configurationFollower, configurationState, clock)
	e.router = newRouter()
	rules := submission.NewRules(cfg.MaxSkew, cfg.IDRetention)
	table := submission.NewTable(cfg.AnswerRetention, cfg.MaxTableBytes)
	h, err := newHome(homeOptions{
		incarnation: e.incarnation, zone: cfg.Zone, clock: clock, log: log, decisions: newDecisionLog(log, cfg.Log.DecisionSample),
		shardManager: e.shardManager, idRules: rules, table: table, router: e.router, metrics: e.metrics, countAgents: e.presentAgents, transferExpected: e.transferExpected,
		forwardFinalLedgerPart: e.forwardFinalLedgerPart,
	})
	if err != nil {
		return nil, err
	}
	e.home = h
	e.metrics.addEvacuationGauges(h)
	e.peers = newPeers(e)
	return e, nil
}

// Counters returns the traffic counters of this entry's sessions.
func (e *Entry) Counters() *wire.Counters { return &e.counters }

// idleTimeout is the time after which idle connections are closed. It is longer than that of
// the clients of the system's own processes.
const idleTimeout = 2 * time.Minute

// Run serves until ctx is done, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	listener, pool, err := e.listen()
	if err != nil {
		return err
	}
	// The goroutines outlive ctx, so that a graceful stop can finish the requests in progress.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := group.New(runCtx)
	e.sessionCtx = g.Context()
	e.background = group.New(g.Context())
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTimeout}
	pool.Protect(server)
	g.Add("serve HTTP", func(context.Context) error { return serve(server, listener) })
	g.Add("tick", e.tick)
	g.Add("follow the shards stream", e.shardsFollower.Run)
	g.Add("follow the configuration stream", e.configurationFollower.Run)
	g.Add("apply configuration", e.followConfiguration)
	g.Add("control", e.control)
	g.Add("stop", func(context.Context) error {
		select {
		case <-ctx.Done():
		case <-g.Context().Done():
		}
		e.shutdown(server)
		stop()
		return nil
	})
	e.log.Info("entry started", "name", e.cfg.Name, "incarnation", e.incarnation, "listen", e.cfg.Listen, "zone", e.cfg.Zone)
	return g.Wait()
}

// listen opens the listener, with TLS if the settings name a certificate.
func (e *Entry) listen() (net.Listener, *clientlimit.Pool, error) {
	tlsConfig, err := certificate.ServerConfig(e.cfg.TLS)
	if err != nil {
		return nil, nil, fmt.Errorf("entry: %w", err)
	}
	listener, err := net.Listen("tcp", e.cfg.Listen)
	if err != nil {
		return nil, nil, gypsumtide.NewError("listen", e.cfg.Listen, err)
	}
	guard := clientlimit.NewGuard(e.cfg.Limits(), e.clock, e.metrics.set, clientlimit.LogTurnedAway(e.log))
	limited, pool, err := guard.Listen("entry", listener, clientlimit.ShareAll, tlsConfig)
	if err != nil {
		return nil, nil, errors.Join(err, listener.Close())
	}
	return limited, pool, nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

// shutdown hands the shards over and finishes the requests in progress within the
// drain timeout.
func (e *Entry) shutdown(server *http.Server) {
	e.drain()
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout.Duration())
	defer cancel()
	e.awaitHandover(ctx)
	if err := server.Shutdown(ctx); err != nil {
		e.log.Info("drain timeout expired, requests were aborted", "error", err.Error())
	}
}

// drain starts to hand this entry's shards over to other entries. Requests that still
// arrive for a shard are forwarded once it has another home.
func (e *Entry) drain() {
	if e.draining.Swap(true) {
		return
	}
	e.log.Info("entry draining")
	e.shardManager.Drain()
}

// awaitHandover waits until other entries own this entry's shards and its departure
// is recorded in the platform's log, but at most for handoverTimeout and until ctx is
// done. The listener stays open meanwhile for callers whose load balancer has not noticed
// the drain.
func (e *Entry) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	t := time.NewTicker(controlInterval)
	defer t.Stop()
	for !e.shardManager.HasLeft() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *Entry) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			e.home.tick()
		}
	}
}

// ready reports whether this entry can serve callers: it is not draining, and it knows
// the configuration and the home of every shard. During an outage of the platform's
// log it can obtain both from its peers.
func (e *Entry) ready() bool {
	if e.draining.Load() || !e.shardsFollower.Ready() || !e.configurationFollower.Ready() {
		return false
	}
	for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
		if home, _, _, _ := e.shardManager.Route(i); home.Incarnation == "" {
			return false
		}
	}
	return true
}

// presentAgents returns the number of agents that the roster lists as present.
func (e *Entry) presentAgents() int {
	n := 0
	for _, a := range e.shardState.Agents() {
		if a.Member.Present() {
			n++
		}
	}
	return n
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", e.handleSubmit)
	mux.HandleFunc("GET /v1/jobs/{id}", e.handleFetch)
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.handleCancel)
	mux.HandleFunc("POST /v1/submission-ids", e.handleIssue)
	mux.HandleFunc("GET /v1/session", e.withKey(e.handleSession))
	operator.NewHandler(e.publisher, operatorBackend{e}, e.log).RegisterHandlers(mux, e.withKey)
	mux.HandleFunc("GET /v1/status", e.handleStatus)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { e.metrics.set.WritePrometheus(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.handleReady)
	return mux
}

func (e *Entry) handleReady(w http.ResponseWriter, r *http.Request) {
	if !e.ready() {
		writeProblem(w, r, &wire.Problem{Type: "not-ready", Status: http.StatusServiceUnavailable, Step: "check readiness"}, "", nil)
		return
	}
	w.WriteHeader(http.StatusOK)
}
