package placement

import (
	"fmt"

	"gypsumtide"
)

// Fits reports whether a task can ever run on the agents that serve its service, and if
// not, why. Ejected and full agents count as able to run it, since both states are
// temporary.
func Fits(t *gypsumtide.Task, agents []*gypsumtide.AgentView) (reason string, ok bool) {
	if len(agents) == 0 {
		return fmt.Sprintf("no agent serves %s", t.Service()), false
	}
	anySlots := false
	var largest gypsumtide.Size
	for _, v := range agents {
		anySlots = anySlots || v.Slots() > 0
		if v.Slots() > 0 && t.Size().Fits(v.Capacity()) {
			if t.Class() == gypsumtide.ClassShort || v.Slots() > v.ReservedShort() {
				return "", true
			}
		}
		largest = maxSize(largest, v.Capacity())
	}
	if !anySlots {
		return fmt.Sprintf("no agent that serves %s has slots", t.Service()), false
	}
	if !fitsAny(t, agents) {
		return fmt.Sprintf("the declared size %s is too large for every worker, the largest capacity of each resource is %s", formatSize(t.Size()), formatSize(largest)), false
	}
	return "all slots of the workers that are large enough are reserved for short tasks", false
}

// fitsAny reports whether the declared size of the task fits an agent with slots.
func fitsAny(t *gypsumtide.Task, agents []*gypsumtide.AgentView) bool {
	for _, v := range agents {
		if v.Slots() > 0 && t.Size().Fits(v.Capacity()) {
			return true
		}
	}
	return false
}

// maxSize returns the maximum of a and b in each dimension.
func maxSize(a, b gypsumtide.Size) gypsumtide.Size {
	return gypsumtide.Size{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func formatSize(s gypsumtide.Size) string {
	return fmt.Sprintf("%d milli-processors, %d MiB, %d accelerators", s.Processors, s.Memory, s.Accelerators)
}

// placeableTasks returns upper bounds of the numbers of short and long tasks that the
// policy BelievedFree can place now in free slots and overcommit positions. Positions
// that only the equal share of a home allows are not counted.
func placeableTasks(agents []*gypsumtide.AgentView, overcommit int) (short, long int) {
	for _, v := range agents {
		if v.Ejected() {
			continue
		}
		positions := max(0, v.Slots()+overcommit-v.OpenTasks())
		openLong := v.OwnTasks(gypsumtide.ClassLong) + v.OtherTasks(gypsumtide.ClassLong)
		short += positions
		long += min(positions, max(0, v.Slots()-v.ReservedShort()-openLong))
	}
	return short, long
}
