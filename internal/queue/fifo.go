package queue

import (
	"container/list"

	"gypsumtide"
)

// flowKey identifies the tasks of a team and class.
type flowKey struct {
	team  string
	class gypsumtide.Class
}

func keyOf(t *gypsumtide.Task) flowKey { return flowKey{team: t.Team(), class: t.Class()} }

// fifo is a baseline for comparison: tasks leave in the order of arrival, whatever
// their team and class. Pop skips the tasks of a team and class after the first of them
// cannot be placed, and takes time linear in the number of skipped tasks.
type fifo struct {
	tasks        *list.List
	jobs         map[gypsumtide.SubmissionID][]*list.Element
	waitingByKey map[flowKey]int
	deadlines    deadlineIndex
	// unplacedKeys is used by Pop and kept to avoid allocations.
	unplacedKeys map[flowKey]bool
}

func newFIFO() *fifo {
	return &fifo{
		tasks:        list.New(),
		jobs:         map[gypsumtide.SubmissionID][]*list.Element{},
		waitingByKey: map[flowKey]int{},
		unplacedKeys: map[flowKey]bool{},
	}
}

// Name implements gypsumtide.Queue.
func (q *fifo) Name() string { return FIFO }

// Len implements gypsumtide.Queue.
func (q *fifo) Len() int { return q.tasks.Len() }

// SetWeight implements gypsumtide.Queue. The order of arrival ignores weights.
func (q *fifo) SetWeight(string, float64) {}

// Ahead implements gypsumtide.Queue.
func (q *fifo) Ahead(string, gypsumtide.Class) int { return q.tasks.Len() }

// Push implements gypsumtide.Queue.
func (q *fifo) Push(t *gypsumtide.Task) {
	id := t.Submission()
	waiting := q.jobs[id]
	if t.Deadline() > 0 && (len(waiting) == 0 || taskOf(waiting[len(waiting)-1]).Deadline() != t.Deadline()) {
		q.deadlines.compact(len(q.jobs), func(id gypsumtide.SubmissionID) bool { return q.jobs[id] != nil })
		q.deadlines.add(id, t.Deadline())
	}
	q.jobs[id] = append(waiting, q.tasks.PushBack(t))
	q.waitingByKey[keyOf(t)]++
}

func taskOf(e *list.Element) *gypsumtide.Task { return e.Value.(*gypsumtide.Task) }

// Pop implements gypsumtide.Queue.
func (q *fifo) Pop(_ gypsumtide.Millis, place func(t *gypsumtide.Task) bool) *gypsumtide.Task {
	clear(q.unplacedKeys)
	for e := q.tasks.Front(); e != nil && len(q.unplacedKeys) < len(q.waitingByKey); e = e.Next() {
		t := taskOf(e)
		if q.unplacedKeys[keyOf(t)] {
			continue
		}
		if place(t) {
			q.removeMatching(t.Submission(), func(other *list.Element) bool { return other == e })
			return t
		}
		q.unplacedKeys[keyOf(t)] = true
	}
	return nil
}

// Remove implements gypsumtide.Queue.
func (q *fifo) Remove(id gypsumtide.SubmissionID) []*gypsumtide.Task {
	return q.removeMatching(id, func(*list.Element) bool { return true })
}

// RemoveExpired implements gypsumtide.Queue.
func (q *fifo) RemoveExpired(now gypsumtide.Millis) []*gypsumtide.Task {
	var expired []*gypsumtide.Task
	for id, ok := q.deadlines.popExpired(now); ok; id, ok = q.deadlines.popExpired(now) {
		expired = append(expired, q.removeMatching(id, func(e *list.Element) bool { return deadlinePassed(taskOf(e), now) })...)
	}
	return expired
}

// deadlinePassed reports whether a task's deadline has passed.
func deadlinePassed(t *gypsumtide.Task, now gypsumtide.Millis) bool {
	return t.Deadline() > 0 && t.Deadline() <= now
}

// removeMatching removes and returns the waiting tasks of a submission that match.
func (q *fifo) removeMatching(id gypsumtide.SubmissionID, match func(e *list.Element) bool) []*gypsumtide.Task {
	var removed []*gypsumtide.Task
	waiting := q.jobs[id]
	kept := waiting[:0]
	for _, e := range waiting {
		if !match(e) {
			kept = append(kept, e)
			continue
		}
		t := taskOf(e)
		q.tasks.Remove(e)
		if q.waitingByKey[keyOf(t)]--; q.waitingByKey[keyOf(t)] == 0 {
			delete(q.waitingByKey, keyOf(t))
		}
		removed = append(removed, t)
	}
	clear(waiting[len(kept):])
	if len(kept) == 0 {
		delete(q.jobs, id)
	} else {
		q.jobs[id] = kept
	}
	return removed
}
