package placement

import (
	"math/rand/v2"

	"gypsumtide"
)

// baseline is a policy that places each task at once, whether or not the agent has a free
// slot. The number of tasks at an agent is bounded only by the agent's own queue. Like any
// load balancer, it skips agents that are ejected or too small for the declared size.
type baseline struct {
	name   string
	choose func(b *baseline, agents []*gypsumtide.AgentView) int
	rng    *rand.Rand
	// choices counts the tasks that roundRobin has placed.
	choices int
	// usableAgents and indexes hold the agents that can run the task and their indexes
	// in the argument of Place. They are kept to avoid allocations.
	usableAgents []*gypsumtide.AgentView
	indexes      []int
}

// Name implements gypsumtide.Placer.
func (b *baseline) Name() string { return b.name }

// Place implements gypsumtide.Placer.
func (b *baseline) Place(t *gypsumtide.Task, agents []*gypsumtide.AgentView, _ gypsumtide.Millis) gypsumtide.PlacementDecision {
	b.usableAgents, b.indexes = b.usableAgents[:0], b.indexes[:0]
	for i, v := range agents {
		if canRun(t, v) {
			b.usableAgents = append(b.usableAgents, v)
			b.indexes = append(b.indexes, i)
		}
	}
	if len(b.usableAgents) == 0 {
		return gypsumtide.NewPlacementDecision(-1, "no agent can take the task")
	}
	return gypsumtide.NewPlacementDecision(b.indexes[b.choose(b, b.usableAgents)], b.name)
}

// canRun reports whether the agent is not ejected, has slots, and is large enough for the
// task.
func canRun(t *gypsumtide.Task, v *gypsumtide.AgentView) bool {
	return !v.Ejected() && v.Slots() > 0 && t.Size().Fits(v.Capacity())
}

func random(b *baseline, agents []*gypsumtide.AgentView) int {
	return b.rng.IntN(len(agents))
}

func roundRobin(b *baseline, agents []*gypsumtide.AgentView) int {
	b.choices++
	return b.choices % len(agents)
}

func leastLoaded(b *baseline, agents []*gypsumtide.AgentView) int {
	best, ties := 0, 1
	for i := 1; i < len(agents); i++ {
		switch d := agents[i].OpenTasks() - agents[best].OpenTasks(); {
		case d < 0:
			best, ties = i, 1
		case d == 0:
			ties++
			if b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func powerOfTwo(b *baseline, agents []*gypsumtide.AgentView) int {
	i, j := b.rng.IntN(len(agents)), b.rng.IntN(len(agents))
	if agents[j].OpenTasks() < agents[i].OpenTasks() {
		return j
	}
	return i
}
