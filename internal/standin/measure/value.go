package measure

import (
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/standin/history"
	"gypsumtide/internal/standin/load"
)

// result is what one repetition of a trial saw.
type result struct {
	site       site
	phases     [][]loadResult
	violations []history.Violation
	// runs holds the longest run time of a submission's tasks in milliseconds.
	runs map[string]float64
	// messages between entries and agents by kind.
	messages map[string]float64
}

// loadResult is what one load of a phase saw.
type loadResult struct {
	started  float64
	attempts []history.Attempt
	report   *load.Report
}

// last returns the first load of the last phase.
func (r *result) last() loadResult { return r.phases[len(r.phases)-1][0] }

// warmUp is left out of ratios: connections open and run times are learned in it.
const warmUp = 1_000

func (a loadResult) between(from, until float64) []history.Attempt {
	var some []history.Attempt
	for _, h := range a.attempts {
		if t := h.Sent - a.started; t >= from && t < until {
			some = append(some, h)
		}
	}
	return some
}

const forever = 1e12

func complete(h history.Attempt) bool { return h.Outcome == string(gypsumtide.OutcomeComplete) }

func inTime(h history.Attempt) bool { return complete(h) && h.Received-h.Sent <= h.Deadline }

// times returns the response times of complete jobs.
func times(all []history.Attempt) []float64 {
	var ms []float64
	for _, h := range all {
		if complete(h) {
			ms = append(ms, h.Received-h.Sent)
		}
	}
	return ms
}

// ratios returns response times over the ideal: the run time and the caller's
// way to the entry and back. A run time of 0 stands for the one that the
// upstream measured.
func (r *result) ratios(all []history.Attempt, run float64) []float64 {
	var ratios []float64
	for _, h := range all {
		ideal := run
		if ideal == 0 {
			ideal = r.runs[h.Submission]
		}
		if complete(h) && ideal > 0 {
			ratios = append(ratios, (h.Received-h.Sent)/(ideal+2*r.site.callerDelay.Seconds()*1000))
		}
	}
	return ratios
}

// quantile returns the smallest value that at least a share q of the values does not exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)]
}

// percent returns the share of the attempts that match.
func percent(all []history.Attempt, match func(history.Attempt) bool) float64 {
	n := 0
	for _, h := range all {
		if match(h) {
			n++
		}
	}
	return 100 * float64(n) / float64(max(len(all), 1))
}

func incomplete(h history.Attempt) bool { return !complete(h) }

func ratioValues(r *result) []float64 {
	a := r.last()
	all := a.between(warmUp, forever)
	ratios := r.ratios(all, 0)
	var done, sum float64
	for _, h := range a.attempts {
		if complete(h) {
			done += float64(h.Tasks)
		}
	}
	for _, n := range r.messages {
		sum += n
	}
	done = max(done, 1)
	moved := r.messages["recall"] + r.messages["not-started"] + r.messages["query"]
	return []float64{quantile(ratios, 0.5), quantile(ratios, 0.99), quantile(ratios, 0.999),
		quantile(times(all), 0.5), sum/done - 2, r.messages["heartbeat"] / done, moved / done, percent(all, incomplete)}
}

func blockingValues(r *result) []float64 {
	without := quantile(times(r.phases[0][0].between(warmUp, forever)), 0.99)
	with := quantile(times(r.last().between(0, forever)), 0.99)
	return []float64{without, with, with / without}
}

func hintValues(r *result) []float64 {
	without := quantile(r.ratios(r.phases[0][0].between(warmUp, forever), 0), 0.99)
	with := quantile(r.ratios(r.last().between(0, forever), 0), 0.99)
	return []float64{without, with, blockingValues(r)[2]}
}

func crestValues(r *result) []float64 {
	const end = crestStart + crestTime
	a := r.last()
	served, recovery := 0, 0.0
	for _, h := range a.attempts {
		if at := h.Received - a.started; inTime(h) && at >= crestStart && at < end {
			served += h.Tasks
		}
		if after := h.Sent - a.started - end; after >= 0 && !inTime(h) {
			recovery = max(recovery, after/1000)
		}
	}
	crest := a.between(crestStart, end)
	refused := func(h history.Attempt) bool { return h.Outcome == string(gypsumtide.OutcomeNotRun) }
	lost := func(h history.Attempt) bool { return !refused(h) && !inTime(h) }
	return []float64{float64(served) / (allSlot * crestTime / crestRun), percent(crest, refused), percent(crest, lost), recovery, float64(len(r.violations))}
}

func slowValues(r *result) []float64 {
	a := r.last()
	from := float64(faultAt.Milliseconds())
	ratios := r.ratios(a.between(from, forever), checkRun)
	last := 0.0
	for _, h := range a.between(from, forever) {
		if !complete(h) {
			last = max(last, (h.Sent-a.started-from)/1000)
		}
	}
	values := []float64{quantile(ratios, 0.5), quantile(ratios, 0.99)}
	for _, second := range []float64{0, 1, 2} {
		values = append(values, percent(a.between(from+second*1000, from+(second+1)*1000), incomplete))
	}
	return append(values, percent(a.between(from+3000, forever), incomplete), last)
}

func fairnessValues(r *result) []float64 {
	served := r.phases[0][0].report.Teams
	var sum float64
	for _, t := range served {
		sum += float64(t.Served)
	}
	share := func(team string, weight float64) float64 {
		return float64(served[team].Served) / max(sum, 1) / (weight / 7)
	}
	overshoot := func(seconds float64) float64 {
		n := 0.0
		for _, h := range r.last().between(0, seconds*1000) {
			if complete(h) {
				n++
			}
		}
		return 100 * (n/(quota*seconds+quotaBurst) - 1)
	}
	return []float64{share("weight-1", 1), share("weight-2", 2), share("weight-4", 4), overshoot(quotaTime), overshoot(1)}
}
