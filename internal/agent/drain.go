package agent

import (
	"context"
	"slices"
	"time"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// flushTimeout limits the wait until the entries have read the last results.
const flushTimeout = 2 * time.Second

// drain returns the queued tasks to their homes, waits for the running tasks, sends the
// ledger if all of them have finished, and waits until the entries have read the results.
func (a *Agent) drain(ctx context.Context) {
	a.log.Info("draining", "timeout-ms", a.cfg.DrainTimeout)
	a.mu.Lock()
	a.stopAccepting()
	a.mu.Unlock()
	finished := a.waitFor(ctx, a.cfg.DrainTimeout.Duration(), func() bool { return len(a.running) == 0 })
	if !finished {
		a.log.Info("drain timeout expired, results of running tasks are unknown")
	} else {
		a.sendFinalLedger()
	}
	a.flushResults(ctx)
}

// stopAccepting returns the queued tasks to their homes and refuses further tasks. The
// mutex must be held.
func (a *Agent) stopAccepting() {
	if a.draining {
		return
	}
	a.draining = true
	a.queue.removeIf(func(t *task) bool {
		a.returnTask(t, wire.ReasonDraining)
		return true
	})
	notify(a.announceNow)
}

// finalLedgerBatch is the maximum number of submissions that sendFinalLedger adds to a
// frame at once, so that a large ledger can be split over several frames. Batches that are
// added before the session writes a frame share that frame.
const finalLedgerBatch = 1_000

// sendFinalLedger sends the ledger, with the results that it still retains, to every
// connected entry, so that a recovery can still find the tasks of this agent after it has
// exited.
func (a *Agent) sendFinalLedger() {
	startedTasks := a.ledger.StartedTasks()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		for batch := range slices.Chunk(startedTasks, finalLedgerBatch) {
			a.updateFrame(s, func(f *wire.Frame) { f.FinalLedgerTasks = append(f.FinalLedgerTasks, batch...) })
		}
		a.updateFrame(s, func(f *wire.Frame) { f.FinalLedgerComplete = true })
	}
}

// flushResults waits, at most for flushTimeout, until each entry that stays connected has
// read the last results. That is known once the entry echoes a clock reading that was
// taken after the frame with the last result had been written, since an entry reads frames
// in order. It is not enough that the frame was written, since it can be lost if the
// connection breaks.
func (a *Agent) flushResults(ctx context.Context) {
	a.mu.Lock()
	awaitedFrames := make(map[uint64]uint64)
	for _, s := range a.sessions {
		// The frame being written may have been built before the last result was added,
		// so the second frame from now is the first one that is sure to follow it.
		awaitedFrames[s.number] = s.counters.FramesSent() + 2
	}
	a.mu.Unlock()
	writtenAt := make(map[uint64]gypsumtide.Millis)
	a.waitFor(ctx, flushTimeout, func() bool {
		done := true
		for number, awaited := range awaitedFrames {
			s := a.sessions[number]
			if s == nil {
				continue
			}
			if writtenAt[number] == 0 && s.counters.FramesSent() >= awaited {
				writtenAt[number] = a.clock.Now()
			}
			if writtenAt[number] == 0 || s.echo <= writtenAt[number] {
				done = false
				a.updateFrame(s, func(*wire.Frame) {})
			}
		}
		return done
	})
}

// waitFor polls cond with the mutex held until it returns true, the timeout expires
// or ctx is done. It returns the last result of cond.
func (a *Agent) waitFor(ctx context.Context, timeout time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(timeout)
	for {
		a.mu.Lock()
		ok := cond()
		a.mu.Unlock()
		if ok || time.Now().After(deadline) || ctx.Err() != nil {
			return ok
		}
		time.Sleep(10 * time.Millisecond)
	}
}
