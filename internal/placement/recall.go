package placement

import (
	"cmp"
	"slices"

	"gypsumtide"
)

// RecallOptions configure a Recaller. The zero value of a field selects its default.
type RecallOptions struct {
	// MinAge is the time that a task must have been at its agent. A younger one
	// is probably about to start.
	MinAge gypsumtide.Millis
	// Ratio is the number of recalls allowed for each dispatch.
	Ratio float64
}

const (
	// defaultRecallAge is several round trips of a few milliseconds.
	defaultRecallAge = gypsumtide.Millis(50)
	// defaultRecallShare keeps the wasted messages under 0.1 per task. Each
	// recall costs three messages: the recall, its answer and a second dispatch.
	defaultRecallShare = 0.03
	// maxRecalls bounds the unused allowance of recalls.
	maxRecalls = 64
)

// DispatchedTask is a task that was dispatched and not reported as running.
type DispatchedTask struct {
	Task *gypsumtide.Task
	// Agent is the index of its agent.
	Agent int
	// DispatchedAt is the time of the dispatch.
	DispatchedAt gypsumtide.Millis
}

// Recaller chooses the queued tasks to take back from agents that are slow or
// full while another agent is idle. It is not safe for concurrent use.
type Recaller struct {
	o      RecallOptions
	tokens float64
}

// NewRecaller returns a Recaller without allowance.
func NewRecaller(o RecallOptions) *Recaller {
	if o.MinAge <= 0 {
		o.MinAge = defaultRecallAge
	}
	if o.Ratio <= 0 {
		o.Ratio = defaultRecallShare
	}
	return &Recaller{o: o}
}

// RecordDispatches records n dispatches, which allow recalls.
func (r *Recaller) RecordDispatches(n int) {
	r.tokens = min(r.tokens+r.o.Ratio*float64(n), maxRecalls)
}

// Recall returns the indexes in sent of the tasks to recall, those first that
// waited longest, weighted by the slowness of their agent. An agent runs its
// tasks in the order of arrival, so only the youngest ones are taken back, and
// no more than its tasks exceed its slots. All tasks are taken back from an
// ejected agent. There are never more recalls than free slots elsewhere that
// take their class.
func (r *Recaller) Recall(now gypsumtide.Millis, sent []DispatchedTask, agents []*gypsumtide.AgentView) []int {
	room, longRoom := PlaceableTasks(agents, 0)
	if min(room, int(r.tokens)) <= 0 {
		return nil
	}
	waiting := queued(sent, agents)
	urgency := func(i int) float64 { return float64(now-sent[i].DispatchedAt) * agents[sent[i].Agent].Slowness() }
	slices.SortFunc(waiting, func(a, b int) int { return cmp.Compare(urgency(b), urgency(a)) })
	var chosen []int
	for _, i := range waiting {
		long := sent[i].Task.Class() == gypsumtide.ClassLong
		if room == 0 || r.tokens < 1 || now-sent[i].DispatchedAt < r.o.MinAge || long && longRoom == 0 {
			continue
		}
		chosen = append(chosen, i)
		room--
		r.tokens--
		if long {
			longRoom--
		}
	}
	return chosen
}

// queued returns the indexes in sent of the tasks that probably wait at their agents.
func queued(sent []DispatchedTask, agents []*gypsumtide.AgentView) []int {
	var full []int
	for i, s := range sent {
		if v := agents[s.Agent]; v.Ejected() || v.Open() > v.Slots() {
			full = append(full, i)
		}
	}
	slices.SortFunc(full, func(a, b int) int {
		return cmp.Or(cmp.Compare(sent[a].Agent, sent[b].Agent), cmp.Compare(sent[b].DispatchedAt, sent[a].DispatchedAt))
	})
	kept, agent, n := full[:0], -1, 0
	for _, i := range full {
		if sent[i].Agent != agent {
			agent, n = sent[i].Agent, 0
		}
		n++
		if v := agents[agent]; v.Ejected() || n <= v.Open()-v.Slots() {
			kept = append(kept, i)
		}
	}
	return kept
}
