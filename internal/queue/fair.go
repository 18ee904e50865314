package queue

import (
	"container/heap"
	"container/list"
	"math"

	"gypsumtide"
)

// maxConsecutiveShort is the number of short tasks served in a row after which a long
// task is offered for placement first, so that a steady excess of short tasks cannot
// starve long ones. Long tasks gain little by it, because some slots of each agent are
// reserved for short tasks.
const maxConsecutiveShort = 16

// oldestJobInterval is the interval, in served tasks of a team and class, at which a
// task is taken from the job that has waited longest, so that a steady stream of small
// jobs cannot starve a batch. One task in 16 delays the small jobs only slightly.
const oldestJobInterval = 16

// costSmoothing is the weight of a new task in the moving averages of the task cost,
// which aheadOfLastTask uses.
const costSmoothing = 0.1

// fair implements weighted fair queueing between teams within each class, with the
// short class before the long one. Within a team and class, the job with the fewest
// waiting tasks is served first, and at regular intervals the job that has waited
// longest.
type fair struct {
	cost      Cost
	classes   [2]classQueue
	flows     map[flowKey]*flow
	weights   map[string]float64
	jobs      map[jobKey]*job
	deadlines deadlineIndex
	waiting   int
	seq       uint64
	// consecutiveShort counts the short tasks served in a row while long tasks wait.
	consecutiveShort int
	// unplacedFlows is used by popClass and kept to avoid allocations.
	unplacedFlows []*flow
}

// classQueue holds the flows of a class that have waiting tasks.
type classQueue struct {
	active flowHeap
	// virtualTime is the largest start tag served so far.
	virtualTime float64
	// meanCost is a moving average of the cost of the tasks pushed.
	meanCost float64
	waiting  int
}

// flow holds the waiting tasks of a team and class. Its start tag is the
// virtual time at which its next task begins to be served (start-time fair queueing).
type flow struct {
	class    *classQueue
	weight   float64
	startTag float64
	// meanCost is a moving average of the cost of the tasks pushed.
	meanCost float64
	// seq increases with the time at which the flow became active.
	seq  uint64
	jobs jobHeap
	// jobsByAge lists the jobs in the order in which they began to wait.
	jobsByAge *list.List
	// served counts the tasks popped so far, waiting those in the queue.
	served    int
	waiting   int
	heapIndex int
	// bySize groups the waiting tasks by the size of their job.
	bySize [sizeRanges]SizeRange
	// refreshedAt is the time at which the deadlines in bySize were recomputed.
	refreshedAt gypsumtide.Millis
}

// nextJob returns the job whose first task is served next.
func (f *flow) nextJob() *job {
	if f.served%oldestJobInterval == oldestJobInterval-1 {
		return f.jobsByAge.Front().Value.(*job)
	}
	return f.jobs[0]
}

// updateSize updates the counters after a job's number of waiting tasks has changed.
func (f *flow) updateSize(before, after int) {
	f.bySize[sizeRangeIndex(before)].Tasks -= before
	f.bySize[sizeRangeIndex(after)].Tasks += after
	f.waiting += after - before
	f.class.waiting += after - before
}

// tasksUpToSize returns the number of waiting tasks of jobs that have at most n of
// them. Larger jobs in the size range of n are included.
func (f *flow) tasksUpToSize(n int) int {
	sum := 0
	for i := range f.bySize[:sizeRangeIndex(n)+1] {
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
	flow *flow
	// tasks holds the waiting tasks from the index firstTask on.
	tasks     []*gypsumtide.Task
	firstTask int
	// seq increases with the time at which the job began to wait.
	seq       uint64
	heapIndex int
	// ageElement is the job's element in the flow's list of jobs by age.
	ageElement *list.Element
	// lastDeadline is the deadline that the deadline index last received for the job.
	lastDeadline gypsumtide.Millis
}

func (j *job) len() int { return len(j.tasks) - j.firstTask }

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
func (q *fair) Len() int { return q.waiting }

// SetWeight implements gypsumtide.Queue. It replaces a weight that is not positive and
// finite by 1.
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
	if t.Deadline() > 0 && t.Deadline() != j.lastDeadline {
		q.deadlines.compact(len(q.jobs), q.hasWaiting)
		q.deadlines.add(t.Submission(), t.Deadline())
		j.lastDeadline = t.Deadline()
	}
	j.tasks = append(j.tasks, t)
	q.waiting++
	f := j.flow
	f.updateSize(j.len()-1, j.len())
	f.bySize[sizeRangeIndex(j.len())].addDeadline(t.Deadline())
	f.meanCost += costSmoothing * (q.cost(t) - f.meanCost)
	f.class.meanCost += costSmoothing * (q.cost(t) - f.class.meanCost)
	if j.len() == 1 {
		q.seq++
		j.seq = q.seq
		heap.Push(&f.jobs, j)
		j.ageElement = f.jobsByAge.PushBack(j)
	} else {
		heap.Fix(&f.jobs, j.heapIndex)
	}
	if f.waiting == 1 {
		q.seq++
		f.seq = q.seq
		f.startTag = max(f.startTag, f.class.virtualTime)
		heap.Push(&f.class.active, f)
	}
}

// hasWaiting reports whether a task of the submission waits.
func (q *fair) hasWaiting(id gypsumtide.SubmissionID) bool {
	return q.jobs[jobKey{id: id, class: gypsumtide.ClassShort}] != nil ||
		q.jobs[jobKey{id: id, class: gypsumtide.ClassLong}] != nil
}

// flow returns the flow of the task's team and class, which it creates if there is none.
func (q *fair) flow(t *gypsumtide.Task) *flow {
	f := q.flows[keyOf(t)]
	if f == nil {
		if c := &q.classes[t.Class()]; c.meanCost == 0 {
			c.meanCost = q.cost(t)
		}
		f = &flow{meanCost: q.cost(t), class: &q.classes[t.Class()], weight: q.weight(t.Team()), jobsByAge: list.New()}
		for i := range f.bySize {
			f.bySize[i].MinSize = minSizeOf(i)
		}
		q.flows[keyOf(t)] = f
	}
	return f
}

// Pop implements gypsumtide.Queue.
func (q *fair) Pop(_ gypsumtide.Millis, place func(t *gypsumtide.Task) bool) *gypsumtide.Task {
	short, long := &q.classes[gypsumtide.ClassShort], &q.classes[gypsumtide.ClassLong]
	if q.consecutiveShort >= maxConsecutiveShort {
		if t := q.popClass(long, place); t != nil {
			q.consecutiveShort = 0
			return t
		}
		return q.popClass(short, place)
	}
	if t := q.popClass(short, place); t != nil {
		if long.waiting > 0 {
			q.consecutiveShort++
		}
		return t
	}
	t := q.popClass(long, place)
	if t != nil {
		q.consecutiveShort = 0
	}
	return t
}

// popClass offers the next task of each flow in the order of start tags, and removes
// the first one that place accepts.
func (q *fair) popClass(c *classQueue, place func(t *gypsumtide.Task) bool) *gypsumtide.Task {
	var taken *gypsumtide.Task
	for len(c.active) > 0 && taken == nil {
		f := c.active[0]
		j := f.nextJob()
		t := j.tasks[j.firstTask]
		if place(t) {
			taken = t
			q.serve(f, j, t)
			break
		}
		heap.Pop(&c.active)
		q.unplacedFlows = append(q.unplacedFlows, f)
	}
	for _, f := range q.unplacedFlows {
		heap.Push(&c.active, f)
	}
	clear(q.unplacedFlows)
	q.unplacedFlows = q.unplacedFlows[:0]
	return taken
}

// serve removes t, the first task of the job, and charges its cost to the flow.
func (q *fair) serve(f *flow, j *job, t *gypsumtide.Task) {
	f.class.virtualTime = max(f.class.virtualTime, f.startTag)
	f.startTag += q.cost(t) / f.weight
	f.served++
	j.tasks[j.firstTask] = nil
	j.firstTask++
	q.restoreOrder(j, jobKey{id: t.Submission(), class: t.Class()}, j.len()+1)
}

// restoreOrder updates the heaps and counters after tasks of a job have been removed.
// before is the number of its waiting tasks before the removal.
func (q *fair) restoreOrder(j *job, key jobKey, before int) {
	f := j.flow
	q.waiting -= before - j.len()
	f.updateSize(before, j.len())
	if j.len() == 0 {
		heap.Remove(&f.jobs, j.heapIndex)
		f.jobsByAge.Remove(j.ageElement)
		delete(q.jobs, key)
	} else {
		heap.Fix(&f.jobs, j.heapIndex)
	}
	if f.waiting == 0 {
		heap.Remove(&f.class.active, f.heapIndex)
		return
	}
	heap.Fix(&f.class.active, f.heapIndex)
}

// Remove implements gypsumtide.Queue.
func (q *fair) Remove(id gypsumtide.SubmissionID) []*gypsumtide.Task {
	return q.removeMatching(id, func(*gypsumtide.Task) bool { return true })
}

// RemoveExpired implements gypsumtide.Queue.
func (q *fair) RemoveExpired(now gypsumtide.Millis) []*gypsumtide.Task {
	var expired []*gypsumtide.Task
	for id, ok := q.deadlines.popExpired(now); ok; id, ok = q.deadlines.popExpired(now) {
		expired = append(expired, q.removeMatching(id, func(t *gypsumtide.Task) bool { return deadlinePassed(t, now) })...)
	}
	return expired
}

// removeMatching removes and returns the waiting tasks of a submission that match.
func (q *fair) removeMatching(id gypsumtide.SubmissionID, match func(t *gypsumtide.Task) bool) []*gypsumtide.Task {
	var removed []*gypsumtide.Task
	for _, class := range []gypsumtide.Class{gypsumtide.ClassShort, gypsumtide.ClassLong} {
		key := jobKey{id: id, class: class}
		j := q.jobs[key]
		if j == nil {
			continue
		}
		before := j.len()
		kept := j.tasks[:0]
		for _, t := range j.tasks[j.firstTask:] {
			if match(t) {
				removed = append(removed, t)
			} else {
				kept = append(kept, t)
			}
		}
		clear(j.tasks[len(kept):])
		// The index entry of lastDeadline may have been removed already.
		j.tasks, j.firstTask, j.lastDeadline = kept, 0, 0
		q.restoreOrder(j, key, before)
	}
	return removed
}

// Ahead implements gypsumtide.Queue. It estimates how many tasks leave the queue before
// the only task of a new job, if every task can be placed.
func (q *fair) Ahead(team string, class gypsumtide.Class) int {
	return q.aheadOfLastTask(team, class, 1)
}

// aheadOfLastTask estimates how many waiting tasks leave the queue before the last of
// the n tasks of a new job.
func (q *fair) aheadOfLastTask(team string, class gypsumtide.Class, n int) int {
	c := &q.classes[class]
	ownFlow := q.flows[flowKey{team: team, class: class}]
	ahead, startTag, cost := 0, c.virtualTime, c.meanCost
	if ownFlow != nil {
		ahead = ownFlow.tasksUpToSize(n)
		ahead = min(ownFlow.waiting, ahead+(ahead+n)/oldestJobInterval)
		startTag, cost = max(startTag, ownFlow.startTag), ownFlow.meanCost
	}
	finishTag := startTag + float64(ahead+n-1)*cost/q.weight(team)
	for _, f := range c.active {
		if f == ownFlow || f.startTag > finishTag {
			continue
		}
		ahead += min(f.waiting, int((finishTag-f.startTag)*f.weight/f.meanCost)+1)
	}
	if class == gypsumtide.ClassLong {
		ahead += min(q.classes[gypsumtide.ClassShort].waiting, maxConsecutiveShort*(ahead+n)-q.consecutiveShort)
	}
	return ahead
}

// flowHeap orders flows by start tag, then by the time at which they became active.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].seq < h[j].seq
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
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
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
