package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/ledger"
	"gypsumtide/internal/object"
	"gypsumtide/internal/wire"
)

// stopTimeout limits a stop request to an upstream.
const stopTimeout = 2 * time.Second

// handle processes a frame from an entry. Fence requests are processed before
// dispatches, since a frame that contains both is from the home of the higher epoch.
// Recalls and cancels are processed after dispatches, since they can refer to a task
// dispatched in the same frame.
func (a *Agent) handle(s *entrySession, f *wire.Frame) error {
	if f.Config != nil {
		if err := a.applyConfig(f.Config); err != nil {
			return err
		}
	}
	if f.Welcome != nil {
		a.handleWelcome(s, f.Welcome)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.Drain {
		a.stopAccepting()
	}
	s.echo = max(s.echo, f.Echo)
	if len(f.FenceRequests)+len(f.RecoveryRequests)+len(f.Queries)+len(f.Recalls)+len(f.Cancels)+len(f.Dispatches) == 0 {
		return nil
	}
	a.raiseFences(s, f.FenceRequests)
	a.answerRecoveryRequests(s, f.RecoveryRequests)
	for _, ref := range f.Queries {
		a.answerTask(s, ref, wire.ReasonNeverReceived, a.ledger.Query(ref, s.number))
	}
	if len(f.Dispatches) > 0 {
		a.acceptDispatches(s, f)
	}
	for _, ref := range f.Recalls {
		a.answerTask(s, ref, wire.ReasonRecalled, a.ledger.Withdraw(ref, s.number, wire.ReasonRecalled))
	}
	for _, ref := range f.Cancels {
		a.cancelTask(s, ref)
	}
	a.scheduleLocked()
	notify(a.scheduleNow)
	return nil
}

// raiseFences executes fence requests: it returns the queued tasks of lower epochs and
// confirms the requests. The mutex must be held.
func (a *Agent) raiseFences(s *entrySession, requests []wire.ShardEpoch) {
	for _, req := range requests {
		highest, discarded := a.ledger.Fence(req.Shard, req.Epoch)
		a.sendDiscarded(discarded)
		a.updateFrame(s, func(f *wire.Frame) {
			f.FenceConfirmations = append(f.FenceConfirmations, wire.ShardEpoch{Shard: req.Shard, Epoch: highest})
		})
	}
}

// answerRecoveryRequests reports the started tasks of submissions to their new home.
// The mutex must be held.
func (a *Agent) answerRecoveryRequests(s *entrySession, requests []wire.RecoveryRequest) {
	for _, req := range requests {
		reply, discarded := a.ledger.Recover(req, s.number)
		a.sendDiscarded(discarded)
		for _, r := range reply.Tasks {
			a.assignSession(s, r)
		}
		a.updateFrame(s, func(f *wire.Frame) { f.RecoveryReplies = append(f.RecoveryReplies, reply) })
	}
}

// answerTask sends the ledger's answer to a query, recall or cancel, if there is one. A
// not-started answer with the given reason guarantees that the task does not start without
// a new dispatch, so the task is removed from the queue. A query of a lower epoch is
// answered with another reason, and the task of the higher epoch stays queued.
func (a *Agent) answerTask(s *entrySession, ref wire.TaskRef, reason string, r wire.Result) {
	if r.State == wire.TaskNotStarted && r.Reason == reason {
		a.queue.remove(keyOf(ref))
	}
	a.assignSession(s, r)
	a.addResult(s, r)
}

// cancelTask withdraws a queued task, or asks the upstream at most once to stop a
// running one.
func (a *Agent) cancelTask(s *entrySession, ref wire.TaskRef) {
	r := a.ledger.Withdraw(ref, s.number, wire.ReasonCancelled)
	a.answerTask(s, ref, wire.ReasonCancelled, r)
	t := a.running[keyOf(ref)]
	if r.State != wire.TaskRunning || t == nil || t.stopSent {
		return
	}
	t.stopSent = true
	done := group.Go(a.requestCtx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		return t.slot.Stop(ctx, ref)
	})
	a.stopRequests.Add(1)
	go func() {
		defer a.stopRequests.Done()
		if err := <-done; err != nil {
			a.log.V(2).Info("stop request failed", "submission", ref.Submission.String(), "task", ref.Task, "error", err.Error())
		}
	}()
}

// assignSession assigns a running task to the session that last asked for it. The load
// reports on that session count the task as one of the entry's own (Load.FromPeer).
func (a *Agent) assignSession(s *entrySession, r wire.Result) {
	if t := a.running[keyOf(r.TaskRef)]; t != nil && r.State == wire.TaskRunning {
		t.session = s.number
	}
}

// applyConfig applies a configuration that is newer than the current one, so that an
// agent never goes back to an older revision. An error closes the session. On the next
// one the agent reports its revision, and the entry sends a configuration that fits it.
func (a *Agent) applyConfig(c *wire.Config) error {
	if err := gypsumtide.ValidateCounter("configuration revision", c.Revision); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Revision <= a.revision() {
		return nil
	}
	var base []byte
	if a.config != nil {
		base = a.config.Objects
	}
	text, err := c.Text(a.revision(), base)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.config = &wire.Config{Revision: c.Revision, Objects: text}
	a.applyObjects(text)
	a.log.Info("configuration in force", "revision", c.Revision)
	for _, s := range a.sessions {
		a.updateFrame(s, func(*wire.Frame) {})
	}
	return nil
}

// applyObjects applies the objects that concern an agent.
func (a *Agent) applyObjects(text []byte) {
	set, err := object.Parse(object.File{Name: "configuration", Data: text})
	if err != nil {
		// The entries have validated the objects, but this version cannot parse them.
		a.log.Error(err, "cannot parse the configuration, reserved slots and evacuations are unchanged")
		return
	}
	a.updateReserve(set)
	a.updateZoneEvacuated(set)
}

// updateReserve sets the percentage of slots reserved for short tasks to the smallest
// one of the pools that contain the agent's availability zone. Without such a pool, the
// percentage stays unchanged. The smallest one is enough, since each home observes the
// percentage of the pool for which it places tasks.
func (a *Agent) updateReserve(set *object.Set) {
	percent := -1
	for _, p := range set.Pools() {
		member := len(p.AvailabilityZones) == 0 || slices.Contains(p.AvailabilityZones, a.cfg.Zone)
		if member && (percent < 0 || p.ReserveShortPercent < percent) {
			percent = p.ReserveShortPercent
		}
	}
	if percent >= 0 {
		a.registry.SetReserveShortPercent(percent)
	}
}

// sendDiscarded removes discarded tasks from the queue and sends the answers for them
// to their homes.
func (a *Agent) sendDiscarded(discarded []ledger.Answer) {
	for _, answer := range discarded {
		r := answer.Result()
		a.queue.remove(keyOf(r.TaskRef))
		a.logDecision("task not started", &r.TaskRef, r.State.String(), r.Reason, "")
		a.sendResult(answer)
	}
}

// sendResult sends a result on the session of the home that last asked for the task. If
// the session has ended, a query or a recovery has to obtain it from the ledger.
func (a *Agent) sendResult(answer ledger.Answer) {
	if s := a.sessions[answer.Requester().Session()]; s != nil {
		a.addResult(s, answer.Result())
	}
}

// addResult adds a result to the next frame. An empty result is ignored.
func (a *Agent) addResult(s *entrySession, r wire.Result) {
	if r.State == 0 {
		return
	}
	a.updateFrame(s, func(f *wire.Frame) { f.Results = append(f.Results, r) })
}

// updateFrame adds messages to the next frame of a session, and the current load and
// configuration revision. The mutex must be held.
func (a *Agent) updateFrame(s *entrySession, add func(f *wire.Frame)) {
	s.updatedAt = a.clock.Now()
	s.sender.Update(func(f *wire.Frame) {
		add(f)
		load := a.load(s)
		f.Load = &load
		f.Revision = a.revision()
	})
}

// revision returns the revision of the current configuration, or 0 if there is none.
func (a *Agent) revision() uint64 {
	if a.config == nil {
		return 0
	}
	return a.config.Revision
}
