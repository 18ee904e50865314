package placement

import (
	"math/rand/v2"

	"gypsumtide"
)

// baseline places each task at once, whether or not the agent has a free slot.
// Only the agent's own queue bounds it. Ejected agents and agents that the
// declared size does not fit are left out, as every balancer does.
type baseline struct {
	name   string
	choose func(b *baseline, agents []*gypsumtide.AgentView) int
	rng    *rand.Rand
	next   int
	usable []*gypsumtide.AgentView
	index  []int
}

// Name implements gypsumtide.Placer.
func (b *baseline) Name() string { return b.name }

// Place implements gypsumtide.Placer.
func (b *baseline) Place(t *gypsumtide.Task, agents []*gypsumtide.AgentView, _ gypsumtide.Millis) gypsumtide.Decision {
	b.usable, b.index = b.usable[:0], b.index[:0]
	for i, v := range agents {
		if usable(t, v) {
			b.usable = append(b.usable, v)
			b.index = append(b.index, i)
		}
	}
	if len(b.usable) == 0 {
		return gypsumtide.NewDecision(-1, "no agent can take the task")
	}
	return gypsumtide.NewDecision(b.index[b.choose(b, b.usable)], b.name)
}

func usable(t *gypsumtide.Task, v *gypsumtide.AgentView) bool {
	return !v.Ejected() && v.Slots() > 0 && t.Size().Fits(v.Capacity())
}

func random(b *baseline, agents []*gypsumtide.AgentView) int {
	return b.rng.IntN(len(agents))
}

func roundRobin(b *baseline, agents []*gypsumtide.AgentView) int {
	b.next++
	return b.next % len(agents)
}

func leastLoaded(b *baseline, agents []*gypsumtide.AgentView) int {
	best, equal := 0, 1
	for i := 1; i < len(agents); i++ {
		switch d := agents[i].Open() - agents[best].Open(); {
		case d < 0:
			best, equal = i, 1
		case d == 0:
			equal++
			if b.rng.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

func powerOfTwo(b *baseline, agents []*gypsumtide.AgentView) int {
	i, j := b.rng.IntN(len(agents)), b.rng.IntN(len(agents))
	if agents[j].Open() < agents[i].Open() {
		return j
	}
	return i
}
