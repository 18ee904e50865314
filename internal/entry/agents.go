package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/job"
	"gypsumtide/internal/wire"
)

// taskKey identifies a task at an agent.
type taskKey struct {
	submission gypsumtide.SubmissionID
	index      uint32
}

func keyOf(r wire.TaskRef) taskKey { return taskKey{submission: r.Submission, index: r.Task} }

// openTask is a task that an agent holds for this home.
type openTask struct {
	task   *gypsumtide.Task
	epoch  uint64
	sentAt gypsumtide.Millis
	// recalled means that the home has asked for the task back once.
	recalled bool
}

// agentConn is one incarnation of an agent. The home's mutex guards it.
type agentConn struct {
	record    wire.AgentRecord
	session   *wire.Session
	lostAt    gypsumtide.Millis
	upstreams []wire.Upstream
	draining  bool
	view      *gypsumtide.AgentView
	open      map[taskKey]openTask
	revision  uint64
	gone      bool
}

// serves reports whether the agent has an upstream for the service that takes
// new work, and whether all of them are ejected.
func (c *agentConn) serves(service string) (ok, ejected bool) {
	if c.session == nil || c.draining || c.gone {
		return false, false
	}
	for i := range c.upstreams {
		u := &c.upstreams[i]
		if u.Leaving || !slices.Contains(u.Services, service) {
			continue
		}
		if !u.Ejected {
			return true, false
		}
		ok = true
	}
	return ok, ok
}

// stopTasks asks the agent to stop the open tasks of a submission and to report their state.
func (c *agentConn) stopTasks(id gypsumtide.SubmissionID) {
	if c.session == nil {
		return
	}
	var refs []wire.TaskRef
	for k, o := range c.open {
		if k.submission == id {
			refs = append(refs, wire.TaskRef{Submission: id, Task: k.index, Epoch: o.epoch})
		}
	}
	if len(refs) == 0 {
		return
	}
	c.session.Update(func(f *wire.Frame) {
		f.Cancels = append(f.Cancels, refs...)
		f.Queries = append(f.Queries, refs...)
	})
}

// forget drops the open tasks of a submission, whose results go to another home.
func (c *agentConn) forget(id gypsumtide.SubmissionID) {
	for k, o := range c.open {
		if k.submission == id {
			c.view.Release(o.task)
			delete(c.open, k)
		}
	}
}

// agentUp registers the session of an agent and settles its open tasks.
func (h *home) agentUp(rec wire.AgentRecord, s *wire.Session) *agentConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current[rec.Name]; old != nil && old.record.Incarnation != rec.Incarnation {
		// A host has one slot for the agent, so the older incarnation is dead.
		h.loseAgent(old, "agent restarted")
	}
	c := h.agents[rec.Incarnation]
	if c == nil {
		c = &agentConn{
			record: rec,
			view:   gypsumtide.NewAgentView(rec.Name, rec.Zone, rec.Rack, 0, 0, gypsumtide.Size{}),
			open:   make(map[taskKey]openTask),
		}
		h.agents[rec.Incarnation] = c
	}
	h.current[rec.Name] = c
	c.session = s
	h.queryOpen(c)
	h.invalidate()
	return c
}

// queryOpen settles the open tasks of an agent after its session was broken.
func (h *home) queryOpen(c *agentConn) {
	if len(c.open) == 0 {
		return
	}
	c.session.Update(func(f *wire.Frame) {
		for k, o := range c.open {
			f.Queries = append(f.Queries, wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: o.epoch})
		}
	})
}

// agentDown records that the session s of an agent broke. It reports false if a
// newer session has replaced it.
func (h *home) agentDown(c *agentConn, s *wire.Session) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.session != s {
		return false
	}
	c.session = nil
	c.lostAt = h.clock.Now()
	for _, u := range c.upstreams {
		for _, service := range u.Services {
			h.served[service] = c.lostAt
		}
	}
	h.invalidate()
	return true
}

// loseAgent gives up an incarnation: what it started is unknown.
func (h *home) loseAgent(c *agentConn, why string) {
	if c.gone {
		return
	}
	c.gone = true
	delete(h.agents, c.record.Incarnation)
	if h.current[c.record.Name] == c {
		delete(h.current, c.record.Name)
		for _, p := range h.pools {
			p.learner.Forget(c.record.Name)
		}
	}
	for k := range c.open {
		h.settleResult(c, &wire.Result{
			TaskRef: wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: c.open[k].epoch},
			State:   wire.TaskUnknown, Reason: why,
		})
	}
	h.recoveryLost(c, why)
	h.invalidate()
}

// announced takes over what an agent says of its upstreams.
func (h *home) announced(c *agentConn, a *wire.Announcement) {
	now := h.clock.Now()
	for _, u := range slices.Concat(c.upstreams, a.Upstreams) {
		for _, service := range u.Services {
			h.served[service] = now
		}
	}
	c.upstreams = a.Upstreams
	c.draining = a.Draining
	slots := 0
	var capacity gypsumtide.Size
	ejected := len(a.Upstreams) > 0
	for _, u := range a.Upstreams {
		if u.Leaving {
			continue
		}
		slots += u.Slots
		capacity.Processors = max(capacity.Processors, u.Capacity.Processors)
		capacity.Memory = max(capacity.Memory, u.Capacity.Memory)
		capacity.Accelerators = max(capacity.Accelerators, u.Capacity.Accelerators)
		ejected = ejected && u.Ejected
	}
	c.view.SetCapacity(capacity)
	c.view.SetSlots(slots, 0)
	c.view.SetEjected(ejected)
	h.invalidate()
}

// handleAgent takes one frame from an agent. It reports whether the agent is
// draining and holds no task, so that it starts none any more.
func (h *home) handleAgent(c *agentConn, f *wire.Frame) (left bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if f.Announcement != nil {
		h.announced(c, f.Announcement)
	}
	if f.Load != nil {
		c.view.Report(*f.Load, now)
	}
	if f.Revision > c.revision {
		c.revision = f.Revision
	}
	for i := range f.Results {
		h.settleResult(c, &f.Results[i])
	}
	h.takeDeparture(c, f, now)
	for i := range f.Recovered {
		h.recovered(c, &f.Recovered[i], now)
	}
	if len(f.Results) > 0 || f.Announcement != nil || len(f.Recovered) > 0 {
		for _, p := range h.pools {
			h.pump(p, now)
		}
	}
	return c.draining && f.Load != nil && f.Load.Running+f.Load.Queued == 0
}

// settleResult applies a result to its job. A result that matches no open task is dropped.
func (h *home) settleResult(c *agentConn, r *wire.Result) {
	key := keyOf(r.TaskRef)
	o, ok := c.open[key]
	if !ok || o.epoch != r.Epoch {
		h.metrics.unmatched.Inc()
		return
	}
	if r.State == wire.TaskRunning {
		if aj := h.jobs[r.Submission]; aj != nil {
			aj.Start(r.Task)
			if aj.Closing() != nil && !aj.Recovering() {
				h.endClosed(aj)
			}
		}
		return
	}
	delete(c.open, key)
	c.view.Release(o.task)
	h.metrics.results.Inc()
	aj := h.jobs[r.Submission]
	if aj == nil {
		h.metrics.unmatched.Inc()
		return
	}
	switch r.State {
	case wire.TaskNotStarted:
		h.notStarted(c, aj, r)
	case wire.TaskDone:
		h.finished(c, aj, r)
	default:
		aj.Lose(r.Task)
		h.close(aj, &wire.Problem{
			Type: "result-lost", Status: http.StatusBadGateway, Step: "run task", Peer: peerName(c, r),
			Detail: fmt.Sprintf("task %d may have started and its result is lost: %s", r.Task, r.Reason),
		}, h.clock.Now())
	}
	if aj.Closing() != nil && aj.Settled() && !aj.Ended() {
		h.endClosed(aj)
	}
}

func peerName(c *agentConn, r *wire.Result) string {
	if r.Upstream == "" {
		return c.record.Name
	}
	return c.record.Name + "/" + r.Upstream
}

// notStarted queues a task again after the agent's promise that it never starts there.
func (h *home) notStarted(c *agentConn, aj *activeJob, r *wire.Result) {
	if aj.Requeue(r.Task) {
		h.countWaiting(aj, 1)
	}
	h.metrics.notStarted(r.Reason)
	if aj.Closing() != nil {
		return
	}
	h.decisions.log("requeue", "submission", r.Submission.String(), "task", r.Task, "agent", c.record.Name, "reason", r.Reason)
	if r.Reason == wire.ReasonCancelled || r.Reason == wire.ReasonDeadline {
		return
	}
	now := h.clock.Now()
	delay := requeueDelay
	if !aj.pool.retries.Take(now) {
		delay = requeueBackoff
	}
	h.requeue = append(h.requeue, requeueItem{at: now + delay, task: aj.Tasks()[r.Task]})
}

// finished records an upstream's answer.
func (h *home) finished(c *agentConn, aj *activeJob, r *wire.Result) {
	aj.Finish(r.Task, wire.TaskResult{
		Status: r.Status, ContentType: r.ContentType, Body: r.Body, RunTime: r.RunTime, Upstream: peerName(c, r),
	})
	if aj.pool != nil {
		aj.pool.observe(c, aj.Tasks()[r.Task], r, h.clock.Now())
	}
	if job.FailedStatus(r.Status) {
		h.close(aj, &wire.Problem{
			Type: "task-failed", Status: http.StatusBadGateway, Step: "run task", Peer: peerName(c, r),
			Detail: fmt.Sprintf("task %d ended with status %d", r.Task, r.Status),
		}, h.clock.Now())
		return
	}
	if aj.Complete() && aj.Closing() == nil {
		h.end(aj, aj.Answer())
	}
}

// serveAgent runs the session of an agent until it breaks. The agent counts as
// connected from its first frame on: an agent that dialled two addresses of
// this entry closes the second session without sending one.
func (e *Entry) serveAgent(ctx context.Context, hello *wire.Hello, s *wire.Session) error {
	rec := wire.AgentRecord{Name: hello.Name, Incarnation: hello.Incarnation, Zone: hello.Zone, Rack: hello.Rack}
	var c *agentConn
	s.Observe(e.metrics.frame)
	err := s.Run(ctx, func(f *wire.Frame) error {
		first := c == nil
		if first {
			c = e.agentUp(rec, s)
		}
		for _, p := range f.FenceConfirmations {
			e.owner.Promised(rec.Incarnation, p)
		}
		if e.home.handleAgent(c, f) {
			e.owner.AgentLeft(rec.Incarnation)
		}
		if first {
			// The first frame told which revision the agent has.
			e.home.sendConfig(c, e.config.Load())
		}
		return nil
	})
	if c == nil {
		return err
	}
	if e.home.agentDown(c, s) {
		e.owner.AgentDown(rec.Incarnation)
		e.log.Info("agent session ended", "agent", rec.Name, "incarnation", rec.Incarnation, "error", gypsumtide.ErrorText(err))
	}
	return err
}

// agentUp registers an agent's session.
func (e *Entry) agentUp(rec wire.AgentRecord, s *wire.Session) *agentConn {
	c := e.home.agentUp(rec, s)
	e.owner.AgentUp(rec)
	e.log.Info("agent connected", "agent", rec.Name, "incarnation", rec.Incarnation, "zone", rec.Zone)
	return c
}
