package history

import (
	"cmp"
	"fmt"
	"slices"

	"gypsumtide"
)

// Rule names a promise that a history can break.
type Rule string

// The rules. Each compares what callers received with what upstreams ran.
const (
	// RuleSecondStart: a task of a submission started twice.
	RuleSecondStart Rule = "second-start"
	// RulePartial: a complete answer has fewer or more results than the job has tasks.
	RulePartial Rule = "partial"
	// RuleWrongBody: an answer holds the body of another submission or task, or no readable body.
	RuleWrongBody Rule = "crossed"
	// RuleTwoAnswers: one submission received two complete answers with different content.
	RuleTwoAnswers Rule = "two-answers"
	// RuleCompleteWithoutStart: a complete answer covers a task that no upstream started.
	RuleCompleteWithoutStart Rule = "complete-without-start"
	// RuleFalseNotRun: a task started that only attempts refused as not-run can have caused.
	RuleFalseNotRun Rule = "false-not-run"
	// RuleCutByShutdown: a request broke, or its outcome was lost, while only graceful stops happened.
	RuleCutByShutdown Rule = "cut-by-shutdown"
	// RuleStartAfterDrain: an upstream that was leaving received a task after DrainLimit.
	RuleStartAfterDrain Rule = "start-after-drain"
)

// Violation is a broken rule with its evidence.
type Violation struct {
	Rule       Rule   `json:"rule"`
	Submission string `json:"submission"`
	Detail     string `json:"detail"`
}

// String returns one line for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s: submission %s: %s", v.Rule, v.Submission, v.Detail)
}

// FaultEffectWindow is how long after the end of a fault its effect may still reach a
// request: an agent incarnation that stays away makes its open tasks
// outcome-unknown after 5 s, and sessions need time to come back.
const FaultEffectWindow = 7_000

// DrainLimit is the target for a leaving upstream to receive no new work.
const DrainLimit = 3_000

// idleRace is the time within which a broken request on a reused connection
// may be due to the entry closing that connection while it was idle.
const idleRace = 50

// tolerance covers wall clocks that are rounded to milliseconds.
const tolerance = 1

type submission struct {
	id       string
	attempts []Attempt
	starts   []Event
}

// Check compares the histories and returns the violations. Starts of
// submissions that no attempt names, as from direct calls, are subject to
// RuleSecondStart only. The hosts' wall clocks must agree, as on one machine.
func Check(attempts []Attempt, events []Event, faults []Fault) []Violation {
	var all []Violation
	for _, s := range collect(attempts, events) {
		all = append(all, s.checkStarts()...)
		if len(s.attempts) == 0 {
			continue
		}
		all = append(all, s.checkAnswers()...)
		all = append(all, s.checkRefusals()...)
		all = append(all, s.checkCuts(faults)...)
	}
	return append(all, checkDrains(events, faults)...)
}

func checkDrains(events []Event, faults []Fault) []Violation {
	var all []Violation
	for _, f := range faults {
		if !f.Stop || f.Upstream == "" {
			continue
		}
		for _, e := range events {
			if e.Event == EventStart && e.Upstream == f.Upstream && e.Wall > f.From+DrainLimit+tolerance && e.Wall < f.Until {
				all = append(all, Violation{Rule: RuleStartAfterDrain, Submission: e.Submission,
					Detail: fmt.Sprintf("task %d started at %s %.0f ms after %s of %s", e.Task, e.Upstream, e.Wall-f.From, f.Kind, f.Target)})
			}
		}
	}
	return all
}

func collect(attempts []Attempt, events []Event) []*submission {
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

// checkRefusals finds starts that make a not-run refusal false. A refusal
// speaks of its own request only, so a start is explained by any other attempt
// of the id that was sent before the start and did not end as not-run: it may
// have run the task while open, or after its connection broke. A start that
// only refused attempts precede belongs to one of them, whether it happened
// before or after the refusal was received, since not-run also says that
// nothing will start.
func (s *submission) checkRefusals() []Violation {
	var all []Violation
	for _, e := range s.starts {
		var refused *Attempt
		explained := false
		for i := range s.attempts {
			a := &s.attempts[i]
			if a.Sent > e.Wall+tolerance {
				continue
			}
			if a.mayStart() {
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

// mayStart reports whether the attempt's own answer admits that its tasks started.
func (a *Attempt) mayStart() bool {
	switch gypsumtide.Outcome(a.Outcome) {
	case gypsumtide.OutcomeNotRun, gypsumtide.OutcomeExpired:
		return false
	}
	return a.Step != StepConnect || a.Status != 0
}

// checkCuts finds requests that a graceful stop interrupted: the connection
// broke, or the outcome was lost before the deadline, although no other fault
// was near. A request that found no entry was not in progress. Nor was one that
// was sent after the stops, of which nothing started: the design lets a new
// home answer outcome-unknown for an id that an agent, which has left, may have
// started.
func (s *submission) checkCuts(faults []Fault) []Violation {
	var all []Violation
	for _, a := range s.attempts {
		cut := a.Status == 0 && a.Step == StepAnswer && !s.idleClose(a) && !s.refusedByProxy(a, faults)
		lost := a.Outcome == string(gypsumtide.OutcomeUnknown) && !a.Cancelled && a.Received < a.Sent+a.Deadline &&
			(len(s.starts) > 0 || stoppedDuring(a, faults))
		if (cut || lost) && !disturbed(a, faults) {
			all = append(all, s.violation(RuleCutByShutdown, "attempt %d at %s: outcome %q, step %s, %s", a.Attempt, a.Entry, a.Outcome, a.Step, a.Detail))
		}
	}
	return all
}

// stoppedDuring reports whether a graceful stop of a process began while the attempt was open.
func stoppedDuring(a Attempt, faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Stop && a.Sent <= f.From && f.From <= a.Received })
}

// idleClose reports whether the entry may have closed an idle connection just
// as the request was sent, which HTTP/1.1 cannot rule out. A request whose
// tasks started was in progress.
func (s *submission) idleClose(a Attempt) bool {
	return a.Reused && a.Received-a.Sent < idleRace && !s.startedBy(a)
}

// startedBy reports whether a task started that no answered attempt but a can have caused.
func (s *submission) startedBy(a Attempt) bool {
	return slices.ContainsFunc(s.starts, func(e Event) bool {
		return a.Sent <= e.Wall+tolerance && !slices.ContainsFunc(s.attempts, func(b Attempt) bool {
			return b.Attempt != a.Attempt && b.Status != 0 && b.mayStart() && b.Sent <= e.Wall+tolerance
		})
	})
}

// restartTime is how long a restarted entry may take until it listens.
const restartTime = 1_000

// refusedByProxy reports whether the request met a proxy of a stopped entry
// and cannot have been accepted, as it started no task.
func (s *submission) refusedByProxy(a Attempt, faults []Fault) bool {
	for _, f := range faults {
		if f.Entry != "" && f.Entry == a.Entry && f.From <= a.Sent && a.Sent <= f.Until+restartTime && !s.startedBy(a) {
			return true
		}
	}
	return false
}

// disturbed reports whether a fault other than a graceful stop can have touched the attempt.
func disturbed(a Attempt, faults []Fault) bool {
	for _, f := range faults {
		if !f.Graceful && f.From <= a.Received && f.Until+FaultEffectWindow >= a.Sent {
			return true
		}
	}
	return false
}
