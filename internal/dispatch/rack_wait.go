package dispatch

import (
	"cmp"
	"slices"

	"gypsumtide"
)

// This file estimates how long a task waits for capacity on a full worker.

// runTimeWeight is the weight of a new run in meanRunTime.
const runTimeWeight = 0.02

// meanRunTime is a moving average of run times, weighted by the processors of the runs. At
// any time, the processors in use become free at the rate of their number divided by it.
type meanRunTime struct{ work, processors float64 }

// newMeanRunTime returns a mean of meanTurnover, with the weight of a run of one core.
func newMeanRunTime() meanRunTime {
	return meanRunTime{work: 1000 * float64(meanTurnover), processors: 1000}
}

func (m *meanRunTime) observe(runTime gypsumtide.Millis, size gypsumtide.Size) {
	processors := float64(size.Processors)
	if runTime <= 0 || processors <= 0 {
		return
	}
	m.work += runTimeWeight * (float64(runTime)*processors - m.work)
	m.processors += runTimeWeight * (processors - m.processors)
}

func (m *meanRunTime) millis() float64 { return max(1, m.work/m.processors) }

// delay adds a further wait on the worker.
func (e *costEstimate) delay(w *worker, wait float64) {
	longer := wait / (1 - min(maxFailureShare, w.failureShare))
	e.wait += wait
	e.end += longer
	e.cost += longer
}

// withCorrectedWait returns the candidate with the wait that is expected from the runs on its
// worker. During a slow start the wait is not lower than that for the used share.
func (s *State) withCorrectedWait(now gypsumtide.Millis, t *task, x candidate) candidate {
	if x.estimate.wait > 0 {
		wait := s.correctedWait(now, t, x.worker)
		if x.worker.usedShare < 1 {
			wait = max(wait, x.estimate.wait)
		}
		x.estimate.delay(x.worker, wait-x.estimate.wait)
	}
	return x
}

// runEnd is the expected end of a run, and the share of its worker's processors that it
// frees.
type runEnd struct{ remaining, share float64 }

// correctedWait returns the time in milliseconds until a task is expected to start on a worker.
func (s *State) correctedWait(now gypsumtide.Millis, t *task, w *worker) float64 {
	return s.freeAfter(now, t, w) * s.locality.waits.correction(t.job.route.Priority)
}

// freeAfter returns the time in milliseconds until a task is expected to fit on a worker if
// no more urgent tasks arrive. This entry's runs there end when they are expected to, those of
// other entries at the rate that follows from the mean run time.
func (s *State) freeAfter(now gypsumtide.Millis, t *task, w *worker) float64 {
	needed := w.deficit(w.load(t.job.route.Priority).Sub(w.queuedFrom(t)), t.size())
	if needed == 0 {
		return 0
	}
	capacity := w.report.Capacity.Processors
	ends := make([]runEnd, 0, 16)
	for _, o := range w.tasks {
		if o.phase == taskOrdered || o.phase == taskRunning {
			ends = append(ends, runEnd{s.remaining(now, o, w), ratio(o.size().Processors, capacity)})
		}
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.remaining, b.remaining) })
	turnover := s.locality.runTimes.millis()
	rate := ratio(w.otherBooked.Processors, capacity) / turnover
	freed, at := 0.0, 0.0
	for _, e := range ends {
		if until := freed + rate*(e.remaining-at); until >= needed {
			return at + (needed-freed)/rate
		}
		freed += rate*(e.remaining-at) + e.share
		at = e.remaining
		if freed >= needed {
			return at
		}
	}
	return at + (needed-freed)*turnover
}

// Parameters of the correction of expected waits.
const (
	// waitWeight is the weight of a new wait in the moving average.
	waitWeight = 0.02
	// maxWaitCorrection bounds the correction.
	maxWaitCorrection = 8
)

// waitCorrections corrects the expected waits by those that orders really had, by priority.
// More urgent tasks that arrive later go first, so tasks of low priority wait several times
// as long as the runs on the worker would take.
type waitCorrections map[int]*struct{ expected, actual float64 }

// observe notes a wait. One that has ended without a start adds only to the actual waits, as
// in the estimate of a mean from censored observations.
func (c waitCorrections) observe(priority int, expected, actual float64, started bool) {
	sum, ok := c[priority]
	if !ok {
		sum = &struct{ expected, actual float64 }{expected, expected}
		c[priority] = sum
	}
	sum.actual += waitWeight * (actual - sum.actual)
	if !started {
		expected = 0
	}
	sum.expected += waitWeight * (expected - sum.expected)
}

func (c waitCorrections) correction(priority int) float64 {
	sum, ok := c[priority]
	if !ok || sum.expected <= 0 {
		return 1
	}
	return min(maxWaitCorrection, max(1, sum.actual/sum.expected))
}

// expectWait notes the wait, without correction, that is expected for a new order.
func (s *State) expectWait(now gypsumtide.Millis, t *task, w *worker) {
	t.wait.expected = 0
	if w.waitBehind(w.load(t.job.route.Priority), t.size()) > 0 {
		t.wait.expected = s.freeAfter(now, t, w)
	}
}

// observeWait notes that an order has started, or that it was returned unstarted.
func (s *State) observeWait(now gypsumtide.Millis, t *task, started bool) {
	actual := float64(now - t.orderedAt)
	if t.wait.expected > 0 {
		s.locality.waits.observe(t.job.route.Priority, t.wait.expected, actual, started)
	}
	t.wait.expected = 0
}

// queuedFrom returns the size of this entry's orders in the worker's queue from that of the
// task on. It is zero if the task is not queued there.
func (w *worker) queuedFrom(t *task) gypsumtide.Size {
	var size gypsumtide.Size
	if t.phase != taskQueued || t.worker != w.id {
		return size
	}
	for _, o := range w.tasks {
		if o.phase == taskQueued && o.job.route.Priority <= t.job.route.Priority && o.orderedAt >= t.orderedAt {
			size = size.Add(o.size())
		}
	}
	return size
}

// overdueShare is the share of its expected run time after which a run that has exceeded it
// is expected to end. Estimates are off by up to 40%.
const overdueShare = 0.25

// remaining returns the time in milliseconds until a run on the worker is expected to end.
func (s *State) remaining(now gypsumtide.Millis, t *task, w *worker) float64 {
	if t.projectedEnd > now {
		return float64(t.projectedEnd - now)
	}
	run := s.runTimeFrom(t.resumedFrom, float64(s.expected(t.job, t.step)), w.slowness*s.placeFactor(t, w))
	return max(run-float64(now-max(t.orderedAt, t.startedAt)), overdueShare*run)
}

// waitingAhead returns the size of the tasks that wait at this entry for the rack and go
// before the task.
func (s *State) waitingAhead(t *task, key rackKey) gypsumtide.Size {
	if t.wait.tick == s.locality.tick {
		return t.wait.ahead
	}
	var size gypsumtide.Size
	for _, l := range s.locality.waiting[key] {
		if l.priority <= t.job.route.Priority {
			size = size.Add(l.size)
		}
	}
	return size
}

// waitBehindWaiting returns the additional wait in milliseconds because of the tasks that
// wait at the entries for the rack and go first. Those of other entries are not known: they
// are taken to be to this entry's as the whole load of the rack is to this entry's part.
func (s *State) waitBehindWaiting(t *task, key rackKey) float64 {
	ahead := s.waitingAhead(t, key).Processors
	if ahead == 0 {
		return 0
	}
	var capacity, total int64
	own := ahead
	for _, w := range s.rackWorkers(key) {
		if !w.usable() {
			continue
		}
		capacity += w.report.Capacity.Processors
		total += w.load(t.job.route.Priority).Processors
		own += w.ownRunning.Processors
		for _, l := range w.ownWaiting {
			own += l.size.Processors
		}
	}
	return ratio(ahead, capacity) * ratio(total+ahead, own) * s.locality.runTimes.millis()
}
