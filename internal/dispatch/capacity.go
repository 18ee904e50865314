package dispatch

import (
	"math"

	"gypsumtide"
)

// workerRoom is the room of one worker for tasks of one size and priority.
type workerRoom struct {
	// tasks is how many tasks fit now. It is negative if others are queued before them.
	// perMilli is by how many it grows each millisecond, as running tasks end.
	tasks, perMilli float64
}

// roomFor returns the room of the worker for tasks of the step and priority, which are
// expected to run for run milliseconds.
func (w *worker) roomFor(step *gypsumtide.JobStep, priority int, run float64) workerRoom {
	load, capacity := w.load(priority), w.report.Capacity
	r := workerRoom{tasks: math.Inf(1), perMilli: math.MaxFloat64}
	r.bound(step.Size.Processors, load.Processors, capacity.Processors)
	r.bound(step.Size.Memory, load.Memory, capacity.Memory)
	r.bound(step.Size.Accelerators, load.Accelerators, capacity.Accelerators)
	if limit := float64(step.MaxPerWorker); limit > 0 {
		// The limit applies to tasks at the same time: the next one follows the end of another.
		r.tasks = min(r.tasks, limit)
		r.perMilli = min(r.perMilli, limit/max(1, run))
	}
	return r
}

// bound lowers the room to that of one resource.
func (r *workerRoom) bound(size, load, capacity int64) {
	if size <= 0 {
		return
	}
	r.tasks = min(r.tasks, float64(capacity-load)/float64(size))
	r.perMilli = min(r.perMilli, float64(capacity)/float64(size)/float64(meanTurnover))
}

// startedWithin returns how many tasks the worker is expected to start within the time in
// milliseconds. Only whole tasks fit into free capacity; those that start as others end are
// an expected value.
func (r *workerRoom) startedWithin(wait float64) float64 {
	fit := r.tasks
	if fit > 0 {
		fit = math.Floor(fit)
	}
	return max(0, fit+wait*r.perMilli)
}

// allStartWithin reports whether the workers are expected to start the tasks within the time
// in milliseconds.
func allStartWithin(rooms []workerRoom, tasks, wait float64) bool {
	for i := range rooms {
		if tasks <= 0 {
			break
		}
		tasks -= rooms[i].startedWithin(wait)
	}
	return tasks <= 0
}

// maxExpectedWait is the longest wait in milliseconds that is computed. It exceeds the slack
// of all jobs that are refused for it.
const maxExpectedWait = 8192

// waitForAll returns the time in milliseconds, rounded up to a multiple of one, within which
// the workers are expected to start the tasks, or infinity if it exceeds maxExpectedWait.
func waitForAll(rooms []workerRoom, tasks float64) float64 {
	if allStartWithin(rooms, tasks, 0) {
		return 0
	}
	low, high := 0.0, float64(maxExpectedWait)
	if !allStartWithin(rooms, tasks, high) {
		return math.Inf(1)
	}
	for high-low > 1 {
		middle := (low + high) / 2
		if allStartWithin(rooms, tasks, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// waitingTasks holds the sizes of the ready tasks of admitted jobs that are not placed, by
// priority.
type waitingTasks []queuedLoad

// startedPriority is the priority under which the tasks of started jobs are counted, since
// these go before all others.
const startedPriority = math.MinInt

// add adds the ready tasks of a job.
func (l *waitingTasks) add(now gypsumtide.Millis, j *job) {
	if now < j.notBefore {
		return
	}
	priority := j.route.Priority
	if j.started {
		priority = startedPriority
	}
	for _, t := range j.tasks {
		if t.phase == taskReady {
			l.queue(priority).add(t.size())
		}
	}
}

func (l *waitingTasks) queue(priority int) *queuedLoad {
	for i := range *l {
		if (*l)[i].priority == priority {
			return &(*l)[i]
		}
	}
	*l = append(*l, queuedLoad{priority: priority})
	return &(*l)[len(*l)-1]
}

// before returns the waiting tasks that go before a task of the priority, as a number of
// tasks of the size.
func (l waitingTasks) before(priority int, size gypsumtide.Size) float64 {
	var sum gypsumtide.Size
	for i := range l {
		if l[i].priority <= priority {
			sum = sum.Add(l[i].size)
		}
	}
	return max(ratio(sum.Processors, size.Processors), ratio(sum.Memory, size.Memory), ratio(sum.Accelerators, size.Accelerators))
}
