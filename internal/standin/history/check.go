package history

import (
	"cmp"
	"fmt"
	"slices"

	"gypsumtide"
)

// Rule identifies a guarantee that a history can violate.
type Rule string

// The rules. They compare what callers received with what upstreams ran.
const (
	// RuleSecondStart: a task of a submission started twice.
	RuleSecondStart Rule = "second-start"
	// RulePartial: a complete answer has fewer or more results than the job has
	// tasks, or an answer that is not complete has results.
	RulePartial Rule = "partial"
	// RuleWrongBody: an answer contains the body of another submission or task, or an
	// unreadable body.
	RuleWrongBody Rule = "crossed"
	// RuleTwoAnswers: one submission received two complete answers with different content.
	RuleTwoAnswers Rule = "two-answers"
	// RuleCompleteWithoutStart: a complete answer covers a task that no upstream started.
	RuleCompleteWithoutStart Rule = "complete-without-start"
	// RuleFalseNotRun: a task started although every attempt that can have caused the
	// start was refused as not-run.
	RuleFalseNotRun Rule = "false-not-run"
	// RuleCutByShutdown: the connection of a request broke, or its outcome was lost,
	// although no fault that may interrupt requests can have affected it.
	RuleCutByShutdown Rule = "cut-by-shutdown"
	// RuleStartAfterDrain: an upstream that had been leaving for longer than DrainLimit
	// received a task.
	RuleStartAfterDrain Rule = "start-after-drain"
)

// Violation reports a violated rule with its evidence.
type Violation struct {
	Rule       Rule   `json:"rule"`
	Submission string `json:"submission"`
	Detail     string `json:"detail"`
}

// String formats the violation as one line for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s: submission %s: %s", v.Rule, v.Submission, v.Detail)
}

// FaultEffectWindow is the time in milliseconds after the end of a fault within which
// it may still affect requests: an entry waits 5 s for a lost agent process to return
// before the outcome of the tasks open there becomes outcome-unknown, and the sessions
// between entries and agents need time to reconnect.
const FaultEffectWindow = 7_000

// DrainLimit is the time in milliseconds since an upstream began to leave after which
// it must receive no new task.
const DrainLimit = 3_000

// idleCloseWindow is the time in milliseconds within which a request on a reused
// connection may break because the entry closed the idle connection.
const idleCloseWindow = 50

// clockTolerance, in milliseconds, allows for wall clock times that are rounded to
// milliseconds.
const clockTolerance = 1

// submission collects the attempts and starts of one submission ID.
type submission struct {
	id       string
	attempts []Attempt
	starts   []Event
}

// Check compares the histories and returns the violations. For submissions without
// an attempt, such as calls made directly to an upstream, it checks only
// RuleSecondStart and RuleStartAfterDrain. The wall clocks of all hosts must agree, as
// on one machine.
func Check(attempts []Attempt, events []Event, faults []Fault) []Violation {
	var all []Violation
	for _, s := range groupBySubmission(attempts, events) {
		all = append(all, s.checkStarts()...)
		if len(s.attempts) == 0 {
			continue
		}
		all = append(all, s.checkAnswers()...)
		all = append(all, s.checkRefusals()...)
		all = append(all, s.checkInterruptions(faults)...)
	}
	return append(all, checkDrains(events, faults)...)
}

// checkDrains finds tasks that started on an upstream that had been leaving for longer
// than DrainLimit.
func checkDrains(events []Event, faults []Fault) []Violation {
	var all []Violation
	for _, f := range faults {
		if !f.Stop || f.Upstream == "" {
			continue
		}
		for _, e := range events {
			if e.Event == EventStart && e.Upstream == f.Upstream && e.Wall > f.From+DrainLimit+clockTolerance && e.Wall < f.Until {
				all = append(all, Violation{Rule: RuleStartAfterDrain, Submission: e.Submission,
					Detail: fmt.Sprintf("task %d started at %s %.0f ms after %s of %s", e.Task, e.Upstream, e.Wall-f.From, f.Kind, f.Target)})
			}
		}
	}
	return all
}

// groupBySubmission returns the submissions in order of their first mention, with the
// starts sorted by time.
func groupBySubmission(attempts []Attempt, events []Event) []*submission {
	byID := map[string]*submission{}
	var order []*submission
	get := func(id string) *submission {
		s, ok := byID[id]
		if !ok {
			s = &submission{id: id}
			byID[id] = s
			order = append(order, s)
		}
		return s
	}
	for _, a := range attempts {
		s := get(a.Submission)
		s.attempts = append(s.attempts, a)
	}
	for _, e := range events {
		if e.Event == EventStart {
			s := get(e.Submission)
			s.starts = append(s.starts, e)
		}
	}
	for _, s := range order {
		slices.SortStableFunc(s.starts, func(a, b Event) int { return cmp.Compare(a.Wall, b.Wall) })
	}
	return order
}

func (s *submission) violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Submission: s.id, Detail: fmt.Sprintf(format, args...)}
}

// checkStarts finds tasks that started more than once.
func (s *submission) checkStarts() []Violation {
	var all []Violation
	first := map[int]Event{}
	for _, e := range s.starts {
		f, ok := first[e.Task]
		if !ok {
			first[e.Task] = e
			continue
		}
		all = append(all, s.violation(RuleSecondStart, "task %d started at %s and %.0f ms later at %s", e.Task, f.Upstream, e.Wall-f.Wall, e.Upstream))
	}
	return all
}

// checkAnswers finds answers whose content does not match the submission, an earlier
// answer to it or the starts of its tasks.
func (s *submission) checkAnswers() []Violation {
	var all []Violation
	started := map[int]bool{}
	for _, e := range s.starts {
		started[e.Task] = true
	}
	digest := ""
	for _, a := range s.attempts {
		if a.Outcome != string(gypsumtide.OutcomeComplete) {
			if a.Results > 0 {
				all = append(all, s.violation(RulePartial, "attempt %d: outcome %s with %d results", a.Attempt, a.Outcome, a.Results))
			}
			continue
		}
		if a.Results != a.Tasks {
			all = append(all, s.violation(RulePartial, "attempt %d: %d results for %d tasks", a.Attempt, a.Results, a.Tasks))
		}
		if a.Check != CheckOK {
			all = append(all, s.violation(RuleWrongBody, "attempt %d: bodies are %s", a.Attempt, a.Check))
		}
		if digest != "" && a.Digest != digest {
			all = append(all, s.violation(RuleTwoAnswers, "attempt %d received %s, an earlier one %s", a.Attempt, a.Digest, digest))
		}
		digest = a.Digest
		for task := range a.Tasks {
			if !started[task] {
				all = append(all, s.violation(RuleCompleteWithoutStart, "attempt %d: task %d has no start", a.Attempt, task))
				break
			}
		}
	}
	return all
}

// checkRefusals finds starts that contradict a not-run refusal. A refusal applies
// to its own request only, so a start is explained by any other attempt of the ID
// that was sent before the start and may have started tasks, while it was open or
// after its connection broke. If there is no such attempt, one that was refused
// must have caused the start. It does not matter whether the start came before or
// after the refusal was received, since not-run also guarantees that nothing will
// start.
func (s *submission) checkRefusals() []Violation {
	var all []Violation
	for _, e := range s.starts {
		var refused *Attempt
		explained := false
		for i := range s.attempts {
			a := &s.attempts[i]
			if a.Sent > e.Wall+clockTolerance {
				continue
			}
			if a.mayHaveStarted() {
				explained = true
				break
			}
			if a.Outcome == string(gypsumtide.OutcomeNotRun) {
				refused = a
			}
		}
		if !explained && refused != nil {
			all = append(all, s.violation(RuleFalseNotRun, "task %d started at %s %.1f ms after attempt %d was sent, which was refused after %.1f ms (step %s)",
				e.Task, e.Upstream, e.Wall-refused.Sent, refused.Attempt, refused.Received-refused.Sent, refused.Step))
		}
	}
	return all
}

// mayHaveStarted reports whether tasks of the attempt may have started, judging by its
// outcome, step and status.
func (a *Attempt) mayHaveStarted() bool {
	switch gypsumtide.Outcome(a.Outcome) {
	case gypsumtide.OutcomeNotRun, gypsumtide.OutcomeExpired:
		return false
	}
	return a.Step != StepConnect || a.Status != 0
}

// checkInterruptions finds requests that a graceful stop interrupted: the connection
// broke, or the outcome was lost before the deadline, although no fault that may
// interrupt requests was close in time. A request that could not connect to an entry was
// not in progress and is not reported, and neither are the cases of idleClose and
// reachedOnlyProxy. A lost outcome is not reported if no task of the submission started
// and no process began to stop during the request: by design, a new home may answer
// outcome-unknown for an ID whose tasks may have been started by an agent that has left
// since.
func (s *submission) checkInterruptions(faults []Fault) []Violation {
	var all []Violation
	for _, a := range s.attempts {
		interrupted := a.Status == 0 && a.Step == StepAnswer && !s.idleClose(a) && !s.reachedOnlyProxy(a, faults)
		lost := a.Outcome == string(gypsumtide.OutcomeUnknown) && !a.Cancelled && a.Received < a.Sent+a.Deadline &&
			(len(s.starts) > 0 || stoppedDuring(a, faults))
		if (interrupted || lost) && !affectedByFault(a, faults) {
			all = append(all, s.violation(RuleCutByShutdown, "attempt %d at %s: outcome %q, step %s, %s", a.Attempt, a.Entry, a.Outcome, a.Step, a.Detail))
		}
	}
	return all
}

// stoppedDuring reports whether the graceful stop of a process began while the
// attempt was open.
func stoppedDuring(a Attempt, faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Stop && a.Sent <= f.From && f.From <= a.Received })
}

// idleClose reports whether the entry may have closed the idle connection just as
// the request was sent, a race that HTTP/1.1 cannot rule out. If the request caused the
// start of a task, the entry had accepted it.
func (s *submission) idleClose(a Attempt) bool {
	return a.Reused && a.Received-a.Sent < idleCloseWindow && !s.soleCauseOfStart(a)
}

// soleCauseOfStart reports whether a task started after a was sent although no other
// answered attempt can have caused the start.
func (s *submission) soleCauseOfStart(a Attempt) bool {
	return slices.ContainsFunc(s.starts, func(e Event) bool {
		return a.Sent <= e.Wall+clockTolerance && !slices.ContainsFunc(s.attempts, func(b Attempt) bool {
			return b.Attempt != a.Attempt && b.Status != 0 && b.mayHaveStarted() && b.Sent <= e.Wall+clockTolerance
		})
	})
}

// maxRestartTime is the time in milliseconds that a restarted entry may take until it
// listens.
const maxRestartTime = 1_000

// reachedOnlyProxy reports whether the request was sent to the proxy of a stopped
// entry and started no task, so the entry cannot have accepted it.
func (s *submission) reachedOnlyProxy(a Attempt, faults []Fault) bool {
	for _, f := range faults {
		if f.Entry != "" && f.Entry == a.Entry && f.From <= a.Sent && a.Sent <= f.Until+maxRestartTime && !s.soleCauseOfStart(a) {
			return true
		}
	}
	return false
}

// affectedByFault reports whether a fault that is not graceful can have affected the
// attempt.
func affectedByFault(a Attempt, faults []Fault) bool {
	for _, f := range faults {
		if !f.Graceful && f.From <= a.Received && f.Until+FaultEffectWindow >= a.Sent {
			return true
		}
	}
	return false
}
