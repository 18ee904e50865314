package limit

import (
	"math/rand/v2"

	"gypsumtide"
	"gypsumtide/internal/queue"
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

// AdmissionRequest is what a home knows when a job asks for admission.
type AdmissionRequest struct {
	// Tasks is the number of tasks of the job.
	Tasks int
	// Backlog is the view of the queue for the job's team and class.
	Backlog queue.Backlog
	// SlowestRunTime returns the run time to expect of the slowest of n tasks, 0 if unknown.
	SlowestRunTime func(n int) gypsumtide.Millis
	// MeanRunTime is the mean run time of the tasks of the pool, 0 if unknown.
	MeanRunTime gypsumtide.Millis
	// Slots is the number of slots that the home may use.
	Slots int
	// FreeSlots is the number of slots believed free.
	FreeSlots int
	// Deadline is the latest time for the answer.
	Deadline gypsumtide.Millis
}

const (
	defaultMinRetryAfter = gypsumtide.Millis(200)
	defaultMaxRetryAfter = gypsumtide.Millis(10_000)
	// overtaken multiplies the work that goes before a job, for the smaller jobs
	// and idle teams that come later and overtake it. In trials 3 served more at 3
	// and 10 times capacity than 1 to 2, and refused no more below capacity.
	overtaken = 3
	// shortBacklog in milliseconds of service is the backlog below which a job is
	// only refused if its mean run time does not fit. In BenchmarkCrest at 0.7
	// times capacity, 0 refused 15% of the tasks and 200 refuses 2%; at 3 times
	// capacity, 400 and more served up to 0.05 less.
	shortBacklog = 200
	// minShare keeps a forecast without a share finite.
	minShare = 1e-6
	// rateWindow is the time over which the service rate is observed.
	rateWindow = gypsumtide.Millis(1000)
	// rateValid is the age from which an observed rate counts no more, since
	// agents come and go.
	rateValid = gypsumtide.Millis(10_000)
)

// Admission refuses jobs that cannot be answered by their deadline. Each pool
// and class has its own, since their run times and slots differ. It is not safe
// for concurrent use.
type Admission struct {
	o    AdmissionOptions
	rng  *rand.Rand
	rate float64
	// observed is the time of rate.
	observed gypsumtide.Millis
	from     gypsumtide.Millis
	ended    int
	busy     bool
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

// RecordCompleted records n tasks that have ended. Waiting is the number of tasks that
// still wait. The rate counts only over periods in which tasks wait throughout,
// because otherwise it measures the demand and not the capacity.
func (a *Admission) RecordCompleted(n, waiting int, now gypsumtide.Millis) {
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
		a.rate, a.observed = float64(a.ended)/float64(d), now
		a.from, a.ended = now, 0
	}
}

// ServiceRate returns the observed service rate in tasks per second, 0 if none was observed.
func (a *Admission) ServiceRate() float64 { return a.rate * 1000 }

// Admit refuses the job if its last task would end after the deadline, or if it
// would go before larger admitted jobs of its team that would then miss theirs.
// A job that is late in any case protects nothing.
func (a *Admission) Admit(f AdmissionRequest, now gypsumtide.Millis) gypsumtide.AdmissionDecision {
	left := f.Deadline - now
	if left <= f.MeanRunTime {
		return gypsumtide.Refused("deadline", "the mean run time exceeds the time left", a.retryAfter(0))
	}
	rate := a.rateFor(f, now)
	own := max(0, f.Tasks-f.FreeSlots)
	if all := float64(f.Backlog.Total + own); rate <= 0 ||
		float64(f.Backlog.Total) < rate*shortBacklog && gypsumtide.Millis(all/rate)+f.MeanRunTime <= left {
		// The slots would soon be idle, so a job that may fail costs nothing.
		return gypsumtide.Admitted()
	}
	work, i := 0, 0
	for ; i < len(f.Backlog.Ranges) && f.Backlog.Ranges[i].MinSize <= f.Tasks; i++ {
		work += f.Backlog.Ranges[i].Tasks
	}
	if end := f.wait(rate, work, own) + f.SlowestRunTime(f.Tasks); end > left {
		return gypsumtide.Refused("deadline", "the predicted wait and run time exceed the time left", a.retryAfter(end-left))
	}
	for _, r := range f.Backlog.Ranges[max(0, i-1):] {
		before := work
		if r.MinSize > f.Tasks {
			work += r.Tasks
		} else {
			before -= r.Tasks
		}
		if r.Tasks == 0 || r.Deadline == 0 {
			continue
		}
		end := now + f.wait(rate, before, r.Tasks+own) + f.SlowestRunTime(max(f.Tasks, r.MinSize))
		if end > r.Deadline && now+f.wait(rate, 0, work) <= r.Deadline {
			return gypsumtide.Refused("deadline", "admitted jobs would miss their deadlines", a.retryAfter(end-r.Deadline))
		}
	}
	return gypsumtide.Admitted()
}

// wait returns the time until the work that goes before a job has left, and
// its own tasks after that. The team has its share of the rate, or all of it
// once the waiting tasks of all teams have left.
func (f *AdmissionRequest) wait(rate float64, before, own int) gypsumtide.Millis {
	return gypsumtide.Millis(min(
		(float64(before)*overtaken+float64(own))/(rate*max(f.Backlog.Share, minShare)),
		(float64(f.Backlog.Total)*overtaken+float64(own))/rate,
	))
}

// rateFor returns the service rate in tasks per millisecond: the one observed
// lately, or else the one that the slots allow.
func (a *Admission) rateFor(f AdmissionRequest, now gypsumtide.Millis) float64 {
	if f.MeanRunTime > 0 && f.Slots > 0 && (a.rate == 0 || now-a.observed > rateValid) {
		return float64(f.Slots) / float64(f.MeanRunTime)
	}
	return a.rate
}

// retryAfter returns the time after which the excess has drained, with jitter
// of up to the same time again so that refused callers do not return together.
func (a *Admission) retryAfter(excess gypsumtide.Millis) gypsumtide.Millis {
	base := min(max(excess, a.o.MinRetryAfter), a.o.MaxRetryAfter)
	return base + gypsumtide.Millis(a.rng.Int64N(int64(base)+1))
}
