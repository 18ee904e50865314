package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumtide"
)

// arrival is one scheduled job. The random choices about it are made before the
// run, so that they do not depend on how the run goes.
type arrival struct {
	// at is the intended send time, counted from the start of the run.
	at    time.Duration
	class *Class
	// runTimes and hints hold the real and the declared run time of each task in
	// milliseconds; a hint of 0 is not sent.
	runTimes      []int64
	hints         []int64
	nonIdempotent bool
	// target and retryTarget are the indexes in Config.Targets of the entries for
	// the first and the second attempt. They differ if there is more than one target.
	target        int
	retryTarget   int
	resubmit      bool
	cancel        bool
	duringPeak    bool
	idealResponse gypsumtide.Millis
}

// factorAt returns the rate multiplier at t and whether t lies within a peak.
func (p Peak) factorAt(t time.Duration) (float64, bool) {
	if p.Factor == 0 || p.Length == 0 {
		return 1, false
	}
	t -= p.Start.Duration()
	if p.Period > 0 && t >= 0 {
		t %= p.Period.Duration()
	}
	if t >= 0 && t < p.Length.Duration() {
		return p.Factor, true
	}
	return 1, false
}

// schedule returns all arrivals in order of time. They depend only on the
// configuration, including its seed, so that two runs of the same configuration
// offer the same load.
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
		peak := cfg.Peak
		if c.Steady {
			peak = Peak{}
		}
		for _, at := range arrivalTimes(rng, cfg.Arrivals, rate, peak, cfg.Duration.Duration()) {
			all = append(all, newArrival(rng, cfg, c, at))
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// arrivalTimes returns the arrival times of one class. Poisson arrivals with a
// varying rate are generated at the highest rate and then thinned.
func arrivalTimes(rng *rand.Rand, kind string, rate float64, peak Peak, until time.Duration) []time.Duration {
	if rate <= 0 {
		return nil
	}
	var ts []time.Duration
	if kind == "step" {
		for t := time.Duration(0); t < until; {
			ts = append(ts, t)
			f, _ := peak.factorAt(t)
			t += interval(rate*max(f, 0.01), 1)
		}
		return ts
	}
	maxFactor := max(1, peak.Factor)
	for t := interval(rate*maxFactor, rng.ExpFloat64()); t < until; t += interval(rate*maxFactor, rng.ExpFloat64()) {
		f, _ := peak.factorAt(t)
		if rng.Float64()*maxFactor < f {
			ts = append(ts, t)
		}
	}
	return ts
}

// interval returns the time that n arrivals take at a rate per second.
func interval(rate, n float64) time.Duration {
	return time.Duration(n / rate * float64(time.Second))
}

func newArrival(rng *rand.Rand, cfg *Config, c *Class, at time.Duration) arrival {
	n := c.TasksMin + rng.IntN(c.TasksMax-c.TasksMin+1)
	a := arrival{at: at, class: c, runTimes: make([]int64, n), hints: make([]int64, n)}
	for i := range a.runTimes {
		a.runTimes[i] = c.Run.draw(rng)
		a.hints[i] = runTimeHint(rng, c.Hints, a.runTimes[i])
	}
	a.nonIdempotent = rng.Float64() < c.NonIdempotent
	a.target = rng.IntN(len(cfg.Targets))
	a.retryTarget = a.target
	if len(cfg.Targets) > 1 {
		a.retryTarget = (a.target + 1 + rng.IntN(len(cfg.Targets)-1)) % len(cfg.Targets)
	}
	a.resubmit = rng.Float64() < cfg.ResubmitShare
	a.cancel = rng.Float64() < cfg.CancelShare
	_, a.duringPeak = cfg.Peak.factorAt(at)
	a.idealResponse = a.idealTime(cfg)
	return a
}

// draw returns a random run time in milliseconds, at least 1.
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

// runTimeHint returns the run time to declare for a task, or 0 for none.
func runTimeHint(rng *rand.Rand, kind string, runTime int64) int64 {
	switch kind {
	case "absent":
		return 0
	case "off":
		if rng.IntN(2) == 0 {
			return runTime * 10
		}
		return max(1, runTime/10)
	}
	return runTime
}

// idealTime returns the response time of a job that has all slots to itself:
// the longest task, or the total run time divided by the slots if that is
// longer and Config.Slots is known, plus the network delay in both directions.
func (a *arrival) idealTime(cfg *Config) gypsumtide.Millis {
	var sum, longest int64
	for _, r := range a.runTimes {
		sum += r
		longest = max(longest, r)
	}
	if cfg.Slots > 0 {
		longest = max(longest, sum/int64(cfg.Slots))
	}
	return gypsumtide.Millis(longest) + 2*cfg.OneWayDelay
}
