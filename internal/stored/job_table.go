package stored

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// job is a stored job in a partition that this entry owns.
type job struct {
	request    gypsumtide.JobRequest
	route      gypsumtide.QueueRoute
	acceptedAt gypsumtide.Millis
	// ownerCount is the number of owners that the job had before this one. An entry that
	// opens the partition again counts as a new owner.
	ownerCount uint32
	// state is the state shown to callers. A final state is set only once it is recorded.
	state   gypsumtide.JobState
	endedAt gypsumtide.Millis
	// closing is set when the record of a final state is built, and never cleared. Ends of
	// runs that arrive after that are ignored.
	closing bool
	// recorded is set once the acceptance is in the log.
	recorded bool
	// done and failures hold which tasks are done and how many runs of each have failed.
	// They are indexed as described at taskIndex. remaining counts the tasks that are not
	// done.
	done      []bool
	failures  []uint8
	remaining int
	// checkpoints holds the newest checkpoints by the indexes of their tasks. The last record
	// with them was built at checkpointsAt.
	checkpoints   map[uint32]checkpointRecord
	checkpointsAt gypsumtide.Millis
	// checkpointBytes is the total size of the checkpoints.
	checkpointBytes int
}

func newJob(request gypsumtide.JobRequest, route gypsumtide.QueueRoute, acceptedAt gypsumtide.Millis) *job {
	j := &job{request: request, route: route, acceptedAt: acceptedAt, state: gypsumtide.JobPending}
	n := 0
	for _, step := range request.Steps {
		n += step.Tasks
	}
	j.done, j.failures, j.remaining = make([]bool, n), make([]uint8, n), n
	j.checkpoints = make(map[uint32]checkpointRecord)
	return j
}

func (j *job) isFinal() bool {
	return j.state != gypsumtide.JobPending && j.state != gypsumtide.JobRunning
}

// taskIndex returns the index of a task across all steps of the job, or false if the job
// has no task of that name.
func (j *job) taskIndex(task gypsumtide.TaskName) (int, bool) {
	return gypsumtide.TaskIndex(j.request.Steps, task)
}

// record returns the record of a job that has no final state.
func (j *job) record() jobRecord {
	r := jobRecord{Version: recordVersion, Request: j.request.Request, Route: j.route, AcceptedAt: j.acceptedAt, OwnerCount: j.ownerCount}
	r.Spec, r.Steps = j.request.Spec, j.request.Steps
	return r
}

// finalRecord returns the record of a final state. It omits the spec and the steps,
// which are no longer needed.
func (j *job) finalRecord(state gypsumtide.JobState, endedAt gypsumtide.Millis) jobRecord {
	return jobRecord{
		Version: recordVersion, Request: j.request.Request, Route: j.route, AcceptedAt: j.acceptedAt, OwnerCount: j.ownerCount, State: state, EndedAt: endedAt,
	}
}

func (j *job) progress() progressRecord {
	r := progressRecord{Version: recordVersion, Done: make([]byte, (len(j.done)+7)/8), Failures: make(map[uint32]uint8), Checkpoints: j.checkpoints}
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

// restore applies the recorded progress to a new job. The job stays pending if no end of a
// run is recorded, even if a former owner has started some.
func (j *job) restore(r progressRecord) {
	for i := range j.done {
		if i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0 {
			j.done[i] = true
			j.remaining--
		} else if c, ok := r.Checkpoints[uint32(i)]; ok {
			j.setCheckpoint(i, c)
		}
		j.failures[i] = r.Failures[uint32(i)]
		if j.done[i] || j.failures[i] > 0 {
			j.state = gypsumtide.JobRunning
		}
	}
}

// runNumbersPerOwner is the size of the range of run numbers that each successive owner of
// a job uses. Separate ranges keep the runs of different owners distinct.
const runNumbersPerOwner = 1 << 20

// storedJob returns the job in the form that the dispatcher adopts.
func (j *job) storedJob(notBefore gypsumtide.Millis) dispatch.StoredJob {
	stored := dispatch.StoredJob{Job: j.request, Route: j.route, NotBefore: notBefore, BaseRunNumber: uint64(j.ownerCount) * runNumbersPerOwner}
	for i := range j.done {
		c := j.checkpoints[uint32(i)]
		stored.Tasks = append(stored.Tasks, dispatch.TaskRecord{Done: j.done[i], Failures: int(j.failures[i]), Checkpoint: c.Data, CheckpointPercent: c.Percent})
	}
	return stored
}

// jobTable holds the jobs of one partition. It performs no I/O: accept, end, close and expire
// return the records to append. Except for expire, their effect must not be visible to
// callers of the entry before the append.
type jobTable struct {
	jobs map[string]*job
	// inProgressCount is the number of jobs without a final state, including those whose
	// acceptance is not recorded yet.
	inProgressCount int
}

func newJobTable() *jobTable { return &jobTable{jobs: make(map[string]*job)} }

// accept adds a job and returns its record.
func (t *jobTable) accept(j *job) ([]gypsumtide.KeyedRecord, error) {
	r, err := encode(j.request.ID, j.record())
	if err != nil {
		return nil, err
	}
	t.jobs[j.request.ID] = j
	t.inProgressCount++
	return []gypsumtide.KeyedRecord{r}, nil
}

// discard removes a job after the write of its acceptance has failed.
func (t *jobTable) discard(j *job) {
	if t.jobs[j.request.ID] == j {
		delete(t.jobs, j.request.ID)
		t.inProgressCount--
	}
}

// end applies the end of a run that completed its task or counts as a failed attempt. It
// returns the records to append, and the final state if the job reaches one. It returns no
// records if the end changes nothing.
func (t *jobTable) end(endedAt gypsumtide.Millis, e dispatch.TaskEnd) ([]gypsumtide.KeyedRecord, gypsumtide.JobState, error) {
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
		j.setCheckpoint(i, checkpointRecord{})
	} else {
		j.failures[i]++
	}
	switch {
	case j.remaining == 0:
		return t.close(endedAt, j, gypsumtide.JobComplete)
	case int(j.failures[i]) >= max(1, j.route.Attempts) && !j.done[i]:
		return t.close(endedAt, j, gypsumtide.JobFailed)
	}
	r, err := encode(progressKey(j.request.ID), j.progress())
	return []gypsumtide.KeyedRecord{r}, "", err
}

// checkpointInterval is the minimum time between two records of a job that are written only
// because of its checkpoints. Each run of the job may have a new one every 0.5 s, and all
// entries share the log's append rate. A checkpoint in between is part of the next record.
const checkpointInterval gypsumtide.Millis = 1000

// maxJobCheckpointBytes limits the checkpoints in the record of a job, which holds those of
// all its tasks. Beyond it, a task keeps its earlier one there, or none.
const maxJobCheckpointBytes = 64 << 10

// setCheckpoint replaces the checkpoint of a task, or removes it if c has no data.
func (j *job) setCheckpoint(i int, c checkpointRecord) {
	total := j.checkpointBytes + len(c.Data) - len(j.checkpoints[uint32(i)].Data)
	if c.Data != "" && total > maxJobCheckpointBytes {
		return
	}
	j.checkpointBytes = total
	if c.Data == "" {
		delete(j.checkpoints, uint32(i))
		return
	}
	j.checkpoints[uint32(i)] = c
}

// checkpoint applies a new checkpoint of a task. It returns the record to append, if one is
// due.
func (t *jobTable) checkpoint(now gypsumtide.Millis, c dispatch.TaskCheckpoint) ([]gypsumtide.KeyedRecord, error) {
	j, ok := t.jobs[c.Task.Job]
	if !ok || j.closing || j.isFinal() {
		return nil, nil
	}
	i, ok := j.taskIndex(c.Task)
	if !ok || j.done[i] {
		return nil, nil
	}
	j.setCheckpoint(i, checkpointRecord{Data: c.Data, Percent: c.Percent})
	if now-j.checkpointsAt < checkpointInterval {
		return nil, nil
	}
	j.checkpointsAt = now
	r, err := encode(progressKey(j.request.ID), j.progress())
	return []gypsumtide.KeyedRecord{r}, err
}

// close marks a job as closing, and returns the records that give it its final state and
// delete its progress. They must be written in the same append.
func (t *jobTable) close(endedAt gypsumtide.Millis, j *job, state gypsumtide.JobState) ([]gypsumtide.KeyedRecord, gypsumtide.JobState, error) {
	j.closing = true
	r, err := encode(j.request.ID, j.finalRecord(state, endedAt))
	return []gypsumtide.KeyedRecord{r, {Key: progressKey(j.request.ID)}}, state, err
}

// finalize makes a final state visible to callers after it has been recorded.
func (t *jobTable) finalize(j *job, state gypsumtide.JobState, endedAt gypsumtide.Millis) {
	t.inProgressCount--
	j.setFinalState(state, endedAt)
}

// setFinalState sets a final state and frees the data that only a job in progress needs.
func (j *job) setFinalState(state gypsumtide.JobState, endedAt gypsumtide.Millis) {
	j.state, j.endedAt = state, endedAt
	j.done, j.failures, j.checkpoints = nil, nil, nil
	j.request.Spec, j.request.Steps = "", nil
}

// expire removes the jobs that ended before the given time, and returns the records that
// delete them from the log.
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
// returns records of the jobs in progress with their new ownerCount, and an error for
// each job whose record cannot be read or is invalid. Such a job is skipped and stays in the log.
func recoverJobTable(values map[string][]byte) (t *jobTable, records []gypsumtide.KeyedRecord, errs []error) {
	t = newJobTable()
	for key, value := range values {
		if !isJobKey(key) {
			continue
		}
		r, err := decodeJob(value)
		if err == nil {
			err = r.validate()
		}
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
		t.inProgressCount++
	}
	return t, records, errs
}

// inProgressJobs returns the jobs without a final state.
func (t *jobTable) inProgressJobs() []*job {
	var jobs []*job
	for _, j := range t.jobs {
		if !j.isFinal() {
			jobs = append(jobs, j)
		}
	}
	return jobs
}
