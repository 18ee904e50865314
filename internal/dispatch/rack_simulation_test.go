package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gypsumtide"
)

// simRacks extends the simulation by racks: a share of the short jobs names one rack for
// some seconds, and a task takes remoteFactor times as long on the others. Its methods do
// nothing on nil.
type simRacks struct {
	// workersPerRack is the number of workers of a rack.
	workersPerRack int
	remoteFactor   float64
	// kind is the kind of the jobs that name the rack, share their share of that kind, and
	// from and to are the seconds between which they do.
	kind     string
	share    float64
	from, to float64
	random   *rand.Rand
	// result is that of the jobs that name the rack.
	result rackResult
}

// rackResult is the result of the jobs that name the rack. runTime is the sum of the run
// times of their tasks relative to those on the rack.
type rackResult struct {
	jobs, inTime  int
	value, earned float64
	tasks, onRack int
	runTime       float64
}

func (r *rackResult) add(o rackResult) {
	r.jobs += o.jobs
	r.inTime += o.inTime
	r.value += o.value
	r.earned += o.earned
	r.tasks += o.tasks
	r.onRack += o.onRack
	r.runTime += o.runTime
}

func (r rackResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.jobs) }
func (r rackResult) onRackShare() float64 { return float64(r.onRack) / float64(r.tasks) }

// busyRack is the rack that the jobs name.
const busyRack = "rack-0"

func (r *simRacks) labels(worker int) []string {
	if r == nil {
		return nil
	}
	return []string{fmt.Sprint("rack-", worker/r.workersPerRack)}
}

func (r *simRacks) choose(kind *simKind, second float64) string {
	if r == nil || kind.route.Name != r.kind || second < r.from || second >= r.to || r.random.Float64() >= r.share {
		return ""
	}
	return busyRack
}

// factor returns the factor by which a task of the job takes longer on the worker.
func (r *simRacks) factor(worker int, j *simJob) float64 {
	if j.rack == "" {
		return 1
	}
	r.result.tasks++
	if slices.Contains(r.labels(worker), j.rack) {
		r.result.onRack++
		r.result.runTime++
		return 1
	}
	r.result.runTime += r.remoteFactor
	return r.remoteFactor
}

func (r *simRacks) record(j *simJob, a Answer, took int64) {
	if j.rack == "" {
		return
	}
	r.result.jobs++
	r.result.value += j.value
	switch {
	case a.Outcome != gypsumtide.OutcomeComplete:
	case took <= j.objective:
		r.result.inTime++
		r.result.earned += j.value
	case took <= lateFactor*j.objective:
		r.result.earned += 0.2 * j.value
	}
}
