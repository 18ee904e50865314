package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Connected processes the start of a session with an agent, after the reports that came
// with it. Orders that the agent neither holds nor has reported did not arrive; if it no
// longer has all of its reports, they may have run and have ended.
func (s *State) Connected(now gypsumtide.Millis, id WorkerID, r wire.Resume) {
	w := s.ensureWorker(id)
	if !s.hasAgents() {
		s.agentsSince = now
	}
	if w.awaitedUntil == 0 {
		w.awaitedUntil = now + agentsSettleTime
	}
	w.connected = true
	missing := wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "order-lost"}
	if !r.Complete {
		missing = wire.RunReport{End: gypsumtide.EndLost, Reason: "reports-forgotten"}
	}
	held := make(map[gypsumtide.RunRef]bool, len(r.Held))
	for _, ref := range r.Held {
		held[ref] = true
		if t, ok := w.tasks[ref]; !ok || t.stopping {
			m := s.messages(id)
			m.Stops = append(m.Stops, ref)
		}
	}
	// Each report may place the task on this worker again, so the runs are collected first.
	for _, ref := range slices.Collect(maps.Keys(w.tasks)) {
		if !held[ref] {
			missing.Ref = ref
			s.HandleReport(now, id, missing)
		}
	}
	for _, ref := range r.Unrecorded {
		s.resolveUnrecorded(id, ref)
	}
	s.log.Decision("agent-connected", "worker", id, "held", len(r.Held), "complete", r.Complete, "open", len(w.tasks))
}

// BeginResume processes the start of a session before the reports that come with it. An
// agent that does not have all of its reports any more may number new ones from 1 again.
// Until Connected, the reports cause no order on the worker, since Connected could not tell
// such an order from one that did not arrive.
// The result is false if the agent has opened a newer session, so that this one must be
// ignored: its list of runs is outdated.
func (s *State) BeginResume(id WorkerID, r wire.Resume) bool {
	w := s.ensureWorker(id)
	if r.Session > 0 && r.Session < w.lastSession {
		s.log.Decision("session-outdated", "worker", id, "session", r.Session, "newest", w.lastSession)
		return false
	}
	w.lastSession = r.Session
	w.connected = false
	if !r.Complete {
		w.lastReportNumber = 0
	}
	return true
}

// AcceptReport reports whether the run report with the number is new, and marks it as
// processed. Reports are sent again after a session was lost.
func (s *State) AcceptReport(id WorkerID, number uint64) bool {
	w := s.ensureWorker(id)
	if number <= w.lastReportNumber {
		return false
	}
	w.lastReportNumber = number
	return true
}

// HasTasks reports whether the worker has an order or a run of this entry.
func (s *State) HasTasks(id WorkerID) bool {
	w, ok := s.workers[id]
	return ok && len(w.tasks) > 0
}

// ensureWorker returns the worker with the id, and adds it if it is new.
func (s *State) ensureWorker(id WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{id: id, hash: xxhash.Sum64String(id.Agent), slowness: 1, usedShare: 1, tasks: make(map[gypsumtide.RunRef]*task)}
		s.workers[id] = w
		s.workerList = append(s.workerList, w)
	}
	return w
}

// UpdateWorker processes an agent's report on its worker. It ignores a report with a capacity
// out of range.
func (s *State) UpdateWorker(now gypsumtide.Millis, id WorkerID, r wire.WorkerReport) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	if err := cmp.Or(r.Capacity.Validate(), gypsumtide.ValidateDuration("remaining time", r.LeavesIn)); err != nil {
		s.logOddReport(w, err)
		return
	}
	if r.Accepting != w.report.Accepting || r.Incarnation != w.report.Incarnation {
		s.log.Decision("worker-state", "worker", id, "life", r.Incarnation, "open", r.Accepting, "before", w.report.Accepting,
			"capacity", r.Capacity.Processors)
	}
	w.report = r
	s.updateNotice(now, w, &r)
	s.updateEvacuation(now, w)
	w.updateSlowness()
	if r.EarlierRunsEnded {
		s.dropEarlierIncarnations(now, id)
	}
}

// UpdateLoad processes an agent's report on the load of its worker. It ignores a report with
// values out of range, which would keep the entry from choosing between workers.
func (s *State) UpdateLoad(now gypsumtide.Millis, id WorkerID, r *wire.LoadReport) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	if err := r.Validate(); err != nil {
		s.logOddReport(w, err)
		return
	}
	w.applyLoad(r)
	w.loadReportedAt = now
}

// logOddReport logs the first report of an agent with values out of range.
func (s *State) logOddReport(w *worker, err error) {
	if !w.oddLogged {
		w.oddLogged = true
		s.log.Decision("agent-report-rejected", "worker", w.id, "error", err.Error())
	}
}

// dropEarlierIncarnations removes the disconnected other incarnations of an agent, once the
// new one has found that the worker no longer runs anything they started.
func (s *State) dropEarlierIncarnations(now gypsumtide.Millis, id WorkerID) {
	for other, w := range s.workers {
		if other.Agent == id.Agent && other.Incarnation != id.Incarnation && !w.connected {
			s.removeWorker(now, w, "agent-restarted")
		}
	}
}

// removeWorker removes a worker and ends its runs as lost.
func (s *State) removeWorker(now gypsumtide.Millis, w *worker, reason string) {
	s.endLostRuns(now, w, reason, func(*task) bool { return true })
	delete(s.workers, w.id)
	s.setEvacuated(w, false)
	s.endSlowStart(w)
	s.workerList = slices.DeleteFunc(s.workerList, func(x *worker) bool { return x == w })
	s.log.Decision("agent-gone", "worker", w.id, "reason", reason)
}

// endLostRuns ends as lost the runs of a worker for which include returns true.
func (s *State) endLostRuns(now gypsumtide.Millis, w *worker, reason string, include func(t *task) bool) {
	for _, t := range slices.Collect(maps.Values(w.tasks)) {
		if include(t) {
			s.HandleReport(now, w.id, wire.RunReport{Ref: t.ref(), End: gypsumtide.EndLost, Reason: reason})
		}
	}
}

// Disconnected processes the end of a session with an agent.
func (s *State) Disconnected(now gypsumtide.Millis, id WorkerID, reason string) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.connected = false
	w.lostAt = now
	s.log.Decision("agent-lost", "worker", id, "reason", reason, "open", len(w.tasks))
}

// expireLostAgents ends the runs of agents that have not reconnected in time, and removes
// these agents. Before that, after ReconnectGrace, it aborts the ephemeral jobs that
// cannot wait for the end of their runs.
func (s *State) expireLostAgents(now gypsumtide.Millis) {
	for _, w := range s.workers {
		if w.connected {
			continue
		}
		disconnectedFor := now - w.lostAt
		if disconnectedFor >= s.timing.LostRunTimeout {
			s.endLostRuns(now, w, "agent-gone", func(t *task) bool { return !t.job.stored })
			if len(w.tasks) == 0 || disconnectedFor >= s.timing.LostStoredRunTimeout {
				s.removeWorker(now, w, "agent-gone")
			}
			continue
		}
		if disconnectedFor >= s.timing.ReconnectGrace {
			s.abortUnfinishable(now, w)
		}
	}
}

// abortUnfinishable aborts the ephemeral jobs that cannot end before their deadline even if
// their runs at the disconnected worker are retried on another one at LostRunTimeout.
func (s *State) abortUnfinishable(now gypsumtide.Millis, w *worker) {
	for _, t := range w.tasks {
		j := t.job
		if s.jobs[j.id] != j || j.stored {
			continue
		}
		if w.lostAt+s.timing.LostRunTimeout+s.expected(j, t.step) > j.deadline {
			s.abort(now, j, "agent-lost")
		}
	}
}
