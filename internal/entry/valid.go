package entry

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// maxReportedCount limits the slots of an upstream and the numbers of tasks that an agent or
// another home reports, so that sums of them do not overflow.
const maxReportedCount = 1 << 30

// maxReportedRate limits the rates in tasks per second that another home reports.
const maxReportedRate = 1e9

// validateCount returns a *gypsumtide.InvalidValueError unless n is from 0 to
// maxReportedCount.
func validateCount(field string, n int) error {
	if n < 0 || n > maxReportedCount {
		return &gypsumtide.InvalidValueError{Field: field, Value: n}
	}
	return nil
}

// validateLoad returns a *gypsumtide.InvalidValueError for a load with a count or a size out
// of range.
func validateLoad(l *gypsumtide.Load) error {
	for _, n := range []int{l.Running, l.Queued, l.RunningLong, l.QueuedLong, l.FromPeer, l.FromPeerLong} {
		if err := validateCount("number of tasks", n); err != nil {
			return err
		}
	}
	return l.Used.Validate()
}

// validateUsage returns a *gypsumtide.InvalidValueError for a usage with a rate or a count out
// of range.
func validateUsage(u *wire.TeamUsage) error {
	for _, rate := range []float64{u.Rate, u.Demand} {
		if !(rate >= 0 && rate <= maxReportedRate) { // A NaN is not in the range.
			return &gypsumtide.InvalidValueError{Field: "rate", Value: rate}
		}
	}
	return validateCount("open tasks", u.Open)
}

// validUsage returns the usages that are in range.
func validUsage(usage []wire.TeamUsage) ([]wire.TeamUsage, error) {
	var firstErr error
	valid := make([]wire.TeamUsage, 0, len(usage))
	for i := range usage {
		if err := validateUsage(&usage[i]); err != nil {
			if firstErr == nil {
				firstErr = fmt.Errorf("team %q: %w", usage[i].Team, err)
			}
			continue
		}
		valid = append(valid, usage[i])
	}
	return valid, firstErr
}

// validateForward returns a *gypsumtide.InvalidValueError for a submission without a job, and
// for one whose job has another id, no task or a task with a size or run time out of range.
func validateForward(f *wire.Forward) error {
	if f.Kind != wire.ForwardSubmit {
		return nil
	}
	if f.Job == nil || f.Job.Submission != f.Submission || len(f.Job.Tasks) == 0 {
		return &gypsumtide.InvalidValueError{Field: "forwarded job", Value: f.Submission}
	}
	for i := range f.Job.Tasks {
		t := &f.Job.Tasks[i]
		if err := t.Size.Validate(); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
		if t.RunTime < 0 || t.RunTime > gypsumtide.MaxDuration {
			return fmt.Errorf("task %d: %w", i, &gypsumtide.InvalidValueError{Field: "run time", Value: t.RunTime})
		}
	}
	return nil
}

// validUpstreams returns the announced upstreams whose values are in range.
func (h *home) validUpstreams(c *agentConn, upstreams []wire.Upstream) []wire.Upstream {
	valid := make([]wire.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		err := validateCount("slots", u.Slots)
		if err == nil {
			err = u.Capacity.Validate()
		}
		if err != nil {
			h.logOdd(c, "announced upstream ignored", fmt.Errorf("upstream %q: %w", u.Name, err))
			continue
		}
		valid = append(valid, u)
	}
	return valid
}

// logOdd logs the first value out of range that an incarnation of an agent sent.
func (h *home) logOdd(c *agentConn, what string, err error) {
	if c.oddLogged {
		return
	}
	c.oddLogged = true
	h.log.Error(err, what, "agent", c.record.Name, "incarnation", c.record.Incarnation)
}
