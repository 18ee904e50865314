package runner

import (
	"context"

	"gypsumtide"
)

// Intervals of the memory.
const (
	loadTimeout  gypsumtide.Millis = 800
	loadAttempts                   = 3
	saveTimeout  gypsumtide.Millis = 1500
	saveRetry    gypsumtide.Millis = 1000
)

// queueWorkerSave queues the newest announcement to be remembered.
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

// workerStoreLoop recalls the worker that the agent's earlier incarnation knew, and
// then remembers each new life or state. Nothing waits for it.
func (a *Agent) workerStoreLoop(ctx context.Context) error {
	saved := a.restoreWorker(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.markSaves:
			a.saveMark(ctx)
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
		// The next heartbeat offers it again.
		a.log.Decision("memory-write-failed", "life", info.Incarnation, "error", err.Error())
		return false
	}
	return true
}

// saveMark writes the note on stored jobs. The next order asks for it again if it fails.
func (a *Agent) saveMark(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, saveTimeout.Duration())
	defer cancel()
	if err := a.cfg.WorkerStore.MarkStoredJobs(cctx, a.cfg.Name); err != nil {
		a.log.Decision("memory-write-failed", "mark", true, "error", err.Error())
		return
	}
	a.update(func(gypsumtide.Millis) { a.state.MarkSaved() })
	a.log.Decision("memory-marked")
}

// restoreWorker begins with the remembered worker if no heartbeat has arrived yet. The
// worker confirms its life before it gets any order.
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
			a.state.MarkLoaded(now, marked)
			if info.Incarnation.ID != "" && a.state.Incarnation() == (gypsumtide.Incarnation{}) {
				a.log.Decision("worker-recalled", "life", info.Incarnation, "draining", info.Draining)
				a.state.RestoreWorker(now, *info)
			}
		})
		return *info
	}
	return gypsumtide.WorkerInfo{}
}
