package agent

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/upstream"
	"gypsumtide/internal/wire"
)

// item is a task that the agent holds.
type item struct {
	dispatch wire.Dispatch
	// deadline is on the agent's monotonic clock.
	deadline gypsumtide.Millis
	received gypsumtide.Millis
	// link is the session of the home that asked last.
	link uint64
	slot *upstream.Slot
	// stopped means that a stop was sent to the upstream.
	stopped bool
}

// localQueue holds the accepted tasks that wait for a slot. Short tasks go
// before long ones, and within a class the earliest deadline goes first.
type localQueue struct {
	length int
	items  [2][]*item
}

func newLocalQueue(length int) *localQueue { return &localQueue{length: length} }

func (q *localQueue) len() int {
	return len(q.items[gypsumtide.ClassShort]) + len(q.items[gypsumtide.ClassLong])
}

func (q *localQueue) full() bool { return q.len() >= q.length }

func classOf(d *wire.Dispatch) gypsumtide.Class {
	if d.Class == gypsumtide.ClassLong {
		return gypsumtide.ClassLong
	}
	return gypsumtide.ClassShort
}

func (q *localQueue) push(it *item) {
	c := classOf(&it.dispatch)
	i, _ := slices.BinarySearchFunc(q.items[c], it.deadline, func(e *item, d gypsumtide.Millis) int {
		// Equal deadlines keep the order of arrival.
		if e.deadline <= d {
			return -1
		}
		return 1
	})
	q.items[c] = slices.Insert(q.items[c], i, it)
}

// take calls try for each item in order and removes those for which it returns true.
func (q *localQueue) take(try func(it *item) bool) {
	for c := range q.items {
		q.items[c] = slices.DeleteFunc(q.items[c], try)
	}
}

// remove drops the item of a task, if it is queued.
func (q *localQueue) remove(key taskKey) *item {
	for c, items := range q.items {
		i := slices.IndexFunc(items, func(it *item) bool { return keyOf(it.dispatch.TaskRef) == key })
		if i >= 0 {
			it := items[i]
			q.items[c] = slices.Delete(items, i, i+1)
			return it
		}
	}
	return nil
}

// nextDeadline returns the earliest deadline of a queued task.
func (q *localQueue) nextDeadline() (gypsumtide.Millis, bool) {
	var first gypsumtide.Millis
	found := false
	for _, items := range q.items {
		if len(items) > 0 && (!found || items[0].deadline < first) {
			first, found = items[0].deadline, true
		}
	}
	return first, found
}
