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
	// maxBatchBytes bounds an append. A single record may be larger.
	maxBatchBytes = 1 << 20
)

// appendRateShare is the part of the log's rate that the appends of all partitions
// together may use.
const appendRateShare = 0.7

// appendInterval returns the shortest time between two appends to a partition.
// What comes meanwhile goes with the next one.
func appendInterval(partitions int, perSecond float64) gypsumtide.Millis {
	if perSecond <= 0 {
		perSecond = defaultAppendsPerSecond
	}
	return gypsumtide.Millis(1000 * float64(partitions) / (appendRateShare * perSecond))
}

// defaultAppendsPerSecond is the rate of a log that does not state it.
const defaultAppendsPerSecond = 800

// partitionOf returns the partition of a job.
func partitionOf(id string, partitions int) int {
	return int(xxhash.Sum64String(id) % uint64(max(1, partitions)))
}

// partitionWriter appends to one partition in one epoch, one append at a time.
type partitionWriter struct {
	log       gypsumtide.JobLog
	partition int
	epoch     uint64
	sequence  uint64
	// epochStarted is set once an append of the epoch is in the log.
	epochStarted bool
}

// append writes the records, and tries until it knows the result or ctx is done.
// It returns ErrNotAppended only if the log has certainly written nothing.
func (w *partitionWriter) append(ctx context.Context, records []gypsumtide.KeyedRecord) error {
	uncertain := false
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
		err := w.log.Append(cctx, w.partition, w.epoch, w.sequence+1, records)
		cancel()
		var sequence *gypsumtide.SequenceError
		switch {
		case err == nil:
			w.sequence++
			w.epochStarted = true
			return nil
		case errors.Is(err, gypsumtide.ErrEpochSuperseded):
			return err
		case errors.As(err, &sequence):
			if uncertain && sequence.Expected == w.sequence+2 {
				w.sequence++
				w.epochStarted = true
				return nil
			}
			if w.epochStarted || uncertain {
				return err
			}
			w.sequence = sequence.Expected - 1
		case errors.Is(err, gypsumtide.ErrNotAppended) && !uncertain:
			return err
		default:
			uncertain = uncertain || !errors.Is(err, gypsumtide.ErrNotAppended)
			gypsumtide.Sleep(ctx, appendRetryInterval)
		}
	}
	return ctx.Err()
}

// appendUntilAccepted is append without giving up when the log refuses.
func (w *partitionWriter) appendUntilAccepted(ctx context.Context, records []gypsumtide.KeyedRecord) error {
	for {
		err := w.append(ctx, records)
		if !errors.Is(err, gypsumtide.ErrNotAppended) || ctx.Err() != nil {
			return err
		}
		gypsumtide.Sleep(ctx, appendRetryInterval)
	}
}

// serve owns a partition until ctx is done or another owner has begun an epoch.
func (m *PartitionManager) serve(ctx context.Context, o *ownedPartition) {
	w := &partitionWriter{log: m.log, partition: o.partition, epoch: o.epoch}
	err := m.openPartition(ctx, o, w)
	for err == nil {
		err = m.writeNextBatch(ctx, o, w)
	}
	if ctx.Err() == nil {
		m.recorder.Decision("partition-lost", "partition", o.partition, "epoch", o.epoch, "error", err.Error())
	}
	m.release(o, "ended")
	m.mu.Lock()
	queue := o.queue
	o.queue = nil
	delete(m.owned, o.partition)
	m.mu.Unlock()
	for _, c := range queue {
		c.fail(ErrOwnershipLost)
	}
	m.acknowledgeRevocations()
}

func (c *pendingWrite) fail(err error) {
	if c.onFailed != nil {
		c.onFailed(err)
	}
}

// openPartition begins the epoch, reads the partition and adopts its jobs.
func (m *PartitionManager) openPartition(ctx context.Context, o *ownedPartition, w *partitionWriter) error {
	if err := w.appendUntilAccepted(ctx, []gypsumtide.KeyedRecord{{Key: ownerKey, Value: []byte(m.cfg.Member)}}); err != nil {
		return err
	}
	values, err := m.loadPartition(ctx, o.partition)
	if err != nil {
		return err
	}
	table, records, errs := recoverJobTable(values)
	for _, recordErr := range errs {
		m.recorder.Decision("record-unreadable", "partition", o.partition, "error", recordErr.Error())
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
	for _, j := range table.open() {
		storedJobs = append(storedJobs, j.storedJob(notBefore))
	}
	total := len(table.jobs)
	if !m.adoptJobs(o, table, storedJobs) {
		return ErrOwnershipLost
	}
	m.recorder.Decision("partition-open", "partition", o.partition, "epoch", o.epoch, "jobs", total, "in-progress", len(storedJobs))
	return nil
}

// adoptJobs has the jobs of a partition run, and then serves it: a job must not be
// cancelled before the Executor knows it. It reports whether the partition has
// not been released meanwhile.
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
		// The release may have been earlier than the adoption.
		m.executor.Release(m.openJobIDs(o))
	}
	return !released
}

func (m *PartitionManager) loadPartition(ctx context.Context, partition int) (map[string][]byte, error) {
	for {
		cctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
		values, err := m.log.Load(cctx, partition)
		cancel()
		if err == nil || ctx.Err() != nil {
			return values, err
		}
		m.recorder.Decision("partition-unreadable", "partition", partition, "error", err.Error())
		gypsumtide.Sleep(ctx, appendRetryInterval)
	}
}

// batchLength returns how many of the records go into one append.
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

// writeNextBatch waits for changes and appends a batch of them.
func (m *PartitionManager) writeNextBatch(ctx context.Context, o *ownedPartition, w *partitionWriter) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-o.wake:
	}
	begin := m.clock.Now()
	batch := m.takeBatch(o)
	var records []gypsumtide.KeyedRecord
	for _, c := range batch {
		records = append(records, c.records...)
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
			for _, c := range batch {
				c.fail(ErrOwnershipLost)
			}
			return err
		}
	}
	for _, c := range batch {
		c.onCommitted()
	}
	gypsumtide.Sleep(ctx, max(0, begin+m.interval-m.clock.Now()))
	return nil
}

// takeBatch takes the next changes from the queue.
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
		o.enqueue(pendingWrite{onCommitted: func() {}})
	}
	return batch
}

// handleRefusal gives up the optional changes of a batch that the log has handleRefusal, and
// queues the others again.
func (m *PartitionManager) handleRefusal(o *ownedPartition, batch []pendingWrite, err error) {
	m.recorder.Decision("append-refused", "partition", o.partition, "changes", len(batch), "error", err.Error())
	var retained []pendingWrite
	for _, c := range batch {
		if c.failIfRefused {
			c.fail(err)
			continue
		}
		retained = append(retained, c)
	}
	m.mu.Lock()
	o.queue = append(retained, o.queue...)
	o.enqueue(pendingWrite{onCommitted: func() {}})
	m.mu.Unlock()
}
