package stored

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"

	"gypsumtide"
)

// The simulation runs the real decisions of entries (dispatch.State, book,
// membership) and agents (runner.State) in virtual time, against simulated
// workers, sessions and a simulated log with one partition. What the goroutines of
// Keeper and Agent do is repeated here in small.

const simLease gypsumtide.Millis = 1000

// simHosts is the number of entries, and of agents.
const simHosts = 2

type simEvent struct {
	at, order gypsumtide.Millis
	do        func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
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

// simMutation switches off one mechanism, to show that the checks notice it.
type simMutation uint8

const (
	noMutation simMutation = iota
	// unfencedWorkers take orders with old fencing tokens.
	unfencedWorkers
	// unrecordedEnds are acknowledged before they are recorded.
	unrecordedEnds
	// hastyOwners do not wait for the runs of the owner before.
	hastyOwners
	// unfencedLog takes the appends of former owners.
	unfencedLog
)

type simulation struct {
	mutation simMutation
	random   *rand.Rand
	now      gypsumtide.Millis
	queue    simQueue
	order    gypsumtide.Millis

	log     *memoryLog
	holder  string
	until   gypsumtide.Millis
	entries [simHosts]*simEntry
	agents  [simHosts]*simAgent
	workers [simHosts]*simWorker
	memory  [simHosts]*gypsumtide.WorkerInfo
	marks   [simHosts]bool
	links   [simHosts][simHosts]*simLink
	// storeAway is the time until which an entry does not reach the log.
	storeAway [simHosts]gypsumtide.Millis
	// calm is set when no more faults are injected.
	calm bool

	runs       map[gypsumtide.TaskName][]*simRun
	jobs       map[string]*simJob
	steps      int
	violations []string
	// lines are the decision lines, kept if keepLines is set.
	lines     []string
	keepLines bool
}

// simRecorder keeps the decision lines of a process.
type simRecorder struct {
	s       *simulation
	process string
}

// Decision implements gypsumtide.Recorder.
func (r simRecorder) Decision(kind string, keysAndValues ...any) {
	if r.s.keepLines {
		r.s.lines = append(r.s.lines, fmt.Sprint(r.s.now, " ", r.process, " ", kind, " ", keysAndValues))
	}
}

// simJob is what the caller knows of a job.
type simJob struct {
	request   gypsumtide.JobRequest
	accepted  bool
	cancelled gypsumtide.Millis
}

// simRun is a run as its worker saw it.
type simRun struct {
	worker   int
	from, to gypsumtide.Millis
	kind     gypsumtide.EndKind
	noted    bool
	running  bool
	willFail bool
	task     gypsumtide.TaskName
	number   uint64
	endsAt   gypsumtide.Millis
	// stray runs come from an order for the life before, which the worker carried out
	// late. Nothing can call such an order back, so its start breaks no promise; its
	// end must be dealt with like any other.
	stray bool
}

func newSimulation(seed uint64, mutation simMutation) *simulation {
	s := &simulation{
		mutation: mutation,
		random:   rand.New(rand.NewPCG(seed, 7)), now: 1, log: newMemoryLog(),
		runs: make(map[gypsumtide.TaskName][]*simRun), jobs: make(map[string]*simJob),
		keepLines: os.Getenv("GYPSUMTIDE_SIMULATION_LINES") != "",
	}
	s.log.partitions = 1
	s.log.generation = 1
	s.log.unfenced = mutation == unfencedLog
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

func (s *simulation) after(delay gypsumtide.Millis, do func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now + delay, order: s.order, do: do})
}

// every calls do in intervals as long as it returns true.
func (s *simulation) every(interval gypsumtide.Millis, do func() bool) {
	s.after(interval, func() {
		if do() {
			s.every(interval, do)
		}
	})
}

func (s *simulation) between(least, most int) gypsumtide.Millis {
	return gypsumtide.Millis(least + s.random.IntN(most-least+1))
}

func (s *simulation) chance(p float64) bool { return !s.calm && s.random.Float64() < p }

func (s *simulation) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%d ms: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *simulation) runUntil(end gypsumtide.Millis) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		s.steps++
		e.do()
	}
	s.now = end
}

// started checks a start against the runs so far.
func (s *simulation) started(r *simRun) {
	for i := range simHosts {
		s.workers[i].settle()
	}
	for _, other := range s.runs[r.task] {
		if other.running && !r.stray && !other.stray {
			s.violate("run %d of %v at %d starts while run %d at %d goes on", r.number, r.task, r.worker, other.number, other.worker)
		}
	}
	j := s.jobs[r.task.Job]
	if j.cancelled > 0 && s.now > j.cancelled+3000 {
		s.violate("%v starts %d ms after its cancelling", r.task, s.now-j.cancelled)
	}
	s.runs[r.task] = append(s.runs[r.task], r)
}

// check looks for starts after ends that count, and for accepted jobs that are lost.
func (s *simulation) check() {
	for task, runs := range s.runs {
		for _, done := range runs {
			for _, later := range runs {
				if done.kind == gypsumtide.EndDone && done.noted && later.from > done.to && !later.stray {
					s.violate("run %d of %v starts %d ms after the end of run %d, which counts", later.number, task, later.from-done.to, done.number)
				}
			}
		}
	}
	b, _, faults := recoverJobTable(s.log.parts[0].values)
	for _, err := range faults {
		s.violate("%v", err)
	}
	for id, j := range s.jobs {
		if !j.accepted {
			continue
		}
		recorded, ok := b.jobs[id]
		switch {
		case !ok:
			s.violate("%s was accepted and is not in the log", id)
		case !recorded.isFinal():
			s.violate("%s was accepted and has not ended", id)
		case recorded.state == gypsumtide.JobComplete:
			s.checkComplete(j)
		}
	}
}

func (s *simulation) checkComplete(j *simJob) {
	for i, step := range j.request.Steps {
		for k := range step.Tasks {
			task := gypsumtide.TaskName{Job: j.request.ID, Step: i, Index: k}
			done := false
			for _, r := range s.runs[task] {
				done = done || r.kind == gypsumtide.EndDone
			}
			if !done {
				s.violate("%v is complete without an end of %v", j.request.ID, task)
			}
		}
	}
}
