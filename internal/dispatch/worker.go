package dispatch

import (
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// worker is the entry's view of a worker.
type worker struct {
	id WorkerID
	// hash is a hash of the agent's name.
	hash   uint64
	report wire.WorkerReport
	// otherBooked is the capacity used by other entries' runs, otherWaiting the size of
	// their queued orders by priority.
	otherBooked  gypsumtide.Size
	otherWaiting []queuedLoad
	// reportedSlowness and failureShare are averages reported by the agent.
	reportedSlowness float64
	failureShare     float64
	// loadReportedAt is the time of the last load report.
	loadReportedAt gypsumtide.Millis
	// connected is set while there is a session with the agent. The last one ended at
	// lostAt.
	connected bool
	lostAt    gypsumtide.Millis
	// ownRunning is the size of this entry's runs, ownWaiting that of its queued orders by
	// priority.
	ownRunning gypsumtide.Size
	ownWaiting []queuedLoad
	// incoming is the size of the tasks that are to move here once their present runs have
	// ended.
	incoming gypsumtide.Size
	// leavesAt is the time from which the worker may be gone, or 0 if it has not announced one.
	leavesAt gypsumtide.Millis
	// awaitedUntil is the time until which the agent may still have to hear from its worker.
	awaitedUntil gypsumtide.Millis
	// evacuated is set while the worker's availability zone is evacuated. startsBlocked is
	// set until its agent has unblocked starts as well.
	evacuated     bool
	startsBlocked bool
	// share is the part of the capacity that is used. It is below 1 during the slow start,
	// which began at slowStartAt.
	usedShare   float64
	slowStartAt gypsumtide.Millis
	// learned is the slowness learned from completed steps.
	learned learnedSlowness
	// slowness is the expected run time relative to an average worker. 1 is average.
	slowness float64
	// lastReportNumber is the number of the last processed run report.
	lastReportNumber uint64
	// lastSession is the highest number of a session of the agent.
	lastSession uint64
	// oddLogged is set once a report with values out of range has been logged.
	oddLogged bool
	// tasks holds the tasks with an order or a run at the worker.
	tasks map[gypsumtide.RunRef]*task
}

// usable reports whether the worker accepts orders.
func (w *worker) usable() bool { return w.connected && w.report.Accepting && !w.evacuated }

// queuedLoad is the size of the queued orders of one priority.
type queuedLoad struct {
	priority int
	size     gypsumtide.Size
}

func (l *queuedLoad) add(size gypsumtide.Size)    { l.size = l.size.Add(size) }
func (l *queuedLoad) remove(size gypsumtide.Size) { l.size = l.size.Sub(size) }

// ownQueue returns the load of this entry's queued orders of a priority.
func (w *worker) ownQueue(priority int) *queuedLoad {
	for i := range w.ownWaiting {
		if w.ownWaiting[i].priority == priority {
			return &w.ownWaiting[i]
		}
	}
	w.ownWaiting = append(w.ownWaiting, queuedLoad{priority: priority})
	return &w.ownWaiting[len(w.ownWaiting)-1]
}

// applyLoad updates the worker from an agent's load report. This entry's share is
// subtracted, since it is accounted separately.
func (w *worker) applyLoad(r *wire.LoadReport) {
	w.otherBooked = clampNegative(r.Booked.Size().Sub(r.FromPeer.Size()))
	w.otherWaiting = w.otherWaiting[:0]
	for _, l := range r.Waiting {
		w.otherWaiting = append(w.otherWaiting, queuedLoad{l.Priority, clampNegative(l.Size.Size().Sub(l.FromPeer.Size()))})
	}
	w.reportedSlowness = float64(r.Slowness)
	w.failureShare = float64(r.FailureShare)
	w.updateSlowness()
}

func clampNegative(s gypsumtide.Size) gypsumtide.Size {
	return gypsumtide.Size{Processors: max(0, s.Processors), Memory: max(0, s.Memory), Accelerators: max(0, s.Accelerators)}
}

// load returns the size of all runs, and of the queued orders of all entries that are at
// least as urgent as a task of the priority. A lower number is more urgent. This entry's
// own orders are not taken from the last report, which may be older than they are.
func (w *worker) load(priority int) gypsumtide.Size {
	load := w.otherBooked.Add(w.ownRunning).Add(w.incoming)
	for _, l := range w.otherWaiting {
		if l.priority <= priority {
			load = load.Add(l.size)
		}
	}
	for _, l := range w.ownWaiting {
		if l.priority <= priority {
			load = load.Add(l.size)
		}
	}
	return load
}

// suits reports whether the worker is able to run tasks of the step.
func (w *worker) suits(service string, step *gypsumtide.JobStep) bool {
	if w.report.Service != service || !step.Size.AtMost(w.report.Capacity) {
		return false
	}
	return step.Label == "" || slices.Contains(w.report.Labels, step.Label)
}

// hasRack reports whether the worker has the label of the rack.
func (w *worker) hasRack(rack string) bool { return slices.Contains(w.report.Labels, rack) }

// Parameters of the cost estimate.
const (
	// maxFailureShare keeps the expected number of attempts finite.
	maxFailureShare = 0.95
	// meanTurnover is the time in which a full worker completes the work it holds.
	meanTurnover gypsumtide.Millis = 250
	// loadCost is the additional cost of a fully loaded worker, in milliseconds. The cost
	// rises with the square of the load, because recent orders of other entries are missing
	// from the last report, and because the task delays others.
	loadCost = 100
	// zoneCost is the additional cost of a worker in another availability zone, in
	// milliseconds.
	zoneCost = 1
)

// waitBehind returns the expected time in milliseconds until a task of the size fits on the
// worker if the load goes before it.
func (w *worker) waitBehind(load, size gypsumtide.Size) float64 {
	return waitForRoom(w.report.Capacity, load, size)
}

// waitForRoom returns the expected time in milliseconds until a task of the size fits into
// the capacity if the load goes before it.
func waitForRoom(capacity, load, size gypsumtide.Size) float64 {
	return missingShare(capacity, load, size) * float64(meanTurnover)
}

// deficit returns the share of the worker's capacity that has to become free before a task
// of the size fits behind the load.
func (w *worker) deficit(load, size gypsumtide.Size) float64 {
	return missingShare(w.report.Capacity, load, size)
}

// missingShare returns the share of the capacity that has to become free before a task of the
// size fits behind the load.
func missingShare(capacity, load, size gypsumtide.Size) float64 {
	missing := load.Add(size).Sub(capacity)
	return max(
		ratio(missing.Processors, capacity.Processors),
		ratio(missing.Memory, capacity.Memory),
		ratio(missing.Accelerators, capacity.Accelerators),
	)
}

// ratio returns n/of, or 0 if either is not positive.
func ratio(n, of int64) float64 {
	if n <= 0 || of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// costEstimate holds the expected times of a task on a worker, and its cost, in milliseconds.
type costEstimate struct {
	wait float64
	// end is the time to the end, including the expected failed attempts.
	end  float64
	cost float64
}

// estimateCost returns the cost estimate for a task of the step on the worker.
func (w *worker) estimateCost(zone string, step *gypsumtide.JobStep, priority int, expected, remoteFactor float64) costEstimate {
	load := w.load(priority)
	run := expected * w.slowness
	if step.Rack != "" && !w.hasRack(step.Rack) {
		run *= remoteFactor
	}
	e := costEstimate{wait: w.waitBehind(load, step.Size)}
	e.end = (e.wait + run) / (1 - min(maxFailureShare, w.failureShare))
	if priority > 0 {
		// All queued tasks count, since the task keeps some of them from starting. Without
		// this, slow workers stay partly idle under overload.
		load = w.load(math.MaxInt)
	}
	e.cost = e.end + loadCost*square(ratio(load.Processors, w.report.Capacity.Processors))
	if w.report.Zone != zone {
		e.cost += zoneCost
	}
	return e
}

func square(x float64) float64 { return x * x }
