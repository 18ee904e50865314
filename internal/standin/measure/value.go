package measure

import (
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/standin/history"
	"gypsumtide/internal/standin/load"
)

// result holds the data of one repetition of a trial.
type result struct {
	organisation organisation
	phases       [][]loadResult
	violations   []history.Violation
	// runTimes maps a submission to the longest run time of its tasks in
	// milliseconds, as recorded by the upstreams.
	runTimes map[string]float64
	// messages counts the messages between entries and agents by kind.
	messages map[string]float64
}

// loadResult holds the data of one load of a phase.
type loadResult struct {
	// startedAt is in milliseconds since 1970, like the times of the attempts.
	startedAt float64
	attempts  []history.Attempt
	report    *load.Report
}

// measuredLoad returns the first load of the last phase, from which most values
// are computed.
func (r *result) measuredLoad() loadResult { return r.phases[len(r.phases)-1][0] }

// warmUp is the time in milliseconds at the start of the first phase that ratios and
// response times leave out, because connections are opened then and the dispatcher has
// no run-time statistics yet.
const warmUp = 1_000

// sentBetween returns the attempts sent in a time range, in milliseconds since
// the start of the load.
func (l loadResult) sentBetween(from, until float64) []history.Attempt {
	var matching []history.Attempt
	for _, a := range l.attempts {
		if t := a.Sent - l.startedAt; t >= from && t < until {
			matching = append(matching, a)
		}
	}
	return matching
}

// noLimit is a time after the end of every load.
const noLimit = 1e12

func isComplete(a history.Attempt) bool { return a.Outcome == string(gypsumtide.OutcomeComplete) }

// isInTime reports whether the attempt was completed within its deadline.
func isInTime(a history.Attempt) bool { return isComplete(a) && a.Received-a.Sent <= a.Deadline }

// responseTimes returns the response times of complete jobs in milliseconds.
func responseTimes(all []history.Attempt) []float64 {
	var ms []float64
	for _, a := range all {
		if isComplete(a) {
			ms = append(ms, a.Received-a.Sent)
		}
	}
	return ms
}

// ratios returns the response times of complete jobs divided by the ideal: the
// run time plus the delay between caller and entry in both directions. A run
// time of 0 means the one that the upstreams recorded; jobs without one are left out.
func (r *result) ratios(all []history.Attempt, runTime float64) []float64 {
	var ratios []float64
	for _, a := range all {
		ideal := runTime
		if ideal == 0 {
			ideal = r.runTimes[a.Submission]
		}
		if isComplete(a) && ideal > 0 {
			ratios = append(ratios, (a.Received-a.Sent)/(ideal+2*r.organisation.callerDelay.Seconds()*1000))
		}
	}
	return ratios
}

// quantile returns the smallest value v such that at least a share q of the
// values is not greater than v, or 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)]
}

// percent returns the percentage of the attempts that match, or 0 without attempts.
func percent(all []history.Attempt, match func(history.Attempt) bool) float64 {
	n := 0
	for _, a := range all {
		if match(a) {
			n++
		}
	}
	return 100 * float64(n) / float64(max(len(all), 1))
}

func isIncomplete(a history.Attempt) bool { return !isComplete(a) }

// ratioValues computes the cells of the experiment ratio.
func ratioValues(r *result) []float64 {
	l := r.measuredLoad()
	all := l.sentBetween(warmUp, noLimit)
	ratios := r.ratios(all, 0)
	var completed, sum float64
	for _, a := range l.attempts {
		if isComplete(a) {
			completed += float64(a.Tasks)
		}
	}
	for _, n := range r.messages {
		sum += n
	}
	completed = max(completed, 1)
	overhead := r.messages["recall"] + r.messages["not-started"] + r.messages["query"]
	return []float64{quantile(ratios, 0.5), quantile(ratios, 0.99), quantile(ratios, 0.999),
		quantile(responseTimes(all), 0.5), sum/completed - 2, r.messages["heartbeat"] / completed, overhead / completed, percent(all, isIncomplete)}
}

// blockingValues computes the cells of the experiment blocking. The first phase
// runs without batches, the second one with them on the same deployment and so
// without a warm-up. The last cell is the factor by which the batches raise the 99th
// percentile of the response time.
func blockingValues(r *result) []float64 {
	without := quantile(responseTimes(r.phases[0][0].sentBetween(warmUp, noLimit)), 0.99)
	with := quantile(responseTimes(r.measuredLoad().sentBetween(0, noLimit)), 0.99)
	return []float64{without, with, with / without}
}

// hintValues computes the cells of the experiment hints, which has the same kind of
// phases as blocking.
func hintValues(r *result) []float64 {
	without := quantile(r.ratios(r.phases[0][0].sentBetween(warmUp, noLimit), 0), 0.99)
	with := quantile(r.ratios(r.measuredLoad().sentBetween(0, noLimit), 0), 0.99)
	return []float64{without, with, blockingValues(r)[2]}
}

// overloadValues computes the cells of the overload experiment, which is named "crest".
func overloadValues(r *result) []float64 {
	const end = peakStart + peakLength
	l := r.measuredLoad()
	served, recovery := 0, 0.0
	for _, a := range l.attempts {
		if at := a.Received - l.startedAt; isInTime(a) && at >= peakStart && at < end {
			served += a.Tasks
		}
		if after := a.Sent - l.startedAt - end; after >= 0 && !isInTime(a) {
			recovery = max(recovery, after/1000)
		}
	}
	sent := l.sentBetween(peakStart, end)
	refused := func(a history.Attempt) bool { return a.Outcome == string(gypsumtide.OutcomeNotRun) }
	lateOrLost := func(a history.Attempt) bool { return !refused(a) && !isInTime(a) }
	return []float64{float64(served) / (totalSlots * peakLength / longRunTime), percent(sent, refused), percent(sent, lateOrLost), recovery, float64(len(r.violations))}
}

// slowValues computes the cells of the experiment slow from the jobs sent after
// the fault.
func slowValues(r *result) []float64 {
	l := r.measuredLoad()
	from := float64(faultAt.Milliseconds())
	ratios := r.ratios(l.sentBetween(from, noLimit), checkRunTime)
	last := 0.0
	for _, a := range l.sentBetween(from, noLimit) {
		if !isComplete(a) {
			last = max(last, (a.Sent-l.startedAt-from)/1000)
		}
	}
	values := []float64{quantile(ratios, 0.5), quantile(ratios, 0.99)}
	for _, second := range []float64{0, 1, 2} {
		values = append(values, percent(l.sentBetween(from+second*1000, from+(second+1)*1000), isIncomplete))
	}
	return append(values, percent(l.sentBetween(from+3000, noLimit), isIncomplete), last)
}

// fairnessValues computes the cells of the experiment fairness: the weighted
// teams run in the first phase, the rate-limited team in the last one.
func fairnessValues(r *result) []float64 {
	served := r.phases[0][0].report.Teams
	var sum float64
	for _, t := range served {
		sum += float64(t.Served)
	}
	// share returns the team's share of the served tasks divided by its share of the
	// weights, whose sum is 7.
	share := func(team string, weight float64) float64 {
		return float64(served[team].Served) / max(sum, 1) / (weight / 7)
	}
	// overshoot returns the percentage by which the completed jobs that were sent in the
	// first seconds exceed the quota. Each job has one task.
	overshoot := func(seconds float64) float64 {
		n := 0.0
		for _, a := range r.measuredLoad().sentBetween(0, seconds*1000) {
			if isComplete(a) {
				n++
			}
		}
		return 100 * (n/(quotaRate*seconds+quotaBurst) - 1)
	}
	return []float64{share("weight-1", 1), share("weight-2", 2), share("weight-4", 4), overshoot(quotaSeconds), overshoot(1)}
}
