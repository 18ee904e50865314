package stored

import (
	"context"
	"errors"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// Errors of requests to a PartitionManager.
var (
	// ErrNotOwner means that this entry does not serve the job's partition: it does not own
	// it, has not finished opening it, or is handing it over.
	ErrNotOwner = errors.New("this entry does not serve the partition")
	// ErrTooManyJobs means that the entry has too many jobs in progress.
	ErrTooManyJobs = errors.New("too many stored jobs")
	// ErrOwnershipLost means that the entry lost the partition before it knew that a record
	// was written. The record may or may not be in the log.
	ErrOwnershipLost = errors.New("ownership of the partition was lost")
)

// lock locks m.mu. The result unlocks it once; it is also deferred, so that a panic in one request
// does not block all others.
func (m *PartitionManager) lock() (unlock func()) {
	m.mu.Lock()
	return sync.OnceFunc(m.mu.Unlock)
}

// Submit accepts a job, or confirms that a job with this id was accepted before. After
// ErrOwnershipLost or a context error the job may have been accepted; any other error
// proves that this call did not accept it.
func (m *PartitionManager) Submit(ctx context.Context, request gypsumtide.JobRequest, route gypsumtide.QueueRoute) error {
	done := make(chan error, 1)
	unlock := m.lock()
	defer unlock()
	o, j := m.findJob(request.ID)
	var err error
	switch {
	case o == nil || !m.isServing(o):
		err = ErrNotOwner
	case j != nil && j.recorded:
		m.decisions.Decision("job-repeated", "job", request.ID, "request", request.Request, "state", j.state)
		unlock()
		return nil
	case j != nil:
		m.reportAcceptance(o, j, done)
	case m.countJobsInProgress() >= maxJobs:
		err = ErrTooManyJobs
	default:
		err = m.accept(o, newJob(request, route, m.clock.Wall()), done)
	}
	unlock()
	if err != nil {
		return err
	}
	return awaitWrite(ctx, done)
}

// awaitWrite waits for the result of a write, or returns the error of ctx if ctx is done
// first.
func awaitWrite(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reportAcceptance arranges that done receives the result of a job's acceptance, whose
// record is queued already: nil if the acceptance is recorded. It queues an empty write for
// this, since writes complete in order. The result of the empty write itself is that of its
// batch, which may be a later one than the batch with the acceptance. The caller holds the
// lock.
func (m *PartitionManager) reportAcceptance(o *ownedPartition, j *job, done chan<- error) {
	report := func(err error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if j.recorded {
			err = nil
		}
		done <- err
	}
	o.enqueue(pendingWrite{failIfRefused: true, onFailed: report, onCommitted: func() { report(gypsumtide.ErrNotAppended) }})
}

// accept adds a job and queues the record of its acceptance. done receives the result. The
// caller holds the lock.
func (m *PartitionManager) accept(o *ownedPartition, j *job, done chan<- error) error {
	records, err := o.jobTable.accept(j)
	if err != nil {
		return err
	}
	o.enqueue(pendingWrite{records: records, failIfRefused: true, onCommitted: func() {
		m.mu.Lock()
		j.recorded = true
		storedJob := j.storedJob(0)
		m.mu.Unlock()
		m.metrics.accepted.Inc()
		m.decisions.Decision("job-accepted", "job", j.request.ID, "request", j.request.Request, "route", j.route.Name,
			"partition", o.partition, "epoch", o.epoch, "took-ms", m.clock.Wall()-j.acceptedAt)
		m.startJob(o, storedJob)
		done <- nil
	}, onFailed: func(err error) {
		m.mu.Lock()
		o.jobTable.discard(j)
		m.mu.Unlock()
		done <- err
	}})
	return nil
}

// startJob starts an accepted job. If the partition has been released before or is
// released meanwhile, the job is left to the next owner.
func (m *PartitionManager) startJob(o *ownedPartition, job dispatch.StoredJob) {
	if m.isReleased(o) {
		return
	}
	m.executor.Adopt([]dispatch.StoredJob{job})
	if m.isReleased(o) {
		m.executor.Release([]string{job.Job.ID})
	}
}

func (m *PartitionManager) isReleased(o *ownedPartition) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return o.released
}

// countJobsInProgress returns the number of jobs without a final state in all partitions that
// are ready. The caller holds the lock.
func (m *PartitionManager) countJobsInProgress() int {
	n := 0
	for _, o := range m.owned {
		if o.ready {
			n += o.jobTable.inProgressCount
		}
	}
	return n
}

// isServing reports whether this entry may serve requests as the owner of the partition.
// The caller holds the lock.
func (m *PartitionManager) isServing(o *ownedPartition) bool {
	return o.ready && o.handoverStart == 0 && m.membership.valid(m.clock.Now())
}

// Serves reports whether this entry serves the partition.
func (m *PartitionManager) Serves(partition int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owned[partition]
	return o != nil && m.isServing(o)
}

// State returns the state of a job, or "" if there is no such job. After any error the
// request may be repeated.
func (m *PartitionManager) State(ctx context.Context, id string) (gypsumtide.JobState, error) {
	state, err := m.knownState(id)
	if err != nil || state != "" {
		return state, err
	}
	if err := m.confirmOwnership(ctx, id); err != nil {
		return "", err
	}
	return m.knownState(id)
}

// knownState returns the state of a job, or "" if this entry knows no such job or its
// acceptance is not recorded yet.
func (m *PartitionManager) knownState(id string) (gypsumtide.JobState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, j := m.findJob(id)
	switch {
	case o == nil || !m.isServing(o):
		return "", ErrNotOwner
	case j == nil || !j.recorded:
		return "", nil
	}
	return j.state, nil
}

// confirmOwnership returns nil if this entry still owned the job's partition after the call
// began. Before an entry says that there is no such job, it must know that no other one has
// opened the partition and accepted the job: it learns of a reassignment with its next join only.
// Writing the record of the owner again tells, since the log rejects a superseded epoch.
func (m *PartitionManager) confirmOwnership(ctx context.Context, id string) error {
	done := make(chan error, 1)
	unlock := m.lock()
	defer unlock()
	o, _ := m.findJob(id)
	if o == nil || !m.isServing(o) {
		unlock()
		return ErrNotOwner
	}
	o.enqueue(pendingWrite{
		records: []gypsumtide.KeyedRecord{m.ownerRecord()}, failIfRefused: true,
		onCommitted: func() { done <- nil }, onFailed: func(err error) { done <- err },
	})
	unlock()
	err := awaitWrite(ctx, done)
	if errors.Is(err, ErrOwnershipLost) {
		return ErrNotOwner
	}
	return err
}

// ownerRecord returns the record that names this entry as the owner of a partition.
func (m *PartitionManager) ownerRecord() gypsumtide.KeyedRecord {
	return gypsumtide.KeyedRecord{Key: ownerKey, Value: []byte(m.cfg.Member)}
}

// Cancel cancels a job unless it has a final state. It returns the state of the job
// after that, or "" if there is no such job. After ErrNotOwner, ErrOwnershipLost or a
// context error the job may have been cancelled.
func (m *PartitionManager) Cancel(ctx context.Context, id string) (gypsumtide.JobState, error) {
	done := make(chan error, 1)
	unlock := m.lock()
	defer unlock()
	o, j := m.findJob(id)
	switch {
	case o == nil || !m.isServing(o):
		unlock()
		return "", ErrNotOwner
	case j == nil:
		unlock()
		return "", m.confirmOwnership(ctx, id)
	case j.isFinal():
		return j.state, nil
	case !j.recorded:
		m.reportAcceptance(o, j, done)
		unlock()
		return m.cancelAfterAcceptance(ctx, id, done)
	case j.closing:
		// A final state is already being recorded.
		o.enqueue(pendingWrite{onCommitted: func() { done <- nil }, onFailed: func(err error) { done <- err }})
	default:
		if err := m.cancel(o, j, done); err != nil {
			unlock()
			return "", err
		}
	}
	unlock()
	if err := awaitWrite(ctx, done); err != nil {
		return "", err
	}
	return m.knownState(id)
}

// cancelAfterAcceptance cancels a job once its acceptance is recorded.
func (m *PartitionManager) cancelAfterAcceptance(ctx context.Context, id string, accepted <-chan error) (gypsumtide.JobState, error) {
	err := awaitWrite(ctx, accepted)
	switch {
	case errors.Is(err, gypsumtide.ErrNotAppended):
		return "", nil
	case err != nil:
		return "", err
	}
	return m.Cancel(ctx, id)
}

// cancel queues the records of a job's cancellation. done receives the result. The caller
// holds the lock.
func (m *PartitionManager) cancel(o *ownedPartition, j *job, done chan<- error) error {
	endedAt := m.clock.Wall()
	records, state, err := o.jobTable.close(endedAt, j, gypsumtide.JobCancelled)
	if err != nil {
		return err
	}
	id := j.request.ID
	o.enqueue(pendingWrite{records: records, onCommitted: func() {
		m.finishJob(o, j, state, endedAt)
		m.executor.CloseJob(id, string(state))
		done <- nil
	}, onFailed: func(err error) { done <- err }})
	return nil
}
