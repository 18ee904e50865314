package submission

import (
	"container/heap"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

const (
	// idOverhead is the memory of an id without its answer, in bytes: map slot, record,
	// and elements of byTimestamp and byEnd. BenchmarkTableBytes reports 130 to 139,
	// depending on how full the map is.
	idOverhead = 140
	// answerOverhead is the memory of an answer without results, in bytes: the difference
	// between the two figures that BenchmarkTableBytes reports.
	answerOverhead = 80
)

// Table stores finished submissions. It is not safe for concurrent use.
//
// Ids are discarded in the order of their timestamps. An id that Find does not find may
// have been discarded if its timestamp is at or below Floor. It must then be treated as
// expired, so that its job never runs again.
type Table struct {
	answerRetention gypsumtide.Millis
	maxBytes        int64
	records         map[gypsumtide.SubmissionID]*storedRecord
	byTimestamp     timestampHeap
	// byEnd holds the submissions that may have an answer, in the order in which they ended.
	byEnd []endedSubmission
	bytes int64
	// floor is the highest timestamp of the discarded ids.
	floor gypsumtide.Millis
}

// storedRecord is a Record with size, the memory of its answer in bytes.
type storedRecord struct {
	digest  uint64
	outcome gypsumtide.Outcome
	answer  *wire.Answer
	size    int64
}

// endedSubmission is an id with the time at which its submission ended.
type endedSubmission struct {
	id      gypsumtide.SubmissionID
	endedAt gypsumtide.Millis
}

// NewTable returns an empty table that keeps answers for answerRetention and
// uses about maxBytes of memory.
func NewTable(answerRetention gypsumtide.Millis, maxBytes int64) *Table {
	return &Table{answerRetention: answerRetention, maxBytes: maxBytes, records: make(map[gypsumtide.SubmissionID]*storedRecord)}
}

// Record describes a finished submission.
type Record struct {
	digest  uint64
	outcome gypsumtide.Outcome
	answer  *wire.Answer
}

// Digest returns the hash of the submitted job.
func (r Record) Digest() uint64 { return r.digest }

// Outcome returns how the submission ended.
func (r Record) Outcome() gypsumtide.Outcome { return r.outcome }

// Answer returns the recorded answer, or nil if it was discarded.
func (r Record) Answer() *wire.Answer { return r.answer }

// Find returns the record of an id.
func (t *Table) Find(id gypsumtide.SubmissionID) (Record, bool) {
	r, ok := t.records[id]
	if !ok {
		return Record{}, false
	}
	return Record{digest: r.digest, outcome: r.outcome, answer: r.answer}, true
}

// Each calls fn for every stored id, in no particular order.
func (t *Table) Each(fn func(id gypsumtide.SubmissionID)) {
	for id := range t.records {
		fn(id)
	}
}

// Floor returns the highest timestamp of the discarded ids, 0 if there is none.
func (t *Table) Floor() gypsumtide.Millis { return t.floor }

// Len returns the number of stored ids.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the estimated memory in use.
func (t *Table) Bytes() int64 { return t.bytes }

// Add stores a submission that ended at the monotonic time now. It ignores an id
// that is already stored.
func (t *Table) Add(id gypsumtide.SubmissionID, digest uint64, answer *wire.Answer, now gypsumtide.Millis) {
	if _, ok := t.records[id]; ok {
		return
	}
	r := &storedRecord{digest: digest, outcome: answer.Outcome, answer: answer, size: answerBytes(answer)}
	if r.size > t.maxBytes {
		// Keeping the answer would evict all other answers and then ids, which would
		// raise the floor and make new submissions count as expired.
		r.size, r.answer = 0, nil
	}
	t.records[id] = r
	t.bytes += r.size + idOverhead
	heap.Push(&t.byTimestamp, id)
	t.byEnd = append(t.byEnd, endedSubmission{id: id, endedAt: now})
	t.shrink()
}

// Expire discards the answers of submissions that ended before now-answerRetention,
// and ids with timestamps before oldest.
func (t *Table) Expire(now, oldest gypsumtide.Millis) {
	for len(t.byEnd) > 0 && t.byEnd[0].endedAt < now-t.answerRetention {
		t.discardAnswer()
	}
	for len(t.byTimestamp) > 0 && t.byTimestamp[0].Timestamp() < oldest {
		t.discardID()
	}
}

// shrink discards the oldest answers, then the ids with the oldest timestamps, until the
// table is within its memory bound. The last remaining id stays in any case.
func (t *Table) shrink() {
	for t.bytes > t.maxBytes && len(t.byEnd) > 0 {
		t.discardAnswer()
	}
	for t.bytes > t.maxBytes && len(t.byTimestamp) > 1 {
		t.discardID()
	}
}

// discardAnswer discards the answer of the submission that ended first. The id may have
// been discarded before.
func (t *Table) discardAnswer() {
	r := t.records[t.byEnd[0].id]
	t.byEnd[0] = endedSubmission{}
	t.byEnd = t.byEnd[1:]
	if r == nil {
		return
	}
	t.bytes -= r.size
	r.size, r.answer = 0, nil
}

// discardID discards the id with the oldest timestamp and raises the floor to it.
func (t *Table) discardID() {
	id := heap.Pop(&t.byTimestamp).(gypsumtide.SubmissionID)
	t.floor = max(t.floor, id.Timestamp())
	t.bytes -= t.records[id].size + idOverhead
	delete(t.records, id)
}

// answerBytes returns the estimated memory of an answer.
func answerBytes(a *wire.Answer) int64 {
	// resultOverhead is the memory of a result without its body, in bytes.
	const resultOverhead = 112
	n := answerOverhead + int64(len(a.Results))*resultOverhead
	for i := range a.Results {
		n += int64(len(a.Results[i].Body))
	}
	return n
}

// timestampHeap holds ids with the oldest timestamp first.
type timestampHeap []gypsumtide.SubmissionID

func (h timestampHeap) Len() int           { return len(h) }
func (h timestampHeap) Less(i, j int) bool { return h[i].Timestamp() < h[j].Timestamp() }
func (h timestampHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timestampHeap) Push(x any) { *h = append(*h, x.(gypsumtide.SubmissionID)) }

// Pop implements heap.Interface.
func (h *timestampHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
