package dispatch

import (
	"math"

	"gypsumtide"
)

// This file decides where a task runs whose step names a rack. On another rack it takes
// longer, and on its rack it may have to wait. docs/design/placement-wait.md has the reasons.

// candidate is a worker with its cost estimate for a task.
type candidate struct {
	worker   *worker
	estimate costEstimate
}

// cheaper returns the candidate with the lower cost.
func (c candidate) cheaper(x candidate) candidate {
	if c.worker == nil || x.estimate.cost < c.estimate.cost {
		return x
	}
	return c
}

// at returns the choice of another candidate.
func (c choice) at(x candidate) choice {
	c.worker, c.estimate = x.worker, x.estimate
	return c
}

// locality is the state of the placement of tasks whose steps name a rack. All but the learned
// run times and waits is computed anew at each tick.
type locality struct {
	runTimes meanRunTime
	waits    waitCorrections
	// racks holds the workers of each rack that was needed since the last tick.
	racks map[rackKey][]*worker
	// waiting is the load of the tasks that have been found to wait at this entry for a rack
	// since the last tick, by priority.
	waiting map[rackKey][]queuedLoad
	// tick is the number of the tick, from 1.
	tick uint64
	// rule decides between the two places. Tests replace it to compare other rules.
	rule func(s *State, now gypsumtide.Millis, t *task, p places) bool
}

// rackKey identifies a rack and the service of the workers on it that are meant.
type rackKey struct{ service, rack string }

// rackWait is the wait of a task for the rack of its step.
type rackWait struct {
	// begun is set once the task has been chosen to wait, since then.
	begun bool
	since gypsumtide.Millis
	// tick is the tick in which the task was last found to wait at the entry, and ahead the
	// load of the tasks that went before it then.
	tick  uint64
	ahead gypsumtide.Size
	// expected is the wait, without correction, that was expected for the latest order.
	expected float64
}

func newLocality() locality {
	return locality{
		runTimes: newMeanRunTime(), waits: make(waitCorrections), racks: make(map[rackKey][]*worker), waiting: make(map[rackKey][]queuedLoad),
		rule: (*State).rackPays, tick: 1,
	}
}

// refreshLocality discards what was found since the last tick.
func (s *State) refreshLocality() {
	l := &s.locality
	l.tick++
	clear(l.racks)
	clear(l.waiting)
}

// rackWorkers returns the workers of a rack as of the first call since the last tick.
func (s *State) rackWorkers(key rackKey) []*worker {
	workers, ok := s.locality.racks[key]
	if !ok {
		for _, w := range s.workerList {
			if w.report.Service == key.service && w.hasRack(key.rack) {
				workers = append(workers, w)
			}
		}
		s.locality.racks[key] = workers
	}
	return workers
}

// placeFactor returns the factor by which a task takes longer on the worker because of the
// rack that its step names.
func (s *State) placeFactor(t *task, w *worker) float64 {
	if rack := t.job.steps[t.step].Rack; rack != "" && !w.hasRack(rack) {
		return s.remoteFactor
	}
	return 1
}

// expectedAtWorker returns the expected run time of a task's run at its worker, if that were
// of average speed.
func (s *State) expectedAtWorker(t *task) gypsumtide.Millis {
	factor := 1.0
	if w, ok := s.workers[t.worker]; ok {
		factor = s.placeFactor(t, w)
	}
	return gypsumtide.Millis(s.runTimeFrom(t.resumedFrom, float64(s.expected(t.job, t.step)), factor))
}

// places holds the two places that are compared for a task. Times are in milliseconds from
// now.
type places struct {
	rack              rackKey
	onRack, elsewhere candidate
	// costToOthers is the time that other tasks lose by the longer run elsewhere.
	costToOthers float64
	// jobEnd is the expected end of the job's other tasks, as far as they are placed.
	jobEnd float64
	// bound is the longest wait for the rack.
	bound float64
}

// choosePlace compares the candidate workers for a task like choose. If the step names a
// rack, it decides between the best worker there and the best one elsewhere.
func (s *State) choosePlace(now gypsumtide.Millis, t *task) choice {
	c := s.choose(now, t)
	key := rackKey{t.job.route.Service, t.job.steps[t.step].Rack}
	if key.rack == "" || s.remoteFactor <= 1 {
		return c
	}
	p := places{rack: key, onRack: s.bestOnRack(now, t, key), elsewhere: c.elsewhere}
	switch {
	case p.onRack.worker == nil:
		return c
	case p.elsewhere.worker == nil:
		return c.at(p.onRack)
	}
	s.comparePlaces(now, t, &p)
	if !s.locality.rule(s, now, t, p) {
		s.logPlaces(now, t, &p, "elsewhere")
		return c.at(p.elsewhere)
	}
	c = c.at(p.onRack)
	if p.onRack.estimate.wait > 0 {
		s.waitForRack(now, t, &p, c.startsSoon())
	}
	return c
}

// bestOnRack returns the candidate with the lowest cost on the rack. It has no worker if none
// of the rack accepts the task.
func (s *State) bestOnRack(now gypsumtide.Millis, t *task, key rackKey) candidate {
	j := t.job
	step := &j.steps[t.step]
	estimate := s.costEstimator(now, t)
	var best candidate
	for _, w := range s.rackWorkers(key) {
		if !w.usable() || !w.suits(key.service, step) || !w.hasRack(key.rack) || !s.withinMaxPerWorker(j, t.step, w) {
			continue
		}
		best = best.cheaper(s.withCorrectedWait(now, t, candidate{w, estimate(w)}))
	}
	if best.worker != nil {
		best.estimate.delay(best.worker, s.waitBehindWaiting(t, key))
	}
	return best
}

// comparePlaces fills in what the decision between the two places depends on.
func (s *State) comparePlaces(now gypsumtide.Millis, t *task, p *places) {
	p.elsewhere = s.withCorrectedWait(now, t, p.elsewhere)
	p.costToOthers = s.displacedShare() * (s.remoteFactor - 1) * float64(s.expectedRun(t))
	if p.onRack.estimate.end > p.elsewhere.estimate.end {
		p.jobEnd = s.jobEnd(now, t)
	}
	p.bound = s.waitBound(now, t, p)
}

// displacedShare returns the share of a longer run that other tasks lose. It is 0 while no
// tasks are queued, since the run then takes capacity that would be idle, and approaches 1 as
// the queues grow.
func (s *State) displacedShare() float64 { return 1 - s.backlog.slackShare() }

// Parameters of the bound.
const (
	// estimateError is the part of its expected run time that a task keeps in reserve when it
	// waits, since estimates are off by up to 40%. Without it 9% instead of 2% of the long jobs
	// for a rack were late.
	estimateError = 0.4
	// longWait times the expected wait is a wait that few tasks exceed: 5% if waits are
	// distributed exponentially.
	longWait = 3
)

// rackPays reports whether a task is better placed on its rack, including the wait there. A
// job is done when its last task is, so an end before that of the job's other tasks gains
// nothing. A job that has started is not held back for the sake of others.
func (s *State) rackPays(_ gypsumtide.Millis, t *task, p places) bool {
	onRack := max(p.onRack.estimate.end, p.jobEnd)
	elsewhere := max(p.elsewhere.estimate.end, p.jobEnd)
	if t.job.started && onRack > elsewhere {
		return false
	}
	elsewhere += p.costToOthers
	if t.phase == taskQueued {
		// A recalled order has to come back before it goes elsewhere.
		elsewhere += float64(orderMargin)
	}
	return onRack <= elsewhere && p.onRack.estimate.wait <= max(0, p.bound, p.elsewhere.estimate.wait)
}

// waitBound returns the longest wait for the rack. A task keeps the reserve with which it
// meets its objective elsewhere. If it has less, it may use it up only if it meets the
// objective with its reserve on the rack, even after a long wait. If the objective is out of
// reach elsewhere, the bound is a useful end there.
func (s *State) waitBound(now gypsumtide.Millis, t *task, p *places) float64 {
	j := t.job
	run := float64(s.expectedRun(t))
	reserve := estimateError * s.remoteFactor * run
	left := float64(j.objective - orderMargin - now)
	spare := left - p.elsewhere.estimate.end
	wait := p.onRack.estimate.wait
	safeOnRack := longWait*wait+(1+estimateError)*(p.onRack.estimate.end-wait) <= left
	bound := math.Inf(1)
	switch lateSpare := float64(s.latestUsefulEnd(j)-now) - p.elsewhere.estimate.end; {
	case spare >= reserve:
		bound = spare - reserve
	case spare >= 0 && safeOnRack:
		bound = spare
	case spare >= 0:
		bound = 0
	case lateSpare >= 0:
		bound = max(0, lateSpare-reserve)
	}
	if !j.started && !j.stored {
		// The job would be refused for not having started.
		bound = min(bound, float64(s.latestStart(j, t.step)-now))
	}
	return bound
}

// maxJobEndTasks bounds the tasks over which jobEnd looks, and so the time of a placement.
// Ephemeral jobs have at most 32 tasks.
const maxJobEndTasks = 64

// jobEnd returns the expected time in milliseconds until the last of the other placed tasks
// of the task's job ends.
func (s *State) jobEnd(now gypsumtide.Millis, t *task) float64 {
	end := 0.0
	if len(t.job.tasks) > maxJobEndTasks {
		return end
	}
	for _, o := range t.job.tasks {
		if o == t || o.phase != taskOrdered && o.phase != taskRunning {
			continue
		}
		if w, ok := s.workers[o.worker]; ok && w.connected {
			end = max(end, s.remaining(now, o, w))
		}
	}
	return end
}

// waitForRack notes that a task waits for its rack. If it is not ordered soon, it counts as
// load for the tasks that are considered after it.
func (s *State) waitForRack(now gypsumtide.Millis, t *task, p *places, soon bool) {
	if t.phase != taskReady {
		return
	}
	if !t.wait.begun {
		s.logPlaces(now, t, p, "rack")
		t.wait.begun, t.wait.since = true, now
	}
	l := &s.locality
	if soon || t.wait.tick == l.tick {
		return
	}
	t.wait.tick, t.wait.ahead = l.tick, s.waitingAhead(t, p.rack)
	l.waiting[p.rack] = append(l.waiting[p.rack], queuedLoad{t.job.route.Priority, t.size()})
}

// logPlaces logs the comparison of the two places when a task begins to wait, and when it
// goes elsewhere.
func (s *State) logPlaces(now gypsumtide.Millis, t *task, p *places, place string) {
	if t.phase != taskReady || place == "elsewhere" && p.elsewhere.estimate.wait > maxAgentWait {
		return
	}
	waited := gypsumtide.Millis(0)
	if t.wait.begun {
		waited = now - t.wait.since
	}
	s.log.Decision("placement-wait", "run", t.ref(), "rack", p.rack.rack, "place", place, "rack-end-ms", math.Round(p.onRack.estimate.end),
		"rack-wait-ms", math.Round(p.onRack.estimate.wait), "elsewhere-end-ms", math.Round(p.elsewhere.estimate.end),
		"elsewhere-wait-ms", math.Round(p.elsewhere.estimate.wait), "cost-to-others-ms", math.Round(p.costToOthers),
		"job-end-ms", math.Round(p.jobEnd), "bound-ms", math.Round(min(p.bound, math.MaxInt32)), "waited-ms", waited)
}

// Places of the runs of tasks whose steps name a rack.
const (
	placeRack = iota
	placeRackAfterWait
	placeElsewhere
	placeElsewhereAfterWait
	placeCount
)

// placeNames has the names of the places in metrics.
var placeNames = [placeCount]string{"rack", "rack-after-wait", "elsewhere", "elsewhere-after-wait"}

// PlaceCounts has a number of tasks for each place.
type PlaceCounts [placeCount]int

// recordPlace notes the place and the run time of a task that is done.
func (s *State) recordPlace(t *task, w *worker, runTime gypsumtide.Millis) {
	s.locality.runTimes.observe(runTime, t.size())
	rack := t.job.steps[t.step].Rack
	if rack == "" {
		return
	}
	place := placeRack
	if !w.hasRack(rack) {
		place = placeElsewhere
	}
	if t.wait.begun {
		place++
	}
	s.effects.Places[place]++
}
