package stored

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
	"gypsumtide/internal/group"
)

// Config holds the parameters of a PartitionManager.
type Config struct {
	// Member is the member name of this incarnation of the entry, as returned by MemberName.
	Member string
	// MinTTL is the shortest membership TTL that the log accepts.
	MinTTL gypsumtide.Millis
	// AppendsPerSecond is the append rate that the log allows for all entries together. If
	// it is 0, a rate of 800 is assumed.
	AppendsPerSecond float64
	// OrphanedRunTimeout is the time after the agents have lost their sessions to an owner by
	// which its runs have ended.
	OrphanedRunTimeout gypsumtide.Millis
}

// Intervals and limits of a PartitionManager.
const (
	// membershipTTL is how long partitions stay assigned to an entry that no longer calls
	// JobLog.Join, unless Config.MinTTL is longer. The jobs of a failed entry wait for at
	// least that long, and a log that is unreachable for longer stops all stored jobs.
	membershipTTL gypsumtide.Millis = 2500
	joinInterval  gypsumtide.Millis = 700
	joinTimeout   gypsumtide.Millis = 600
	// handoverInterval is the interval between checks whether a handover is complete, and
	// between checks whether the membership has expired.
	handoverInterval gypsumtide.Millis = 40
	// handoverTimeout bounds the wait for the runs of a partition that is being handed over
	// to end.
	handoverTimeout gypsumtide.Millis = 1000
	expireInterval  gypsumtide.Millis = 5000
	// jobRetention is how long, at least, the final state of a job can be read after its end.
	jobRetention gypsumtide.Millis = 300_000
	// maxJobs is the number of jobs in progress from which an entry accepts no more. It does
	// not limit the jobs that an entry takes over.
	maxJobs = 20_000
	// leaveTimeout bounds the call that leaves the group at shutdown.
	leaveTimeout gypsumtide.Millis = 500
)

// Executor runs the tasks of stored jobs.
type Executor interface {
	// Adopt takes over jobs and starts to run them.
	Adopt(jobs []dispatch.StoredJob)
	// EndRecorded reports that the end of a run was recorded or need not be, and whether it
	// gave the job a final state.
	EndRecorded(end dispatch.TaskEnd, final bool)
	// CloseJob stops a job that has a final state.
	CloseJob(id, reason string)
	// Release removes jobs whose partition this entry no longer owns.
	Release(ids []string)
	// Pause makes the Executor start no more tasks of the jobs. It returns how many of
	// their tasks have an order or a run at a worker, or an end that is not recorded yet.
	Pause(ids []string) int
}

// PartitionManager owns the partitions that the log assigns to this entry, and their
// jobs. It must not call the Executor while it holds its lock, since the Executor calls
// Record while holding its own.
type PartitionManager struct {
	cfg       Config
	log       gypsumtide.JobLog
	executor  Executor
	clock     gypsumtide.Clock
	decisions gypsumtide.DecisionLogger
	metrics   *partitionMetrics
	// minAppendInterval is the shortest time between two appends to a partition.
	minAppendInterval gypsumtide.Millis

	mu         sync.Mutex
	membership membership
	owned      map[int]*ownedPartition
	openCount  uint64
}

// ownedPartition is a partition that this entry opens, owns or is releasing.
type ownedPartition struct {
	partition int
	epoch     uint64
	jobTable  *jobTable
	// ready is set from the time the Executor has adopted the jobs of the partition until
	// the partition is released.
	ready    bool
	released bool
	// handoverStart is when the handover of the partition began, or 0. It is not reset, even
	// if the partition is assigned to this entry again.
	handoverStart gypsumtide.Millis
	queue         []pendingWrite
	// wake receives a value when a write has been queued.
	wake chan struct{}
	// stop ends the goroutine that runs serve.
	stop context.CancelFunc
}

// pendingWrite is a set of records to append together, with callbacks for the result. An
// empty write completes after the writes that were queued before it. The callbacks are called
// without the lock of the PartitionManager.
type pendingWrite struct {
	records []gypsumtide.KeyedRecord
	// onCommitted is called once the records are in the log.
	onCommitted func()
	// onFailed is called if they are not, or if the result is unknown. It may be nil.
	onFailed func(err error)
	// failIfRefused makes the write fail when the log refuses it, instead of being retried.
	failIfRefused bool
}

// NewPartitionManager returns a PartitionManager without partitions.
func NewPartitionManager(cfg Config, log gypsumtide.JobLog, executor Executor, clock gypsumtide.Clock, decisions gypsumtide.DecisionLogger, set *metrics.Set) *PartitionManager {
	m := &PartitionManager{
		cfg: cfg, log: log, executor: executor, clock: clock, decisions: decisions,
		minAppendInterval: appendInterval(log.Partitions(), cfg.AppendsPerSecond),
		membership:        membership{ttl: max(membershipTTL, cfg.MinTTL)}, owned: make(map[int]*ownedPartition),
	}
	m.metrics = newPartitionMetrics(set, m)
	return m
}

// Run waits until inUse is closed, which means that stored jobs are in use. It then joins
// the group and serves the assigned partitions until ctx is done. It hands over its
// partitions before it returns.
func (m *PartitionManager) Run(ctx context.Context, inUse <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-inUse:
	}
	// The goroutines go on after ctx is done, until the partitions have been handed over.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := group.New(runCtx)
	g.Add("membership", func(groupCtx context.Context) error {
		m.joinLoop(ctx, g)
		m.leave(groupCtx)
		stop()
		return nil
	})
	g.Add("watch", m.watchMembership)
	g.Add("expiry", m.expireLoop)
	return g.Wait()
}

// joinLoop renews the membership until ctx is done. Between two joins it hands over the
// partitions that the log has revoked.
func (m *PartitionManager) joinLoop(ctx context.Context, g *group.Group) {
	reachable := true
	for ctx.Err() == nil {
		m.mu.Lock()
		acknowledged := m.membership.acknowledged
		m.mu.Unlock()
		sentAt := m.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
		a, err := m.log.Join(callCtx, m.cfg.Member, acknowledged, m.membership.ttl)
		cancel()
		if ok := err == nil; ok != reachable {
			reachable = ok
			m.decisions.Decision("job-log", "reachable", ok, "error", gypsumtide.ErrorText(err), "generation", a.Generation)
		}
		m.applyJoinResult(sentAt, a, err, g)
		next := sentAt + joinInterval
		for pending := true; pending && ctx.Err() == nil && m.clock.Now() < next; {
			pending = m.handOver()
			gypsumtide.Sleep(ctx, handoverInterval)
		}
		gypsumtide.Sleep(ctx, max(0, next-m.clock.Now()))
	}
}

// applyJoinResult applies the result of a join: it opens newly assigned partitions and
// begins the handover of revoked ones.
func (m *PartitionManager) applyJoinResult(sentAt gypsumtide.Millis, a gypsumtide.Assignment, err error, g *group.Group) {
	now := m.clock.Now()
	m.mu.Lock()
	if err == nil {
		m.membership.applyJoinResult(sentAt, a)
	}
	for _, o := range m.owned {
		if !m.membership.isAssigned(o.partition) && o.handoverStart == 0 {
			o.handoverStart = now
		}
	}
	if err == nil && m.membership.valid(now) {
		m.openAssigned(g)
	}
	m.mu.Unlock()
	m.acknowledgeRevocations()
}

// watchMembership releases all partitions when the membership has expired.
func (m *PartitionManager) watchMembership(ctx context.Context) error {
	for gypsumtide.Sleep(ctx, handoverInterval) {
		m.mu.Lock()
		var expired []*ownedPartition
		if !m.membership.valid(m.clock.Now()) {
			expired = slices.Collect(maps.Values(m.owned))
		}
		m.mu.Unlock()
		for _, o := range expired {
			m.release(o, "membership-over")
		}
	}
	return ctx.Err()
}

// openAssigned opens the assigned partitions that are not open yet. The caller holds
// the lock.
func (m *PartitionManager) openAssigned(g *group.Group) {
	for _, p := range m.membership.assigned {
		if _, ok := m.owned[p]; ok {
			continue
		}
		m.openCount++
		ctx, stop := context.WithCancel(g.Context())
		o := &ownedPartition{partition: p, epoch: m.membership.epoch(m.openCount), wake: make(chan struct{}, 1), stop: stop}
		m.owned[p] = o
		m.decisions.Decision("partition-assigned", "partition", p, "epoch", o.epoch, "generation", m.membership.generation)
		g.Add("partition", func(context.Context) error {
			m.serve(ctx, o)
			return nil
		})
	}
}

// handOver releases the partitions being handed over whose runs have all ended and been
// recorded, or whose handover has timed out. It reports whether any remain to be released.
func (m *PartitionManager) handOver() bool {
	now := m.clock.Now()
	m.mu.Lock()
	var handingOver []*ownedPartition
	for _, o := range m.owned {
		if o.handoverStart > 0 {
			handingOver = append(handingOver, o)
		}
	}
	m.mu.Unlock()
	remaining := false
	for _, o := range handingOver {
		if m.executor.Pause(m.inProgressJobIDs(o)) > 0 && now-o.handoverStart < handoverTimeout {
			remaining = true
			continue
		}
		m.release(o, "handed-over")
	}
	m.acknowledgeRevocations()
	return remaining
}

// acknowledgeRevocations marks the newest assignment as acknowledged, to be sent with
// the next join, if all partitions that it revoked have been removed from m.owned.
func (m *PartitionManager) acknowledgeRevocations() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.owned {
		if !m.membership.isAssigned(p) {
			return
		}
	}
	m.membership.acknowledged = m.membership.generation
}

// inProgressJobIDs returns the ids of the jobs in progress of a partition.
func (m *PartitionManager) inProgressJobIDs(o *ownedPartition) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.jobTable == nil {
		return nil
	}
	var ids []string
	for _, j := range o.jobTable.inProgressJobs() {
		ids = append(ids, j.request.ID)
	}
	return ids
}

// release ends the ownership of a partition and leaves its jobs to the next owner. The
// partition stays in m.owned until serve returns, so that it is not opened again before that.
func (m *PartitionManager) release(o *ownedPartition, reason string) {
	m.mu.Lock()
	first := !o.released
	o.released, o.ready = true, false
	m.mu.Unlock()
	if !first {
		return
	}
	o.stop()
	ids := m.inProgressJobIDs(o)
	m.executor.Release(ids)
	m.decisions.Decision("partition-released", "partition", o.partition, "epoch", o.epoch, "reason", reason, "jobs", len(ids))
}

// leave hands over all partitions and then leaves the group. Run calls it at shutdown.
func (m *PartitionManager) leave(ctx context.Context) {
	m.mu.Lock()
	now := m.clock.Now()
	for _, o := range m.owned {
		o.handoverStart = now
	}
	m.mu.Unlock()
	for m.handOver() {
		gypsumtide.Sleep(ctx, handoverInterval)
	}
	callCtx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	if err := m.log.Leave(callCtx, m.cfg.Member); err != nil {
		m.decisions.Decision("leave-failed", "error", err.Error())
	}
}

// expireLoop removes the jobs whose final state is older than jobRetention.
func (m *PartitionManager) expireLoop(ctx context.Context) error {
	for gypsumtide.Sleep(ctx, expireInterval) {
		m.mu.Lock()
		before := m.clock.Wall() - jobRetention
		for _, o := range m.owned {
			if !o.ready {
				continue
			}
			if records := o.jobTable.expire(before); len(records) > 0 {
				o.enqueue(pendingWrite{records: records, onCommitted: func() {}})
			}
		}
		m.mu.Unlock()
	}
	return ctx.Err()
}

// enqueue queues a write. The caller holds the PartitionManager's lock.
func (o *ownedPartition) enqueue(p pendingWrite) {
	o.queue = append(o.queue, p)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Record implements dispatch.ProgressRecorder. It ignores the progress of jobs that are no
// longer owned, since the Executor tells the agents that this entry will not record the ends
// of released jobs.
func (m *PartitionManager) Record(p dispatch.Progress) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range p.Started {
		if _, j := m.findJob(id); j != nil && j.state == gypsumtide.JobPending {
			j.state = gypsumtide.JobRunning
		}
	}
	for _, e := range p.Ends {
		m.recordEnd(e)
	}
	for _, c := range p.Checkpoints {
		m.recordCheckpoint(c)
	}
}

// recordCheckpoint keeps a checkpoint, and queues its record if one is due. Nothing waits for
// the record: a run whose checkpoint is lost resumes from an earlier one. The caller holds the
// lock.
func (m *PartitionManager) recordCheckpoint(c dispatch.TaskCheckpoint) {
	o, j := m.findJob(c.Task.Job)
	if j == nil {
		return
	}
	records, err := o.jobTable.checkpoint(m.clock.Now(), c)
	if err != nil {
		m.decisions.Decision("record-failed", "task", c.Task.String(), "error", err.Error())
		return
	}
	if len(records) > 0 {
		o.enqueue(pendingWrite{records: records, failIfRefused: true, onCommitted: func() {}})
	}
}

// recordEnd queues the record of the end of a run, and confirms the end to the Executor
// once the record is in the log. An end that changes nothing has no record; it is confirmed
// once the writes queued before it are in the log. The caller holds the lock.
func (m *PartitionManager) recordEnd(e dispatch.TaskEnd) {
	o, j := m.findJob(e.Ref.Task.Job)
	if j == nil {
		return
	}
	endedAt := m.clock.Wall()
	records, final, err := o.jobTable.end(endedAt, e)
	if err != nil {
		// Records built by the program can always be encoded, so this is a bug.
		m.decisions.Decision("record-failed", "run", e.Ref, "error", err.Error())
		return
	}
	o.enqueue(pendingWrite{records: records, onCommitted: func() {
		if final != "" {
			m.finishJob(o, j, final, endedAt)
		}
		m.executor.EndRecorded(e, final != "")
	}})
}

// finishJob makes the final state of a job visible once it is recorded.
func (m *PartitionManager) finishJob(o *ownedPartition, j *job, state gypsumtide.JobState, endedAt gypsumtide.Millis) {
	m.mu.Lock()
	o.jobTable.finalize(j, state, endedAt)
	m.mu.Unlock()
	m.metrics.ended(state)
	m.decisions.Decision("job-ended", "job", j.request.ID, "request", j.request.Request, "state", state, "took-ms", endedAt-j.acceptedAt)
}

// findJob returns the job with the given id and its partition. Both are nil if the partition
// is not ready at this entry. Only the job is nil if it does not exist. The caller holds the
// lock.
func (m *PartitionManager) findJob(id string) (*ownedPartition, *job) {
	o := m.owned[partitionOf(id, m.log.Partitions())]
	if o == nil || !o.ready {
		return nil, nil
	}
	return o, o.jobTable.jobs[id]
}

// QueuedByRoute returns, by route, the number of accepted jobs in owned partitions of which
// no task has started. Starts under a former owner count only if the end of a run was
// recorded.
func (m *PartitionManager) QueuedByRoute() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	queued := make(map[string]int)
	for _, o := range m.owned {
		if !o.ready {
			continue
		}
		for _, j := range o.jobTable.jobs {
			if j.state == gypsumtide.JobPending && j.recorded {
				queued[j.route.Name]++
			}
		}
	}
	return queued
}

// ServedPartitions returns the partitions that this entry serves, in ascending order.
func (m *PartitionManager) ServedPartitions() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var served []int
	for p, o := range m.owned {
		if m.isServing(o) {
			served = append(served, p)
		}
	}
	slices.Sort(served)
	return served
}
