package agent

import (
	"context"
	"slices"
	"time"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// flushTimeout bounds the wait until the entries have read the last results.
const flushTimeout = 2 * time.Second

// drain gives queued tasks back, lets running ones finish, and waits until the
// entries have read the results.
func (a *Agent) drain(ctx context.Context) {
	a.log.Info("draining", "timeout-ms", a.cfg.DrainTimeout)
	a.mu.Lock()
	a.refuseWork()
	a.mu.Unlock()
	left := a.waitFor(ctx, a.cfg.DrainTimeout.Duration(), func() bool { return len(a.running) == 0 })
	if !left {
		a.log.Info("drain timeout, running tasks become unknown")
	} else {
		a.handOver()
	}
	a.flush(ctx)
}

// refuseWork gives the queued tasks back and accepts no more. The caller holds the mutex.
func (a *Agent) refuseWork() {
	if a.draining {
		return
	}
	a.draining = true
	a.queue.take(func(it *item) bool {
		a.drop(it, wire.ReasonDraining)
		return true
	})
	notify(a.offer)
}

// departureBatch bounds the submissions in one frame of the departing ledger.
const departureBatch = 1_000

// handOver sends the ledger to every connected entry. The results go along, as
// far as they are kept, so that an entry can answer for this agent.
func (a *Agent) handOver() {
	all := a.ledger.StartedTasks()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		for batch := range slices.Chunk(all, departureBatch) {
			a.update(l, func(f *wire.Frame) { f.Departures = append(f.Departures, batch...) })
		}
		a.update(l, func(f *wire.Frame) { f.DeparturesComplete = true })
	}
}

// flush waits until each entry has returned a clock reading that is newer than
// a frame written after the last result. A frame that was only written could
// still be lost with the connection.
func (a *Agent) flush(ctx context.Context) {
	a.mu.Lock()
	written := make(map[uint64]uint64)
	for _, l := range a.links {
		// The frame being written may have been taken before the last result was
		// added, so that the second frame from here is the one to wait for.
		written[l.number] = l.counters.FramesSent() + 2
	}
	a.mu.Unlock()
	marks := make(map[uint64]gypsumtide.Millis)
	a.waitFor(ctx, flushTimeout, func() bool {
		done := true
		for number, n := range written {
			l := a.links[number]
			if l == nil {
				continue
			}
			if marks[number] == 0 && l.counters.FramesSent() >= n {
				marks[number] = a.clock.Now()
			}
			if marks[number] == 0 || l.echo <= marks[number] {
				done = false
				a.update(l, func(*wire.Frame) {})
			}
		}
		return done
	})
}

// waitFor polls cond under the mutex until it holds or the time is over.
func (a *Agent) waitFor(ctx context.Context, limit time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(limit)
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
