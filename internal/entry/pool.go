package entry

import (
	"fmt"
	"net/http"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/limit"
	"gypsumtide/internal/placement"
	"gypsumtide/internal/queue"
	"gypsumtide/internal/wire"
)

// pool is the runtime of one pool: its queue, its policies and its agents.
type pool struct {
	spec       poolSpec
	queue      waitingQueue
	placer     gypsumtide.Placer
	learner    *queue.Learner
	admission  [2]*limit.Admission
	retries    *limit.RetryBudget
	recaller   *placement.Recaller
	recalledAt gypsumtide.Millis
	candidates map[string]*candidates
	slots      int
}

// waitingQueue is a queue that describes what waits, for admission.
type waitingQueue interface {
	gypsumtide.Queue
	queue.Backlogger
}

// poolSpec holds the settings of a pool that the configuration in force gives.
type poolSpec struct {
	name         string
	placement    string
	queue        string
	overcommit   int
	reserveShort int
	maxEjected   int
}

func newPool(spec poolSpec, zone string, now gypsumtide.Millis) (*pool, error) {
	base, err := queue.New(spec.queue)
	if err != nil {
		return nil, err
	}
	q, ok := base.(waitingQueue)
	if !ok {
		return nil, fmt.Errorf("queue %q does not describe its backlog", base.Name())
	}
	overcommit := spec.overcommit
	if overcommit == 0 {
		overcommit = -1
	}
	placer, err := placement.New(spec.placement, placement.Options{Zone: zone, Overcommit: overcommit})
	if err != nil {
		return nil, err
	}
	return &pool{
		spec: spec, queue: q, placer: placer,
		learner: queue.NewLearner(queue.LearnerOptions{}),
		admission: [2]*limit.Admission{
			gypsumtide.ClassShort: limit.NewAdmission(limit.AdmissionOptions{}),
			gypsumtide.ClassLong:  limit.NewAdmission(limit.AdmissionOptions{}),
		},
		retries:    limit.NewRetryBudget(limit.RetryOptions{}, now),
		recaller:   placement.NewRecaller(placement.RecallOptions{}),
		candidates: make(map[string]*candidates),
	}, nil
}

// pool returns the runtime of the named pool.
func (h *home) pool(name string) (*pool, error) {
	spec := h.router.spec(name)
	p := h.pools[name]
	if p != nil && p.spec == spec {
		return p, nil
	}
	next, err := newPool(spec, h.zone, h.clock.Now())
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", name, err)
	}
	if p != nil {
		next.take(p, h)
	}
	next.setWeights(h.router)
	next.setHomes(h.homes)
	h.pools[name] = next
	return next, nil
}

// take moves the waiting tasks and the estimates of the pool whose settings changed.
func (p *pool) take(old *pool, h *home) {
	p.learner, p.admission, p.retries, p.recaller = old.learner, old.admission, old.retries, old.recaller
	for _, aj := range h.jobs {
		if aj.pool != old {
			continue
		}
		aj.pool = p
		for _, t := range old.queue.Remove(aj.Submission()) {
			p.queue.Push(t)
		}
	}
}

// push queues a task under its learned class.
func (p *pool) push(t *gypsumtide.Task, declared gypsumtide.Millis, now gypsumtide.Millis) {
	t.SetClass(p.learner.Classify(t.Service(), declared))
	t.SetQueued(now)
	p.queue.Push(t)
}

// observe learns from a result.
func (p *pool) observe(c *agentConn, t *gypsumtide.Task, r *wire.Result, now gypsumtide.Millis) {
	p.learner.Observe(t.Service(), c.record.Name, r.RunTime)
	c.view.SetSpeed(p.learner.Speed(c.record.Name))
	p.admission[t.Class()].Served(1, p.queue.Waiting(t.Class()), now)
}

// admit asks the deadline admission and the quotas whether the job may enter.
func (p *pool) admit(h *home, aj *activeJob, now gypsumtide.Millis) gypsumtide.Verdict {
	req := aj.Request()
	n := len(req.Tasks)
	class := p.learner.Class(req.Service, req.Tasks[0].RunTime)
	v := p.admission[class].Admit(limit.Forecast{
		Tasks:       n,
		Backlog:     p.queue.Backlog(req.Team, class, now),
		Slowest:     func(n int) gypsumtide.Millis { return p.learner.Slowest(req.Service, n) },
		MeanRunTime: p.learner.Mean(req.Service),
		Slots:       p.slots, Free: p.free(req.Service),
		Deadline: aj.Deadline(),
	}, now)
	if !v.Admit() {
		return v
	}
	if v := p.queueLimit(h, aj, n); !v.Admit() {
		return v
	}
	return h.quotas.Admit(aj.quotaKey, n, now)
}

// queueLimit refuses a job if a limit of its route or team bounds the tasks
// that wait at this home, and the pool's queue is at the bound.
func (p *pool) queueLimit(h *home, aj *activeJob, n int) gypsumtide.Verdict {
	for _, l := range aj.limits {
		if l.QueueLength > 0 && h.waiting[aj.quotaKey]+n > l.QueueLength+p.slots {
			return gypsumtide.Refused(l.Name, fmt.Sprintf("%d tasks wait, the limit is %d", h.waiting[aj.quotaKey], l.QueueLength), queueRetry)
		}
	}
	return gypsumtide.Admitted()
}

// free returns the number of slots for the service that are believed free.
func (p *pool) free(service string) int {
	c := p.candidates[service]
	if c == nil {
		return 0
	}
	n := 0
	for _, v := range c.views {
		n += max(0, v.Slots()-v.Open())
	}
	return n
}

// candidates are the agents that serve a service, as the placement sees them.
type candidates struct {
	conns []*agentConn
	views []*gypsumtide.AgentView
	// byIncarnation finds an agent among all that serve the service.
	byIncarnation map[string]*agentConn
}

func (c *candidates) add(conn *agentConn) {
	c.conns = append(c.conns, conn)
	c.views = append(c.views, conn.view)
}

// among returns the agents that the incarnations name.
func (c *candidates) among(incarnations []string) *candidates {
	some := &candidates{}
	for _, inc := range incarnations {
		if conn := c.byIncarnation[inc]; conn != nil {
			some.add(conn)
		}
	}
	return some
}

// invalidate rebuilds the candidate lists at their next use.
func (h *home) invalidate() {
	for _, p := range h.pools {
		clear(p.candidates)
	}
}

// choosePool follows the route of the job's service and team.
func (h *home) choosePool(aj *activeJob) (*pool, *wire.Answer) {
	req := aj.Request()
	choice := h.router.route(req.Service, req.Team)
	route, _ := h.router.set.Load().RouteNamed(choice.Route())
	aj.quotaKey = quotaKey(req.Team, route)
	aj.limits = choice.Limits()
	if max := choice.Service().MaxPayloadBytes; max > 0 {
		for i := range req.Tasks {
			if int64(len(req.Tasks[i].Payload)) > max {
				return nil, refuse(req.Submission, &wire.Problem{
					Type: "payload-too-large", Status: http.StatusRequestEntityTooLarge, Step: "route",
					Detail: fmt.Sprintf("task %d has more than the %d bytes that service %s permits", i, max, req.Service),
				})
			}
		}
	}
	p, err := h.pool(choice.Pool().Name)
	if err != nil {
		return nil, refuse(req.Submission, &wire.Problem{
			Type: "internal", Status: http.StatusInternalServerError, Step: "route", Detail: err.Error(),
		})
	}
	h.decisions.log("route", "submission", req.Submission.String(), "service", req.Service, "team", req.Team,
		"route", choice.Route(), "pool", choice.Pool().Name)
	return p, nil
}

func (p *pool) serving(h *home, service string) *candidates {
	c := p.candidates[service]
	if c != nil {
		return c
	}
	c = &candidates{byIncarnation: make(map[string]*agentConn)}
	p.slots = 0
	for _, conn := range h.agents {
		if conn.serves(service) && h.router.inPool(p.spec.name, conn.record.Zone) {
			conn.view.SetSlots(conn.view.Slots(), conn.view.Slots()*p.spec.reserveShort/100)
			c.add(conn)
			c.byIncarnation[conn.record.Incarnation] = conn
			p.slots += conn.view.Slots()
		}
	}
	p.candidates[service] = c
	return c
}

// pump dispatches waiting tasks until none fits.
func (h *home) pump(p *pool, now gypsumtide.Millis) {
	for {
		t := p.queue.Pop(now, func(t *gypsumtide.Task) bool { return h.place(p, t, now) })
		if t == nil {
			return
		}
	}
}

// place chooses an agent for the task and sends it there.
func (h *home) place(p *pool, t *gypsumtide.Task, now gypsumtide.Millis) bool {
	aj := h.jobs[t.Submission()]
	if aj == nil || aj.Closing() != nil || !aj.Queued(t.Index()) {
		return true
	}
	c := p.eligible(h, aj, t, now)
	if len(c.conns) == 0 {
		return false
	}
	d := p.placer.Place(t, c.views, now)
	if d.Agent() < 0 {
		return false
	}
	conn := c.conns[d.Agent()]
	if !h.dispatch(conn, aj, t, now) {
		return false
	}
	h.decisions.log("place", "submission", t.Submission().String(), "task", t.Index(), "service", t.Service(), "team", t.Team(),
		"agent", conn.record.Name, "zone", conn.record.Zone, "class", t.Class().String(), "waited-ms", int64(now-t.Queued()), "reason", d.Reason())
	return true
}

// eligible returns the agents of the job's candidate set that may receive tasks of its shard.
func (p *pool) eligible(h *home, aj *activeJob, t *gypsumtide.Task, now gypsumtide.Millis) *candidates {
	all := p.serving(h, t.Service())
	if now-aj.candidatesAt > candidateAge {
		aj.candidates, aj.servingOf, aj.candidatesAt = nil, nil, now
	}
	if aj.servingOf != all {
		aj.serving, aj.servingOf = all.among(h.candidates(aj)), all
	}
	mine := aj.serving
	shard := t.Submission().Shard()
	usable := func(c *agentConn) bool { return h.owner.Usable(c.record.Incarnation, shard) }
	first := 0
	for first < len(mine.conns) && usable(mine.conns[first]) {
		first++
	}
	if first == len(mine.conns) {
		return mine
	}
	some := &candidates{}
	for i, c := range mine.conns {
		if i < first || usable(c) {
			some.add(c)
		}
	}
	return some
}

// candidates returns the incarnations of the job's candidate set.
func (h *home) candidates(aj *activeJob) []string {
	if aj.candidates == nil {
		aj.candidates = h.owner.Candidates(aj.Submission(), len(aj.Tasks()))
	}
	return aj.candidates
}

// dispatch sends the task to the agent unless the lease of its shard has expired.
func (h *home) dispatch(c *agentConn, aj *activeJob, t *gypsumtide.Task, now gypsumtide.Millis) bool {
	req := &aj.Request().Tasks[t.Index()]
	shard := t.Submission().Shard()
	sent := false
	alive := c.session.Update(func(f *wire.Frame) {
		// The lease is checked after the session has fixed the credit of the
		// frame, so that a pause in between makes the credit expire first.
		epoch, ok := h.owner.Serving(shard)
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
	if !alive || !sent {
		return false
	}
	aj.Dispatch(t.Index())
	h.countWaiting(aj, -1)
	c.open[taskKey{submission: t.Submission(), index: t.Index()}] = openTask{task: t, epoch: aj.Epoch(), sentAt: now}
	c.view.Assign(t)
	h.metrics.dispatches.Inc()
	aj.pool.recaller.Dispatched(1)
	return true
}

// fits returns why no connected worker can ever run the task, or an empty string.
func (p *pool) fits(h *home, t *gypsumtide.Task) string {
	c := p.serving(h, t.Service())
	if len(c.views) == 0 {
		if h.mayReturn(t.Service(), h.clock.Now()) {
			return ""
		}
		return fmt.Sprintf("no upstream in pool %q serves %q", p.spec.name, t.Service())
	}
	for _, v := range c.views {
		if t.Size().Fits(v.Capacity()) {
			return ""
		}
	}
	return fmt.Sprintf("task %d is larger than every worker of pool %q", t.Index(), p.spec.name)
}

// mayReturn reports whether an upstream for the service may connect soon: one
// served it a short time ago, or agents of the roster are not connected yet. A
// home that has just taken over knows no upstreams for a moment.
func (h *home) mayReturn(service string, now gypsumtide.Millis) bool {
	if at, ok := h.served[service]; ok && now-at < serviceAbsence {
		return true
	}
	connected := 0
	for _, c := range h.agents {
		if c.session != nil && c.upstreams != nil {
			connected++
		}
	}
	return connected < h.present()
}

// recall takes queued tasks back from full agents while others are idle and
// nothing waits at this home.
func (h *home) recall(p *pool, now gypsumtide.Millis) {
	if now-p.recalledAt < recallInterval || p.queue.Len() > 0 {
		return
	}
	p.recalledAt = now
	for service, c := range p.candidates {
		if overfull(c.views) {
			h.recallFrom(p, service, c, now)
		}
	}
}

func overfull(views []*gypsumtide.AgentView) bool {
	return slices.ContainsFunc(views, func(v *gypsumtide.AgentView) bool { return v.Open() > v.Slots() || v.Ejected() })
}

func (h *home) recallFrom(p *pool, service string, c *candidates, now gypsumtide.Millis) {
	var sent []placement.Sent
	var refs []wire.TaskRef
	for i, conn := range c.conns {
		for k, o := range conn.open {
			if o.task.Service() != service || o.recalled || h.runs(k) {
				continue
			}
			sent = append(sent, placement.Sent{Task: o.task, Agent: i, At: o.sentAt})
			refs = append(refs, wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: o.epoch})
		}
	}
	for _, i := range p.recaller.Recall(now, sent, c.views) {
		conn := c.conns[sent[i].Agent]
		key := keyOf(refs[i])
		o := conn.open[key]
		o.recalled = true
		conn.open[key] = o
		conn.session.Update(func(f *wire.Frame) { f.Recalls = append(f.Recalls, refs[i]) })
		h.metrics.recalls.Inc()
		h.decisions.log("recall", "submission", refs[i].Submission.String(), "task", refs[i].Task, "agent", conn.record.Name)
	}
}

// runs reports whether a task is known to run.
func (h *home) runs(k taskKey) bool {
	aj := h.jobs[k.submission]
	return aj == nil || aj.Running(k.index)
}
