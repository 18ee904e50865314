package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/job"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/wire"
)

// taskKey identifies a task at an agent.
type taskKey struct {
	submission gypsumtide.SubmissionID
	index      uint32
}

func taskKeyOf(r wire.TaskRef) taskKey { return taskKey{submission: r.Submission, index: r.Task} }

// openTask is a task at an agent: this home sent it there or found it running there in
// a recovery, and the agent has reported neither its result nor that it was not started.
type openTask struct {
	task   *gypsumtide.Task
	epoch  uint64
	sentAt gypsumtide.Millis
	// recalled is set once the home has asked the agent to return the task. The home
	// asks only once.
	recalled bool
}

// agentConn is the home's state of one incarnation of an agent. The home's
// mutex guards it.
type agentConn struct {
	record  wire.AgentRecord
	session *wire.Session
	// firstFrameAt is the agent's clock reading in the first frame of the newest session.
	firstFrameAt   gypsumtide.Millis
	disconnectedAt gypsumtide.Millis
	upstreams      []wire.Upstream
	draining       bool
	// slots is the number of slots that the agent announced. The view has fewer of them
	// during a slow start.
	slots int
	// reportsEvacuated is set while the agent reports that its zone is evacuated.
	reportsEvacuated bool
	// evacuated is set while the agent receives no tasks because its zone is evacuated.
	evacuated bool
	// view is the state of the agent that the placement uses.
	view      *gypsumtide.AgentView
	openTasks map[taskKey]openTask
	// revision is the newest configuration revision that the agent reported.
	revision uint64
	// oddLogged is set once a value out of range has been logged.
	oddLogged bool
	// lost is set once the home treats this incarnation as ended.
	lost bool
}

// serves reports whether the agent has an upstream for the service that accepts
// new tasks, and whether all such upstreams are ejected.
func (c *agentConn) serves(service string) (ok, ejected bool) {
	if c.session == nil || c.draining || c.lost {
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

// stopTasks asks the agent to stop the open tasks of a submission and to report their
// state.
func (c *agentConn) stopTasks(id gypsumtide.SubmissionID) {
	if c.session == nil {
		return
	}
	var refs []wire.TaskRef
	for k, o := range c.openTasks {
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

// dropTasks forgets the open tasks of a submission without stopping them. Their
// results go to another home or to a later recovery.
func (c *agentConn) dropTasks(id gypsumtide.SubmissionID) {
	for k, o := range c.openTasks {
		if k.submission == id {
			c.view.Release(o.task)
			delete(c.openTasks, k)
		}
	}
}

// errSessionReplaced means that the agent has opened a newer session since.
var errSessionReplaced = errors.New("a newer session of the agent exists")

// agentConnected registers the session of an agent, whose first frame has the clock
// reading firstFrameAt and reports the configuration revision. It asks for the state of the
// tasks that are still open from an earlier session, and for the recoveries that wait for the
// agent. It sends the configuration first, so that the agent knows it before it receives a dispatch. It returns
// nil if a newer session of the agent is registered: the sessions of an agent follow one
// another, but their first frames can be handled in another order.
func (h *home) agentConnected(rec wire.AgentRecord, s *wire.Session, firstFrameAt gypsumtide.Millis, revision uint64) *agentConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other := h.agentsByName[rec.Name]; other != nil && other.record.Incarnation != rec.Incarnation {
		if rec.Incarnation < other.record.Incarnation {
			return nil
		}
		// An agent's name stands for its host, which runs only one agent at a time. So
		// the older incarnation has ended.
		h.declareAgentLost(other, "agent restarted")
	}
	c := h.agents[rec.Incarnation]
	if c != nil && firstFrameAt < c.firstFrameAt {
		return nil
	}
	if c == nil {
		c = &agentConn{
			record:    rec,
			view:      gypsumtide.NewAgentView(rec.Name, rec.Zone, rec.Rack, 0, 0, gypsumtide.Size{}),
			openTasks: make(map[taskKey]openTask),
		}
		h.agents[rec.Incarnation] = c
	}
	h.agentsByName[rec.Name] = c
	c.session, c.firstFrameAt = s, firstFrameAt
	c.revision = max(c.revision, revision)
	c.sendConfig(h.configs)
	h.updateEvacuated(c)
	h.queryOpenTasks(c)
	for _, aj := range h.recovering {
		// The request or the reply may have been lost with the earlier session.
		delete(aj.recovery.requested, rec.Incarnation)
	}
	h.invalidateServiceAgents()
	return c
}

// queryOpenTasks asks an agent that has reconnected for the state of its open tasks.
func (h *home) queryOpenTasks(c *agentConn) {
	if len(c.openTasks) == 0 {
		return
	}
	c.session.Update(func(f *wire.Frame) {
		for k, o := range c.openTasks {
			f.Queries = append(f.Queries, wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: o.epoch})
		}
	})
}

// agentDisconnected records that the session s of an agent ended. It reports
// false if a newer session has replaced s.
func (h *home) agentDisconnected(c *agentConn, s *wire.Session) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.session != s {
		return false
	}
	c.session = nil
	c.disconnectedAt = h.clock.Now()
	for _, u := range c.upstreams {
		for _, service := range u.Services {
			h.serviceSeenAt[service] = c.disconnectedAt
		}
	}
	h.invalidateServiceAgents()
	return true
}

// declareAgentLost removes an incarnation of an agent. The outcome of its open tasks
// becomes unknown.
func (h *home) declareAgentLost(c *agentConn, why string) {
	if c.lost {
		return
	}
	c.lost = true
	delete(h.agents, c.record.Incarnation)
	if c.evacuated {
		h.evacuatedAgents--
	}
	if h.agentsByName[c.record.Name] == c {
		delete(h.agentsByName, c.record.Name)
		for _, p := range h.pools {
			p.estimator.Forget(c.record.Name)
		}
	}
	for k := range c.openTasks {
		h.applyResult(c, &wire.Result{
			TaskRef: wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: c.openTasks[k].epoch},
			State:   wire.TaskUnknown, Reason: why,
		})
	}
	h.failRecoveriesOf(c, why)
	h.invalidateServiceAgents()
}

// applyAnnouncement stores the upstreams that an agent announced, and updates the
// capacity, the slots and the ejection of the agent.
func (h *home) applyAnnouncement(c *agentConn, a *wire.Announcement) {
	now := h.clock.Now()
	for _, u := range slices.Concat(c.upstreams, a.Upstreams) {
		for _, service := range u.Services {
			h.serviceSeenAt[service] = now
		}
	}
	c.upstreams = h.validUpstreams(c, a.Upstreams)
	c.draining, c.reportsEvacuated = a.Draining, a.ZoneEvacuated
	c.slots = 0
	var capacity gypsumtide.Size
	ejected := len(c.upstreams) > 0
	for _, u := range c.upstreams {
		if u.Leaving {
			continue
		}
		c.slots += u.Slots
		capacity.Processors = max(capacity.Processors, u.Capacity.Processors)
		capacity.Memory = max(capacity.Memory, u.Capacity.Memory)
		capacity.Accelerators = max(capacity.Accelerators, u.Capacity.Accelerators)
		ejected = ejected && u.Ejected
	}
	c.view.SetCapacity(capacity)
	c.view.SetSlots(c.slots, 0)
	c.view.SetEjected(ejected)
	h.updateEvacuated(c)
	h.updateSlowStarts(now)
	h.invalidateServiceAgents()
}

// applyLoad stores the load that an agent reported. It ignores a load that is out of range
// and then returns false.
func (h *home) applyLoad(c *agentConn, load *gypsumtide.Load, now gypsumtide.Millis) bool {
	if err := validateLoad(load); err != nil {
		h.logOdd(c, "agent load ignored", err)
		return false
	}
	c.view.Report(*load, now)
	return true
}

// handleAgentFrame processes one frame that an agent sent on the session s. It reports
// whether the agent is draining and, according to the load in this frame, holds no tasks,
// so that it will start no more.
//
// Of a replaced session only the final ledger counts, since an agent sends it once and it
// stays true. The new session has asked for everything else again. A result counted from
// both sessions could count for a dispatch that was sent between the two.
func (h *home) handleAgentFrame(c *agentConn, s *wire.Session, f *wire.Frame) (drained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.storeFinalLedger(c, f, now)
	if c.session != s {
		return false
	}
	if f.Revision > c.revision {
		c.revision = f.Revision
	}
	if f.Announcement != nil {
		h.applyAnnouncement(c, f.Announcement)
	}
	loadKnown := f.Load != nil && h.applyLoad(c, f.Load, now)
	for i := range f.Results {
		h.applyResult(c, &f.Results[i])
	}
	for i := range f.RecoveryReplies {
		h.handleRecoveryReply(c, &f.RecoveryReplies[i], now)
	}
	if len(f.Results) > 0 || f.Announcement != nil || len(f.RecoveryReplies) > 0 {
		for _, p := range h.pools {
			h.dispatchWaiting(p, now)
		}
	}
	return c.draining && loadKnown && f.Load.Running+f.Load.Queued == 0
}

// applyResult applies the reported state of a task to its job. It drops a report that
// matches no open task.
func (h *home) applyResult(c *agentConn, r *wire.Result) {
	key := taskKeyOf(r.TaskRef)
	o, ok := c.openTasks[key]
	if !ok || o.epoch != r.Epoch {
		h.metrics.unmatched.Inc()
		return
	}
	if r.State == wire.TaskRunning {
		if aj := h.jobs[r.Submission]; aj != nil {
			aj.Start(r.Task)
			if aj.ClosingProblem() != nil && !aj.Recovering() {
				h.endClosedJob(aj)
			}
		}
		return
	}
	delete(c.openTasks, key)
	c.view.Release(o.task)
	h.metrics.results.Inc()
	aj := h.jobs[r.Submission]
	if aj == nil {
		h.metrics.unmatched.Inc()
		return
	}
	switch r.State {
	case wire.TaskNotStarted:
		h.taskNotStarted(c, aj, r)
	case wire.TaskDone:
		h.taskFinished(c, aj, r)
	default:
		aj.MarkLost(r.Task)
		h.closeJob(aj, &wire.Problem{
			Type: "result-lost", Status: http.StatusBadGateway, Step: "run task", Peer: agentUpstreamName(c, r),
			Detail: fmt.Sprintf("task %d may have started and its result is lost: %s", r.Task, r.Reason),
		}, h.clock.Now())
	}
	if aj.ClosingProblem() != nil && aj.HasNoOpenTasks() && !aj.Ended() {
		h.endClosedJob(aj)
	}
}

func agentUpstreamName(c *agentConn, r *wire.Result) string {
	if r.Upstream == "" {
		return c.record.Name
	}
	return c.record.Name + "/" + r.Upstream
}

// taskNotStarted handles a task that the agent guarantees not to start without a new
// dispatch. The task counts as waiting again. It is queued again after a delay, unless its
// job is closed or the agent reports that the task was cancelled or missed its deadline.
func (h *home) taskNotStarted(c *agentConn, aj *activeJob, r *wire.Result) {
	if aj.Requeue(r.Task) {
		h.addWaiting(aj, 1)
	}
	h.metrics.taskNotStarted(r.Reason)
	if aj.ClosingProblem() != nil {
		return
	}
	h.decisions.log("requeue", "submission", r.Submission.String(), "task", r.Task, "agent", c.record.Name, "reason", r.Reason)
	if r.Reason == wire.ReasonCancelled || r.Reason == wire.ReasonDeadline {
		return
	}
	now := h.clock.Now()
	delay := requeueDelay
	// An evacuation returns many tasks at once. They need no retry budget, since the agent
	// receives none until the evacuation ends.
	if !c.evacuated && !aj.pool.retries.Take(now) {
		delay = requeueBackoff
	}
	h.pendingRequeues = append(h.pendingRequeues, pendingRequeue{at: now + delay, task: aj.Tasks()[r.Task]})
}

// taskFinished records an upstream's answer to a task. It closes the job if the answer
// reports a failure, and ends it if the answer was the last one.
func (h *home) taskFinished(c *agentConn, aj *activeJob, r *wire.Result) {
	aj.Finish(r.Task, wire.TaskResult{
		Status: r.Status, ContentType: r.ContentType, Body: r.Body, RunTime: r.RunTime, Upstream: agentUpstreamName(c, r),
	})
	if aj.pool != nil {
		aj.pool.recordResult(c, aj.Tasks()[r.Task], r, h.clock.Now())
	}
	if job.FailedStatus(r.Status) {
		h.closeJob(aj, &wire.Problem{
			Type: "task-failed", Status: http.StatusBadGateway, Step: "run task", Peer: agentUpstreamName(c, r),
			Detail: fmt.Sprintf("task %d ended with status %d", r.Task, r.Status),
		}, h.clock.Now())
		return
	}
	if aj.Complete() && aj.ClosingProblem() == nil {
		h.endJob(aj, aj.Answer())
	}
}

// serveAgent serves the session of an agent until it ends. The agent counts as
// connected from the first frame after its hello on: an agent that dialled two addresses
// of this entry closes the second session without sending one.
func (e *Entry) serveAgent(ctx context.Context, hello *wire.Hello, s *wire.Session) error {
	rec := wire.AgentRecord{Name: hello.Name, Incarnation: hello.Incarnation, Zone: hello.Zone, Rack: hello.Rack}
	if err := shard.ValidateAgent(&rec); err != nil {
		return gypsumtide.NewError("open session", s.Peer(), err)
	}
	var c *agentConn
	s.Observe(e.metrics.countFrame)
	err := s.Run(ctx, func(f *wire.Frame) error {
		first := c == nil
		if first {
			if c = e.agentConnected(rec, s, f); c == nil {
				return errSessionReplaced
			}
		}
		for _, p := range f.FenceConfirmations {
			e.shardManager.FenceConfirmed(rec.Incarnation, p)
		}
		if e.home.handleAgentFrame(c, s, f) {
			e.shardManager.AgentLeft(rec.Incarnation)
		}
		return nil
	})
	if c == nil {
		return err
	}
	if e.home.agentDisconnected(c, s) {
		e.shardManager.AgentDisconnected(rec.Incarnation)
		e.log.Info("agent session ended", "agent", rec.Name, "incarnation", rec.Incarnation, "error", gypsumtide.ErrorText(err))
	}
	return err
}

// agentConnected registers an agent's session with the home and the shard manager. It
// returns nil if a newer session is registered.
func (e *Entry) agentConnected(rec wire.AgentRecord, s *wire.Session, first *wire.Frame) *agentConn {
	c := e.home.agentConnected(rec, s, first.Clock, first.Revision)
	if c == nil {
		return nil
	}
	e.shardManager.AgentConnected(rec)
	e.log.Info("agent connected", "agent", rec.Name, "incarnation", rec.Incarnation, "zone", rec.Zone)
	return c
}
