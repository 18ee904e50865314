package dispatch

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Connected notes a session to an agent. Orders that it neither holds nor has
// reported did not arrive, or have ended if it has forgotten its reports.
func (s *State) Connected(now gypsumtide.Millis, id WorkerID, r wire.Resume) {
	w := s.worker(id)
	w.connected = true
	missing := wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "order-lost"}
	if !r.Complete {
		missing = wire.RunReport{End: gypsumtide.EndLost, Reason: "reports-forgotten"}
	}
	present := make(map[gypsumtide.RunRef]bool, len(r.Held))
	for _, ref := range r.Held {
		present[ref] = true
		if t, ok := w.tasks[ref]; !ok || t.stopping {
			m := s.messages(id)
			m.Stops = append(m.Stops, ref)
		}
	}
	// Each report may place the task again on this worker, so the runs are listed first.
	for _, ref := range slices.Collect(maps.Keys(w.tasks)) {
		if !present[ref] {
			missing.Ref = ref
			s.Report(now, id, missing)
		}
	}
	for _, ref := range r.Unrecorded {
		s.confirm(id, ref)
	}
	s.log.Decision("agent-connected", "worker", id, "held", len(r.Held), "complete", r.Complete, "open", len(w.tasks))
}

// Opening takes the beginning of a session, before the reports that come with it.
// An agent that has forgotten its earlier reports numbers them from 1 again.
func (s *State) Opening(id WorkerID, r wire.Resume) {
	if !r.Complete {
		s.worker(id).reportsSeen = 0
	}
}

// New reports whether a run report with the number has not been taken yet.
// Reports arrive again after a session was lost.
func (s *State) New(id WorkerID, number uint64) bool {
	w := s.worker(id)
	if number <= w.reportsSeen {
		return false
	}
	w.reportsSeen = number
	return true
}

func (s *State) worker(id WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{id: id, hash: xxhash.Sum64String(id.Agent), slowness: 1, tasks: make(map[gypsumtide.RunRef]*task)}
		s.workers[id] = w
		s.list = append(s.list, w)
	}
	return w
}

// Observe takes an agent's report on its worker.
func (s *State) Observe(now gypsumtide.Millis, id WorkerID, r wire.WorkerReport) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	if r.Accepting != w.report.Accepting || r.Incarnation != w.report.Incarnation {
		s.log.Decision("worker-state", "worker", id, "life", r.Incarnation, "open", r.Accepting, "before", w.report.Accepting,
			"capacity", r.Capacity.Processors)
	}
	w.report = r
	w.updateSlowness()
	if r.EarlierRunsEnded {
		s.retire(now, id)
	}
}

// ObserveLoad takes an agent's report on the load of its worker.
func (s *State) ObserveLoad(now gypsumtide.Millis, id WorkerID, r *wire.LoadReport) {
	if w, ok := s.workers[id]; ok {
		w.take(r)
		w.reported = now
	}
}

// retire ends what earlier incarnations of an agent ran, once the new one has
// seen that the worker has nothing left of them.
func (s *State) retire(now gypsumtide.Millis, id WorkerID) {
	for other, w := range s.workers {
		if other.Agent == id.Agent && other.Incarnation != id.Incarnation && !w.connected {
			s.drop(now, w, "agent-restarted")
		}
	}
}

// drop removes a worker. Its runs have ended without a report.
func (s *State) drop(now gypsumtide.Millis, w *worker, reason string) {
	s.lose(now, w, reason, func(*task) bool { return true })
	delete(s.workers, w.id)
	s.list = slices.DeleteFunc(s.list, func(x *worker) bool { return x == w })
	s.log.Decision("agent-gone", "worker", w.id, "reason", reason)
}

// lose takes that the chosen runs of a worker have ended without a report.
func (s *State) lose(now gypsumtide.Millis, w *worker, reason string, chosen func(t *task) bool) {
	for _, t := range slices.Collect(maps.Values(w.tasks)) {
		if chosen(t) {
			s.Report(now, w.id, wire.RunReport{Ref: t.ref(), End: gypsumtide.EndLost, Reason: reason})
		}
	}
}

// Disconnected notes the end of a session.
func (s *State) Disconnected(now gypsumtide.Millis, id WorkerID, reason string) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.connected = false
	w.lostAt = now
	s.log.Decision("agent-lost", "worker", id, "reason", reason, "open", len(w.tasks))
}

// settleLost ends the runs of agents that did not come back.
func (s *State) settleLost(now gypsumtide.Millis) {
	for _, w := range s.workers {
		if w.connected {
			continue
		}
		away := now - w.lostAt
		if away >= s.timing.LostRun {
			s.lose(now, w, "agent-gone", func(t *task) bool { return !t.job.stored })
			if len(w.tasks) == 0 || away >= s.timing.LostStoredRun {
				s.drop(now, w, "agent-gone")
			}
			continue
		}
		if away >= s.timing.ResumeGrace {
			s.abandonHopeless(now, w)
		}
	}
}

// abandonHopeless answers jobs that cannot end in time even if their lost runs
// are tried elsewhere as soon as that is safe.
func (s *State) abandonHopeless(now gypsumtide.Millis, w *worker) {
	for _, t := range w.tasks {
		j := t.job
		if s.jobs[j.id] != j || j.stored {
			continue
		}
		if w.lostAt+s.timing.LostRun+s.expected(j, t.step) > j.deadline {
			s.abandon(now, j, "agent-lost")
		}
	}
}
