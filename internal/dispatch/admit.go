package dispatch

import (
	"math"

	"gypsumtide"
)

// Limits of admission.
const (
	// lateFactor times the objective is the latest time at which an answer is
	// still useful.
	lateFactor = 3
	// hopelessFactor times the time until the deadline is the expected run time
	// from which a job is refused. Estimates are often off by half.
	maxRunTimeFactor = 1.6
	// orderMargin is the time for an order to reach its agent and for the answer
	// to come back.
	orderMargin gypsumtide.Millis = 6
)

// admit decides whether a job can be served usefully. Load pattern: a crest
// above the capacity, where a job that is admitted without hope of its
// objective takes room from jobs that could meet theirs.
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

// bestWait returns the shortest expected wait for a step, and whether any
// worker takes its tasks.
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

// viewAge returns the age of the oldest load report of a worker in use.
func (s *State) oldestLoadAge(now gypsumtide.Millis) gypsumtide.Millis {
	var age gypsumtide.Millis
	for _, w := range s.workerList {
		if w.usable() {
			age = max(age, now-w.loadReportedAt)
		}
	}
	return age
}

// startingTime is how long after its start an entry expects agents to connect.
// Load pattern: all hosts return after a loss of power, and callers arrive
// before the first session.
const startupGrace gypsumtide.Millis = 3000

func (s *State) startingUp(now gypsumtide.Millis) bool { return now-s.startedAt < startupGrace }

// refusal describes why no worker is free, and when callers may return.
func (s *State) refusal(j *job, usable bool) Answer {
	a := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "no worker is free in time", RetryAfter: j.retryAfter()}
	if !usable {
		a.Reason = "no worker takes such tasks"
		a.RetryAfter += retryAfter
	}
	return a
}

// Times after which refused callers may return.
const (
	retryAfter gypsumtide.Millis = 1000
	// retrySpread is the time over which they return. Load pattern: a crest or a
	// moment without workers, at which hundreds are refused at once. If they returned
	// at once as well, they would be the next crest.
	retrySpread gypsumtide.Millis = 2000
)

// retryAfter returns when the caller of a refused job may return.
func (j *job) retryAfter() gypsumtide.Millis {
	return retryAfter + gypsumtide.Millis(j.hash%uint64(retrySpread))
}

// latestStart returns the latest start of a step's task for a job that has not
// begun. It leaves the job time to meet its objective, the more the longer the
// workers have been full.
func (s *State) latestStart(j *job, step int) gypsumtide.Millis {
	slack := float64(j.objective - j.arrivedAt - s.expected(j, step) - orderMargin)
	return j.arrivedAt + max(minQueueTime, gypsumtide.Millis(slack*s.backlog.slackShare()))
}

// minQueue is the shortest time for which a task may wait.
const minQueueTime gypsumtide.Millis = 15

// usefulEnd returns the latest end with which the answer is still useful.
func (s *State) latestUsefulEnd(j *job) gypsumtide.Millis {
	return min(j.arrivedAt+lateFactor*(j.objective-j.arrivedAt), j.deadline) - orderMargin
}

// lastUseful returns the latest start with which an answer is still useful.
func (s *State) latestUsefulStart(j *job, step int) gypsumtide.Millis {
	return s.latestUsefulEnd(j) - s.expected(j, step)
}

// startBy returns the latest useful start of a task.
func (s *State) startBy(j *job, step int) gypsumtide.Millis {
	if !j.started && !j.stored {
		return min(s.latestStart(j, step), j.deadline)
	}
	return j.deadline
}
