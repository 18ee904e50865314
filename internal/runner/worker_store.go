package runner

import (
	"context"

	"gypsumtide"
)

// Timeouts and retries of calls to the worker store.
const (
	loadTimeout  gypsumtide.Millis = 800
	loadAttempts                   = 3
	saveTimeout  gypsumtide.Millis = 1500
	saveRetry    gypsumtide.Millis = 1000
)

// queueWorkerSave queues the newest worker description to be saved, in place of an
// earlier one that is still queued.
func (a *Agent) queueWorkerSave(info gypsumtide.WorkerInfo) {
	select {
	case <-a.workerSaves:
	default:
	}
	select {
	case a.workerSaves <- info:
	default:
	}
}

// workerStoreLoop restores the worker that an earlier incarnation of the agent has
// saved, and then saves each new incarnation or draining state of the worker. Only two
// things wait for these calls: tasks of stored jobs until the host is marked, and ends of
// unknown runs until the mark is loaded or the lease has expired.
func (a *Agent) workerStoreLoop(ctx context.Context) error {
	saved := a.restoreWorker(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.storedJobsMarkSaves:
			a.saveStoredJobsMark(ctx)
		case info := <-a.workerSaves:
			if info.Incarnation == saved.Incarnation && info.Draining == saved.Draining {
				continue
			}
			if a.saveWorker(ctx, info) {
				saved = info
				continue
			}
			gypsumtide.Sleep(ctx, saveRetry)
		}
	}
}

func (a *Agent) saveWorker(ctx context.Context, info gypsumtide.WorkerInfo) bool {
	cctx, cancel := context.WithTimeout(ctx, saveTimeout.Duration())
	defer cancel()
	if err := a.cfg.WorkerStore.SaveWorker(cctx, a.cfg.Name, info); err != nil {
		// The next heartbeat queues the description again.
		a.log.Decision("memory-write-failed", "life", info.Incarnation, "error", err.Error())
		return false
	}
	return true
}

// saveStoredJobsMark marks the host in the worker store as one that runs tasks of
// stored jobs. If that fails, the next order of a stored job requests it again.
func (a *Agent) saveStoredJobsMark(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, saveTimeout.Duration())
	defer cancel()
	if err := a.cfg.WorkerStore.MarkStoredJobs(cctx, a.cfg.Name); err != nil {
		a.log.Decision("memory-write-failed", "mark", true, "error", err.Error())
		return
	}
	a.update(func(gypsumtide.Millis) { a.state.StoredJobsMarkSaved() })
	a.log.Decision("memory-marked")
}

// restoreWorker loads the mark and the saved description of the worker, and uses the
// description if no heartbeat has arrived yet. The worker must confirm its incarnation
// before it gets any order. restoreWorker returns the description, or a zero value if there
// is none or the store cannot be read.
func (a *Agent) restoreWorker(ctx context.Context) gypsumtide.WorkerInfo {
	for attempt := 0; attempt < loadAttempts && ctx.Err() == nil; attempt++ {
		cctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
		info, marked, err := a.cfg.WorkerStore.LoadWorker(cctx, a.cfg.Name)
		cancel()
		if err != nil {
			a.log.Decision("memory-read-failed", "error", err.Error())
			gypsumtide.Sleep(ctx, tickInterval)
			continue
		}
		if info == nil {
			info = &gypsumtide.WorkerInfo{}
		}
		a.update(func(now gypsumtide.Millis) {
			a.state.StoredJobsMarkLoaded(now, marked)
			if info.Incarnation.ID != "" && a.state.Incarnation() == (gypsumtide.Incarnation{}) {
				a.log.Decision("worker-recalled", "life", info.Incarnation, "draining", info.Draining)
				a.state.RestoreWorker(now, a.withZone(*info))
			}
		})
		return *info
	}
	return gypsumtide.WorkerInfo{}
}
