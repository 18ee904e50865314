package placement

import (
	"math/rand/v2"

	"gypsumtide"
)

// believedFree places a task only where a slot is believed free, or else in a
// bounded number of overcommit positions that hide the round trip.
type believedFree struct {
	o   Options
	rng *rand.Rand
}

// The reasons of decisions.
const (
	reasonFree       = "free slot, least believed load"
	reasonFreeLocal  = "free slot, local availability zone"
	reasonOvercommit = "no free slot, overcommit position"
	reasonWait       = "no free slot"
)

const (
	// scanLimit is the number of candidates up to which all are compared.
	scanLimit = 16
	// probePairs bounds the random pairs tried before all candidates are scanned.
	probePairs = 3
	// scoreSteps is the resolution of scores. One step is half a slot of an
	// agent with 8 slots, so that the availability zone decides near ties.
	scoreSteps = 16
)

// Name implements gypsumtide.Placer.
func (p *believedFree) Name() string { return BelievedFree }

// position is where a task would go at an agent.
type position int

const (
	positionNone position = iota
	positionOvercommit
	positionFree
)

// candidate rates an agent for a task.
type candidate struct {
	agent    int
	position position
	score    int
	local    bool
}

// better reports whether c is strictly better than d.
func (c candidate) better(d candidate) bool {
	if c.position != d.position {
		return c.position > d.position
	}
	if c.score != d.score {
		return c.score < d.score
	}
	return c.local && !d.local
}

// Place implements gypsumtide.Placer.
func (p *believedFree) Place(t *gypsumtide.Task, agents []*gypsumtide.AgentView, now gypsumtide.Millis) gypsumtide.Decision {
	if len(agents) > scanLimit {
		for range probePairs {
			c := p.rate(t, agents, p.rng.IntN(len(agents)), now)
			if d := p.rate(t, agents, p.rng.IntN(len(agents)), now); d.better(c) {
				c = d
			}
			if c.position == positionFree {
				return p.decide(c)
			}
		}
	}
	return p.decide(p.scan(t, agents, now))
}

// scan returns the best of all agents, and a random one of equals, so that
// homes with the same view do not all choose the same agent.
func (p *believedFree) scan(t *gypsumtide.Task, agents []*gypsumtide.AgentView, now gypsumtide.Millis) candidate {
	var best candidate
	equal := 0
	for i := range agents {
		c := p.rate(t, agents, i, now)
		switch {
		case c.position == positionNone:
		case equal == 0 || c.better(best):
			best, equal = c, 1
		case !best.better(c):
			equal++
			if p.rng.IntN(equal) == 0 {
				best = c
			}
		}
	}
	return best
}

func (p *believedFree) decide(c candidate) gypsumtide.Decision {
	switch {
	case c.position == positionFree && c.local:
		return gypsumtide.NewDecision(c.agent, reasonFreeLocal)
	case c.position == positionFree:
		return gypsumtide.NewDecision(c.agent, reasonFree)
	case c.position == positionOvercommit:
		return gypsumtide.NewDecision(c.agent, reasonOvercommit)
	}
	return gypsumtide.NewDecision(-1, reasonWait)
}

// rate finds the task's position at an agent and the score of that position,
// the run time to expect relative to an idle agent of average speed.
func (p *believedFree) rate(t *gypsumtide.Task, agents []*gypsumtide.AgentView, i int, now gypsumtide.Millis) candidate {
	v := agents[i]
	if !usable(t, v) {
		return candidate{}
	}
	short, long := p.believed(v, now)
	slots := float64(v.Slots())
	if t.Class() == gypsumtide.ClassLong && long >= float64(v.Slots()-v.ReservedShort()) {
		return candidate{}
	}
	c := candidate{agent: i, position: positionFree, local: v.Zone() == p.o.Zone}
	open := short + long
	if open >= slots {
		if open >= slots+float64(p.o.Overcommit) {
			return candidate{}
		}
		// A short task must not wait for a long one to end.
		if t.Class() == gypsumtide.ClassShort && long >= slots {
			return candidate{}
		}
		c.position = positionOvercommit
	}
	c.score = int(v.Speed() * (1 + open/slots) * scoreSteps)
	return c
}

// believed returns the short and long tasks believed to be at the agent.
func (p *believedFree) believed(v *gypsumtide.AgentView, now gypsumtide.Millis) (short, long float64) {
	short, long = float64(v.Own(gypsumtide.ClassShort)), float64(v.Own(gypsumtide.ClassLong))
	othersShort, othersLong := float64(v.Others(gypsumtide.ClassShort)), float64(v.Others(gypsumtide.ClassLong))
	switch p.o.Stale {
	case StaleDecayed:
		// Full weight within one report interval, then a hyperbolic fade.
		w := 1.0
		if age := now - v.ReportedAt(); age > p.o.ReportInterval {
			w = float64(p.o.ReportInterval) / float64(age)
		}
		return short + w*othersShort, long + w*othersLong
	case StaleShares:
		w := float64(p.o.Homes)
		return short * w, long * w
	}
	return short + othersShort, long + othersLong
}
