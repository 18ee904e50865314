package queue

import (
	"math/bits"

	"gypsumtide"
)

// BacklogReporter is implemented by the queues that New returns.
type BacklogReporter interface {
	// Backlog describes the waiting tasks that compete with a new job of the team and
	// class. In a FIFO queue, these are all waiting tasks. The result is valid until the
	// next call of a method of the queue.
	Backlog(team string, class gypsumtide.Class, now gypsumtide.Millis) Backlog
	// Waiting returns the number of waiting tasks of the class, or of both classes in a
	// FIFO queue.
	Waiting(class gypsumtide.Class) int
}

// Backlog describes the waiting tasks that compete with a new job of a team and
// class. Admission uses it to predict the wait of the job.
type Backlog struct {
	// Ranges holds the team's waiting tasks of the class, grouped by the size of
	// their jobs, smallest first. A new job is served before larger ones, except for
	// single tasks of the job that has waited longest.
	Ranges []SizeRange
	// Share is the fraction of the class's service rate that the team gets as long as
	// every team that now has waiting tasks in the class keeps having some.
	Share float64
	// Total counts the waiting tasks of all teams in the class.
	Total int
}

// SizeRange describes the jobs whose number of waiting tasks is in a range.
type SizeRange struct {
	// MinSize is the smallest number of waiting tasks in the range.
	MinSize int
	// Tasks counts the waiting tasks of these jobs together.
	Tasks int
	// Deadline is the earliest deadline of these jobs, 0 if there is none. It may be up to
	// refreshInterval old.
	Deadline gypsumtide.Millis
}

// addDeadline lowers the earliest deadline of the range to that of another task. A
// deadline of 0 means none.
func (r *SizeRange) addDeadline(deadline gypsumtide.Millis) {
	if deadline > 0 && (r.Deadline == 0 || deadline < r.Deadline) {
		r.Deadline = deadline
	}
}

const (
	// sizeRanges is the number of ranges for sizes up to 65,535; larger sizes share
	// the last range.
	sizeRanges = 16 + 12*8
	// refreshInterval is the age at which the deadlines of the ranges are recomputed
	// from all jobs. Recomputing them for each submission would cost too much. Until
	// then, the deadline of a job that now has fewer waiting tasks still counts in the
	// range of its former size.
	refreshInterval = gypsumtide.Millis(5)
)

// sizeRangeIndex returns the index of the range of a size. Each size below 16 has its
// own range, and above that each power of two is divided into 8 ranges.
func sizeRangeIndex(size int) int {
	exponent := max(0, bits.Len(uint(size))-4)
	return min(exponent<<3+size>>exponent, sizeRanges-1)
}

// minSizeOf returns the smallest size in the range of the given index.
func minSizeOf(i int) int {
	exponent := max(0, i>>3-1)
	return (i - exponent<<3) << exponent
}

// Waiting implements BacklogReporter.
func (q *fair) Waiting(class gypsumtide.Class) int { return q.classes[class].waiting }

// Backlog implements BacklogReporter.
func (q *fair) Backlog(team string, class gypsumtide.Class, now gypsumtide.Millis) Backlog {
	c := &q.classes[class]
	weight := q.weight(team)
	ownFlow, totalWeight := q.flows[flowKey{team: team, class: class}], weight
	for _, f := range c.active {
		if f != ownFlow {
			totalWeight += f.weight
		}
	}
	b := Backlog{Share: weight / totalWeight, Total: c.waiting}
	if ownFlow != nil {
		ownFlow.refreshDeadlines(now)
		b.Ranges = ownFlow.bySize[:]
	}
	return b
}

// refreshDeadlines recomputes the deadlines of the ranges if they are at least
// refreshInterval old. It reads only the first waiting task of each job, since the tasks
// of a job usually have the same deadline.
func (f *flow) refreshDeadlines(now gypsumtide.Millis) {
	if now-f.refreshedAt < refreshInterval {
		return
	}
	f.refreshedAt = now
	for i := range f.bySize {
		f.bySize[i].Deadline = 0
	}
	for _, j := range f.jobs {
		f.bySize[sizeRangeIndex(j.len())].addDeadline(j.tasks[j.firstTask].Deadline())
	}
}

// Backlog implements BacklogReporter. All waiting tasks are served before a new
// job, so they form one range that begins at size 0.
func (q *fifo) Backlog(string, gypsumtide.Class, gypsumtide.Millis) Backlog {
	return Backlog{Ranges: []SizeRange{{Tasks: q.Len()}}, Share: 1, Total: q.Len()}
}

// Waiting implements BacklogReporter. The queue does not distinguish classes.
func (q *fifo) Waiting(gypsumtide.Class) int { return q.Len() }
