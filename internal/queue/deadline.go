package queue

import (
	"container/heap"

	"gypsumtide"
)

// deadlineIndex finds the submissions with expired tasks. The tasks of a job usually
// have the same deadline, so the index has one entry for each submission and
// deadline instead of one for each task. Entries of tasks that have left the queue
// remain until their deadline or until compact removes them.
type deadlineIndex struct {
	entries deadlineHeap
}

type deadlineEntry struct {
	deadline gypsumtide.Millis
	id       gypsumtide.SubmissionID
}

// minCompactSize is the number of entries below which the heap is not compacted, since
// small heaps would be compacted often.
const minCompactSize = 1024

// add adds an entry for the tasks of a submission with the given deadline.
func (d *deadlineIndex) add(id gypsumtide.SubmissionID, deadline gypsumtide.Millis) {
	d.entries = append(d.entries, deadlineEntry{deadline: deadline, id: id})
	// heap.Fix instead of heap.Push avoids the allocation of an interface value.
	heap.Fix(&d.entries, len(d.entries)-1)
}

// popExpired removes an entry whose deadline has passed and returns its submission. It
// returns false if there is none.
func (d *deadlineIndex) popExpired(now gypsumtide.Millis) (gypsumtide.SubmissionID, bool) {
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

// compact removes the entries of submissions that no longer wait, if the index has at
// least minCompactSize entries and twice as many as there are waiting submissions. This
// bounds the memory of the index by the number of waiting submissions.
func (d *deadlineIndex) compact(waiting int, isWaiting func(id gypsumtide.SubmissionID) bool) {
	if len(d.entries) < minCompactSize || len(d.entries) < 2*waiting {
		return
	}
	kept := d.entries[:0]
	for _, e := range d.entries {
		if isWaiting(e.id) {
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

// Push implements heap.Interface; add uses heap.Fix instead.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadlineEntry)) }

// Pop implements heap.Interface; popExpired uses heap.Fix instead.
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
