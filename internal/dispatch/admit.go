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
			return Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "cannot end before the deadline", RetryAfter: s.retryAfter(j, 0)}, false
		}
	}
	if work := s.work(j); !s.shares.admit(now, &j.route, work) {
		wait := waitForAll(s.rooms(j, 0), s.tasksUntilStarted(j, 0))
		s.log.Decision("admission-refused", "job", j.id, "request", j.request, "reason", "share", "work", math.Round(work), "best-wait-ms", math.Round(wait),
			"excess", math.Round(100*s.shares.excess)/100, "backlog", math.Round(100*s.backlog.average)/100)
		return Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "the share of the route is used up", RetryAfter: s.retryAfter(j, wait)}, false
	}
	for i := range j.steps {
		if len(j.steps[i].After) > 0 {
			continue
		}
		if a, ok := s.admitStep(now, j, i); !ok {
			return a, false
		}
	}
	return Answer{}, true
}

// admitStep decides whether all tasks of a step can start early enough to end by the job's
// objective, after the tasks that wait at this entry.
func (s *State) admitStep(now gypsumtide.Millis, j *job, step int) (Answer, bool) {
	rooms := s.rooms(j, step)
	if len(rooms) == 0 && s.startingUp(now) {
		return Answer{}, true
	}
	tasks := s.tasksUntilStarted(j, step)
	allowed := s.allowedWait(j, step)
	if allStartWithin(rooms, tasks, float64(allowed)) {
		return Answer{}, true
	}
	wait := waitForAll(rooms, tasks)
	s.log.Decision("admission-refused", "job", j.id, "request", j.request, "reason", "room", "expected-ms", s.expected(j, step), "best-wait-ms", math.Round(wait),
		"allowed-ms", allowed, "tasks", j.steps[step].Tasks, "waiting", math.Round(tasks)-float64(j.steps[step].Tasks), "workers", s.Workers(), "view-age-ms", s.oldestLoadAge(now))
	return s.refusal(j, wait, len(rooms) > 0), false
}

// tasksUntilStarted returns the number of tasks of the size of the step's that have to start
// until all of the step have, including those that wait at this entry and go first.
func (s *State) tasksUntilStarted(j *job, step int) float64 {
	return float64(j.steps[step].Tasks) + s.waiting.before(j.route.Priority, j.steps[step].Size)
}

// rooms returns the room for tasks of a step at each worker that accepts them. The result is
// valid until the next call.
func (s *State) rooms(j *job, step int) []workerRoom {
	rooms := s.roomBuffer[:0]
	for _, w := range s.workerList {
		if w.usable() && w.suits(j.route.Service, &j.steps[step]) {
			rooms = append(rooms, w.roomFor(&j.steps[step], j.route.Priority, float64(s.expected(j, step))))
		}
	}
	s.roomBuffer = rooms
	return rooms
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

// refusal returns the answer for a job whose tasks could only start after the wait in
// milliseconds. hasWorker is false if no worker accepts its tasks at all.
func (s *State) refusal(j *job, wait float64, hasWorker bool) Answer {
	a := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "no worker is free in time", RetryAfter: s.retryAfter(j, wait)}
	if !hasWorker {
		a.Reason = "no worker takes such tasks"
		a.RetryAfter = minRetryAfter + s.retryAfter(j, 0)
	}
	return a
}

// Times after which refused callers may retry.
const (
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter gypsumtide.Millis = 1000
	// retrySpread is the shortest interval over which retries are spread, maxRetrySpread the
	// longest. During overload, or a moment without workers, hundreds of callers are refused
	// at once. If they all retried at the same time, they would cause the next overload.
	retrySpread    gypsumtide.Millis = 2000
	maxRetrySpread gypsumtide.Millis = 8000
	// maxRetryLoad is the largest load that the retries of the jobs that were refused within
	// a second add, relative to the admitted load.
	maxRetryLoad = 0.1
)

// retryAfter returns the time after which the caller of a refused job may retry. It is the
// wait in milliseconds after which there is room, and a part of the interval over which the
// retries are spread.
func (s *State) retryAfter(j *job, wait float64) gypsumtide.Millis {
	spread := gypsumtide.Millis(1000 / maxRetryLoad * s.shares.excess / (1 - s.shares.excess))
	spread = min(maxRetrySpread, max(retrySpread, spread))
	return max(minRetryAfter, gypsumtide.Millis(min(wait, maxExpectedWait))) + gypsumtide.Millis(j.hash%uint64(spread))
}

// latestStart returns the latest start of a step's task for a job that has not started.
// It leaves the task enough time to end by the job's objective, with a larger reserve the
// more work has been queued recently. It is at least minQueueTime after the job's arrival.
func (s *State) latestStart(j *job, step int) gypsumtide.Millis {
	return j.arrivedAt + max(minQueueTime, gypsumtide.Millis(float64(s.slack(j, step))*s.backlog.slackShare()))
}

// allowedWait returns the longest expected wait until all tasks of a step have started with
// which a job is admitted.
func (s *State) allowedWait(j *job, step int) gypsumtide.Millis {
	return max(minQueueTime, s.slack(j, step))
}

// slack returns the time after its arrival for which a job can wait and still meet its
// objective. It is negative if the job cannot meet it.
func (s *State) slack(j *job, step int) gypsumtide.Millis {
	return j.objective - j.arrivedAt - s.expected(j, step) - orderMargin
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
