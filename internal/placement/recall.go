package placement

import (
	"cmp"
	"slices"

	"gypsumtide"
)

// RecallOptions configure a Recaller. The zero value of a field selects its default.
type RecallOptions struct {
	// MinAge is the time after its dispatch during which a task is not recalled, since it
	// is probably about to start.
	MinAge gypsumtide.Millis
	// Ratio is the number of recalls allowed for each dispatch.
	Ratio float64
}

const (
	// defaultMinRecallAge is the time of several round trips of a few milliseconds.
	defaultMinRecallAge = gypsumtide.Millis(50)
	// defaultRecallRatio keeps the extra messages below 0.1 per task. Each recall costs
	// three: the recall, its answer and a second dispatch.
	defaultRecallRatio = 0.03
	// maxTokens bounds the number of recalls that may accumulate while none are needed.
	maxTokens = 64
)

// DispatchedTask is a task that was sent to an agent and is not reported as running.
type DispatchedTask struct {
	Task *gypsumtide.Task
	// Agent is the index of the task's agent.
	Agent        int
	DispatchedAt gypsumtide.Millis
}

// Recaller chooses tasks to take back from the queues of agents that are ejected or full
// while another agent has a free slot. It is not safe for concurrent use.
type Recaller struct {
	opts RecallOptions
	// tokens is the number of recalls allowed now.
	tokens float64
}

// NewRecaller returns a Recaller that allows no recalls before the first dispatches.
func NewRecaller(o RecallOptions) *Recaller {
	if o.MinAge <= 0 {
		o.MinAge = defaultMinRecallAge
	}
	if o.Ratio <= 0 {
		o.Ratio = defaultRecallRatio
	}
	return &Recaller{opts: o}
}

// RecordDispatches records n dispatches, which increase the number of allowed recalls.
func (r *Recaller) RecordDispatches(n int) {
	r.tokens = min(r.tokens+r.opts.Ratio*float64(n), maxTokens)
}

// Recall returns the indexes in sent of the tasks to recall, ordered by their wait
// multiplied by the slowness of their agent, largest first. An agent runs its tasks in
// the order of arrival, so only the last ones are recalled, at most as many as its open
// tasks exceed its slots. From an ejected agent, any task may be recalled. There are never
// more recalls than free slots of agents that are not ejected and may run a task of the
// class.
func (r *Recaller) Recall(now gypsumtide.Millis, sent []DispatchedTask, agents []*gypsumtide.AgentView) []int {
	freeSlots, freeLongSlots := placeableTasks(agents, 0)
	if min(freeSlots, int(r.tokens)) <= 0 {
		return nil
	}
	queued := probablyQueued(sent, agents)
	urgency := func(i int) float64 { return float64(now-sent[i].DispatchedAt) * agents[sent[i].Agent].Slowness() }
	slices.SortFunc(queued, func(a, b int) int { return cmp.Compare(urgency(b), urgency(a)) })
	var chosen []int
	for _, i := range queued {
		long := sent[i].Task.Class() == gypsumtide.ClassLong
		if freeSlots == 0 || r.tokens < 1 || now-sent[i].DispatchedAt < r.opts.MinAge || long && freeLongSlots == 0 {
			continue
		}
		chosen = append(chosen, i)
		freeSlots--
		r.tokens--
		if long {
			freeLongSlots--
		}
	}
	return chosen
}

// probablyQueued returns the indexes in sent of the tasks that probably wait in the queue
// of their agent.
func probablyQueued(sent []DispatchedTask, agents []*gypsumtide.AgentView) []int {
	var candidates []int
	for i, s := range sent {
		if v := agents[s.Agent]; v.Ejected() || v.OpenTasks() > v.Slots() {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(sent[a].Agent, sent[b].Agent), cmp.Compare(sent[b].DispatchedAt, sent[a].DispatchedAt))
	})
	// rank is the position of a task among those of its agent, the newest first.
	kept, currentAgent, rank := candidates[:0], -1, 0
	for _, i := range candidates {
		if sent[i].Agent != currentAgent {
			currentAgent, rank = sent[i].Agent, 0
		}
		rank++
		if v := agents[currentAgent]; v.Ejected() || rank <= v.OpenTasks()-v.Slots() {
			kept = append(kept, i)
		}
	}
	return kept
}
