package stored

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// job is a stored job of an owned partition.
type job struct {
	request    gypsumtide.JobRequest
	route      gypsumtide.QueueRoute
	acceptedAt gypsumtide.Millis
	// ownerCount is the number of owners that the job had before this one.
	ownerCount uint32
	// state is the state shown to callers. A final state is set only once it is recorded.
	state   gypsumtide.JobState
	endedAt gypsumtide.Millis
	// closing is set while a final state is being recorded, and stays set.
	closing bool
	// recorded is set once the acceptance is in the log.
	recorded bool
	// done and failures are indexed by task over all steps. remaining counts the tasks
	// that are not done.
	done      []bool
	failures  []uint8
	remaining int
}

func newJob(request gypsumtide.JobRequest, route gypsumtide.QueueRoute, accepted gypsumtide.Millis) *job {
	j := &job{request: request, route: route, acceptedAt: accepted, state: gypsumtide.JobPending}
	n := 0
	for _, step := range request.Steps {
		n += step.Tasks
	}
	j.done, j.failures, j.remaining = make([]bool, n), make([]uint8, n), n
	return j
}

func (j *job) isFinal() bool {
	return j.state != gypsumtide.JobPending && j.state != gypsumtide.JobRunning
}

// taskIndex returns the index of a task over all steps, or false if the job has no task
// of that name.
func (j *job) taskIndex(n gypsumtide.TaskName) (int, bool) {
	return gypsumtide.TaskIndex(j.request.Steps, n)
}

func (j *job) record() jobRecord {
	r := jobRecord{Version: recordVersion, Request: j.request.Request, Route: j.route, AcceptedAt: j.acceptedAt, OwnerCount: j.ownerCount}
	r.Spec, r.Steps = j.request.Spec, j.request.Steps
	return r
}

// finalRecord returns the record of a final state. It omits the spec and the steps,
// which are no longer needed.
func (j *job) finalRecord(state gypsumtide.JobState, ended gypsumtide.Millis) jobRecord {
	return jobRecord{
		Version: recordVersion, Request: j.request.Request, Route: j.route, AcceptedAt: j.acceptedAt, OwnerCount: j.ownerCount, State: state, EndedAt: ended,
	}
}

func (j *job) progress() progressRecord {
	r := progressRecord{Version: recordVersion, Done: make([]byte, (len(j.done)+7)/8), Failures: make(map[uint32]uint8)}
	for i, done := range j.done {
		if done {
			r.Done[i/8] |= 1 << (i % 8)
		}
		if j.failures[i] > 0 {
			r.Failures[uint32(i)] = j.failures[i]
		}
	}
	return r
}

// restore applies the recorded progress to a new job.
func (j *job) restore(r progressRecord) {
	for i := range j.done {
		if i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0 {
			j.done[i] = true
			j.remaining--
		}
		j.failures[i] = r.Failures[uint32(i)]
		if j.done[i] || j.failures[i] > 0 {
			j.state = gypsumtide.JobRunning
		}
	}
}

// runNumbersPerOwner is the size of the range of run numbers of each owner of a job. The
// ranges keep the runs of different owners distinct.
const runNumbersPerOwner = 1 << 20

// storedJob returns the job in the form that the dispatcher adopts.
func (j *job) storedJob(notBefore gypsumtide.Millis) dispatch.StoredJob {
	a := dispatch.StoredJob{Job: j.request, Route: j.route, NotBefore: notBefore, BaseRunNumber: uint64(j.ownerCount) * runNumbersPerOwner}
	for i := range j.done {
		a.Tasks = append(a.Tasks, dispatch.TaskRecord{Done: j.done[i], Failures: int(j.failures[i])})
	}
	return a
}

// jobTable holds the jobs of one partition. It performs no I/O: its methods return
// the records that must be appended before their effect becomes visible.
type jobTable struct {
	jobs map[string]*job
	// inProgress is the number of jobs without a final state.
	inProgress int
}

func newJobTable() *jobTable { return &jobTable{jobs: make(map[string]*job)} }

// accept adds a job and returns its record.
func (t *jobTable) accept(j *job) ([]gypsumtide.KeyedRecord, error) {
	r, err := encode(j.request.ID, j.record())
	if err != nil {
		return nil, err
	}
	t.jobs[j.request.ID] = j
	t.inProgress++
	return []gypsumtide.KeyedRecord{r}, nil
}

// discard removes a job whose acceptance was not recorded.
func (t *jobTable) discard(j *job) {
	if t.jobs[j.request.ID] == j {
		delete(t.jobs, j.request.ID)
		t.inProgress--
	}
}

// end applies the conclusive end of a run. It returns the final state that the job
// reaches with it, if any, and no records if the end changes nothing.
func (t *jobTable) end(wall gypsumtide.Millis, e dispatch.TaskEnd) ([]gypsumtide.KeyedRecord, gypsumtide.JobState, error) {
	j, ok := t.jobs[e.Ref.Task.Job]
	if !ok || j.closing || j.isFinal() {
		return nil, "", nil
	}
	i, ok := j.taskIndex(e.Ref.Task)
	if !ok || j.done[i] {
		return nil, "", nil
	}
	if e.Kind == gypsumtide.EndDone {
		j.done[i] = true
		j.remaining--
	} else {
		j.failures[i]++
	}
	switch {
	case j.remaining == 0:
		return t.close(wall, j, gypsumtide.JobComplete)
	case int(j.failures[i]) >= max(1, j.route.Attempts) && !j.done[i]:
		return t.close(wall, j, gypsumtide.JobFailed)
	}
	r, err := encode(progressKey(j.request.ID), j.progress())
	return []gypsumtide.KeyedRecord{r}, "", err
}

// close returns the records that give a job its final state and delete its progress in
// the same append.
func (t *jobTable) close(wall gypsumtide.Millis, j *job, state gypsumtide.JobState) ([]gypsumtide.KeyedRecord, gypsumtide.JobState, error) {
	j.closing = true
	r, err := encode(j.request.ID, j.finalRecord(state, wall))
	return []gypsumtide.KeyedRecord{r, {Key: progressKey(j.request.ID)}}, state, err
}

// finalize makes a final state visible after it was recorded.
func (t *jobTable) finalize(j *job, state gypsumtide.JobState, wall gypsumtide.Millis) {
	t.inProgress--
	j.setFinalState(state, wall)
}

// setFinalState sets a final state and drops what only a job in progress needs.
func (j *job) setFinalState(state gypsumtide.JobState, wall gypsumtide.Millis) {
	j.state, j.endedAt = state, wall
	j.done, j.failures = nil, nil
	j.request.Spec, j.request.Steps = "", nil
}

// expire removes the jobs that ended before the given time.
func (t *jobTable) expire(before gypsumtide.Millis) []gypsumtide.KeyedRecord {
	var records []gypsumtide.KeyedRecord
	for id, j := range t.jobs {
		if j.isFinal() && j.endedAt < before {
			delete(t.jobs, id)
			records = append(records, gypsumtide.KeyedRecord{Key: id})
		}
	}
	return records
}

// recoverJobTable builds the jobTable of a new owner from the values of a partition. It
// returns the records that note the new owner in the jobs in progress, and an error
// for each job that cannot be read. Such a job is skipped and stays in the log.
func recoverJobTable(values map[string][]byte) (t *jobTable, records []gypsumtide.KeyedRecord, errs []error) {
	t = newJobTable()
	for key, value := range values {
		if !isJobKey(key) {
			continue
		}
		r, err := decodeJob(value)
		if err != nil {
			errs = append(errs, fmt.Errorf("decode job %s: %w", key, err))
			continue
		}
		j := newJob(gypsumtide.JobRequest{ID: key, Request: r.Request, Spec: r.Spec, Steps: r.Steps}, r.Route, r.AcceptedAt)
		j.ownerCount, j.recorded = r.OwnerCount, true
		if r.State != "" {
			j.setFinalState(r.State, r.EndedAt)
			t.jobs[key] = j
			continue
		}
		if data, ok := values[progressKey(key)]; ok {
			p, err := decodeProgress(data)
			if err != nil {
				errs = append(errs, fmt.Errorf("decode progress of job %s: %w", key, err))
				continue
			}
			j.restore(p)
		}
		j.ownerCount++
		next, err := encode(key, j.record())
		if err != nil {
			errs = append(errs, err)
			continue
		}
		records = append(records, next)
		t.jobs[key] = j
		t.inProgress++
	}
	return t, records, errs
}

// open returns the jobs in progress.
func (t *jobTable) open() []*job {
	var open []*job
	for _, j := range t.jobs {
		if !j.isFinal() {
			open = append(open, j)
		}
	}
	return open
}
