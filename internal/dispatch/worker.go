package dispatch

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// worker is what the entry believes about a worker.
type worker struct {
	id     WorkerID
	report wire.WorkerReport
	// reported is the time of the last report.
	reported gypsumtide.Millis
	// connected is false between the end of a session and its successor.
	connected bool
	lostAt    gypsumtide.Millis
	// running is the size of this entry's started runs, ordered of those that may
	// wait, by priority.
	running gypsumtide.Size
	ordered map[int]gypsumtide.Size
	speed   speed
	// reportsSeen is the number of the last run report taken.
	reportsSeen uint64
	// tasks are the tasks with a run at the worker.
	tasks map[gypsumtide.RunRef]*task
}

// usable reports whether the worker takes orders.
func (w *worker) usable() bool { return w.connected && w.report.Open }

// load returns the size of what is booked or waits ahead of a task of the
// priority, all entries together. The report may be older than this entry's own
// orders, so these are counted here.
func (w *worker) load(priority int) gypsumtide.Size {
	others := w.report.Booked.Minus(w.report.FromPeer)
	for _, l := range w.report.Waiting {
		if l.Priority <= priority {
			others = others.Plus(l.Size).Minus(l.FromPeer)
		}
	}
	load := gypsumtide.Size{
		Processors: max(0, others.Processors), Memory: max(0, others.Memory), Accelerators: max(0, others.Accelerators),
	}.Plus(w.running)
	for p, size := range w.ordered {
		if p <= priority {
			load = load.Plus(size)
		}
	}
	return load
}

// suits reports whether the worker may run tasks of the step.
func (w *worker) suits(service string, step *gypsumtide.JobStep) bool {
	if w.report.Service != service || !step.Size.Within(w.report.Capacity) {
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
	loadWeight = 30
	// zoneCost is the cost of a worker in another availability zone.
	zoneCost = 1
)

// wait returns the expected time until size fits on the worker.
func (w *worker) wait(size gypsumtide.Size, priority int) float64 {
	load := w.load(priority)
	capacity := w.report.Capacity
	deficit := load.Plus(size).Minus(capacity)
	share := max(
		ratio(deficit.Processors, capacity.Processors),
		ratio(deficit.Memory, capacity.Memory),
		ratio(deficit.Accelerators, capacity.Accelerators),
	)
	return max(0, share) * float64(meanRun)
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
	run  float64
	cost float64
}

// estimate returns the expected course of a task of the step on the worker.
func (w *worker) estimate(zone string, step *gypsumtide.JobStep, priority int, expected, remoteFactor float64) estimate {
	e := estimate{wait: w.wait(step.Size, priority), run: expected * w.slowness()}
	if step.Rack != "" && !w.onRack(step.Rack) {
		e.run *= remoteFactor
	}
	tries := 1 / (1 - min(maxFailureShare, w.report.FailureShare))
	e.cost = (e.wait+e.run)*tries + loadWeight*square(ratio(w.load(priority).Processors, w.report.Capacity.Processors))
	if w.report.Zone != zone {
		e.cost += zoneCost
	}
	return e
}

func square(x float64) float64 { return x * x }
