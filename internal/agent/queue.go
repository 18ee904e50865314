package agent

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/upstream"
	"gypsumtide/internal/wire"
)

// task is a task that is queued or running at the agent.
type task struct {
	dispatch wire.Dispatch
	// deadline and received are times of the agent's monotonic clock.
	deadline gypsumtide.Millis
	received gypsumtide.Millis
	// session is the number of the session on which the task was dispatched or, once it is
	// running, on which a home last asked for it.
	session uint64
	slot    *upstream.Slot
	// stopSent is set once a stop request has been sent to the upstream.
	stopSent bool
}

// taskQueue contains the accepted tasks that wait for a slot. Short tasks precede long
// ones; the tasks of a class are ordered by deadline.
type taskQueue struct {
	capacity int
	// tasks is indexed by class.
	tasks [2][]*task
}

func newTaskQueue(capacity int) *taskQueue { return &taskQueue{capacity: capacity} }

func (q *taskQueue) len() int {
	return len(q.tasks[gypsumtide.ClassShort]) + len(q.tasks[gypsumtide.ClassLong])
}

func (q *taskQueue) full() bool { return q.len() >= q.capacity }

// classOf returns the class of a dispatch; an unknown class counts as short.
func classOf(d *wire.Dispatch) gypsumtide.Class {
	if d.Class == gypsumtide.ClassLong {
		return gypsumtide.ClassLong
	}
	return gypsumtide.ClassShort
}

// push inserts a task behind those of its class with the same or an earlier deadline.
func (q *taskQueue) push(t *task) {
	c := classOf(&t.dispatch)
	i, _ := slices.BinarySearchFunc(q.tasks[c], t.deadline, func(e *task, d gypsumtide.Millis) int {
		// Tasks with the same deadline stay in the order of arrival.
		if e.deadline <= d {
			return -1
		}
		return 1
	})
	q.tasks[c] = slices.Insert(q.tasks[c], i, t)
}

// removeIf calls remove for each task in order and removes the tasks for which it
// returns true.
func (q *taskQueue) removeIf(remove func(t *task) bool) {
	for c := range q.tasks {
		q.tasks[c] = slices.DeleteFunc(q.tasks[c], remove)
	}
}

// remove removes a task from the queue and returns it, or nil if it is not queued.
func (q *taskQueue) remove(key taskKey) *task {
	for c, tasks := range q.tasks {
		i := slices.IndexFunc(tasks, func(t *task) bool { return keyOf(t.dispatch.TaskRef) == key })
		if i >= 0 {
			t := tasks[i]
			q.tasks[c] = slices.Delete(tasks, i, i+1)
			return t
		}
	}
	return nil
}

// nextDeadline returns the earliest deadline of a queued task.
func (q *taskQueue) nextDeadline() (gypsumtide.Millis, bool) {
	var first gypsumtide.Millis
	found := false
	for _, tasks := range q.tasks {
		if len(tasks) > 0 && (!found || tasks[0].deadline < first) {
			first, found = tasks[0].deadline, true
		}
	}
	return first, found
}
