package queue

import (
	"container/heap"
	"container/list"
	"math"

	"gypsumtide"
)

// longEvery offers long work first after this many short tasks in a row, so
// that a steady excess of short work cannot starve it. The slots reserved for
// short work bound what long work gains by it.
const longEvery = 16

// oldestEvery serves the longest waiting job of a team and class after this
// many tasks, so that a steady stream of small jobs cannot starve a batch. In
// trials with a batch of 1,200 at 83% load it moved the 99th percentile of
// small jobs from 9 to 10 steps.
const oldestEvery = 16

// costGain is the weight of a new task in the mean cost of a team's tasks.
const costGain = 0.1

// fair is weighted fair queueing between teams within each class, with the
// short class before the long one. Within a team and class the job with the
// fewest waiting tasks goes first, and every so often the longest waiting one.
type fair struct {
	cost      Cost
	classes   [2]classQueue
	flows     map[flowKey]*flow
	weights   map[string]float64
	jobs      map[jobKey]*job
	deadlines deadlines
	n         int
	seq       uint64
	shortRun  int
	refused   []*flow
}

// classQueue holds the flows of a class that have waiting tasks.
type classQueue struct {
	active flowHeap
	// virtual is the largest start tag served so far.
	virtual float64
	// cost is the recent mean cost of the tasks pushed.
	cost float64
	n    int
}

// flow holds the waiting tasks of a team and class. Its start tag is the
// virtual time at which its next task begins to be served (start-time fair queueing).
type flow struct {
	class  *classQueue
	weight float64
	start  float64
	// cost is the recent mean cost of the tasks pushed.
	cost   float64
	seq    uint64
	jobs   jobHeap
	oldest *list.List
	served int
	n      int
	pos    int
	// bySize holds the waiting tasks by the size of their job.
	bySize    [sizeRanges]SizeRange
	refreshed gypsumtide.Millis
}

// first returns the job to serve next.
func (f *flow) first() *job {
	if f.served%oldestEvery == oldestEvery-1 {
		return f.oldest.Front().Value.(*job)
	}
	return f.jobs[0]
}

// resize counts a change of a job's waiting tasks.
func (f *flow) resize(from, to int) {
	f.bySize[sizeRange(from)].Tasks -= from
	f.bySize[sizeRange(to)].Tasks += to
	f.n += to - from
	f.class.n += to - from
}

// notLarger returns the waiting tasks of jobs with at most n waiting tasks, and
// of those larger ones that are in the same size range.
func (f *flow) notLarger(n int) int {
	sum := 0
	for i := range f.bySize[:sizeRange(n)+1] {
		sum += f.bySize[i].Tasks
	}
	return sum
}

type jobKey struct {
	id    gypsumtide.SubmissionID
	class gypsumtide.Class
}

// job holds the waiting tasks of a submission in one class.
type job struct {
	flow     *flow
	tasks    []*gypsumtide.Task
	head     int
	seq      uint64
	pos      int
	age      *list.Element
	deadline gypsumtide.Millis
}

func (j *job) len() int { return len(j.tasks) - j.head }

func newFair(cost Cost) *fair {
	return &fair{
		cost:    cost,
		flows:   map[flowKey]*flow{},
		weights: map[string]float64{},
		jobs:    map[jobKey]*job{},
	}
}

// Name implements gypsumtide.Queue.
func (q *fair) Name() string { return Fair }

// Len implements gypsumtide.Queue.
func (q *fair) Len() int { return q.n }

// SetWeight implements gypsumtide.Queue. A weight that is not positive and
// finite is replaced by 1.
func (q *fair) SetWeight(team string, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	q.weights[team] = weight
	for _, class := range []gypsumtide.Class{gypsumtide.ClassShort, gypsumtide.ClassLong} {
		if f := q.flows[flowKey{team: team, class: class}]; f != nil {
			f.weight = weight
		}
	}
}

func (q *fair) weight(team string) float64 {
	if w, ok := q.weights[team]; ok {
		return w
	}
	return 1
}

// Push implements gypsumtide.Queue.
func (q *fair) Push(t *gypsumtide.Task) {
	key := jobKey{id: t.Submission(), class: t.Class()}
	j := q.jobs[key]
	if j == nil {
		j = &job{flow: q.flow(t)}
		q.jobs[key] = j
	}
	if t.Deadline() > 0 && t.Deadline() != j.deadline {
		q.deadlines.compact(len(q.jobs), q.holds)
		q.deadlines.add(t.Submission(), t.Deadline())
		j.deadline = t.Deadline()
	}
	j.tasks = append(j.tasks, t)
	q.n++
	f := j.flow
	f.resize(j.len()-1, j.len())
	f.bySize[sizeRange(j.len())].add(t.Deadline())
	f.cost += costGain * (q.cost(t) - f.cost)
	f.class.cost += costGain * (q.cost(t) - f.class.cost)
	if j.len() == 1 {
		q.seq++
		j.seq = q.seq
		heap.Push(&f.jobs, j)
		j.age = f.oldest.PushBack(j)
	} else {
		heap.Fix(&f.jobs, j.pos)
	}
	if f.n == 1 {
		q.seq++
		f.seq = q.seq
		f.start = max(f.start, f.class.virtual)
		heap.Push(&f.class.active, f)
	}
}

func (q *fair) holds(id gypsumtide.SubmissionID) bool {
	return q.jobs[jobKey{id: id, class: gypsumtide.ClassShort}] != nil ||
		q.jobs[jobKey{id: id, class: gypsumtide.ClassLong}] != nil
}

func (q *fair) flow(t *gypsumtide.Task) *flow {
	f := q.flows[keyOf(t)]
	if f == nil {
		if c := &q.classes[t.Class()]; c.cost == 0 {
			c.cost = q.cost(t)
		}
		f = &flow{cost: q.cost(t), class: &q.classes[t.Class()], weight: q.weight(t.Team()), oldest: list.New()}
		for i := range f.bySize {
			f.bySize[i].MinSize = sizeOf(i)
		}
		q.flows[keyOf(t)] = f
	}
	return f
}

// Pop implements gypsumtide.Queue.
func (q *fair) Pop(_ gypsumtide.Millis, place func(t *gypsumtide.Task) bool) *gypsumtide.Task {
	short, long := &q.classes[gypsumtide.ClassShort], &q.classes[gypsumtide.ClassLong]
	if q.shortRun >= longEvery {
		if t := q.popClass(long, place); t != nil {
			q.shortRun = 0
			return t
		}
		return q.popClass(short, place)
	}
	if t := q.popClass(short, place); t != nil {
		if long.n > 0 {
			q.shortRun++
		}
		return t
	}
	t := q.popClass(long, place)
	if t != nil {
		q.shortRun = 0
	}
	return t
}

// popClass offers the first task of each flow in the order of start tags.
func (q *fair) popClass(c *classQueue, place func(t *gypsumtide.Task) bool) *gypsumtide.Task {
	var taken *gypsumtide.Task
	for len(c.active) > 0 && taken == nil {
		f := c.active[0]
		j := f.first()
		t := j.tasks[j.head]
		if place(t) {
			taken = t
			q.serve(f, j, t)
			break
		}
		heap.Pop(&c.active)
		q.refused = append(q.refused, f)
	}
	for _, f := range q.refused {
		heap.Push(&c.active, f)
	}
	clear(q.refused)
	q.refused = q.refused[:0]
	return taken
}

// serve takes the first task of the flow's first job and charges the flow.
func (q *fair) serve(f *flow, j *job, t *gypsumtide.Task) {
	f.class.virtual = max(f.class.virtual, f.start)
	f.start += q.cost(t) / f.weight
	f.served++
	j.tasks[j.head] = nil
	j.head++
	q.settle(j, jobKey{id: t.Submission(), class: t.Class()}, j.len()+1)
}

// settle restores the order after a job lost some of its tasks.
func (q *fair) settle(j *job, key jobKey, before int) {
	f := j.flow
	q.n -= before - j.len()
	f.resize(before, j.len())
	if j.len() == 0 {
		heap.Remove(&f.jobs, j.pos)
		f.oldest.Remove(j.age)
		delete(q.jobs, key)
	} else {
		heap.Fix(&f.jobs, j.pos)
	}
	if f.n == 0 {
		heap.Remove(&f.class.active, f.pos)
		return
	}
	heap.Fix(&f.class.active, f.pos)
}

// Remove implements gypsumtide.Queue.
func (q *fair) Remove(id gypsumtide.SubmissionID) []*gypsumtide.Task {
	return q.drop(id, func(*gypsumtide.Task) bool { return true })
}

// Expired implements gypsumtide.Queue.
func (q *fair) Expired(now gypsumtide.Millis) []*gypsumtide.Task {
	var expired []*gypsumtide.Task
	for id, ok := q.deadlines.expired(now); ok; id, ok = q.deadlines.expired(now) {
		expired = append(expired, q.drop(id, func(t *gypsumtide.Task) bool { return passed(t, now) })...)
	}
	return expired
}

// drop removes and returns the waiting tasks of a submission that match.
func (q *fair) drop(id gypsumtide.SubmissionID, match func(t *gypsumtide.Task) bool) []*gypsumtide.Task {
	var dropped []*gypsumtide.Task
	for _, class := range []gypsumtide.Class{gypsumtide.ClassShort, gypsumtide.ClassLong} {
		key := jobKey{id: id, class: class}
		j := q.jobs[key]
		if j == nil {
			continue
		}
		before := j.len()
		kept := j.tasks[:0]
		for _, t := range j.tasks[j.head:] {
			if match(t) {
				dropped = append(dropped, t)
			} else {
				kept = append(kept, t)
			}
		}
		clear(j.tasks[len(kept):])
		// The entry of the last deadline may have been used up.
		j.tasks, j.head, j.deadline = kept, 0, 0
		q.settle(j, key, before)
	}
	return dropped
}

// Ahead implements gypsumtide.Queue. It counts the tasks that leave before the
// only task of a new job, if every task can be placed.
func (q *fair) Ahead(team string, class gypsumtide.Class) int { return q.aheadOfJob(team, class, 1) }

// aheadOfJob returns how many waiting tasks leave before the last of n tasks of a new job.
func (q *fair) aheadOfJob(team string, class gypsumtide.Class, n int) int {
	c := &q.classes[class]
	own := q.flows[flowKey{team: team, class: class}]
	ahead, start, cost := 0, c.virtual, c.cost
	if own != nil {
		ahead = own.notLarger(n)
		ahead = min(own.n, ahead+(ahead+n)/oldestEvery)
		start, cost = max(start, own.start), own.cost
	}
	finish := start + float64(ahead+n-1)*cost/q.weight(team)
	for _, f := range c.active {
		if f == own || f.start > finish {
			continue
		}
		ahead += min(f.n, int((finish-f.start)*f.weight/f.cost)+1)
	}
	if class == gypsumtide.ClassLong {
		ahead += min(q.classes[gypsumtide.ClassShort].n, longEvery*(ahead+n)-q.shortRun)
	}
	return ahead
}

// flowHeap orders flows by start tag, then by the time at which they became active.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.pos = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}

// jobHeap orders jobs by waiting tasks, then by the time at which they began to wait.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].len() != h[j].len() {
		return h[i].len() < h[j].len()
	}
	return h[i].seq < h[j].seq
}
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.pos = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
