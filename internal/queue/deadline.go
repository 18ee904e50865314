package queue

import (
	"container/heap"

	"gypsumtide"
)

// deadlines finds the submissions with expired tasks. The tasks of a job
// usually share a deadline, so there is one entry for each submission and
// deadline and not one for each task. Entries of tasks that have left the
// queue stay until their deadline or until compact drops them.
type deadlines struct {
	entries deadlineHeap
}

type deadlineEntry struct {
	deadline gypsumtide.Millis
	id       gypsumtide.SubmissionID
}

// minCompact keeps small heaps from being compacted often.
const minCompact = 1024

func (d *deadlines) add(id gypsumtide.SubmissionID, deadline gypsumtide.Millis) {
	d.entries = append(d.entries, deadlineEntry{deadline: deadline, id: id})
	// Fix instead of Push avoids the allocation of an interface value.
	heap.Fix(&d.entries, len(d.entries)-1)
}

// expired removes one entry whose deadline has passed.
func (d *deadlines) expired(now gypsumtide.Millis) (gypsumtide.SubmissionID, bool) {
	if len(d.entries) == 0 || d.entries[0].deadline > now {
		return gypsumtide.SubmissionID{}, false
	}
	id := d.entries[0].id
	last := len(d.entries) - 1
	d.entries[0] = d.entries[last]
	d.entries = d.entries[:last]
	if last > 0 {
		heap.Fix(&d.entries, 0)
	}
	return id, true
}

// compact drops the entries of submissions that are gone once they are the
// larger part, so that the memory follows the number of waiting submissions.
func (d *deadlines) compact(waiting int, alive func(id gypsumtide.SubmissionID) bool) {
	if len(d.entries) < minCompact || len(d.entries) < 2*waiting {
		return
	}
	kept := d.entries[:0]
	for _, e := range d.entries {
		if alive(e.id) {
			kept = append(kept, e)
		}
	}
	d.entries = kept
	heap.Init(&d.entries)
}

type deadlineHeap []deadlineEntry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface and is not used.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadlineEntry)) }

// Pop implements heap.Interface and is not used.
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
