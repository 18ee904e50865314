package stored

import (
	"context"
	"errors"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// Errors of requests to a Keeper.
var (
	// ErrNotOwner means that another entry owns the job's partition, or none.
	ErrNotOwner = errors.New("partition is not owned here")
	// ErrTooManyJobs means that the entry holds too many jobs.
	ErrTooManyJobs = errors.New("too many stored jobs")
	// ErrOwnershipLost means that it is not known whether a record was written.
	ErrOwnershipLost = errors.New("ownership of the partition was lost")
)

// Submit accepts a job. An error other than ErrOwnershipLost or one of the context
// proves that the job was not accepted.
func (k *PartitionManager) Submit(ctx context.Context, request gypsumtide.JobRequest, route gypsumtide.QueueRoute) error {
	done := make(chan error, 1)
	k.mu.Lock()
	o, j := k.find(request.ID)
	var err error
	switch {
	case o == nil || !k.serving(o):
		err = ErrNotOwner
	case j != nil && j.recorded:
		k.lines.Decision("job-repeated", "job", request.ID, "request", request.Request, "state", j.state)
		k.mu.Unlock()
		return nil
	case j != nil:
		k.afterAcceptance(o, j, done)
	case k.jobs() >= maxJobs:
		err = ErrTooManyJobs
	default:
		err = k.accept(o, newJob(request, route, k.clock.Wall()), done)
	}
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return await(ctx, done)
}

// await returns the fate of a change, or the error of ctx if that ends first.
func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// afterAcceptance reports the fate of an acceptance that is being recorded, since
// changes end in order. The caller holds the lock.
func (k *PartitionManager) afterAcceptance(o *ownership, j *job, done chan<- error) {
	o.add(change{optional: true, failed: func(err error) { done <- err }, committed: func() {
		k.mu.Lock()
		recorded := j.recorded
		k.mu.Unlock()
		if !recorded {
			done <- gypsumtide.ErrNotAppended
			return
		}
		done <- nil
	}})
}

// accept queues the acceptance of a job. The caller holds the lock.
func (k *PartitionManager) accept(o *ownership, j *job, done chan<- error) error {
	records, err := o.book.accept(j)
	if err != nil {
		return err
	}
	o.add(change{records: records, optional: true, committed: func() {
		k.mu.Lock()
		j.recorded = true
		adoption := j.adoption(0)
		k.mu.Unlock()
		k.metrics.accepted.Inc()
		k.lines.Decision("job-accepted", "job", j.request.ID, "request", j.request.Request, "route", j.route.Name,
			"partition", o.partition, "epoch", o.epoch, "took-ms", k.clock.Wall()-j.accepted)
		k.run(o, adoption)
		done <- nil
	}, failed: func(err error) {
		k.mu.Lock()
		o.book.reject(j)
		k.mu.Unlock()
		done <- err
	}})
	return nil
}

// run has a job run that was accepted, unless its partition is released, before
// or meanwhile: then the next owner runs it.
func (k *PartitionManager) run(o *ownership, job dispatch.StoredJob) {
	if k.isReleased(o) {
		return
	}
	k.executor.Adopt([]dispatch.StoredJob{job})
	if k.isReleased(o) {
		k.executor.Release([]string{job.Job.ID})
	}
}

func (k *PartitionManager) isReleased(o *ownership) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return o.released
}

// jobs returns the number of jobs in progress. The caller holds the lock.
func (k *PartitionManager) jobs() int {
	n := 0
	for _, o := range k.owned {
		if o.ready {
			n += o.book.inProgress
		}
	}
	return n
}

// serving reports whether the entry may act as owner. The caller holds the lock.
func (k *PartitionManager) serving(o *ownership) bool {
	return o.ready && o.pausedAt == 0 && k.membership.valid(k.clock.Now())
}

// Owns reports whether this entry serves the partition.
func (k *PartitionManager) Owns(partition int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.owned[partition]
	return o != nil && k.serving(o)
}

// State returns the state of a job, or "" if there is none.
func (k *PartitionManager) State(id string) (gypsumtide.JobState, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, j := k.find(id)
	switch {
	case o == nil || !k.serving(o):
		return "", ErrNotOwner
	case j == nil || !j.recorded:
		return "", nil
	}
	return j.state, nil
}

// Cancel ends a job. It returns the state that the job has then, or "" if there is none.
func (k *PartitionManager) Cancel(ctx context.Context, id string) (gypsumtide.JobState, error) {
	done := make(chan error, 1)
	k.mu.Lock()
	o, j := k.find(id)
	switch {
	case o == nil || !k.serving(o):
		k.mu.Unlock()
		return "", ErrNotOwner
	case j == nil:
		k.mu.Unlock()
		return "", nil
	case j.final():
		defer k.mu.Unlock()
		return j.state, nil
	case !j.recorded:
		k.afterAcceptance(o, j, done)
		k.mu.Unlock()
		return k.cancelAfter(ctx, id, done)
	case j.closing:
		// Another final state is being recorded.
		o.add(change{committed: func() { done <- nil }, failed: func(err error) { done <- err }})
	default:
		if err := k.cancel(o, j, done); err != nil {
			k.mu.Unlock()
			return "", err
		}
	}
	k.mu.Unlock()
	if err := await(ctx, done); err != nil {
		return "", err
	}
	return k.State(id)
}

// cancelAfter cancels a job once its acceptance is recorded.
func (k *PartitionManager) cancelAfter(ctx context.Context, id string, accepted <-chan error) (gypsumtide.JobState, error) {
	err := await(ctx, accepted)
	switch {
	case errors.Is(err, gypsumtide.ErrNotAppended):
		return "", nil
	case err != nil:
		return "", err
	}
	return k.Cancel(ctx, id)
}

// cancel queues the end of a job. The caller holds the lock.
func (k *PartitionManager) cancel(o *ownership, j *job, done chan<- error) error {
	wall := k.clock.Wall()
	records, state, err := o.book.close(wall, j, gypsumtide.JobCancelled)
	if err != nil {
		return err
	}
	id := j.request.ID
	o.add(change{records: records, committed: func() {
		k.finish(o, j, state, wall)
		k.executor.CloseJob(id, string(state))
		done <- nil
	}, failed: func(err error) { done <- err }})
	return nil
}
