package dispatch

import (
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// StoredJob is a stored job whose tasks this entry is to run.
type StoredJob struct {
	Job   gypsumtide.JobRequest
	Route gypsumtide.QueueRoute
	// NotBefore is the time at which the runs of an earlier owner have ended.
	NotBefore gypsumtide.Millis
	// BaseRunNumber is above the run numbers of earlier owners.
	BaseRunNumber uint64
	// Tasks tells what is recorded of the tasks, in order.
	Tasks []TaskRecord
}

// TaskRecord is what is recorded of a task of a stored job.
type TaskRecord struct {
	Done     bool
	Failures int
}

// TaskEnd is a conclusive end of a run of a stored job, to be recorded.
type TaskEnd struct {
	Ref    gypsumtide.RunRef
	Kind   gypsumtide.EndKind
	Worker WorkerID
}

// Progress is what has happened to stored jobs.
type Progress struct {
	// Started lists jobs of which the first task has started.
	Started []string
	Ends    []TaskEnd
}

// Adopt begins to run a stored job.
func (s *State) Adopt(now gypsumtide.Millis, a StoredJob) {
	if other, ok := s.jobs[a.Job.ID]; ok && !other.stored {
		s.abort(now, other, "a stored job has this id")
	}
	j := newJob(now, Submission{Job: a.Job, Route: a.Route, Timeout: math.MaxInt32})
	j.stored, j.notBefore = true, a.NotBefore
	for i, t := range j.tasks {
		t.number = a.BaseRunNumber
		if i >= len(a.Tasks) {
			continue
		}
		t.failures = a.Tasks[i].Failures
		if a.Tasks[i].Done {
			t.phase = taskDone
			j.unfinished[t.step]--
		}
		j.started = j.started || a.Tasks[i].Done || t.failures > 0
	}
	j.unblockTasks()
	j.objective = now + j.route.Objective(j.criticalPath(func(step int) gypsumtide.Millis { return s.expected(j, step) }))
	s.jobs[j.id] = j
	s.log.Decision("job-adopted", "job", j.id, "request", j.request, "route", j.route.Name, "tasks", len(j.tasks), "begun", j.started,
		"first-run", a.BaseRunNumber, "not-before-ms", max(0, a.NotBefore-now), "workers", len(s.workerList))
	s.placeReady(now, j)
}

// UpdateRoutes replaces the routes of stored jobs by those of a new table. A job
// whose route is gone keeps the last one.
func (s *State) UpdateRoutes(t *gypsumtide.RouteTable) {
	routes := make(map[string]gypsumtide.QueueRoute)
	for _, r := range t.Routes() {
		routes[r.Name] = r
	}
	for _, j := range s.jobs {
		if r, ok := routes[j.route.Name]; ok && j.stored {
			j.route = r
		}
	}
}

// record asks for the end of a stored job's run to be recorded. What follows from
// it has to wait until then.
func (s *State) recordEnd(t *task, r wire.RunReport) {
	switch {
	case t.job.closed:
		// Nothing of the job starts any more, so the end need not be recorded.
		s.recorded(t.worker, r.Ref)
		return
	case s.jobs[t.job.id] != t.job:
		s.declineRecord(t.worker, r.Ref)
		return
	}
	t.phase = taskEnded
	t.end = r
	s.effects.Stored.Ends = append(s.effects.Stored.Ends, TaskEnd{Ref: r.Ref, Kind: r.End, Worker: t.worker})
}

// Recorded takes that an end has been recorded, and whether the job has reached
// a final state by it.
func (s *State) Recorded(now gypsumtide.Millis, e TaskEnd, final bool) {
	s.recorded(e.Worker, e.Ref)
	j, ok := s.jobs[e.Ref.Task.Job]
	if !ok || !j.stored {
		return
	}
	if t := j.task(e.Ref.Task); t != nil && t.phase == taskEnded && t.ref() == e.Ref {
		t.recorded = append(t.recorded, t.number)
		s.ended(now, t, t.end)
	}
	if final {
		s.CloseJob(now, j.id, "final-state-recorded")
	}
}

// advanceStored decides what follows from the end of a run of a stored job.
func (s *State) advanceStoredJob(now gypsumtide.Millis, j *job, t *task, r wire.RunReport) {
	switch {
	case t.phase == taskDone:
		j.unblockTasks()
		s.placeReady(now, j)
	case r.End == gypsumtide.EndNotStarted:
		// The next tick tries again: what kept the order from its start lasts for longer
		// than an exchange with the agent.
	default:
		s.placeReady(now, j)
	}
}

// CloseJob ends a stored job that has reached a final state.
func (s *State) CloseJob(now gypsumtide.Millis, id, reason string) {
	j, ok := s.jobs[id]
	if !ok || !j.stored {
		return
	}
	j.closed = true
	s.removeStored(j)
	s.log.Decision("job-closed", "job", id, "reason", reason, "took-ms", now-j.arrivedAt)
}

// forget stops the runs of a stored job and removes it.
func (s *State) removeStored(j *job) {
	for _, t := range j.tasks {
		s.stopRun(t)
	}
	delete(s.jobs, j.id)
}

// Release gives up stored jobs that belong to another owner now. Their runs are
// stopped, and their ends are left to the next owner.
func (s *State) Release(now gypsumtide.Millis, ids []string) {
	for _, id := range ids {
		j, ok := s.jobs[id]
		if !ok || !j.stored {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == taskEnded {
				s.declineRecord(t.worker, t.ref())
			}
		}
		s.removeStored(j)
		s.log.Decision("job-released", "job", id, "took-ms", now-j.arrivedAt)
	}
}

// Pause keeps stored jobs from starting further tasks. It returns how many of
// their tasks have a run or an end that is being recorded.
func (s *State) Pause(ids []string) int {
	open := 0
	for _, id := range ids {
		j, ok := s.jobs[id]
		if !ok || !j.stored {
			continue
		}
		j.notBefore = math.MaxInt64
		for _, t := range j.tasks {
			if t.placed() || t.phase == taskEnded {
				open++
			}
		}
	}
	return open
}

func (s *State) declineRecord(id WorkerID, ref gypsumtide.RunRef) {
	m := s.messages(id)
	m.RecordDeclined = append(m.RecordDeclined, ref)
}

// confirm answers an end that an agent still keeps at the start of a session. An
// end that was taken for lost is not recorded, and its task is tried again.
func (s *State) resolveUnrecorded(id WorkerID, ref gypsumtide.RunRef) {
	j, ok := s.jobs[ref.Task.Job]
	if !ok || !j.stored {
		s.declineRecord(id, ref)
		return
	}
	t := j.task(ref.Task)
	switch {
	case t == nil:
		s.declineRecord(id, ref)
	case t.ref() == ref && (t.phase == taskEnded || t.placed()):
		// The answer follows when the end has been recorded.
	case slices.Contains(t.recorded, ref.Number):
		s.recorded(id, ref)
	default:
		s.declineRecord(id, ref)
	}
}

func (s *State) recorded(id WorkerID, ref gypsumtide.RunRef) {
	m := s.messages(id)
	m.Recorded = append(m.Recorded, ref)
}
