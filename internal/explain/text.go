package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gypsumtide"
)

// Write prints the answer as text.
func (a *Answer) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %s in zone %s: %s\n", a.Entry, a.Zone, a.stateText())
	fmt.Fprintf(&b, "workers: %d known, %d accept orders", a.Workers.Known, a.Workers.Usable)
	if zones := a.Workers.EvacuatedZones; len(zones) > 0 {
		fmt.Fprintf(&b, ", evacuated zones: %s", strings.Join(zones, ", "))
	}
	b.WriteByte('\n')
	if a.Route == nil {
		b.WriteString("route: none\n")
	} else {
		fmt.Fprintf(&b, "route: %s, service %s, priority %d\n", a.Route.Name, a.Route.Service, a.Route.Priority)
	}
	if a.Rejection != nil {
		fmt.Fprintf(&b, "request: rejected with status %d: %s\n", a.Rejection.Status, a.Rejection.Reason)
	}
	if a.Job != nil {
		a.Job.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (a *Answer) stateText() string {
	var states []string
	for _, s := range []struct {
		name string
		set  bool
	}{{"drains", a.Draining}, {"saturated", a.Saturated}, {"moves callers to other entries", a.MovingCallers}} {
		if s.set {
			states = append(states, s.name)
		}
	}
	if len(states) == 0 {
		return "serves, not saturated"
	}
	return strings.Join(states, ", ")
}

func (j *Job) write(b *strings.Builder) {
	switch {
	case j.InProgress:
		fmt.Fprintf(b, "job %s: in progress at this entry, the caller would wait for its answer\n", j.ID)
	case j.Stored:
		fmt.Fprintf(b, "job %s: stored; the owner of its partition runs it, this entry would choose as follows\n", j.ID)
	case j.Admission.Admitted:
		fmt.Fprintf(b, "job %s: admitted, objective in %d ms, deadline in %d ms\n", j.ID, j.Admission.Objective, j.Admission.Deadline)
	default:
		fmt.Fprintf(b, "job %s: refused, %s; retry after %d ms\n", j.ID, j.Admission.Reason, j.Admission.RetryAfter)
	}
	for i := range j.Steps {
		j.Steps[i].write(b, j.Stored)
	}
}

func (s *Step) write(b *strings.Builder, stored bool) {
	fmt.Fprintf(b, "step %d: a task takes %d ms, %d workers accept it, expected wait %s", s.Step, s.Expected, s.Accepting, waitText(s.Wait))
	if !stored {
		fmt.Fprintf(b, ", allowed %d ms", s.Allowed)
	}
	b.WriteByte('\n')
	if text := s.LeftOut.text(); text != "" {
		fmt.Fprintf(b, "  left out: %s\n", text)
	}
	if len(s.Tasks) == 0 {
		return
	}
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  TASK\tWORKER\tZONE\tWAIT\tEND\tCOST\tCANDIDATES\tDECISION")
	for i := range s.Tasks {
		s.Tasks[i].write(t)
	}
	_ = t.Flush() // Writes to a strings.Builder do not fail.
	if s.OmittedTasks > 0 {
		fmt.Fprintf(b, "  %d further tasks are not shown\n", s.OmittedTasks)
	}
}

func waitText(wait *gypsumtide.Millis) string {
	if wait == nil {
		return "none"
	}
	return fmt.Sprintf("%d ms", *wait)
}

func (l *LeftOut) text() string {
	var parts []string
	for _, r := range []struct {
		reason string
		n      int
	}{
		{"other service", l.OtherService}, {"too small", l.TooSmall}, {"label missing", l.LabelMissing}, {"zone evacuated", l.ZoneEvacuated},
		{"not connected", l.NotConnected}, {"not accepting", l.NotAccepting}, {"limit per worker", l.LimitPerWorker},
	} {
		if r.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", r.n, r.reason))
		}
	}
	return strings.Join(parts, ", ")
}

func (t *Task) write(w io.Writer) {
	if t.Worker == "" {
		fmt.Fprintf(w, "  %d\t-\t-\t-\t-\t-\t%d\t%s\n", t.Index, t.Candidates, t.decision())
		return
	}
	fmt.Fprintf(w, "  %d\t%s\t%s\t%d ms\t%d ms\t%d ms\t%d\t%s\n", t.Index, t.Worker, t.Zone, t.Wait, t.End, t.Cost, t.Candidates, t.decision())
}

func (t *Task) decision() string {
	text := "ordered"
	if !t.Ordered {
		text = "waits at the entry"
	}
	if t.Rack == nil {
		return text
	}
	text += ", " + t.Rack.Reason
	if c := t.Rack.Comparison; c != nil {
		text += fmt.Sprintf(" (rack %s: end %d ms, wait %d ms of at most %d; elsewhere: end %d ms, wait %d ms, cost to others %d ms)",
			t.Rack.Rack, c.RackEnd, c.RackWait, c.Bound, c.ElsewhereEnd, c.ElsewhereWait, c.CostToOthers)
	}
	return text
}
