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

// pool is the runtime state of a pool: its queue, its policies and its agents.
type pool struct {
	spec      poolSpec
	queue     backlogQueue
	placer    gypsumtide.Placer
	estimator *queue.RunTimeEstimator
	// admission holds, for each task class, the check whether a job can meet its
	// deadline.
	admission  [2]*limit.Admission
	retries    *limit.RetryBudget
	recaller   *placement.Recaller
	recalledAt gypsumtide.Millis
	// agentsByService caches the agents that may receive tasks of each service.
	agentsByService map[string]*agentList
	// slots is the number of slots in the list that was last added to agentsByService.
	slots int
	// lastShortAt is the time at which a short task was last queued. While
	// reserving is set, slots are kept free for short tasks.
	lastShortAt gypsumtide.Millis
	reserving   bool
}

// backlogQueue is a queue that reports its backlog, which admission needs.
type backlogQueue interface {
	gypsumtide.Queue
	queue.BacklogReporter
}

// poolSpec holds the settings of a pool in the configuration.
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
	q, ok := base.(backlogQueue)
	if !ok {
		return nil, fmt.Errorf("queue %q does not report its backlog", base.Name())
	}
	overcommit := spec.overcommit
	if overcommit == 0 {
		// The placement treats a negative value as no overcommit, and 0 as its default.
		overcommit = -1
	}
	placer, err := placement.New(spec.placement, placement.Options{Zone: zone, Overcommit: overcommit})
	if err != nil {
		return nil, err
	}
	return &pool{
		spec: spec, queue: q, placer: placer,
		estimator: queue.NewRunTimeEstimator(queue.RunTimeEstimatorOptions{}),
		admission: [2]*limit.Admission{
			gypsumtide.ClassShort: limit.NewAdmission(limit.AdmissionOptions{}),
			gypsumtide.ClassLong:  limit.NewAdmission(limit.AdmissionOptions{}),
		},
		retries:         limit.NewRetryBudget(limit.RetryOptions{}, now),
		recaller:        placement.NewRecaller(placement.RecallOptions{}),
		agentsByService: make(map[string]*agentList),
	}, nil
}

// pool returns the runtime state of the named pool. It creates the state at the first
// use, and replaces it if the settings of the pool have changed.
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
		next.moveStateFrom(p, h)
	}
	next.setWeights(h.router)
	next.setHomes(h.homeCount)
	h.pools[name] = next
	return next, nil
}

// moveStateFrom moves the jobs of old with their waiting tasks, and what its policies
// have measured, to p, which replaces it.
func (p *pool) moveStateFrom(old *pool, h *home) {
	p.estimator, p.admission, p.retries, p.recaller = old.estimator, old.admission, old.retries, old.recaller
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

// maxShortJobTasks is the number of tasks of a job above which all of them count
// as long, however short each of them is: together they occupy the slots for long.
const maxShortJobTasks = 16

// enqueue classifies a task and adds it to the queue.
func (p *pool) enqueue(t *gypsumtide.Task, declaredRunTime gypsumtide.Millis, now gypsumtide.Millis) {
	class := gypsumtide.ClassLong
	if t.JobTasks() <= maxShortJobTasks {
		class = p.estimator.Classify(t.Service(), declaredRunTime)
	}
	t.SetClass(class)
	t.SetQueuedAt(now)
	p.queue.Push(t)
	if class == gypsumtide.ClassShort {
		p.lastShortAt = now
		p.updateReservation(now)
	}
}

// class returns the class of a job's tasks without counting them in the estimates. Of the
// declared run times it uses that of the first task.
func (p *pool) class(req *wire.Job) gypsumtide.Class {
	if len(req.Tasks) > maxShortJobTasks {
		return gypsumtide.ClassLong
	}
	return p.estimator.Class(req.Service, req.Tasks[0].RunTime)
}

// updateReservation starts to keep slots free for short tasks when such tasks arrive,
// and stops when none has arrived for a while. A pool without short tasks uses all its
// slots for long ones.
func (p *pool) updateReservation(now gypsumtide.Millis) {
	reserving := p.lastShortAt > 0 && now-p.lastShortAt < upstream.ShortReserveWindow
	if reserving == p.reserving {
		return
	}
	p.reserving = reserving
	for _, list := range p.agentsByService {
		for _, v := range list.views {
			v.SetSlots(v.Slots(), p.reservedSlots(v.Slots()))
		}
	}
}

// reservedSlots returns how many of the slots long tasks may not use at present.
func (p *pool) reservedSlots(slots int) int {
	if !p.reserving {
		return 0
	}
	return slots * p.spec.reserveShort / 100
}

// recordResult updates the run time estimates, the slowness of the agent and the
// deadline admission with a result.
func (p *pool) recordResult(c *agentConn, t *gypsumtide.Task, r *wire.Result, now gypsumtide.Millis) {
	p.estimator.Observe(t.Service(), c.record.Name, r.RunTime)
	c.view.SetSlowness(p.estimator.Slowness(c.record.Name))
	p.admission[t.Class()].RecordCompleted(1, p.queue.Waiting(t.Class()), now)
}

// admit checks whether the job can meet its deadline and whether the queue limits and
// the quotas permit it.
func (p *pool) admit(h *home, aj *activeJob, now gypsumtide.Millis) gypsumtide.AdmissionDecision {
	req := aj.Request()
	n := len(req.Tasks)
	class := p.class(req)
	slots := p.slots
	if class == gypsumtide.ClassLong {
		slots -= p.reservedSlots(slots)
	}
	decision := p.admission[class].Admit(limit.AdmissionRequest{
		Tasks:          n,
		Backlog:        p.queue.Backlog(req.Team, class, now),
		SlowestRunTime: func(n int) gypsumtide.Millis { return p.estimator.Slowest(req.Service, n) },
		MeanRunTime:    p.estimator.Mean(req.Service),
		Slots:          slots, FreeSlots: p.freeSlots(req.Service),
		Deadline: aj.Deadline(),
	}, now)
	if !decision.Admitted() {
		return decision
	}
	if decision := p.checkQueueLimit(h, aj, n); !decision.Admitted() {
		return decision
	}
	return h.quotas.Admit(aj.quotaKey, n, now)
}

// checkQueueLimit refuses a job if more tasks of its quota key would wait at this home
// than a limit of its route or team permits. p.slots tasks may wait in addition to the
// limit.
func (p *pool) checkQueueLimit(h *home, aj *activeJob, n int) gypsumtide.AdmissionDecision {
	for _, l := range aj.limits {
		if l.QueueLength > 0 && h.waitingTasks[aj.quotaKey]+n > l.QueueLength+p.slots {
			return gypsumtide.Refused(l.Name, fmt.Sprintf("%d tasks wait, the limit is %d", h.waitingTasks[aj.quotaKey], l.QueueLength), queueFullRetryAfter)
		}
	}
	return gypsumtide.Admitted()
}

// freeSlots returns the estimated number of free slots for the service.
func (p *pool) freeSlots(service string) int {
	list := p.agentsByService[service]
	if list == nil {
		return 0
	}
	n := 0
	for _, c := range list.conns {
		n += max(0, c.slots-c.view.OpenTasks())
	}
	return n
}

// choosePool routes the job by its service and team, sets its quota key and limits, and
// checks its payloads against the limit of the service.
func (h *home) choosePool(aj *activeJob) (*pool, *wire.Answer) {
	req := aj.Request()
	choice := h.router.route(req.Service, req.Team)
	route, _ := h.router.set.Load().RouteByName(choice.Route())
	aj.quotaKey = quotaKey(req.Team, route)
	aj.limits = choice.Limits()
	if maxBytes := choice.Service().MaxPayloadBytes; maxBytes > 0 {
		for i := range req.Tasks {
			if int64(len(req.Tasks[i].Payload)) > maxBytes {
				return nil, notRunAnswer(req.Submission, &wire.Problem{
					Type: "payload-too-large", Status: http.StatusRequestEntityTooLarge, Step: "route",
					Detail: fmt.Sprintf("the payload of task %d is larger than the %d bytes that service %s permits", i, maxBytes, req.Service),
				})
			}
		}
	}
	p, err := h.pool(choice.Pool().Name)
	if err != nil {
		return nil, notRunAnswer(req.Submission, &wire.Problem{
			Type: "internal", Status: http.StatusInternalServerError, Step: "route", Detail: err.Error(),
		})
	}
	h.decisions.log("route", "submission", req.Submission.String(), "service", req.Service, "team", req.Team,
		"route", choice.Route(), "pool", choice.Pool().Name)
	return p, nil
}
