package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gypsumtide/internal/group"
	"gypsumtide/internal/ledger"
	"gypsumtide/internal/object"
	"gypsumtide/internal/wire"
)

// stopTimeout bounds a stop request to an upstream.
const stopTimeout = 2 * time.Second

// handle acts on a frame from an entry. Promises go first: a frame that carries
// a promise and a dispatch comes from the home of the higher epoch. Recalls and
// cancels go after dispatches, because they may name a task of the same frame.
func (a *Agent) handle(l *link, f *wire.Frame) error {
	if f.Config != nil {
		if err := a.configure(f.Config); err != nil {
			return err
		}
	}
	if f.Welcome != nil {
		a.learn(l, f.Welcome)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.Drain {
		a.refuseWork()
	}
	l.echo = max(l.echo, f.Echo)
	if len(f.FenceRequests)+len(f.Recovers)+len(f.Queries)+len(f.Recalls)+len(f.Cancels)+len(f.Dispatches) == 0 {
		return nil
	}
	a.promises(l, f.FenceRequests)
	a.recovers(l, f.Recovers)
	for _, ref := range f.Queries {
		a.settle(l, ref, wire.ReasonNeverReceived, a.ledger.Query(ref, l.number))
	}
	if len(f.Dispatches) > 0 {
		a.dispatches(l, f)
	}
	for _, ref := range f.Recalls {
		a.settle(l, ref, wire.ReasonRecalled, a.ledger.Withdraw(ref, l.number, wire.ReasonRecalled))
	}
	for _, ref := range f.Cancels {
		a.cancel(l, ref)
	}
	a.scheduleLocked()
	notify(a.wake)
	return nil
}

func (a *Agent) promises(l *link, promises []wire.ShardEpoch) {
	for _, p := range promises {
		highest, discarded := a.ledger.Fence(p.Shard, p.Epoch)
		a.deliver(discarded)
		a.update(l, func(f *wire.Frame) {
			f.FenceConfirmations = append(f.FenceConfirmations, wire.ShardEpoch{Shard: p.Shard, Epoch: highest})
		})
	}
}

func (a *Agent) recovers(l *link, recovers []wire.Recover) {
	for _, rec := range recovers {
		out, discarded := a.ledger.Recover(rec, l.number)
		a.deliver(discarded)
		for _, r := range out.Tasks {
			a.follow(l, r)
		}
		a.update(l, func(f *wire.Frame) { f.Recovered = append(f.Recovered, out) })
	}
}

// settle sends the answer to a query, recall or cancel, and drops the task from
// the queue if the answer promises that it does not start.
func (a *Agent) settle(l *link, ref wire.TaskRef, reason string, r wire.Result) {
	if r.State == wire.TaskNotStarted && r.Reason == reason {
		a.queue.remove(keyOf(ref))
	}
	a.follow(l, r)
	a.reply(l, r)
}

// cancel withdraws a queued task or asks the upstream to stop a running one, at most once.
func (a *Agent) cancel(l *link, ref wire.TaskRef) {
	r := a.ledger.Withdraw(ref, l.number, wire.ReasonCancelled)
	a.settle(l, ref, wire.ReasonCancelled, r)
	it := a.running[keyOf(ref)]
	if r.State != wire.TaskRunning || it == nil || it.stopped {
		return
	}
	it.stopped = true
	done := group.Go(a.runCtx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		return it.slot.Stop(ctx, ref)
	})
	a.stops.Add(1)
	go func() {
		defer a.stops.Done()
		if err := <-done; err != nil {
			a.log.V(2).Info("stop failed", "submission", ref.Submission.String(), "task", ref.Task, "error", err.Error())
		}
	}()
}

// follow counts a running task for the session that asked for it last.
func (a *Agent) follow(l *link, r wire.Result) {
	if it := a.running[keyOf(r.TaskRef)]; it != nil && r.State == wire.TaskRunning {
		it.link = l.number
	}
}

// configure keeps the highest revision, so that a node never reverts. An error
// ends the session, and the entry sends the whole text on the next one.
func (a *Agent) configure(c *wire.Config) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Revision <= a.revision() {
		return nil
	}
	var own []byte
	if a.config != nil {
		own = a.config.Objects
	}
	text, err := c.Text(a.revision(), own)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.config = &wire.Config{Revision: c.Revision, Objects: text}
	a.reserve(text)
	a.log.Info("configuration in force", "revision", c.Revision)
	for _, l := range a.links {
		a.update(l, func(*wire.Frame) {})
	}
	return nil
}

// reserve takes the share of slots for short work from the pools that this
// agent's availability zone belongs to. The smallest one counts, since the
// homes keep to the share of the pool that they place for.
func (a *Agent) reserve(objects []byte) {
	set, err := object.Parse(object.File{Name: "configuration", Data: objects})
	if err != nil {
		// The entries checked the set; this version cannot read it.
		a.log.Error(err, "reserved slots unchanged")
		return
	}
	percent := -1
	for _, p := range set.Pools() {
		member := len(p.AvailabilityZones) == 0 || slices.Contains(p.AvailabilityZones, a.cfg.Zone)
		if member && (percent < 0 || p.ReserveShortPercent < percent) {
			percent = p.ReserveShortPercent
		}
	}
	if percent >= 0 {
		a.registry.SetReserveShort(percent)
	}
}

// deliver sends the answers for discarded tasks to their homes.
func (a *Agent) deliver(discarded []ledger.Answer) {
	for _, answer := range discarded {
		r := answer.Result()
		a.queue.remove(keyOf(r.TaskRef))
		a.decide("task not started", &r.TaskRef, r.State.String(), r.Reason, "")
		a.send(answer)
	}
}

// send gives a result to the session of the home that asked last. If the
// session is broken, the result waits in the ledger for a query or a recovery.
func (a *Agent) send(answer ledger.Answer) {
	if l := a.links[answer.Requester().Session()]; l != nil {
		a.reply(l, answer.Result())
	}
}

func (a *Agent) reply(l *link, r wire.Result) {
	if r.State == 0 {
		return
	}
	a.update(l, func(f *wire.Frame) { f.Results = append(f.Results, r) })
}

// update adds to the next frame, which carries load and revision as well.
func (a *Agent) update(l *link, add func(f *wire.Frame)) {
	l.updatedAt = a.clock.Now()
	l.session.Update(func(f *wire.Frame) {
		add(f)
		load := a.load(l)
		f.Load = &load
		f.Revision = a.revision()
	})
}

func (a *Agent) revision() uint64 {
	if a.config == nil {
		return 0
	}
	return a.config.Revision
}
