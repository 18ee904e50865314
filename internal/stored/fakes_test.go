package stored

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
)

// memoryLog is an in-memory JobLog whose partitions are assigned by the test.
type memoryLog struct {
	mu            sync.Mutex
	generation    uint64
	owners        map[int]string
	partitionData map[int]*memoryPartition
	// failAppend is called before each append. It returns the error of the append, and
	// whether the records are written.
	failAppend func() (err error, written bool)
	// joinErr is the error of Join and Owners.
	joinErr error
	// departed lists the members that called Leave.
	departed       []string
	partitionCount int
	// appendDelay is the duration of an append.
	appendDelay gypsumtide.Millis
	// acceptOldEpochs makes the log accept the appends of earlier epochs.
	acceptOldEpochs bool
}

// memoryPartition is a partition of a memoryLog. epoch and sequence are those of its last
// append.
type memoryPartition struct {
	epoch, sequence uint64
	values          map[string][]byte
	appends         int
}

const testPartitions = 2

func newMemoryLog() *memoryLog {
	return &memoryLog{owners: make(map[int]string), partitionData: make(map[int]*memoryPartition), failAppend: func() (error, bool) { return nil, true }, partitionCount: testPartitions}
}

// assign assigns all partitions to a member at once.
func (l *memoryLog) assign(member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	for p := range l.partitionCount {
		l.owners[p] = member
	}
}

func (l *memoryLog) setAppendFailure(failAppend func() (error, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failAppend = failAppend
}

func (l *memoryLog) setJoinError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joinErr = err
}

func (l *memoryLog) partition(p int) *memoryPartition {
	if l.partitionData[p] == nil {
		l.partitionData[p] = &memoryPartition{values: make(map[string][]byte)}
	}
	return l.partitionData[p]
}

func (l *memoryLog) Partitions() int { return l.partitionCount }

func (l *memoryLog) Join(_ context.Context, member string, _ uint64, _ gypsumtide.Millis) (gypsumtide.Assignment, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := gypsumtide.Assignment{Generation: l.generation}
	for p, owner := range l.owners {
		if owner == member {
			a.Partitions = append(a.Partitions, p)
		}
	}
	return a, l.joinErr
}

func (l *memoryLog) Leave(_ context.Context, member string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departed = append(l.departed, member)
	return nil
}

func (l *memoryLog) Owners(context.Context) (map[int]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.owners), l.joinErr
}

func (l *memoryLog) Load(_ context.Context, p int) (map[string][]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.partition(p).values), nil
}

func (l *memoryLog) Append(ctx context.Context, p int, epoch, sequence uint64, records []gypsumtide.KeyedRecord) error {
	gypsumtide.Sleep(ctx, l.appendDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	err, written := l.failAppend()
	if !written {
		return err
	}
	part := l.partition(p)
	part.appends++
	switch {
	case l.acceptOldEpochs && epoch != part.epoch:
	case epoch < part.epoch:
		return gypsumtide.ErrEpochSuperseded
	case epoch == part.epoch && sequence == part.sequence:
		return err
	case epoch == part.epoch && sequence != part.sequence+1:
		return &gypsumtide.SequenceError{Expected: part.sequence + 1}
	}
	part.epoch, part.sequence = epoch, sequence
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(part.values, r.Key)
			continue
		}
		part.values[r.Key] = slices.Clone(r.Value)
	}
	return err
}

// value returns the newest value of a key, or nil.
func (l *memoryLog) value(key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.partitionData {
		if v, ok := p.values[key]; ok {
			return v
		}
	}
	return nil
}

// appends returns the number of appends that reached the log.
func (l *memoryLog) appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.partitionData {
		n += p.appends
	}
	return n
}

var errNoAnswer = errors.New("no answer")

// fakeExecutor is an Executor that runs no tasks and records the calls of its methods.
type fakeExecutor struct {
	mu       sync.Mutex
	adopted  map[string]dispatch.StoredJob
	recorded []dispatch.TaskEnd
	closed   []string
	released []string
	// running holds the ids of the jobs that were adopted and have not been closed or
	// released since.
	running map[string]bool
	// openTasks is the result of Pause.
	openTasks int
}

func newFakeExecutor() *fakeExecutor {
	return &fakeExecutor{adopted: make(map[string]dispatch.StoredJob), running: make(map[string]bool)}
}

func (e *fakeExecutor) Adopt(jobs []dispatch.StoredJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range jobs {
		e.adopted[j.Job.ID] = j
		e.running[j.Job.ID] = true
	}
}

func (e *fakeExecutor) EndRecorded(end dispatch.TaskEnd, _ bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorded = append(e.recorded, end)
}

func (e *fakeExecutor) CloseJob(id, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = append(e.closed, id)
	delete(e.running, id)
}

func (e *fakeExecutor) Release(ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = append(e.released, ids...)
	for _, id := range ids {
		delete(e.running, id)
	}
}

func (e *fakeExecutor) Pause([]string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openTasks
}

// adoptedJob returns the argument with which a job was adopted, and false if it was not
// adopted.
func (e *fakeExecutor) adoptedJob(id string) (dispatch.StoredJob, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.adopted[id]
	return j, ok
}

func (e *fakeExecutor) counts() (recorded, closed, released int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.recorded), len(e.closed), len(e.released)
}

// discardLogger is a gypsumtide.DecisionLogger that discards all decisions.
type discardLogger struct{}

func (discardLogger) Decision(string, ...any) {}
