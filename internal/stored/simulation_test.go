package stored

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"

	"gypsumtide"
)

// The simulation runs the real state machines of entries (dispatch.State, jobTable,
// membership) and agents (runner.State) in virtual time, with simulated workers,
// sessions and a simulated log of one partition. It reimplements in simplified form
// what the goroutines of PartitionManager and runner.Agent do.

// simLease is the duration of the lease under which a worker runs tasks.
const simLease gypsumtide.Millis = 1000

// simHosts is the number of entries, of agents and of workers.
const simHosts = 2

// simEvent is a call of fn at a point in virtual time. Events of the same time are handled
// in the order of sequence.
type simEvent struct {
	at, sequence gypsumtide.Millis
	fn           func()
}

// simQueue is a heap of the events that have not been handled.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simMutation names a safety mechanism that a simulation disables, to show that its checks
// detect the violations that follow.
type simMutation uint8

const (
	noMutation simMutation = iota
	// noWorkerFencing makes workers accept starts with old fencing tokens.
	noWorkerFencing
	// earlyAcknowledgement makes agents acknowledge the ends of runs to the worker before
	// the owner has recorded them.
	earlyAcknowledgement
	// noOwnerWait makes a new owner start tasks without waiting for the runs of the
	// previous owner to end.
	noOwnerWait
	// noLogFencing makes the log accept the appends of former owners.
	noLogFencing
	// staleAnswers makes agents answer each stale message about a run as not started,
	// whether they hold the run or not, and go on with the ephemeral runs of entries that
	// lag.
	staleAnswers
)

// simulation holds the state of one simulation. Its random choices are determined by a
// seed.
type simulation struct {
	mutation simMutation
	random   *rand.Rand
	now      gypsumtide.Millis
	queue    simQueue
	sequence gypsumtide.Millis

	log *memoryLog
	// partitionOwner is the owner of the partition according to the log. Its membership
	// expires at ownedUntil.
	partitionOwner string
	ownedUntil     gypsumtide.Millis
	entries        [simHosts]*simEntry
	agents         [simHosts]*simAgent
	workers        [simHosts]*simWorker
	// savedWorkers and savedMarks are what an agent has saved for its next incarnation:
	// the worker that it served, and whether the host may have run tasks of stored jobs.
	savedWorkers [simHosts]*gypsumtide.WorkerInfo
	savedMarks   [simHosts]bool
	links        [simHosts][simHosts]*simLink
	// logUnreachableUntil is the time until which each entry cannot reach the log.
	logUnreachableUntil [simHosts]gypsumtide.Millis
	// ephemeral is set if the simulation also has ephemeral jobs, and the faults of
	// injectSlownessFault.
	ephemeral bool
	// closeLossProbability is the probability that a side does not learn that the other one
	// has closed a session.
	closeLossProbability float64
	// faultsStopped is set once no more faults are injected.
	faultsStopped bool

	runs       map[gypsumtide.TaskName][]*simRun
	jobs       map[string]*simJob
	eventCount int
	violations []string
	// logLines has the log lines of all processes if keepLogLines is set, which the
	// environment variable GYPSUMTIDE_SIMULATION_LINES does.
	logLines     []string
	keepLogLines bool
}

// simRecorder records the log lines of a process.
type simRecorder struct {
	s       *simulation
	process string
}

// Decision implements gypsumtide.DecisionLogger.
func (r simRecorder) Decision(kind string, keysAndValues ...any) {
	if r.s.keepLogLines {
		r.s.logLines = append(r.s.logLines, fmt.Sprint(r.s.now, " ", r.process, " ", kind, " ", keysAndValues))
	}
}

// simJob is a job as its caller sees it.
type simJob struct {
	request     gypsumtide.JobRequest
	accepted    bool
	cancelledAt gypsumtide.Millis
	// ephemeral is set if the job need not be stored, answered once its caller has an answer.
	ephemeral, answered bool
}

// simRun is a run of a task as its worker sees it.
type simRun struct {
	worker             int
	startedAt, endedAt gypsumtide.Millis
	kind               gypsumtide.EndKind
	// acknowledged is set once the agent has acknowledged the end, with the exceptions that
	// simWorker.renew describes.
	acknowledged bool
	running      bool
	willFail     bool
	task         gypsumtide.TaskName
	number       uint64
	endsAt       gypsumtide.Millis
	// staleIncarnation is set if the run was started by a late order that was meant for an
	// earlier incarnation of the worker. Such an order cannot be withdrawn, so the start
	// is no violation. The end of the run must be handled like any other.
	staleIncarnation bool
}

func newSimulation(seed uint64, mutation simMutation) *simulation {
	s := &simulation{
		mutation: mutation,
		random:   rand.New(rand.NewPCG(seed, 7)), now: 1, log: newMemoryLog(),
		runs: make(map[gypsumtide.TaskName][]*simRun), jobs: make(map[string]*simJob),
		keepLogLines: os.Getenv("GYPSUMTIDE_SIMULATION_LINES") != "",
	}
	s.log.partitionCount = 1
	s.log.generation = 1
	s.log.acceptOldEpochs = mutation == noLogFencing
	for i := range simHosts {
		s.workers[i] = &simWorker{s: s, number: i}
		s.workers[i].restart()
		for j := range simHosts {
			s.links[i][j] = &simLink{s: s, entry: i, agent: j}
		}
	}
	for i := range simHosts {
		s.startEntry(i)
		s.startAgent(i)
	}
	return s
}

// schedule calls fn after the delay.
func (s *simulation) schedule(delay gypsumtide.Millis, fn func()) {
	s.sequence++
	heap.Push(&s.queue, simEvent{at: s.now + delay, sequence: s.sequence, fn: fn})
}

// every calls fn at the given interval as long as it returns true.
func (s *simulation) every(interval gypsumtide.Millis, fn func() bool) {
	s.schedule(interval, func() {
		if fn() {
			s.every(interval, fn)
		}
	})
}

func (s *simulation) randomBetween(low, high int) gypsumtide.Millis {
	return gypsumtide.Millis(low + s.random.IntN(high-low+1))
}

// chance returns true with the given probability, and always false once no more faults are
// injected.
func (s *simulation) chance(probability float64) bool {
	return !s.faultsStopped && s.random.Float64() < probability
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%d ms: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *simulation) runUntil(end gypsumtide.Millis) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		s.eventCount++
		e.fn()
	}
	s.now = end
}

// checkStart adds a run. It reports a violation if another run of the task is running, or
// if the job was cancelled more than 3 s before.
func (s *simulation) checkStart(r *simRun) {
	for i := range simHosts {
		s.workers[i].endDueRuns()
	}
	for _, existing := range s.runs[r.task] {
		if existing.running && !r.staleIncarnation && !existing.staleIncarnation {
			s.addViolation("run %d of %v at worker %d starts while run %d at worker %d is running", r.number, r.task, r.worker, existing.number, existing.worker)
		}
	}
	j := s.jobs[r.task.Job]
	if j.cancelledAt > 0 && s.now > j.cancelledAt+3000 {
		s.addViolation("%v starts %d ms after its cancellation", r.task, s.now-j.cancelledAt)
	}
	s.runs[r.task] = append(s.runs[r.task], r)
}

// checkEnds reports runs that started after an acknowledged completion of their task, records
// that cannot be read, and accepted jobs that are lost, have not ended, or are complete
// although a task was never done.
func (s *simulation) checkEnds() {
	for task, runs := range s.runs {
		for _, done := range runs {
			for _, later := range runs {
				if done.kind == gypsumtide.EndDone && done.acknowledged && !s.jobs[task.Job].ephemeral && later.startedAt > done.endedAt && !later.staleIncarnation {
					s.addViolation("run %d of %v starts %d ms after the acknowledged end of run %d", later.number, task, later.startedAt-done.endedAt, done.number)
				}
			}
		}
	}
	table, _, errs := recoverJobTable(s.log.partitionData[0].values)
	for _, err := range errs {
		s.addViolation("%v", err)
	}
	for id, j := range s.jobs {
		if !j.accepted {
			continue
		}
		recorded, ok := table.jobs[id]
		switch {
		case !ok:
			s.addViolation("%s was accepted and is not in the log", id)
		case !recorded.isFinal():
			s.addViolation("%s was accepted and has not ended", id)
		case recorded.state == gypsumtide.JobComplete:
			s.checkComplete(j)
		}
	}
}

// checkComplete reports the tasks of a complete job of which no run was done.
func (s *simulation) checkComplete(j *simJob) {
	for i, step := range j.request.Steps {
		for k := range step.Tasks {
			task := gypsumtide.TaskName{Job: j.request.ID, Step: i, Index: k}
			done := false
			for _, r := range s.runs[task] {
				done = done || r.kind == gypsumtide.EndDone
			}
			if !done {
				s.addViolation("%v is complete without an end of %v", j.request.ID, task)
			}
		}
	}
}
