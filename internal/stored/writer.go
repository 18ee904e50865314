package stored

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// Intervals and limits of the appends to a partition.
const (
	appendTimeout       gypsumtide.Millis = 800
	appendRetryInterval gypsumtide.Millis = 60
	loadTimeout         gypsumtide.Millis = 2000
	// maxBatchBytes limits the keys and values in one append. An append of a single write, or
	// of a single record while the partition is opened, may be larger.
	maxBatchBytes = 1 << 20
)

// appendRateShare is the fraction of the log's append rate that all partitions together
// may use.
const appendRateShare = 0.7

// appendInterval returns the shortest time between two batches of writes to a partition.
// Writes queued meanwhile go into the next batch. Retries and the appends that open a
// partition do not wait for it.
func appendInterval(partitions int, appendsPerSecond float64) gypsumtide.Millis {
	if appendsPerSecond <= 0 {
		appendsPerSecond = defaultAppendsPerSecond
	}
	return gypsumtide.Millis(1000 * float64(partitions) / (appendRateShare * appendsPerSecond))
}

// defaultAppendsPerSecond is the append rate that is assumed if Config states none.
const defaultAppendsPerSecond = 800

// partitionOf returns the partition of the job with the given id.
func partitionOf(id string, partitions int) int {
	return int(xxhash.Sum64String(id) % uint64(max(1, partitions)))
}

// partitionWriter appends to one partition in one epoch, one append at a time.
type partitionWriter struct {
	log       gypsumtide.JobLog
	partition int
	epoch     uint64
	// sequence is that of the last append known to be in the log.
	sequence uint64
	// epochStarted is set once an append of the epoch is known to be in the log.
	epochStarted bool
}

// append writes the records, and retries until it knows the result or ctx is done. It
// returns ErrNotAppended only if the log has certainly written nothing.
func (w *partitionWriter) append(ctx context.Context, records []gypsumtide.KeyedRecord) error {
	maybeWritten := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
		err := w.log.Append(callCtx, w.partition, w.epoch, w.sequence+1, records)
		cancel()
		var sequenceErr *gypsumtide.SequenceError
		switch {
		case err == nil:
			w.sequence++
			w.epochStarted = true
			return nil
		case errors.Is(err, gypsumtide.ErrEpochSuperseded):
			return err
		case errors.As(err, &sequenceErr):
			if maybeWritten && sequenceErr.Expected == w.sequence+2 {
				// An earlier attempt was written.
				w.sequence++
				w.epochStarted = true
				return nil
			}
			if w.epochStarted || maybeWritten {
				return err
			}
			// The first append of an epoch adopts the sequence that the log expects.
			w.sequence = sequenceErr.Expected - 1
		case errors.Is(err, gypsumtide.ErrNotAppended) && !maybeWritten:
			return err
		default:
			maybeWritten = maybeWritten || !errors.Is(err, gypsumtide.ErrNotAppended)
			gypsumtide.Sleep(ctx, appendRetryInterval)
		}
	}
	return ctx.Err()
}

// appendUntilAccepted is like append, but also retries when the log refuses the append.
func (w *partitionWriter) appendUntilAccepted(ctx context.Context, records []gypsumtide.KeyedRecord) error {
	for {
		err := w.append(ctx, records)
		if !errors.Is(err, gypsumtide.ErrNotAppended) || ctx.Err() != nil {
			return err
		}
		gypsumtide.Sleep(ctx, appendRetryInterval)
	}
}

// serve opens an assigned partition and appends its queued writes until ctx is done or an
// append fails for good, such as after another owner has begun an epoch. It then releases the
// partition and fails the writes that are left.
func (m *PartitionManager) serve(ctx context.Context, o *ownedPartition) {
	w := &partitionWriter{log: m.log, partition: o.partition, epoch: o.epoch}
	err := m.openPartition(ctx, o, w)
	for err == nil {
		err = m.writeNextBatch(ctx, o, w)
	}
	if ctx.Err() == nil {
		m.decisions.Decision("partition-lost", "partition", o.partition, "epoch", o.epoch, "error", err.Error())
	}
	m.release(o, "ended")
	m.mu.Lock()
	queue := o.queue
	o.queue = nil
	delete(m.owned, o.partition)
	m.mu.Unlock()
	for _, p := range queue {
		p.fail(ErrOwnershipLost)
	}
	m.acknowledgeRevocations()
}

// fail calls onFailed if it is set.
func (p *pendingWrite) fail(err error) {
	if p.onFailed != nil {
		p.onFailed(err)
	}
}

// openPartition begins the epoch, loads the partition and adopts its jobs.
func (m *PartitionManager) openPartition(ctx context.Context, o *ownedPartition, w *partitionWriter) error {
	if err := w.appendUntilAccepted(ctx, []gypsumtide.KeyedRecord{m.ownerRecord()}); err != nil {
		return err
	}
	values, err := m.loadPartition(ctx, o.partition)
	if err != nil {
		return err
	}
	table, records, errs := recoverJobTable(values)
	for _, recordErr := range errs {
		m.decisions.Decision("record-unreadable", "partition", o.partition, "error", recordErr.Error())
	}
	for len(records) > 0 {
		n := batchLength(records)
		if err := w.appendUntilAccepted(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	notBefore := m.clock.Now() + m.membership.ttl + m.cfg.OrphanedRunTimeout
	var storedJobs []dispatch.StoredJob
	for _, j := range table.inProgressJobs() {
		storedJobs = append(storedJobs, j.storedJob(notBefore))
	}
	total := len(table.jobs)
	if !m.adoptJobs(o, table, storedJobs) {
		return ErrOwnershipLost
	}
	m.decisions.Decision("partition-open", "partition", o.partition, "epoch", o.epoch, "jobs", total, "in-progress", len(storedJobs))
	return nil
}

// adoptJobs passes the jobs of a partition to the Executor and then marks the partition as
// ready. This order ensures that no job is cancelled before the Executor knows it. It
// returns false if the partition has been released meanwhile.
func (m *PartitionManager) adoptJobs(o *ownedPartition, table *jobTable, storedJobs []dispatch.StoredJob) bool {
	m.mu.Lock()
	released := o.released
	o.jobTable = table
	m.mu.Unlock()
	if released {
		return false
	}
	m.executor.Adopt(storedJobs)
	m.mu.Lock()
	released = o.released
	o.ready = !released
	m.mu.Unlock()
	if released {
		// The call of Release for the partition may have come before that of Adopt.
		m.executor.Release(m.inProgressJobIDs(o))
	}
	return !released
}

// loadPartition loads a partition, and retries until it succeeds or ctx is done.
func (m *PartitionManager) loadPartition(ctx context.Context, partition int) (map[string][]byte, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
		values, err := m.log.Load(callCtx, partition)
		cancel()
		if err == nil || ctx.Err() != nil {
			return values, err
		}
		m.decisions.Decision("partition-unreadable", "partition", partition, "error", err.Error())
		gypsumtide.Sleep(ctx, appendRetryInterval)
	}
}

// batchLength returns how many of the records fit into one append, at least one.
func batchLength(records []gypsumtide.KeyedRecord) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value)
		if i > 0 && size > maxBatchBytes {
			return i
		}
	}
	return len(records)
}

// writeNextBatch waits for queued writes, appends a batch of them and calls their callbacks.
// It returns an error if ctx is done or an append fails for another reason than a refusal.
func (m *PartitionManager) writeNextBatch(ctx context.Context, o *ownedPartition, w *partitionWriter) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-o.wake:
	}
	begin := m.clock.Now()
	batch := m.takeBatch(o)
	var records []gypsumtide.KeyedRecord
	for _, p := range batch {
		records = append(records, p.records...)
	}
	if len(records) > 0 {
		err := w.append(ctx, records)
		m.metrics.appended(len(records), m.clock.Now()-begin)
		if errors.Is(err, gypsumtide.ErrNotAppended) {
			m.handleRefusal(o, batch, err)
			gypsumtide.Sleep(ctx, appendRetryInterval)
			return nil
		}
		if err != nil {
			for _, p := range batch {
				p.fail(ErrOwnershipLost)
			}
			return err
		}
	}
	for _, p := range batch {
		p.onCommitted()
	}
	gypsumtide.Sleep(ctx, max(0, begin+m.minAppendInterval-m.clock.Now()))
	return nil
}

// takeBatch removes the next batch of writes from the queue.
func (m *PartitionManager) takeBatch(o *ownedPartition) []pendingWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, size := 0, 0
	for n < len(o.queue) {
		for _, r := range o.queue[n].records {
			size += len(r.Key) + len(r.Value)
		}
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := o.queue[:n:n]
	o.queue = o.queue[n:]
	if len(o.queue) > 0 {
		// Queuing an empty write wakes serve for the rest of the queue.
		o.enqueue(pendingWrite{onCommitted: func() {}})
	}
	return batch
}

// handleRefusal handles a batch that the log has refused: it fails the writes marked
// failIfRefused and queues the others again.
func (m *PartitionManager) handleRefusal(o *ownedPartition, batch []pendingWrite, err error) {
	m.decisions.Decision("append-refused", "partition", o.partition, "changes", len(batch), "error", err.Error())
	var retained []pendingWrite
	for _, p := range batch {
		if p.failIfRefused {
			p.fail(err)
			continue
		}
		retained = append(retained, p)
	}
	m.mu.Lock()
	o.queue = append(retained, o.queue...)
	o.enqueue(pendingWrite{onCommitted: func() {}})
	m.mu.Unlock()
}
