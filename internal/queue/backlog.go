package queue

import (
	"math/bits"

	"gypsumtide"
)

// BacklogReporter is implemented by the queues of New.
type BacklogReporter interface {
	// Backlog describes what waits for a new job of the team and class. It is
	// valid until the next call of the queue.
	Backlog(team string, class gypsumtide.Class, now gypsumtide.Millis) Backlog
	// Waiting returns the number of waiting tasks of the class.
	Waiting(class gypsumtide.Class) int
}

// Backlog describes the waiting tasks from the view of a new job of a team and
// class, for admission.
type Backlog struct {
	// Ranges holds the team's waiting tasks of the class by the size of their
	// jobs. A new job goes before the larger ones.
	Ranges []SizeRange
	// Share is the team's part of the pool while all teams with waiting tasks go on.
	Share float64
	// Total counts the waiting tasks of all teams in the class.
	Total int
}

// SizeRange describes jobs with about the same number of waiting tasks.
type SizeRange struct {
	// MinSize is the smallest number of waiting tasks in the range.
	MinSize int
	// Tasks counts the waiting tasks of the jobs.
	Tasks int
	// Deadline is the earliest of the jobs, 0 if there is none.
	Deadline gypsumtide.Millis
}

func (r *SizeRange) add(deadline gypsumtide.Millis) {
	if deadline > 0 && (r.Deadline == 0 || deadline < r.Deadline) {
		r.Deadline = deadline
	}
}

const (
	// sizeRanges holds sizes up to 65,535; larger ones share the last range.
	sizeRanges = 16 + 12*8
	// refreshEvery is the age at which the deadlines of the ranges are computed
	// again from all jobs, so that the cost does not fall on each submission.
	refreshEvery = gypsumtide.Millis(5)
)

// sizeRange returns the index of a size. Sizes below 16 have their own range,
// and there are 8 ranges to each power of two above.
func sizeRange(n int) int {
	e := max(0, bits.Len(uint(n))-4)
	return min(e<<3+n>>e, sizeRanges-1)
}

// sizeOf returns the smallest size of a range.
func sizeOf(i int) int {
	e := max(0, i>>3-1)
	return (i - e<<3) << e
}

// Waiting implements BacklogReporter.
func (q *fair) Waiting(class gypsumtide.Class) int { return q.classes[class].n }

// Backlog implements BacklogReporter.
func (q *fair) Backlog(team string, class gypsumtide.Class, now gypsumtide.Millis) Backlog {
	c := &q.classes[class]
	weight := q.weight(team)
	own, sum := q.flows[flowKey{team: team, class: class}], weight
	for _, f := range c.active {
		if f != own {
			sum += f.weight
		}
	}
	b := Backlog{Share: weight / sum, Total: c.n}
	if own != nil {
		own.refresh(now)
		b.Ranges = own.bySize[:]
	}
	return b
}

// refresh computes the deadlines of the ranges. In between, they are only
// lowered by new tasks.
func (f *flow) refresh(now gypsumtide.Millis) {
	if now-f.refreshed < refreshEvery {
		return
	}
	f.refreshed = now
	for i := range f.bySize {
		f.bySize[i].Deadline = 0
	}
	for _, j := range f.jobs {
		f.bySize[sizeRange(j.len())].add(j.tasks[j.head].Deadline())
	}
}

// Backlog implements BacklogReporter. All waiting tasks go before a new job.
func (q *fifo) Backlog(string, gypsumtide.Class, gypsumtide.Millis) Backlog {
	return Backlog{Ranges: []SizeRange{{Tasks: q.Len()}}, Share: 1, Total: q.Len()}
}

// Waiting implements BacklogReporter. The queue does not tell classes apart.
func (q *fifo) Waiting(gypsumtide.Class) int { return q.Len() }
