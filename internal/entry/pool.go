package entry

import (
	"fmt"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/limit"
	"gypsumtide/internal/placement"
	"gypsumtide/internal/queue"
	"gypsumtide/internal/upstream"
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
	// shortAt is when short work was queued last, and reserving whether slots
	// are kept for it.
	shortAt   gypsumtide.Millis
	reserving bool
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

// bulkTasks is the size of a job above which its tasks count as long work,
// however short each of them is: all of them together hold the slots for long.
const bulkTasks = 16

// push queues a task under its class.
func (p *pool) push(t *gypsumtide.Task, declared gypsumtide.Millis, now gypsumtide.Millis) {
	class := gypsumtide.ClassLong
	if t.JobTasks() <= bulkTasks {
		class = p.learner.Classify(t.Service(), declared)
	}
	t.SetClass(class)
	t.SetQueued(now)
	p.queue.Push(t)
	if class == gypsumtide.ClassShort {
		p.shortAt = now
		p.reserve(now)
	}
}

// class returns the class of a job's tasks without counting them.
func (p *pool) class(req *wire.Job) gypsumtide.Class {
	if len(req.Tasks) > bulkTasks {
		return gypsumtide.ClassLong
	}
	return p.learner.Class(req.Service, req.Tasks[0].RunTime)
}

// reserve keeps slots free of long work while short work is seen, so that a
// pool without short work uses all its slots.
func (p *pool) reserve(now gypsumtide.Millis) {
	reserving := p.shortAt > 0 && now-p.shortAt < upstream.ShortMemory
	if reserving == p.reserving {
		return
	}
	p.reserving = reserving
	for _, c := range p.candidates {
		for _, v := range c.views {
			v.SetSlots(v.Slots(), p.reserved(v.Slots()))
		}
	}
}

// reserved returns how many of an agent's slots long work may not use now.
func (p *pool) reserved(slots int) int {
	if !p.reserving {
		return 0
	}
	return slots * p.spec.reserveShort / 100
}

// observe learns from a result.
func (p *pool) observe(c *agentConn, t *gypsumtide.Task, r *wire.Result, now gypsumtide.Millis) {
	p.learner.Observe(t.Service(), c.record.Name, r.RunTime)
	c.view.SetSlowness(p.learner.Speed(c.record.Name))
	p.admission[t.Class()].Served(1, p.queue.Waiting(t.Class()), now)
}

// admit asks the deadline admission and the quotas whether the job may enter.
func (p *pool) admit(h *home, aj *activeJob, now gypsumtide.Millis) gypsumtide.AdmissionDecision {
	req := aj.Request()
	n := len(req.Tasks)
	class := p.class(req)
	slots := p.slots
	if class == gypsumtide.ClassLong {
		slots -= p.reserved(slots)
	}
	v := p.admission[class].Admit(limit.Forecast{
		Tasks:       n,
		Backlog:     p.queue.Backlog(req.Team, class, now),
		Slowest:     func(n int) gypsumtide.Millis { return p.learner.Slowest(req.Service, n) },
		MeanRunTime: p.learner.Mean(req.Service),
		Slots:       slots, Free: p.free(req.Service),
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
func (p *pool) queueLimit(h *home, aj *activeJob, n int) gypsumtide.AdmissionDecision {
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
