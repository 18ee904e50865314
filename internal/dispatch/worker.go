package dispatch

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// worker is what the entry believes about a worker.
type worker struct {
	id     WorkerID
	hash   uint64
	report wire.WorkerReport
	// others is the load of other entries: what is booked, and what waits by priority.
	others  gypsumtide.Size
	waiting []queuedLoad
	// reportedSlowness and failureShare are the agent's averages.
	reportedSlowness float64
	failureShare     float64
	// reported is the time of the last report.
	reported gypsumtide.Millis
	// connected is false between the end of a session and its successor.
	connected bool
	lostAt    gypsumtide.Millis
	// running is the size of this entry's runs, own of its orders that wait, by priority.
	running gypsumtide.Size
	own     []queuedLoad
	speed   speed
	// slowness is the expected run time relative to an average worker.
	slowness float64
	// reportsSeen is the number of the last run report taken.
	reportsSeen uint64
	// tasks are the tasks with a run at the worker.
	tasks map[gypsumtide.RunRef]*task
}

// usable reports whether the worker takes orders.
func (w *worker) usable() bool { return w.connected && w.report.Accepting }

// queuedLoad is the size of the orders of one priority that wait.
type queuedLoad struct {
	priority int
	size     gypsumtide.Size
}

func (l *queuedLoad) add(size gypsumtide.Size)    { l.size = l.size.Add(size) }
func (l *queuedLoad) remove(size gypsumtide.Size) { l.size = l.size.Sub(size) }

// queued returns this entry's waiting load of a priority.
func (w *worker) queued(priority int) *queuedLoad {
	for i := range w.own {
		if w.own[i].priority == priority {
			return &w.own[i]
		}
	}
	w.own = append(w.own, queuedLoad{priority: priority})
	return &w.own[len(w.own)-1]
}

// take replaces the load of the other entries.
func (w *worker) take(r *wire.LoadReport) {
	w.others = atLeastZero(r.Booked.Size().Sub(r.FromPeer.Size()))
	w.waiting = w.waiting[:0]
	for _, l := range r.Waiting {
		w.waiting = append(w.waiting, queuedLoad{l.Priority, atLeastZero(l.Size.Size().Sub(l.FromPeer.Size()))})
	}
	w.reportedSlowness = float64(r.Slowness)
	w.failureShare = float64(r.FailureShare)
	w.updateSlowness()
}

func atLeastZero(s gypsumtide.Size) gypsumtide.Size {
	return gypsumtide.Size{Processors: max(0, s.Processors), Memory: max(0, s.Memory), Accelerators: max(0, s.Accelerators)}
}

// load returns the size of what is booked or waits ahead of a task of the
// priority, all entries together. The report may be older than this entry's own
// orders, so these are counted here.
func (w *worker) load(priority int) gypsumtide.Size {
	load := w.others.Add(w.running)
	for _, l := range w.waiting {
		if l.priority <= priority {
			load = load.Add(l.size)
		}
	}
	for _, l := range w.own {
		if l.priority <= priority {
			load = load.Add(l.size)
		}
	}
	return load
}

// suits reports whether the worker may run tasks of the step.
func (w *worker) suits(service string, step *gypsumtide.JobStep) bool {
	if w.report.Service != service || !step.Size.AtMost(w.report.Capacity) {
		return false
	}
	return step.Label == "" || slices.Contains(w.report.Labels, step.Label)
}

// onRack reports whether the worker has the label of a rack.
func (w *worker) onRack(rack string) bool { return slices.Contains(w.report.Labels, rack) }

// Weights of the estimate.
const (
	// maxFailureShare keeps the expected number of tries finite.
	maxFailureShare = 0.95
	// meanRun is the time after which the work on a full worker has been replaced.
	meanRun gypsumtide.Millis = 250
	// loadWeight is what a fully used worker costs. The cost rises with the square
	// of the load, since a report is older than the orders of other entries.
	loadWeight = 80
	// zoneCost is the cost of a worker in another availability zone.
	zoneCost = 1
)

// wait returns the expected time until size fits on the worker.
func (w *worker) wait(size gypsumtide.Size, priority int) float64 {
	return w.waitBehind(w.load(priority), size)
}

func (w *worker) waitBehind(load, size gypsumtide.Size) float64 {
	capacity := w.report.Capacity
	deficit := load.Add(size).Sub(capacity)
	share := max(
		ratio(deficit.Processors, capacity.Processors),
		ratio(deficit.Memory, capacity.Memory),
		ratio(deficit.Accelerators, capacity.Accelerators),
	)
	return share * float64(meanRun)
}

func ratio(n, of int64) float64 {
	if n <= 0 || of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// estimate is the expected course of a task on a worker, in milliseconds.
type estimate struct {
	wait float64
	// end is the time to the end, with the tries that fail.
	end  float64
	cost float64
}

// estimate returns the expected course of a task of the step on the worker.
func (w *worker) estimate(zone string, step *gypsumtide.JobStep, priority int, expected, remoteFactor float64) estimate {
	load := w.load(priority)
	run := expected * w.slowness
	if step.Rack != "" && !w.onRack(step.Rack) {
		run *= remoteFactor
	}
	e := estimate{wait: w.waitBehind(load, step.Size)}
	e.end = (e.wait + run) / (1 - min(maxFailureShare, w.failureShare))
	e.cost = e.end + loadWeight*square(ratio(load.Processors, w.report.Capacity.Processors))
	if w.report.Zone != zone {
		e.cost += zoneCost
	}
	return e
}

func square(x float64) float64 { return x * x }
