package dispatch

import (
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// StoredJob is a stored job that this entry has to run.
type StoredJob struct {
	Job   gypsumtide.JobRequest
	Route gypsumtide.QueueRoute
	// NotBefore is the time by which all runs of earlier owners have ended.
	NotBefore gypsumtide.Millis
	// BaseRunNumber is above the run numbers that earlier owners used.
	BaseRunNumber uint64
	// Tasks holds the recorded state of the tasks, in order. Tasks beyond its end have no
	// recorded state.
	Tasks []TaskRecord
}

// TaskRecord is the recorded state of a task of a stored job.
type TaskRecord struct {
	Done     bool
	Failures int
	// Checkpoint is the last recorded checkpoint, or "", and CheckpointPercent the share of
	// the work at it.
	Checkpoint        string
	CheckpointPercent int
}

// TaskEnd is a conclusive end of a run of a stored job that has to be recorded.
type TaskEnd struct {
	Ref    gypsumtide.RunRef
	Kind   gypsumtide.EndKind
	Worker WorkerID
}

// Progress lists changes of stored jobs that have to be recorded.
type Progress struct {
	// Started lists the jobs of which a task has started or is presumed to have started.
	// A job of which a run ends before that is not listed.
	Started []string
	Ends    []TaskEnd
	// Checkpoints lists new checkpoints. Unlike the others, it need not be recorded at once.
	Checkpoints []TaskCheckpoint
}

// TaskCheckpoint is the newest checkpoint of a task of a stored job. Data is "" if the task is
// to start anew.
type TaskCheckpoint struct {
	Task    gypsumtide.TaskName
	Data    string
	Percent int
}

// Adopt takes over a stored job and starts to run it. An ephemeral job with the same id is
// aborted.
func (s *State) Adopt(now gypsumtide.Millis, adopted StoredJob) {
	if other, ok := s.jobs[adopted.Job.ID]; ok && !other.stored {
		s.abort(now, other, "a stored job has this id")
	}
	j := newJob(now, Submission{Job: adopted.Job, Route: adopted.Route, Timeout: math.MaxInt32})
	j.stored, j.notBefore = true, adopted.NotBefore
	s.numberSubmission(j)
	for i, t := range j.tasks {
		t.number = adopted.BaseRunNumber
		if i >= len(adopted.Tasks) {
			continue
		}
		t.failures = adopted.Tasks[i].Failures
		t.checkpoint = newCheckpoint(adopted.Tasks[i].Checkpoint, adopted.Tasks[i].CheckpointPercent)
		if adopted.Tasks[i].Done {
			t.phase = taskDone
			j.unfinished[t.step]--
		}
		j.started = j.started || adopted.Tasks[i].Done || t.failures > 0
	}
	j.mayHaveRun = j.started
	j.unblockTasks()
	j.objective = now + j.route.Objective(j.criticalPath(func(step int) gypsumtide.Millis { return s.expected(j, step) }))
	s.jobs[j.id] = j
	s.log.Decision("job-adopted", "job", j.id, "request", j.request, "route", j.route.Name, "tasks", len(j.tasks), "begun", j.started,
		"first-run", adopted.BaseRunNumber, "not-before-ms", max(0, adopted.NotBefore-now), "workers", len(s.workerList))
	s.placeReady(now, j)
}

// UpdateRoutes replaces the routes of stored jobs by those of a new route table. A job
// whose route no longer exists keeps its old one.
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

// recordEnd requests that the end of a stored job's run is recorded. The job only
// advances once that is done. The end of a run of a removed job is confirmed or declined
// instead.
func (s *State) recordEnd(t *task, r wire.RunReport) {
	switch {
	case t.job.closed:
		// The job has a final state, so the end need not be recorded.
		s.confirmRecord(t.worker, r.Ref)
		return
	case s.jobs[t.job.id] != t.job:
		s.declineRecord(t.worker, r.Ref)
		return
	}
	t.phase = taskEnded
	t.end = r
	s.effects.Stored.Ends = append(s.effects.Stored.Ends, TaskEnd{Ref: r.Ref, Kind: r.End, Worker: t.worker})
}

// EndRecorded notes that the end of a run has been recorded. final is true if the
// job has reached a final state with it.
func (s *State) EndRecorded(now gypsumtide.Millis, e TaskEnd, final bool) {
	s.confirmRecord(e.Worker, e.Ref)
	j, ok := s.jobs[e.Ref.Task.Job]
	if !ok || !j.stored {
		return
	}
	if t := j.task(e.Ref.Task); t != nil && t.phase == taskEnded && t.ref() == e.Ref {
		t.recordedRuns = append(t.recordedRuns, t.number)
		s.handleEnd(now, t, t.end)
	}
	if final {
		s.CloseJob(now, j.id, "final-state-recorded")
	}
}

// advanceStoredJob continues a stored job after the end r of a run of its task t.
func (s *State) advanceStoredJob(now gypsumtide.Millis, j *job, t *task, r wire.RunReport) {
	switch {
	case t.phase == taskDone:
		j.unblockTasks()
		s.placeReady(now, j)
	case r.End == gypsumtide.EndNotStarted:
		// The next tick places the task again. Doing so at once would be too early: what
		// kept the order from starting lasts longer than a round trip to the agent.
	default:
		s.placeReady(now, j)
	}
}

// CloseJob removes a stored job that has reached a final state, and stops its runs.
func (s *State) CloseJob(now gypsumtide.Millis, id, reason string) {
	j, ok := s.jobs[id]
	if !ok || !j.stored {
		return
	}
	j.closed = true
	s.removeStored(j)
	s.log.Decision("job-closed", "job", id, "reason", reason, "took-ms", now-j.arrivedAt)
}

// removeStored stops the runs of a stored job and removes the job.
func (s *State) removeStored(j *job) {
	for _, t := range j.tasks {
		s.stopRun(t)
	}
	delete(s.jobs, j.id)
}

// Release removes stored jobs that now belong to another owner. Their runs are stopped,
// and ends that are not recorded yet are left to the new owner.
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

// Pause stops stored jobs from starting further tasks. It returns how many of their
// tasks have an order or a run, or an end that is being recorded.
func (s *State) Pause(ids []string) int {
	active := 0
	for _, id := range ids {
		j, ok := s.jobs[id]
		if !ok || !j.stored {
			continue
		}
		j.notBefore = math.MaxInt64
		for _, t := range j.tasks {
			if t.placed() || t.phase == taskEnded {
				active++
			}
		}
	}
	return active
}

// declineRecord tells an agent that this entry will not record the end of a run.
func (s *State) declineRecord(id WorkerID, ref gypsumtide.RunRef) {
	m := s.messages(id)
	m.RecordDeclined = append(m.RecordDeclined, ref)
}

// resolveUnrecorded answers an unrecorded end that an agent lists at the start of a
// session. If the run has been counted as lost, the record is declined, since the task is
// retried.
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
		// The agent is answered once the end has been recorded.
	case slices.Contains(t.recordedRuns, ref.Number):
		s.confirmRecord(id, ref)
	default:
		s.declineRecord(id, ref)
	}
}

// confirmRecord tells an agent that the end of a run has been recorded, or need not be.
func (s *State) confirmRecord(id WorkerID, ref gypsumtide.RunRef) {
	m := s.messages(id)
	m.Recorded = append(m.Recorded, ref)
}
