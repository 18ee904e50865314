package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumtide"
)

// arrival is one job of the schedule.
type arrival struct {
	at            time.Duration
	class         *Class
	runs          []int64
	hints         []int64
	nonIdempotent bool
	entry         int
	other         int
	resubmit      bool
	cancel        bool
	crest         bool
	ideal         gypsumtide.Millis
}

// factor returns the rate multiplier at t and whether t lies in a crest.
func (s Peak) factor(t time.Duration) (float64, bool) {
	if s.Factor == 0 || s.Length == 0 {
		return 1, false
	}
	t -= s.Start.Duration()
	if s.Period > 0 && t >= 0 {
		t %= s.Period.Duration()
	}
	if t >= 0 && t < s.Length.Duration() {
		return s.Factor, true
	}
	return 1, false
}

// schedule returns all arrivals in order of time. The seed alone determines
// it, so two runs meet the same load.
func schedule(cfg *Config) []arrival {
	var shares float64
	for _, c := range cfg.Classes {
		shares += c.Share
	}
	var all []arrival
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		rate := c.Rate
		if c.Share > 0 {
			rate = cfg.Rate * c.Share / shares
		}
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		swing := cfg.Peak
		if c.Steady {
			swing = Peak{}
		}
		for _, at := range times(rng, cfg.Arrivals, rate, swing, cfg.Duration.Duration()) {
			all = append(all, newArrival(rng, cfg, c, at))
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// times returns the arrival times of one class. A Poisson process with a
// varying rate is drawn at the highest rate and thinned.
func times(rng *rand.Rand, kind string, rate float64, swing Peak, until time.Duration) []time.Duration {
	if rate <= 0 {
		return nil
	}
	var ts []time.Duration
	if kind == "step" {
		for t := time.Duration(0); t < until; {
			ts = append(ts, t)
			f, _ := swing.factor(t)
			t += gap(rate*max(f, 0.01), 1)
		}
		return ts
	}
	peak := max(1, swing.Factor)
	for t := gap(rate*peak, rng.ExpFloat64()); t < until; t += gap(rate*peak, rng.ExpFloat64()) {
		f, _ := swing.factor(t)
		if rng.Float64()*peak < f {
			ts = append(ts, t)
		}
	}
	return ts
}

func gap(rate, n float64) time.Duration {
	return time.Duration(n / rate * float64(time.Second))
}

func newArrival(rng *rand.Rand, cfg *Config, c *Class, at time.Duration) arrival {
	n := c.TasksMin + rng.IntN(c.TasksMax-c.TasksMin+1)
	a := arrival{at: at, class: c, runs: make([]int64, n), hints: make([]int64, n)}
	for i := range a.runs {
		a.runs[i] = c.Run.draw(rng)
		a.hints[i] = hint(rng, c.Hints, a.runs[i])
	}
	a.nonIdempotent = rng.Float64() < c.NonIdempotent
	a.entry = rng.IntN(len(cfg.Targets))
	a.other = a.entry
	if len(cfg.Targets) > 1 {
		a.other = (a.entry + 1 + rng.IntN(len(cfg.Targets)-1)) % len(cfg.Targets)
	}
	a.resubmit = rng.Float64() < cfg.ResubmitShare
	a.cancel = rng.Float64() < cfg.CancelShare
	_, a.crest = cfg.Peak.factor(at)
	a.ideal = a.idealTime(cfg)
	return a
}

// draw returns a run time of at least 1 ms.
func (r RunTime) draw(rng *rand.Rand) int64 {
	ms := float64(r.Mean)
	switch r.Kind {
	case "exponential":
		ms *= rng.ExpFloat64()
	case "stragglers":
		if rng.Float64() < r.StragglerShare {
			ms *= r.StragglerFactor
		}
	}
	return max(1, int64(ms))
}

func hint(rng *rand.Rand, kind string, run int64) int64 {
	switch kind {
	case "absent":
		return 0
	case "off":
		if rng.IntN(2) == 0 {
			return run * 10
		}
		return max(1, run/10)
	}
	return run
}

// idealTime returns the response time of a job that all slots serve at once: the
// longest task or the work spread over the slots, and two network trips.
func (a *arrival) idealTime(cfg *Config) gypsumtide.Millis {
	var sum, longest int64
	for _, r := range a.runs {
		sum += r
		longest = max(longest, r)
	}
	if cfg.Slots > 0 {
		longest = max(longest, sum/int64(cfg.Slots))
	}
	return gypsumtide.Millis(longest) + 2*cfg.OneWayDelay
}
