package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

const (
	// agentsSettleTime is the time after the start of an entry in which agents dial it. An
	// agent dials again after 1.5 s at most.
	agentsSettleTime gypsumtide.Millis = 2_000
	// unservableInterval is the time between two checks of the waiting jobs.
	unservableInterval gypsumtide.Millis = 50
	// evacuationRetryAfter is the shortest Retry-After of a refused job. It is doubled at
	// random, so that the callers do not return together.
	evacuationRetryAfter gypsumtide.Millis = 2_000
)

// zoneEvacuatedProblemType is the type of the problem of a job that only agents in evacuated
// zones could serve.
const zoneEvacuatedProblemType = "zone-evacuated"

func zoneEvacuatedProblem(step string) *wire.Problem {
	return &wire.Problem{
		Type: zoneEvacuatedProblemType, Status: http.StatusServiceUnavailable, Step: step,
		Detail:     "all upstreams that could run the job are in evacuated availability zones",
		RetryAfter: evacuationRetryAfter + rand.N(evacuationRetryAfter),
	}
}

// setEvacuations replaces the set of evacuated availability zones. Agents in evacuated zones
// receive no tasks from now on, and return those that wait there.
func (h *home) setEvacuations(e gypsumtide.Evacuations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.evacuations
	h.evacuations = e
	for _, zone := range e.Zones {
		delete(h.slowStarts, zone)
		if !before.Contains(zone) {
			h.log.Info("evacuation", "zone", zone, "revision", e.Version)
		}
	}
	for _, zone := range before.Zones {
		if !e.Contains(zone) {
			h.slowStarts[zone] = h.clock.Now()
			h.log.Info("evacuation-ended", "zone", zone, "revision", e.Version)
		}
	}
	for _, c := range h.agents {
		h.updateEvacuated(c)
	}
	h.updateSlowStarts(h.clock.Now())
}

// updateEvacuated sets whether an agent receives no tasks because its zone is evacuated. The
// report of an agent counts if it is from a newer revision than the set of this home.
func (h *home) updateEvacuated(c *agentConn) {
	evacuated := h.evacuations.Contains(c.record.Zone) || c.reportsEvacuated && c.revision > h.evacuations.Version
	if evacuated == c.evacuated {
		return
	}
	c.evacuated = evacuated
	h.invalidateServiceAgents()
	if !evacuated {
		h.evacuatedAgents--
		return
	}
	h.evacuatedAgents++
	h.recallAll(c)
}

// recallAll asks an agent to return all tasks that are not known to run. It reports those
// that run as such. The agent returns the tasks by itself too, unless its program cannot read
// the configuration.
func (h *home) recallAll(c *agentConn) {
	if c.session == nil {
		return
	}
	var refs []wire.TaskRef
	for k, o := range c.openTasks {
		if o.recalled || h.isRunning(k) {
			continue
		}
		o.recalled = true
		c.openTasks[k] = o
		refs = append(refs, wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: o.epoch})
	}
	if len(refs) == 0 {
		return
	}
	c.session.Update(func(f *wire.Frame) { f.Recalls = append(f.Recalls, refs...) })
	h.metrics.recalls.Add(len(refs))
	h.decisions.log("recall", "agent", c.record.Name, "tasks", len(refs), "reason", wire.ReasonZoneEvacuated)
}

// unservable reports whether a waiting task of the job suits only agents in evacuated zones.
func (h *home) unservable(aj *activeJob, now gypsumtide.Millis) bool {
	if h.evacuatedAgents == 0 {
		return false
	}
	if now-h.startedAt < agentsSettleTime && h.countAgents() > h.describedAgents() {
		return false
	}
	var checked *gypsumtide.Task
	for i, t := range aj.Tasks() {
		if !aj.Queued(uint32(i)) || checked != nil && checked.Size() == t.Size() {
			continue
		}
		checked = t
		if h.onlyInEvacuatedZones(aj.pool, t) {
			return true
		}
	}
	return false
}

// describedAgents returns the number of known agents that have announced their upstreams.
func (h *home) describedAgents() int {
	n := 0
	for _, c := range h.agents {
		if c.upstreams != nil {
			n++
		}
	}
	return n
}

// onlyInEvacuatedZones reports whether the task suits known agents of the pool, and all of
// them are in evacuated zones. An agent in another zone counts even if it is disconnected,
// and so does one that has not announced its upstreams yet. One that drains does not.
func (h *home) onlyInEvacuatedZones(p *pool, t *gypsumtide.Task) bool {
	found := false
	for _, c := range h.agents {
		if !h.router.poolHasZone(p.spec.name, c.record.Zone) {
			continue
		}
		switch {
		case c.evacuated:
			found = found || c.suits(t)
		case c.upstreams == nil, !c.draining && c.suits(t):
			return false
		}
	}
	return found
}

// suits reports whether an upstream of the agent provides the service and the agent is large
// enough for the task.
func (c *agentConn) suits(t *gypsumtide.Task) bool {
	return t.Size().Fits(c.view.Capacity()) && slices.ContainsFunc(c.upstreams, func(u wire.Upstream) bool {
		return !u.Leaving && slices.Contains(u.Services, t.Service())
	})
}

// closeUnservable closes the waiting jobs that no zone can serve. Tasks at agents end first,
// so that none is stopped: a job without any started task is refused, another one has failed.
func (h *home) closeUnservable(now gypsumtide.Millis) {
	if h.evacuatedAgents == 0 || now-h.unservableCheckedAt < unservableInterval {
		return
	}
	h.unservableCheckedAt = now
	for _, aj := range h.jobs {
		if aj.pool == nil || aj.waitingTasks == 0 || !aj.HasNoOpenTasks() || aj.Recovering() || aj.ClosingProblem() != nil {
			continue
		}
		if h.unservable(aj, now) {
			h.decisions.log("refuse", "submission", aj.Submission().String(), "team", aj.Request().Team, "reason", zoneEvacuatedProblemType)
			h.closeJob(aj, zoneEvacuatedProblem("wait for results"), now)
		}
	}
}
