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
	appendTimeout gypsumtide.Millis = 800
	appendRetry   gypsumtide.Millis = 60
	loadTimeout   gypsumtide.Millis = 2000
	// maxBatchBytes bounds an append. A single record may be larger.
	maxBatchBytes = 1 << 20
)

// appendShare is the part of the log's rate that the appends of all partitions
// together may use.
const appendShare = 0.7

// appendInterval returns the shortest time between two appends to a partition.
// What comes meanwhile goes with the next one.
func appendInterval(partitions int, perSecond float64) gypsumtide.Millis {
	if perSecond <= 0 {
		perSecond = defaultAppends
	}
	return gypsumtide.Millis(1000 * float64(partitions) / (appendShare * perSecond))
}

// defaultAppends is the rate of a log that does not state it.
const defaultAppends = 800

// partitionOf returns the partition of a job.
func partitionOf(id string, partitions int) int {
	return int(xxhash.Sum64String(id) % uint64(max(1, partitions)))
}

// writer appends to one partition in one epoch, one append at a time.
type writer struct {
	log       gypsumtide.JobLog
	partition int
	epoch     uint64
	sequence  uint64
	// begun is set once an append of the epoch is in the log.
	begun bool
}

// append writes the records, and tries until it knows the result or ctx is done.
// It returns ErrNotAppended only if the log has certainly written nothing.
func (w *writer) append(ctx context.Context, records []gypsumtide.KeyedRecord) error {
	uncertain := false
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
		err := w.log.Append(cctx, w.partition, w.epoch, w.sequence+1, records)
		cancel()
		var sequence *gypsumtide.SequenceError
		switch {
		case err == nil:
			w.sequence++
			w.begun = true
			return nil
		case errors.Is(err, gypsumtide.ErrEpochSuperseded):
			return err
		case errors.As(err, &sequence):
			if uncertain && sequence.Expected == w.sequence+2 {
				w.sequence++
				w.begun = true
				return nil
			}
			if w.begun || uncertain {
				return err
			}
			w.sequence = sequence.Expected - 1
		case errors.Is(err, gypsumtide.ErrNotAppended) && !uncertain:
			return err
		default:
			uncertain = uncertain || !errors.Is(err, gypsumtide.ErrNotAppended)
			gypsumtide.Sleep(ctx, appendRetry)
		}
	}
	return ctx.Err()
}

// insist is append without giving up when the log refuses.
func (w *writer) insist(ctx context.Context, records []gypsumtide.KeyedRecord) error {
	for {
		err := w.append(ctx, records)
		if !errors.Is(err, gypsumtide.ErrNotAppended) || ctx.Err() != nil {
			return err
		}
		gypsumtide.Sleep(ctx, appendRetry)
	}
}

// serve owns a partition until ctx is done or another owner has begun an epoch.
func (k *PartitionManager) serve(ctx context.Context, o *ownership) {
	w := &writer{log: k.log, partition: o.partition, epoch: o.epoch}
	err := k.openPartition(ctx, o, w)
	for err == nil {
		err = k.writeNext(ctx, o, w)
	}
	if ctx.Err() == nil {
		k.lines.Decision("partition-lost", "partition", o.partition, "epoch", o.epoch, "error", err.Error())
	}
	k.release(o, "ended")
	k.mu.Lock()
	queue := o.queue
	o.queue = nil
	delete(k.owned, o.partition)
	k.mu.Unlock()
	for _, c := range queue {
		c.fail(ErrOwnershipLost)
	}
	k.acknowledge()
}

func (c *change) fail(err error) {
	if c.failed != nil {
		c.failed(err)
	}
}

// openPartition begins the epoch, reads the partition and adopts its jobs.
func (k *PartitionManager) openPartition(ctx context.Context, o *ownership, w *writer) error {
	if err := w.insist(ctx, []gypsumtide.KeyedRecord{{Key: ownerKey, Value: []byte(k.cfg.Member)}}); err != nil {
		return err
	}
	values, err := k.load(ctx, o.partition)
	if err != nil {
		return err
	}
	book, records, faults := recoverBook(values)
	for _, fault := range faults {
		k.lines.Decision("record-unreadable", "partition", o.partition, "error", fault.Error())
	}
	for len(records) > 0 {
		n := batchLength(records)
		if err := w.insist(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	notBefore := k.clock.Now() + k.membership.ttl + k.cfg.OrphanedRunTimeout
	var adoptions []dispatch.StoredJob
	for _, j := range book.open() {
		adoptions = append(adoptions, j.adoption(notBefore))
	}
	total := len(book.jobs)
	if !k.adopt(o, book, adoptions) {
		return ErrOwnershipLost
	}
	k.lines.Decision("partition-open", "partition", o.partition, "epoch", o.epoch, "jobs", total, "in-progress", len(adoptions))
	return nil
}

// adopt has the jobs of a partition run, and then serves it: a job must not be
// cancelled before the Executor knows it. It reports whether the partition has
// not been released meanwhile.
func (k *PartitionManager) adopt(o *ownership, b *book, adoptions []dispatch.StoredJob) bool {
	k.mu.Lock()
	released := o.released
	o.book = b
	k.mu.Unlock()
	if released {
		return false
	}
	k.executor.Adopt(adoptions)
	k.mu.Lock()
	released = o.released
	o.ready = !released
	k.mu.Unlock()
	if released {
		// The release may have been earlier than the adoption.
		k.executor.Release(k.idsOf(o))
	}
	return !released
}

func (k *PartitionManager) load(ctx context.Context, partition int) (map[string][]byte, error) {
	for {
		cctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
		values, err := k.log.Load(cctx, partition)
		cancel()
		if err == nil || ctx.Err() != nil {
			return values, err
		}
		k.lines.Decision("partition-unreadable", "partition", partition, "error", err.Error())
		gypsumtide.Sleep(ctx, appendRetry)
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

// writeNext waits for changes and appends a batch of them.
func (k *PartitionManager) writeNext(ctx context.Context, o *ownership, w *writer) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-o.wake:
	}
	begin := k.clock.Now()
	batch := k.takeBatch(o)
	var records []gypsumtide.KeyedRecord
	for _, c := range batch {
		records = append(records, c.records...)
	}
	if len(records) > 0 {
		err := w.append(ctx, records)
		k.metrics.appended(len(records), k.clock.Now()-begin)
		if errors.Is(err, gypsumtide.ErrNotAppended) {
			k.refused(o, batch, err)
			gypsumtide.Sleep(ctx, appendRetry)
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
		c.committed()
	}
	gypsumtide.Sleep(ctx, max(0, begin+k.interval-k.clock.Now()))
	return nil
}

// takeBatch takes the next changes from the queue.
func (k *PartitionManager) takeBatch(o *ownership) []change {
	k.mu.Lock()
	defer k.mu.Unlock()
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
		o.add(change{committed: func() {}})
	}
	return batch
}

// refused gives up the optional changes of a batch that the log has refused, and
// queues the others again.
func (k *PartitionManager) refused(o *ownership, batch []change, err error) {
	k.lines.Decision("append-refused", "partition", o.partition, "changes", len(batch), "error", err.Error())
	var again []change
	for _, c := range batch {
		if c.optional {
			c.fail(err)
			continue
		}
		again = append(again, c)
	}
	k.mu.Lock()
	o.queue = append(again, o.queue...)
	o.add(change{committed: func() {}})
	k.mu.Unlock()
}
