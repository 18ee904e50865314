package runner

import (
	"context"

	"gypsumtide"
)

// Intervals of the memory.
const (
	recallTimeout   gypsumtide.Millis = 800
	recallAttempts                    = 3
	rememberTimeout gypsumtide.Millis = 1500
	rememberRetry   gypsumtide.Millis = 1000
)

// offerMemory queues the newest announcement to be remembered.
func (a *Agent) offerMemory(info gypsumtide.WorkerInfo) {
	select {
	case <-a.memorable:
	default:
	}
	select {
	case a.memorable <- info:
	default:
	}
}

// keepMemory recalls the worker that the agent's earlier incarnation knew, and
// then remembers each new life or state. Nothing waits for it.
func (a *Agent) keepMemory(ctx context.Context) error {
	remembered := a.recall(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.marks:
			a.mark(ctx)
		case info := <-a.memorable:
			if info.Incarnation == remembered.Incarnation && info.Draining == remembered.Draining {
				continue
			}
			if a.remember(ctx, info) {
				remembered = info
				continue
			}
			gypsumtide.Sleep(ctx, rememberRetry)
		}
	}
}

func (a *Agent) remember(ctx context.Context, info gypsumtide.WorkerInfo) bool {
	cctx, cancel := context.WithTimeout(ctx, rememberTimeout.Duration())
	defer cancel()
	if err := a.cfg.WorkerStore.SaveWorker(cctx, a.cfg.Name, info); err != nil {
		// The next heartbeat offers it again.
		a.log.Decision("memory-write-failed", "life", info.Incarnation, "error", err.Error())
		return false
	}
	return true
}

// mark writes the note on stored jobs. The next order asks for it again if it fails.
func (a *Agent) mark(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, rememberTimeout.Duration())
	defer cancel()
	if err := a.cfg.WorkerStore.MarkStoredJobs(cctx, a.cfg.Name); err != nil {
		a.log.Decision("memory-write-failed", "mark", true, "error", err.Error())
		return
	}
	a.update(func(gypsumtide.Millis) { a.state.MarkSaved() })
	a.log.Decision("memory-marked")
}

// recall begins with the remembered worker if no heartbeat has arrived yet. The
// worker confirms its life before it gets any order.
func (a *Agent) recall(ctx context.Context) gypsumtide.WorkerInfo {
	for attempt := 0; attempt < recallAttempts && ctx.Err() == nil; attempt++ {
		cctx, cancel := context.WithTimeout(ctx, recallTimeout.Duration())
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
