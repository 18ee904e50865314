package limit

import (
	"math/rand/v2"

	"gypsumtide"
	"gypsumtide/internal/queue"
)

// AdmissionOptions configure an Admission. The zero value of a field selects its default.
type AdmissionOptions struct {
	// MinRetryAfter is the smallest Retry-After of a refusal before jitter.
	MinRetryAfter gypsumtide.Millis
	// MaxRetryAfter is the largest Retry-After of a refusal before jitter.
	MaxRetryAfter gypsumtide.Millis
	// Seed makes the jitter reproducible; 0 selects a random seed.
	Seed uint64
}

// AdmissionRequest describes a job that asks for admission, and the load of its
// home, the entry that dispatches its tasks, at that time.
type AdmissionRequest struct {
	// Tasks is the number of tasks of the job.
	Tasks int
	// Backlog describes the waiting tasks that compete with a job of this team and class.
	Backlog queue.Backlog
	// SlowestRunTime estimates the run time of the slowest of n tasks, 0 if unknown.
	SlowestRunTime func(n int) gypsumtide.Millis
	// MeanRunTime is the mean run time of the tasks of the job's service, 0 if unknown.
	MeanRunTime gypsumtide.Millis
	// Slots is the number of agent slots that the home may use.
	Slots int
	// FreeSlots is the estimated number of free agent slots.
	FreeSlots int
	// Deadline is the time by which the last task of the job must have ended.
	Deadline gypsumtide.Millis
}

const (
	// defaultMinRetryAfter keeps a caller from retrying at once if its job would be late
	// by only a few milliseconds.
	defaultMinRetryAfter = gypsumtide.Millis(200)
	defaultMaxRetryAfter = gypsumtide.Millis(10_000)
	// overtakeFactor multiplies the number of tasks queued ahead of a job, because
	// smaller jobs, and jobs of teams without waiting tasks, that arrive later are
	// served before it. With a smaller factor, Admit accepts jobs under overload that
	// miss their deadlines. Below capacity the factor has little effect, since few tasks
	// wait.
	overtakeFactor = 3
	// shortBacklog is the time to serve the waiting tasks, in milliseconds, below which
	// the backlog counts as short. A job behind a short backlog is admitted if the
	// backlog, the job's tasks beyond the free slots, and one mean run time fit into
	// the time left. A smaller value refuses more jobs below capacity; a larger one
	// admits more jobs under overload that miss their deadlines.
	shortBacklog = 200
	// minShare keeps the predicted wait finite if Backlog.Share is 0.
	minShare = 1e-6
	// rateWindow is the shortest period over which the service rate is measured.
	rateWindow = gypsumtide.Millis(1000)
	// maxRateAge is the age above which a measured rate is replaced by the rate that the
	// slots allow, if that is known, since agents join and leave.
	maxRateAge = gypsumtide.Millis(10_000)
)

// Admission refuses jobs that cannot be answered by their deadline. Each pool
// and class needs its own Admission, since run times and slots differ. It is not
// safe for concurrent use.
type Admission struct {
	opts AdmissionOptions
	rng  *rand.Rand
	// rate is the measured service rate in tasks per millisecond, 0 if there is none.
	rate float64
	// rateAt is the time at which rate was measured.
	rateAt gypsumtide.Millis
	// measuring is set while the rate is measured. The measured period began at
	// periodStart, and periodCompleted tasks have ended in it.
	periodStart     gypsumtide.Millis
	periodCompleted int
	measuring       bool
}

// NewAdmission returns an Admission without a measured service rate.
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
	return &Admission{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0))}
}

// RecordCompleted records that n tasks have ended. waiting is the number of tasks that
// are still queued. The service rate is measured only over periods in which tasks were
// waiting at each call, because otherwise it would be the demand and not the capacity.
func (a *Admission) RecordCompleted(n, waiting int, now gypsumtide.Millis) {
	if waiting == 0 {
		a.measuring = false
		return
	}
	if !a.measuring {
		a.measuring, a.periodStart, a.periodCompleted = true, now, 0
		return
	}
	a.periodCompleted += n
	if d := now - a.periodStart; d >= rateWindow {
		a.rate, a.rateAt = float64(a.periodCompleted)/float64(d), now
		a.periodStart, a.periodCompleted = now, 0
	}
}

// ServiceRate returns the measured service rate in tasks per second, 0 if there is none.
func (a *Admission) ServiceRate() float64 { return a.rate * 1000 }

// Admit refuses the job if its last task would end after the deadline, or if admitted
// jobs of its team, of about its size or larger, would miss their deadlines because of it.
// Admitted jobs that will be late in any case are not protected. Admit makes neither
// prediction if the service rate is unknown, or if a short backlog fits into the time left;
// see shortBacklog.
func (a *Admission) Admit(req AdmissionRequest, now gypsumtide.Millis) gypsumtide.AdmissionDecision {
	remaining := req.Deadline - now
	if remaining <= req.MeanRunTime {
		return gypsumtide.Refused("deadline", "the mean run time exceeds the time left", a.retryAfter(0))
	}
	rate := a.rateFor(req, now)
	waitingTasks := max(0, req.Tasks-req.FreeSlots)
	if workload := float64(req.Backlog.Total + waitingTasks); rate <= 0 ||
		float64(req.Backlog.Total) < rate*shortBacklog && gypsumtide.Millis(workload/rate)+req.MeanRunTime <= remaining {
		// Without a rate, the wait cannot be predicted. Behind a short backlog, the slots
		// would soon be idle, so a job that may miss its deadline takes them from no
		// other job.
		return gypsumtide.Admitted()
	}
	// tasksAhead counts the team's tasks in the size ranges up to that of this job;
	// nextRange is the index of the first range of larger jobs.
	tasksAhead, nextRange := 0, 0
	for ; nextRange < len(req.Backlog.Ranges) && req.Backlog.Ranges[nextRange].MinSize <= req.Tasks; nextRange++ {
		tasksAhead += req.Backlog.Ranges[nextRange].Tasks
	}
	if latency := req.predictedWait(rate, tasksAhead, waitingTasks) + req.SlowestRunTime(req.Tasks); latency > remaining {
		return gypsumtide.Refused("deadline", "the predicted wait and run time exceed the time left", a.retryAfter(latency-remaining))
	}
	// Check the admitted jobs that this job would delay: those of its own size range
	// and of the larger ones.
	for _, r := range req.Backlog.Ranges[max(0, nextRange-1):] {
		aheadOfRange := tasksAhead
		if r.MinSize > req.Tasks {
			tasksAhead += r.Tasks
		} else {
			aheadOfRange -= r.Tasks
		}
		if r.Tasks == 0 || r.Deadline == 0 {
			continue
		}
		end := now + req.predictedWait(rate, aheadOfRange, r.Tasks+waitingTasks) + req.SlowestRunTime(max(req.Tasks, r.MinSize))
		if end > r.Deadline && now+req.predictedWait(rate, 0, tasksAhead) <= r.Deadline {
			return gypsumtide.Refused("deadline", "admitted jobs would miss their deadlines", a.retryAfter(end-r.Deadline))
		}
	}
	return gypsumtide.Admitted()
}

// predictedWait returns the time until tasksAhead tasks, those that overtake them, and
// then jobTasks tasks of the job or size range in question have left the queue. The team
// gets its share of the rate, or all of it once the waiting tasks of all teams have left.
func (req *AdmissionRequest) predictedWait(rate float64, tasksAhead, jobTasks int) gypsumtide.Millis {
	return gypsumtide.Millis(min(
		(float64(tasksAhead)*overtakeFactor+float64(jobTasks))/(rate*max(req.Backlog.Share, minShare)),
		(float64(req.Backlog.Total)*overtakeFactor+float64(jobTasks))/rate,
	))
}

// rateFor returns the service rate in tasks per millisecond: the measured rate if it is
// recent, or else the rate that the slots allow. If the slots or the mean run time are
// unknown, it returns the last measured rate, which is 0 if there is none.
func (a *Admission) rateFor(req AdmissionRequest, now gypsumtide.Millis) float64 {
	if req.MeanRunTime > 0 && req.Slots > 0 && (a.rate == 0 || now-a.rateAt > maxRateAge) {
		return float64(req.Slots) / float64(req.MeanRunTime)
	}
	return a.rate
}

// retryAfter returns the Retry-After of a refusal: excess within the bounds of the
// options, plus a random time of up to the same length, so that refused callers do not
// retry all at once. excess is the time by which the job, or an admitted one, would miss
// its deadline, 0 if it was not predicted.
func (a *Admission) retryAfter(excess gypsumtide.Millis) gypsumtide.Millis {
	base := min(max(excess, a.opts.MinRetryAfter), a.opts.MaxRetryAfter)
	return base + gypsumtide.Millis(a.rng.Int64N(int64(base)+1))
}
