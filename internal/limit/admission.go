package limit

import (
	"math"
	"math/rand/v2"

	"gypsumtide"
)

// AdmissionOptions configure an Admission. The zero value of a field selects its default.
type AdmissionOptions struct {
	// MinRetryAfter bounds the Retry-After of refusals from below.
	MinRetryAfter gypsumtide.Millis
	// MaxRetryAfter bounds it from above.
	MaxRetryAfter gypsumtide.Millis
	// Seed makes the jitter repeatable; 0 takes a random seed.
	Seed uint64
}

// Forecast is what a home knows when a job asks for admission.
type Forecast struct {
	// Ahead is the number of waiting tasks that leave before the job's last task.
	Ahead int
	// Tasks is the number of tasks of the job.
	Tasks int
	// RunTime is the run time to expect of the job's slowest task, 0 if unknown.
	RunTime gypsumtide.Millis
	// MeanRunTime is the mean run time of the tasks of the pool, 0 if unknown.
	MeanRunTime gypsumtide.Millis
	// Slots is the number of slots that the home may use.
	Slots int
	// Deadline is the latest time for the answer.
	Deadline gypsumtide.Millis
}

const (
	defaultMinRetryAfter = gypsumtide.Millis(200)
	defaultMaxRetryAfter = gypsumtide.Millis(10_000)
	// rateWindow is the time over which the service rate is observed.
	rateWindow = gypsumtide.Millis(1000)
)

// Admission refuses jobs that cannot be answered by their deadline. It is not
// safe for concurrent use.
type Admission struct {
	o     AdmissionOptions
	rng   *rand.Rand
	rate  float64
	from  gypsumtide.Millis
	ended int
	busy  bool
}

// NewAdmission returns an Admission that has observed nothing.
func NewAdmission(o AdmissionOptions) *Admission {
	if o.MinRetryAfter <= 0 {
		o.MinRetryAfter = defaultMinRetryAfter
	}
	if o.MaxRetryAfter <= 0 {
		o.MaxRetryAfter = max(o.MinRetryAfter, defaultMaxRetryAfter)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Admission{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Served records n tasks that have ended. Waiting is the number of tasks that
// still wait. The rate counts only over periods in which tasks wait throughout,
// because otherwise it measures the demand and not the capacity.
func (a *Admission) Served(n, waiting int, now gypsumtide.Millis) {
	if waiting == 0 {
		a.busy = false
		return
	}
	if !a.busy {
		a.busy, a.from, a.ended = true, now, 0
		return
	}
	a.ended += n
	if d := now - a.from; d >= rateWindow {
		a.rate = float64(a.ended) / float64(d)
		a.from, a.ended = now, 0
	}
}

// Rate returns the observed service rate in tasks per second, 0 if none was observed.
func (a *Admission) Rate() float64 { return a.rate * 1000 }

// Admit refuses the job if its last task would end after the deadline.
func (a *Admission) Admit(f Forecast, now gypsumtide.Millis) gypsumtide.Verdict {
	left := f.Deadline - now
	if left <= f.RunTime {
		return gypsumtide.Refused("deadline", "the run time exceeds the time left", a.retryAfter(0))
	}
	rate := a.rateFor(f)
	if rate <= 0 {
		return gypsumtide.Admitted()
	}
	wait := gypsumtide.Millis(math.Ceil(float64(max(0, f.Ahead+f.Tasks-f.Slots)) / rate))
	if wait+f.RunTime <= left {
		return gypsumtide.Admitted()
	}
	return gypsumtide.Refused("deadline", "the predicted wait exceeds the time left", a.retryAfter(wait+f.RunTime-left))
}

// rateFor returns the service rate in tasks per millisecond: the observed one,
// or the one that the slots allow.
func (a *Admission) rateFor(f Forecast) float64 {
	if a.rate > 0 {
		return a.rate
	}
	if f.MeanRunTime > 0 {
		return float64(f.Slots) / float64(f.MeanRunTime)
	}
	return 0
}

// retryAfter returns the time after which the excess has drained, with jitter
// of up to the same time again so that refused callers do not return together.
func (a *Admission) retryAfter(excess gypsumtide.Millis) gypsumtide.Millis {
	base := min(max(excess, a.o.MinRetryAfter), a.o.MaxRetryAfter)
	return base + gypsumtide.Millis(a.rng.Int64N(int64(base)+1))
}
