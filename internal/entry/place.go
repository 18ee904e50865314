package entry

import (
	"fmt"
	"slices"
	"strings"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// agentList holds agents that serve a service, with their views for the
// placement at the same indices.
type agentList struct {
	conns []*agentConn
	views []*gypsumtide.AgentView
	// byIncarnation is set only in the list of all agents that serve the service.
	byIncarnation map[string]*agentConn
}

func (l *agentList) add(conn *agentConn) {
	l.conns = append(l.conns, conn)
	l.views = append(l.views, conn.view)
}

// subset returns the agents with the given incarnations.
func (l *agentList) subset(incarnations []string) *agentList {
	selected := &agentList{}
	for _, inc := range incarnations {
		if conn := l.byIncarnation[inc]; conn != nil {
			selected.add(conn)
		}
	}
	return selected
}

// invalidateServiceAgents discards the agents that the pools have cached for each
// service.
func (h *home) invalidateServiceAgents() {
	for _, p := range h.pools {
		clear(p.agentsByService)
	}
}

// serviceAgents returns the agents of the pool that may receive tasks of the service.
// The result is cached until invalidateServiceAgents.
func (p *pool) serviceAgents(h *home, service string) *agentList {
	list := p.agentsByService[service]
	if list != nil {
		return list
	}
	list = &agentList{byIncarnation: make(map[string]*agentConn)}
	p.slots = 0
	for _, conn := range p.availableAgents(h, service) {
		conn.view.SetSlots(conn.view.Slots(), p.reservedSlots(conn.view.Slots()))
		list.add(conn)
		list.byIncarnation[conn.record.Incarnation] = conn
		p.slots += conn.slots
	}
	p.agentsByService[service] = list
	return list
}

// availableAgents returns the agents that may receive tasks of the service. At
// most the configured share of them stays ejected, so that the failure of a
// common dependency cannot empty the pool; ejected agents beyond it receive tasks
// again.
func (p *pool) availableAgents(h *home, service string) []*agentConn {
	var available, ejected []*agentConn
	for _, conn := range h.agents {
		ok, ejectedNow := conn.serves(service)
		switch {
		case !ok || conn.evacuated || !h.router.poolHasZone(p.spec.name, conn.record.Zone):
		case ejectedNow:
			ejected = append(ejected, conn)
		default:
			available = append(available, conn)
		}
	}
	slices.SortFunc(ejected, func(a, b *agentConn) int { return strings.Compare(a.record.Name, b.record.Name) })
	ejectionLimit := (len(available) + len(ejected)) * p.spec.maxEjected / 100
	for i, conn := range ejected {
		conn.view.SetEjected(i < ejectionLimit)
		if i >= ejectionLimit {
			available = append(available, conn)
		}
	}
	return available
}

// dispatchWaiting dispatches waiting tasks until no more can be placed.
func (h *home) dispatchWaiting(p *pool, now gypsumtide.Millis) {
	for {
		t := p.queue.Pop(now, func(t *gypsumtide.Task) bool { return h.placeTask(p, t, now) })
		if t == nil {
			return
		}
	}
}

// placeTask chooses an agent for the task and sends it there. It reports whether the
// task leaves the queue. A task that must not be dispatched any more, for example
// because its job is closed, leaves the queue without being sent.
func (h *home) placeTask(p *pool, t *gypsumtide.Task, now gypsumtide.Millis) bool {
	aj := h.jobs[t.Submission()]
	if aj == nil || aj.ClosingProblem() != nil || !aj.Queued(t.Index()) {
		return true
	}
	list := p.eligible(h, aj, t, now)
	if len(list.conns) == 0 {
		return false
	}
	decision := p.placer.Place(t, list.views, now)
	if decision.AgentIndex() < 0 {
		return false
	}
	conn := list.conns[decision.AgentIndex()]
	if !h.dispatchTask(conn, aj, t, now) {
		return false
	}
	h.decisions.log("place", "submission", t.Submission().String(), "task", t.Index(), "service", t.Service(), "team", t.Team(),
		"agent", conn.record.Name, "zone", conn.record.Zone, "class", t.Class().String(), "waited-ms", int64(now-t.QueuedAt()), "reason", decision.Reason())
	return true
}

// eligible returns the agents of the job's candidate set that may receive tasks of its shard.
func (p *pool) eligible(h *home, aj *activeJob, t *gypsumtide.Task, now gypsumtide.Millis) *agentList {
	all := p.serviceAgents(h, t.Service())
	if now-aj.candidatesAt > candidateTTL {
		aj.candidates, aj.serviceAgents, aj.candidatesAt = nil, nil, now
	}
	if aj.serviceAgents != all {
		aj.candidateAgents, aj.serviceAgents = all.subset(h.candidates(aj)), all
	}
	jobAgents := aj.candidateAgents
	shard := t.Submission().Shard()
	usable := func(c *agentConn) bool { return h.shardManager.Usable(c.record.Incarnation, shard) }
	usablePrefix := 0
	for usablePrefix < len(jobAgents.conns) && usable(jobAgents.conns[usablePrefix]) {
		usablePrefix++
	}
	if usablePrefix == len(jobAgents.conns) {
		return jobAgents
	}
	usableAgents := &agentList{}
	for i, c := range jobAgents.conns {
		if i < usablePrefix || usable(c) {
			usableAgents.add(c)
		}
	}
	return usableAgents
}

// candidates returns the incarnations of the job's candidate set.
func (h *home) candidates(aj *activeJob) []string {
	if aj.candidates == nil {
		aj.candidates = h.shardManager.Candidates(aj.Submission(), len(aj.Tasks()))
	}
	return aj.candidates
}

// dispatchTask sends the task to the agent and reports whether it did. It sends nothing
// if the session of the agent has ended, the lease of the shard has expired or the shard
// has a later epoch than the job.
func (h *home) dispatchTask(c *agentConn, aj *activeJob, t *gypsumtide.Task, now gypsumtide.Millis) bool {
	req := &aj.Request().Tasks[t.Index()]
	shard := t.Submission().Shard()
	sent := false
	sessionOpen := c.session.Update(func(f *wire.Frame) {
		// The frame's echo is the latest clock reading received from the agent. The agent
		// refuses dispatches with an echo that is too old, for the reason credit-expired.
		// The lease is checked after the session has set the echo, so that the agent
		// refuses the dispatch if the process pauses after the check and sends the frame
		// too late.
		epoch, ok := h.shardManager.Serving(shard)
		if !ok || epoch != aj.Epoch() {
			return
		}
		f.Dispatches = append(f.Dispatches, wire.Dispatch{
			TaskRef: wire.TaskRef{Submission: t.Submission(), Task: t.Index(), Epoch: epoch},
			Shard:   shard, Class: t.Class(), Service: t.Service(), Budget: t.Deadline() - now,
			Payload: req.Payload, ContentType: req.ContentType, Size: req.Size,
		})
		sent = true
	})
	if !sessionOpen || !sent {
		return false
	}
	aj.Dispatch(t.Index())
	h.addWaiting(aj, -1)
	c.openTasks[taskKey{submission: t.Submission(), index: t.Index()}] = openTask{task: t, epoch: aj.Epoch(), sentAt: now}
	c.view.Assign(t)
	h.metrics.dispatches.Inc()
	aj.pool.recaller.RecordDispatches(1)
	return true
}

// unsatisfiableReason returns why no connected worker can ever run the task. It returns
// an empty string if one can, or if the service has no worker now but may get one soon.
func (p *pool) unsatisfiableReason(h *home, t *gypsumtide.Task) string {
	list := p.serviceAgents(h, t.Service())
	if len(list.views) == 0 {
		if h.serviceMayReturn(t.Service(), h.clock.Now()) {
			return ""
		}
		return fmt.Sprintf("no upstream in pool %q serves %q", p.spec.name, t.Service())
	}
	for _, v := range list.views {
		if t.Size().Fits(v.Capacity()) {
			return ""
		}
	}
	return fmt.Sprintf("task %d is larger than every worker of pool %q", t.Index(), p.spec.name)
}

// serviceMayReturn reports whether an upstream for the service may connect soon: one
// served it within serviceGracePeriod, or fewer connected agents have announced upstreams
// than the roster lists as present. A home that has just taken over knows no upstreams at
// first.
func (h *home) serviceMayReturn(service string, now gypsumtide.Millis) bool {
	if at, ok := h.serviceSeenAt[service]; ok && now-at < serviceGracePeriod {
		return true
	}
	connected := 0
	for _, c := range h.agents {
		if c.session != nil && c.upstreams != nil {
			connected++
		}
	}
	return connected < h.countAgents()
}
