package entry

import (
	"container/heap"
	"fmt"
	"net/http"
	"sync"

	"github.com/go-logr/logr"

	"gypsumtide"
	"gypsumtide/internal/job"
	"gypsumtide/internal/limit"
	"gypsumtide/internal/object"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

const (
	// closeGracePeriod bounds the wait for agents to report the state of the open tasks
	// of a closed job, for example one that missed its deadline or was cancelled.
	closeGracePeriod gypsumtide.Millis = 300
	// agentLostTimeout is the time after which a disconnected agent counts as lost. The
	// outcome of its open tasks is then unknown.
	agentLostTimeout gypsumtide.Millis = 5_000
	// queueFullRetryAfter is the Retry-After of a job that is refused because of a full
	// queue.
	queueFullRetryAfter gypsumtide.Millis = 500
	// recallInterval is the time between two checks for tasks to recall.
	recallInterval gypsumtide.Millis = 20
	// serviceGracePeriod is the time after the loss of a service's last upstream for
	// which jobs of the service wait instead of being refused.
	serviceGracePeriod gypsumtide.Millis = 30_000
	// requeueDelay is the pause before a task that an agent has returned as not started is
	// queued again, so that it is not sent back at once.
	requeueDelay gypsumtide.Millis = 5
	// requeueBackoff replaces requeueDelay when the pool's retry budget is spent.
	requeueBackoff gypsumtide.Millis = 100
	// candidateTTL is the time for which a job's candidate set is cached. Tasks of a
	// waiting job must be able to go to agents that join or restart in the meantime.
	candidateTTL gypsumtide.Millis = 200
)

// shardOwnership is the part of the shard manager that the home uses.
type shardOwnership interface {
	// Serving returns the epoch if this entry holds the lease of the shard.
	Serving(s gypsumtide.ShardID) (epoch uint64, ok bool)
	// ProvablyNew reports whether no earlier home can have accepted the id.
	ProvablyNew(id gypsumtide.SubmissionID) bool
	// Usable reports whether the agent may receive tasks of the shard. This requires
	// that the next home of the shard would know of the agent.
	Usable(incarnation string, s gypsumtide.ShardID) bool
	// Candidates returns the incarnations that a submission of n tasks may use.
	Candidates(id gypsumtide.SubmissionID, n int) []string
	// RecoveryCandidates returns the agents that may have started tasks of the
	// submission under an earlier home; complete is false if there may be others.
	RecoveryCandidates(id gypsumtide.SubmissionID, n int) (candidates []shard.RecoveryCandidate, complete bool)
}

// activeJob is a job in progress with the home's state of it.
type activeJob struct {
	*job.Job
	pool *pool
	// candidates holds the incarnations of the agents that the job may use. They were
	// read from the roster at candidatesAt.
	candidates   []string
	candidatesAt gypsumtide.Millis
	// serviceAgents holds the agents that served the job's service when the home last
	// tried to place one of its tasks, candidateAgents those of them that are candidates.
	candidateAgents *agentList
	serviceAgents   *agentList
	// closeBy is the time by which a closed job ends even if agents have not
	// reported the state of its open tasks.
	closeBy gypsumtide.Millis
	// recovery is nil unless an earlier home may have accepted the job.
	recovery *recovery
	// quotaKey is the key in the quotas that the job is charged to. limits holds
	// the limits of its route and team.
	quotaKey string
	limits   []object.Limit
	// waitingTasks is the number of its tasks that wait at this home.
	waitingTasks int
}

// home runs the jobs of the shards that this entry owns.
type home struct {
	homeOptions

	mu   sync.Mutex
	jobs map[gypsumtide.SubmissionID]*activeJob
	// recovering holds the jobs in recovery, which wait for agents to report the tasks
	// that they started under an earlier home.
	recovering map[gypsumtide.SubmissionID]*activeJob
	// agents holds the agents by incarnation, agentsByName the newest
	// incarnation of each.
	agents          map[string]*agentConn
	agentsByName    map[string]*agentConn
	pools           map[string]*pool
	quotas          *limit.Quotas
	timers          timerHeap
	pendingRequeues []pendingRequeue
	// serviceSeenAt holds, for each service, when an agent last announced or withdrew it,
	// or disconnected while it served it.
	serviceSeenAt map[string]gypsumtide.Millis
	// homeCount is the number of entries that may be homes, including this one.
	homeCount int
	// configs holds the messages with the configuration for agents, or nil.
	configs *configMessages
	// evacuations is the set of evacuated zones by the configuration in use.
	evacuations gypsumtide.Evacuations
	// evacuatedAgents is the number of agents, connected or not, that receive no tasks
	// because their zone is evacuated.
	evacuatedAgents     int
	unservableCheckedAt gypsumtide.Millis
	// slowStarts holds, for each zone whose evacuation has ended within SlowStartTime, when
	// it ended.
	slowStarts map[string]gypsumtide.Millis
	startedAt  gypsumtide.Millis
	// waitingTasks counts the tasks that wait at this home by quota key.
	waitingTasks map[string]int
	// finalLedgers holds the tasks that agents had started when they left gracefully, by
	// the agent's incarnation.
	finalLedgers map[string]*finalLedger
	// transfers holds, for each shard, the newest list of accepted ids that a previous
	// home sent.
	transfers [gypsumtide.ShardCount]*receivedTransfer
	// oddUsageLogged is set once a usage out of range has been logged.
	oddUsageLogged bool
}

// pendingRequeue is a task that is queued again at a later time.
type pendingRequeue struct {
	at   gypsumtide.Millis
	task *gypsumtide.Task
}

// homeOptions holds what a home needs from its entry.
type homeOptions struct {
	incarnation  string
	zone         string
	clock        gypsumtide.Clock
	log          logr.Logger
	decisions    *decisionLog
	shardManager shardOwnership
	idRules      submission.Rules
	// table holds the outcomes and answers of finished submissions.
	table   *submission.Table
	router  *router
	metrics *entryMetrics
	// countAgents returns the number of agents that the roster lists as present.
	countAgents func() int
	// transferExpected reports whether the previous home of the shard is about
	// to send its accepted ids.
	transferExpected func(s gypsumtide.ShardID) bool
	// forwardFinalLedgerPart forwards a part of an agent's final ledger to the other
	// entries.
	forwardFinalLedgerPart func(part wire.FinalLedgerPart)
}

func newHome(o homeOptions) (*home, error) {
	quotas, err := limit.NewQuotas(limit.Config{}, limit.Options{Home: o.incarnation, ReportInterval: entryHeartbeatInterval}, o.clock.Now())
	if err != nil {
		return nil, fmt.Errorf("home: %w", err)
	}
	return &home{
		homeOptions: o, quotas: quotas,
		jobs:          make(map[gypsumtide.SubmissionID]*activeJob),
		recovering:    make(map[gypsumtide.SubmissionID]*activeJob),
		agents:        make(map[string]*agentConn),
		agentsByName:  make(map[string]*agentConn),
		pools:         make(map[string]*pool),
		homeCount:     1,
		slowStarts:    make(map[string]gypsumtide.Millis),
		startedAt:     o.clock.Now(),
		finalLedgers:  make(map[string]*finalLedger),
		serviceSeenAt: make(map[string]gypsumtide.Millis),
		waitingTasks:  make(map[string]int),
	}, nil
}

// submit admits a job, attaches to the job in progress with the same id, starts the
// recovery of a job that an earlier home may have accepted, or answers at once. budget
// is the time until the job's deadline. The answer arrives on the returned channel.
func (h *home) submit(req *wire.Job, budget gypsumtide.Millis) <-chan wire.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := req.Submission
	if ch := h.attachToActive(req); ch != nil {
		return ch
	}
	epoch, ok := h.shardManager.Serving(id.Shard())
	if !ok {
		return answeredChannel(wire.Answer{Submission: id, Moved: true})
	}
	if a, ok := h.answerRecorded(req); ok {
		return answeredChannel(a)
	}
	now := h.clock.Now()
	j := job.New(req, epoch, now, now+budget)
	aj := &activeJob{Job: j}
	if !h.neverAccepted(epoch, id) {
		if h.awaitsTransfer(id.Shard(), epoch) {
			// The caller's entry sends the request again after at most homeRetryInterval.
			// The transfer may have arrived by then.
			return answeredChannel(wire.Answer{Submission: id, Moved: true})
		}
		return h.startRecovery(aj, now)
	}
	if budget <= 0 {
		return answeredChannel(*notRunAnswer(id, deadlineProblem(aj)))
	}
	if refusal := h.admit(aj, now); refusal != nil {
		return answeredChannel(*refusal)
	}
	ch := j.Subscribe()
	h.startJob(aj, now)
	return ch
}

// attachToActive attaches the request to the job in progress with its id, or refuses
// the request if that is a different job. It returns nil if there is no such job.
func (h *home) attachToActive(req *wire.Job) <-chan wire.Answer {
	aj := h.jobs[req.Submission]
	if aj == nil {
		return nil
	}
	if aj.Digest() != job.Digest(req) {
		return answeredChannel(reusedIDAnswer(req.Submission))
	}
	h.metrics.attached.Inc()
	return aj.Subscribe()
}

// answerRecorded answers from the table of finished submissions. It refuses ids with a
// timestamp that is too far ahead, or so old that their record may have been dropped.
// It returns false if neither is the case.
func (h *home) answerRecorded(req *wire.Job) (wire.Answer, bool) {
	id := req.Submission
	if rec, ok := h.table.Find(id); ok {
		h.metrics.repeated.Inc()
		if rec.Digest() != job.Digest(req) {
			return reusedIDAnswer(id), true
		}
		return recordedAnswer(id, rec), true
	}
	if err := h.idRules.Check(id, h.clock.Wall()); err != nil {
		return invalidIDAnswer(id, err), true
	}
	if id.Timestamp() <= h.table.Floor() {
		return invalidIDAnswer(id, submission.ErrExpired), true
	}
	return wire.Answer{}, false
}

// admit routes the job, checks that each task fits a worker, that the job can meet its
// deadline and that the queue limits permit it, and charges its quotas. It returns the
// refusal, or nil.
func (h *home) admit(aj *activeJob, now gypsumtide.Millis) *wire.Answer {
	req := aj.Request()
	p, refusal := h.choosePool(aj)
	if refusal != nil {
		return refusal
	}
	aj.pool = p
	if h.unservable(aj, now) {
		h.metrics.refused.Inc()
		h.decisions.log("refuse", "submission", req.Submission.String(), "team", req.Team, "reason", zoneEvacuatedProblemType)
		return notRunAnswer(req.Submission, zoneEvacuatedProblem("admit"))
	}
	for i := range req.Tasks {
		if reason := p.unsatisfiableReason(h, aj.Tasks()[i]); reason != "" {
			return notRunAnswer(req.Submission, &wire.Problem{Type: "unsatisfiable", Status: http.StatusUnprocessableEntity, Step: "admit", Detail: reason})
		}
	}
	decision := p.admit(h, aj, now)
	if !decision.Admitted() {
		h.metrics.refused.Inc()
		h.decisions.log("refuse", "submission", req.Submission.String(), "team", req.Team, "limit", decision.Limit(), "reason", decision.Reason())
		return notRunAnswer(req.Submission, &wire.Problem{
			Type: "refused-by-limit", Status: http.StatusTooManyRequests, Step: "admit",
			Detail: decision.Reason(), Limit: decision.Limit(), RetryAfter: decision.RetryAfter(),
		})
	}
	aj.SetCharged(true)
	return nil
}

// startJob queues the tasks of the job that wait at this home and dispatches those that
// can be placed now.
func (h *home) startJob(aj *activeJob, now gypsumtide.Millis) {
	h.jobs[aj.Submission()] = aj
	heap.Push(&h.timers, timer{at: aj.Deadline(), job: aj})
	h.metrics.admitted.Inc()
	h.enqueueTasks(aj, now)
	h.dispatchWaiting(aj.pool, now)
}

func (h *home) enqueueTasks(aj *activeJob, now gypsumtide.Millis) {
	for i, t := range aj.Tasks() {
		if aj.Queued(uint32(i)) {
			aj.pool.enqueue(t, aj.Request().Tasks[i].RunTime, now)
			h.addWaiting(aj, 1)
		}
	}
}

// addWaiting adds n to the waiting tasks of the job and its quota key.
func (h *home) addWaiting(aj *activeJob, n int) {
	aj.waitingTasks += n
	h.waitingTasks[aj.quotaKey] += n
	if h.waitingTasks[aj.quotaKey] == 0 {
		delete(h.waitingTasks, aj.quotaKey)
	}
}

// holdsLease reports whether this home serves the job's shard under the epoch under
// which the job arrived. A later epoch means that the shard had another home in
// between.
func (h *home) holdsLease(aj *activeJob) bool {
	epoch, ok := h.shardManager.Serving(aj.Submission().Shard())
	return ok && epoch == aj.Epoch()
}
