package dispatch

import (
	"math"

	"gypsumtide"
)

// Thresholds of admission.
const (
	// lateFactor times the latency objective is the time after the arrival of a job until
	// which an answer is useful to the caller.
	lateFactor = 3
	// maxRunTimeFactor times the time until the deadline is the longest expected run
	// time of a step with which a job is admitted. It is above 1 because estimates are
	// often off by half.
	maxRunTimeFactor = 1.6
	// orderMargin is the time an order takes to reach its agent, plus the time the
	// answer takes to come back.
	orderMargin gypsumtide.Millis = 6
)

// admit decides whether a job can be served in useful time, and returns the refusal and
// false if it cannot. Under overload, a job that is admitted although it cannot meet its
// objective takes capacity from jobs that could meet theirs.
func (s *State) admit(now gypsumtide.Millis, j *job) (Answer, bool) {
	for i := range j.steps {
		if float64(s.expected(j, i)) > maxRunTimeFactor*float64(j.deadline-now) {
			return Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "cannot end before the deadline", RetryAfter: j.retryAfter()}, false
		}
		if len(j.steps[i].After) > 0 {
			continue
		}
		best, usable := s.shortestWait(j, i)
		if !usable && s.startingUp(now) {
			continue
		}
		if allowed := s.latestStart(j, i) - now; best > float64(allowed) {
			s.log.Decision("admission-refused", "job", j.id, "request", j.request, "expected-ms", s.expected(j, i), "best-wait-ms", math.Round(best),
				"allowed-ms", allowed, "patience", math.Round(100*s.backlog.slackShare())/100, "workers", s.Workers(), "view-age-ms", s.oldestLoadAge(now))
			return s.refusal(j, usable), false
		}
	}
	return Answer{}, true
}

// shortestWait returns the shortest expected wait for a step in milliseconds, and whether
// any worker accepts its tasks. Without such a worker the wait is infinite.
func (s *State) shortestWait(j *job, step int) (float64, bool) {
	best, usable := math.Inf(1), false
	n := len(s.workerList)
	for i := range n {
		w := s.workerList[(int(j.hash%uint64(n))+i)%n]
		if w.usable() && w.suits(j.route.Service, &j.steps[step]) {
			usable = true
			best = min(best, w.wait(j.steps[step].Size, j.route.Priority))
		}
		if best == 0 {
			break
		}
	}
	return best, usable
}

// oldestLoadAge returns the age of the oldest load report of a usable worker, or 0 if no
// worker is usable.
func (s *State) oldestLoadAge(now gypsumtide.Millis) gypsumtide.Millis {
	var age gypsumtide.Millis
	for _, w := range s.workerList {
		if w.usable() {
			age = max(age, now-w.loadReportedAt)
		}
	}
	return age
}

// startupGrace is how long after its start an entry still waits for agents to connect.
// After a power failure all hosts start at once, and callers arrive before the first
// agent has connected.
const startupGrace gypsumtide.Millis = 3000

func (s *State) startingUp(now gypsumtide.Millis) bool { return now-s.startedAt < startupGrace }

// refusal returns the answer for a job that no worker can start in time. hasWorker is false
// if no worker accepts its tasks at all.
func (s *State) refusal(j *job, hasWorker bool) Answer {
	a := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "no worker is free in time", RetryAfter: j.retryAfter()}
	if !hasWorker {
		a.Reason = "no worker takes such tasks"
		a.RetryAfter += minRetryAfter
	}
	return a
}

// Times after which refused callers may retry.
const (
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter gypsumtide.Millis = 1000
	// retrySpread is the interval over which retries are spread. During overload, or a
	// moment without workers, hundreds of callers are refused at once. If they all retried
	// at the same time, they would cause the next overload.
	retrySpread gypsumtide.Millis = 2000
)

// retryAfter returns the time after which the caller of a refused job may retry.
func (j *job) retryAfter() gypsumtide.Millis {
	return minRetryAfter + gypsumtide.Millis(j.hash%uint64(retrySpread))
}

// latestStart returns the latest start of a step's task for a job that has not started.
// It leaves the task enough time to end by the job's objective, with a larger reserve the
// more work has been queued recently. It is at least minQueueTime after the job's arrival.
func (s *State) latestStart(j *job, step int) gypsumtide.Millis {
	slack := float64(j.objective - j.arrivedAt - s.expected(j, step) - orderMargin)
	return j.arrivedAt + max(minQueueTime, gypsumtide.Millis(slack*s.backlog.slackShare()))
}

// minQueueTime is the time for which a task may always wait.
const minQueueTime gypsumtide.Millis = 15

// latestUsefulEnd returns the latest end with which the answer is still useful.
func (s *State) latestUsefulEnd(j *job) gypsumtide.Millis {
	return min(j.arrivedAt+lateFactor*(j.objective-j.arrivedAt), j.deadline) - orderMargin
}

// latestUsefulStart returns the latest start of a step's task with which the answer is
// still useful.
func (s *State) latestUsefulStart(j *job, step int) gypsumtide.Millis {
	return s.latestUsefulEnd(j) - s.expected(j, step)
}

// startBy returns the time after which the agent returns the order of a step's task
// instead of starting it. It is the deadline, or earlier while an ephemeral job has not
// started.
func (s *State) startBy(j *job, step int) gypsumtide.Millis {
	if !j.started && !j.stored {
		return min(s.latestStart(j, step), j.deadline)
	}
	return j.deadline
}
