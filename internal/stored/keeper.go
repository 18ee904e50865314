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

// Config holds the parameters of a Keeper.
type Config struct {
	// Member identifies this incarnation of the entry, and tells its address.
	Member string
	// MinTTL is the shortest time to live that the log accepts.
	MinTTL gypsumtide.Millis
	// AppendsPerSecond is the rate of appends a second that the log grants to all entries together.
	AppendsPerSecond float64
	// OrphanedRunTimeout is the time after the loss of an owner at which its runs have ended.
	OrphanedRunTimeout gypsumtide.Millis
}

// Intervals and limits of a Keeper.
const (
	// membershipTTL is how long the log keeps the partitions of a silent entry. It
	// delays the jobs of an entry that is gone, and a store that is away for longer
	// than it stops all stored jobs.
	membershipTTL gypsumtide.Millis = 2500
	joinInterval  gypsumtide.Millis = 700
	joinTimeout   gypsumtide.Millis = 600
	// handoverInterval is the pause between two looks at partitions that are handed over.
	handoverInterval gypsumtide.Millis = 40
	// handoverTime bounds the wait for the runs of a partition that is handed over.
	handoverTime   gypsumtide.Millis = 1000
	expireInterval gypsumtide.Millis = 5000
	// retention is how long the state of an ended job can be read.
	retention gypsumtide.Millis = 300_000
	// maxJobs bounds the jobs in progress of one entry.
	maxJobs = 20_000
	// leaveTimeout bounds the last call of a process that ends.
	leaveTimeout gypsumtide.Millis = 500
)

// Executor runs the tasks of stored jobs.
type Executor interface {
	Adopt(jobs []dispatch.StoredJob)
	Recorded(end dispatch.TaskEnd, final bool)
	CloseJob(id, reason string)
	Release(ids []string)
	Pause(ids []string) int
}

// PartitionManager owns some of the partitions and keeps their jobs. It never calls the
// Executor while it holds its lock, since the Executor calls Record under its own.
type PartitionManager struct {
	cfg      Config
	log      gypsumtide.JobLog
	executor Executor
	clock    gypsumtide.Clock
	lines    gypsumtide.Recorder
	metrics  *keeperMetrics
	// interval is the shortest time between two appends to a partition.
	interval gypsumtide.Millis

	mu         sync.Mutex
	membership membership
	owned      map[int]*ownership
	openings   uint64
}

// ownership is a partition that this entry holds.
type ownership struct {
	partition int
	epoch     uint64
	book      *book
	// ready is set once the partition has been read, and until it is released.
	ready    bool
	released bool
	// pausedAt is the time since which the partition is being handed over.
	pausedAt gypsumtide.Millis
	queue    []change
	wake     chan struct{}
	stop     context.CancelFunc
}

// change is a set of records with what follows from their fate.
type change struct {
	records []gypsumtide.KeyedRecord
	// committed runs once the records are in the log.
	committed func()
	// failed runs if they are not, or if nobody can tell. It may be nil.
	failed func(err error)
	// optional changes are given up when the log refuses them.
	optional bool
}

// NewPartitionManager returns a Keeper without partitions.
func NewPartitionManager(cfg Config, log gypsumtide.JobLog, executor Executor, clock gypsumtide.Clock, lines gypsumtide.Recorder, set *metrics.Set) *PartitionManager {
	k := &PartitionManager{
		cfg: cfg, log: log, executor: executor, clock: clock, lines: lines,
		interval:   appendInterval(log.Partitions(), cfg.AppendsPerSecond),
		membership: membership{ttl: max(membershipTTL, cfg.MinTTL)}, owned: make(map[int]*ownership),
	}
	k.metrics = newKeeperMetrics(set, k)
	return k
}

// Run takes part in the distribution of the partitions from the time on that
// stored jobs are in use, until ctx is done. It then gives its partitions away.
func (k *PartitionManager) Run(ctx context.Context, inUse <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-inUse:
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := group.New(work)
	g.Add("membership", func(work context.Context) error {
		k.join(ctx, g)
		k.leave(work)
		stop()
		return nil
	})
	g.Add("watch", k.watch)
	g.Add("expiry", k.expireLoop)
	return g.Wait()
}

// join keeps the membership until ctx is done.
func (k *PartitionManager) join(ctx context.Context, g *group.Group) {
	reachable := true
	for ctx.Err() == nil {
		k.mu.Lock()
		acknowledged := k.membership.acknowledged
		k.mu.Unlock()
		sentAt := k.clock.Now()
		cctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
		a, err := k.log.Join(cctx, k.cfg.Member, acknowledged, k.membership.ttl)
		cancel()
		if ok := err == nil; ok != reachable {
			reachable = ok
			k.lines.Decision("job-log", "reachable", ok, "error", gypsumtide.ErrorText(err), "generation", a.Generation)
		}
		k.joined(sentAt, a, err, g)
		next := sentAt + joinInterval
		for handing := true; handing && ctx.Err() == nil && k.clock.Now() < next; {
			handing = k.handOver()
			gypsumtide.Sleep(ctx, handoverInterval)
		}
		gypsumtide.Sleep(ctx, max(0, next-k.clock.Now()))
	}
}

// joined takes the result of a join: it opens what was gained and begins to hand
// over what was lost.
func (k *PartitionManager) joined(sentAt gypsumtide.Millis, a gypsumtide.Assignment, err error, g *group.Group) {
	now := k.clock.Now()
	k.mu.Lock()
	if err == nil {
		k.membership.joined(sentAt, a)
	}
	for _, o := range k.owned {
		if !k.membership.holds(o.partition) && o.pausedAt == 0 {
			o.pausedAt = now
		}
	}
	if err == nil && k.membership.valid(now) {
		k.openAssigned(g)
	}
	k.mu.Unlock()
	k.acknowledge()
}

// watch releases everything when the membership is over.
func (k *PartitionManager) watch(ctx context.Context) error {
	for gypsumtide.Sleep(ctx, handoverInterval) {
		k.mu.Lock()
		var over []*ownership
		if !k.membership.valid(k.clock.Now()) {
			over = slices.Collect(maps.Values(k.owned))
		}
		k.mu.Unlock()
		for _, o := range over {
			k.release(o, "membership-over")
		}
	}
	return ctx.Err()
}

// openAssigned opens the partitions that are new here. The caller holds the lock.
func (k *PartitionManager) openAssigned(g *group.Group) {
	for _, p := range k.membership.assigned {
		if _, ok := k.owned[p]; ok {
			continue
		}
		k.openings++
		ctx, stop := context.WithCancel(g.Context())
		o := &ownership{partition: p, epoch: k.membership.epoch(k.openings), wake: make(chan struct{}, 1), stop: stop}
		k.owned[p] = o
		k.lines.Decision("partition-assigned", "partition", p, "epoch", o.epoch, "generation", k.membership.generation)
		g.Add("partition", func(context.Context) error {
			k.serve(ctx, o)
			return nil
		})
	}
}

// handOver releases partitions that were given to others once their runs have
// ended. It reports whether some are left.
func (k *PartitionManager) handOver() bool {
	now := k.clock.Now()
	k.mu.Lock()
	var handing []*ownership
	for _, o := range k.owned {
		if o.pausedAt > 0 {
			handing = append(handing, o)
		}
	}
	k.mu.Unlock()
	left := false
	for _, o := range handing {
		if k.executor.Pause(k.idsOf(o)) > 0 && now-o.pausedAt < handoverTime {
			left = true
			continue
		}
		k.release(o, "handed-over")
	}
	k.acknowledge()
	return left
}

// acknowledge notes that the losses of the newest distribution are carried out.
func (k *PartitionManager) acknowledge() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.owned {
		if !k.membership.holds(p) {
			return
		}
	}
	k.membership.acknowledged = k.membership.generation
}

func (k *PartitionManager) idsOf(o *ownership) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.book == nil {
		return nil
	}
	var ids []string
	for _, j := range o.book.open() {
		ids = append(ids, j.request.ID)
	}
	return ids
}

// release gives up a partition. Its jobs are left to the next owner. It stays in
// the list until serve has ended, so that it is not opened again before.
func (k *PartitionManager) release(o *ownership, reason string) {
	k.mu.Lock()
	first := !o.released
	o.released, o.ready = true, false
	k.mu.Unlock()
	if !first {
		return
	}
	o.stop()
	ids := k.idsOf(o)
	k.executor.Release(ids)
	k.lines.Decision("partition-released", "partition", o.partition, "epoch", o.epoch, "reason", reason, "jobs", len(ids))
}

// leave hands everything over at the end of the process.
func (k *PartitionManager) leave(ctx context.Context) {
	k.mu.Lock()
	now := k.clock.Now()
	for _, o := range k.owned {
		o.pausedAt = now
	}
	k.mu.Unlock()
	for k.handOver() {
		gypsumtide.Sleep(ctx, handoverInterval)
	}
	cctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	if err := k.log.Leave(cctx, k.cfg.Member); err != nil {
		k.lines.Decision("leave-failed", "error", err.Error())
	}
}

func (k *PartitionManager) expireLoop(ctx context.Context) error {
	for gypsumtide.Sleep(ctx, expireInterval) {
		k.mu.Lock()
		before := k.clock.Wall() - retention
		for _, o := range k.owned {
			if !o.ready {
				continue
			}
			if records := o.book.expire(before); len(records) > 0 {
				o.add(change{records: records, committed: func() {}})
			}
		}
		k.mu.Unlock()
	}
	return ctx.Err()
}

// add queues a change. The caller holds the Keeper's lock.
func (o *ownership) add(c change) {
	o.queue = append(o.queue, c)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Record implements dispatch.Recorder. Progress of jobs that are no longer owned
// is dropped: their ends are disowned when they are released.
func (k *PartitionManager) Record(p dispatch.Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range p.Started {
		if _, j := k.find(id); j != nil && j.state == gypsumtide.JobPending {
			j.state = gypsumtide.JobRunning
		}
	}
	for _, e := range p.Ends {
		k.recordEnd(e)
	}
}

func (k *PartitionManager) recordEnd(e dispatch.TaskEnd) {
	o, j := k.find(e.Ref.Task.Job)
	if j == nil {
		return
	}
	wall := k.clock.Wall()
	records, final, err := o.book.end(wall, e)
	if err != nil {
		// Values of the program's own types can be encoded, so this is a fault of it.
		k.lines.Decision("record-failed", "run", e.Ref, "error", err.Error())
		return
	}
	o.add(change{records: records, committed: func() {
		if final != "" {
			k.finish(o, j, final, wall)
		}
		k.executor.Recorded(e, final != "")
	}})
}

// finish shows the final state of a job once it is recorded.
func (k *PartitionManager) finish(o *ownership, j *job, state gypsumtide.JobState, wall gypsumtide.Millis) {
	k.mu.Lock()
	o.book.show(j, state, wall)
	k.mu.Unlock()
	k.metrics.ended(state)
	k.lines.Decision("job-ended", "job", j.request.ID, "request", j.request.Request, "state", state, "took-ms", wall-j.accepted)
}

// find returns a job of an owned partition, or nil. The caller holds the lock.
func (k *PartitionManager) find(id string) (*ownership, *job) {
	o := k.owned[partitionOf(id, k.log.Partitions())]
	if o == nil || !o.ready {
		return nil, nil
	}
	return o, o.book.jobs[id]
}

// QueuedByRoute returns the number of owned jobs by route of which no task has started.
func (k *PartitionManager) QueuedByRoute() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	queued := make(map[string]int)
	for _, o := range k.owned {
		if !o.ready {
			continue
		}
		for _, j := range o.book.jobs {
			if j.state == gypsumtide.JobPending && j.recorded {
				queued[j.route.Name]++
			}
		}
	}
	return queued
}

// ServedPartitions returns the partitions that this entry serves, in order.
func (k *PartitionManager) ServedPartitions() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var served []int
	for p, o := range k.owned {
		if k.serving(o) {
			served = append(served, p)
		}
	}
	slices.Sort(served)
	return served
}
