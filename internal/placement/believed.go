package placement

import (
	"math/rand/v2"

	"gypsumtide"
)

// believedFree places a task at an agent that is estimated to have a free slot, or else
// in one of a bounded number of overcommit positions in an agent's queue. A task in such
// a position starts as soon as a slot is free, without waiting for a round trip.
//
// A home is an entry that dispatches tasks. The reported load of other homes is up to a
// heartbeat old. A home with little work would learn too late of a free slot, because a
// home with a batch refills a slot as soon as one of its tasks ends. If there are several
// homes, each may therefore have as many tasks at an agent as its equal share of the
// slots, even if other homes use all slots; those beyond the free slots wait in the
// agent's queue, which sets the order in which they start.
type believedFree struct {
	opts  Options
	rng   *rand.Rand
	homes int
}

// SetHomes sets the number of homes that share the agents.
func (p *believedFree) SetHomes(n int) { p.homes = max(1, n) }

// The reasons given in placement decisions.
const (
	reasonFree       = "free slot, least believed load"
	reasonFreeLocal  = "free slot, local availability zone"
	reasonOvercommit = "no free slot, overcommit position"
	reasonShare      = "no free slot, share of this home"
	reasonWait       = "no free slot"
)

const (
	// maxPairs is the number of random pairs that are checked for a free slot before all
	// agents are scanned.
	maxPairs = 3
	// meanSampleSize is the number of agents from which the mean load is estimated when
	// pairs are tried, since then not all agents are read.
	meanSampleSize = 16
	// remotePenalty is the number of open tasks added to an agent in another
	// availability zone, so that agents in the local zone are preferred if the loads
	// are almost equal. Between zones about a millisecond apart a larger penalty gains
	// little.
	remotePenalty = 0.5
	// reportWeight is the weight of a new report relative to the mean of all agents.
	// With a weight of 1, all homes would choose the same agents at the same time; with 0,
	// the reports of an agent would not count. Values from 0.1 to 0.5 have about the same
	// effect.
	reportWeight = 0.25
	// reportHalfLife is the age in milliseconds at which a report has half of that
	// weight. It is about the run time of a typical task.
	reportHalfLife = 250.0
)

// Name implements gypsumtide.Placer.
func (p *believedFree) Name() string { return BelievedFree }

// position says where a task would be at an agent: in a free slot, in its queue, or
// nowhere. The values are ordered from worst to best.
type position int

const (
	positionNone position = iota
	// positionShare is beyond the slots and the overcommit positions, but within this
	// home's equal share of the slots.
	positionShare
	// positionOvercommit is one of the Overcommit positions beyond the slots.
	positionOvercommit
	positionFree
)

// candidate is an agent with its position and score for a task.
type candidate struct {
	agent    int
	position position
	score    float64
	local    bool
}

// better reports whether c is strictly better than other.
func (c candidate) better(other candidate) bool {
	if c.position != other.position {
		return c.position > other.position
	}
	if c.score != other.score {
		return c.score < other.score
	}
	return c.local && !other.local
}

// Place implements gypsumtide.Placer.
func (p *believedFree) Place(t *gypsumtide.Task, agents []*gypsumtide.AgentView, now gypsumtide.Millis) gypsumtide.PlacementDecision {
	if len(agents) <= p.opts.ScanLimit {
		return p.decide(p.scan(t, agents, now))
	}
	first := p.rng.IntN(len(agents) - meanSampleSize)
	mean := p.meanLoadOfOthers(agents[first : first+meanSampleSize])
	for range maxPairs {
		c := p.evaluate(t, agents, p.rng.IntN(len(agents)), mean, now)
		if d := p.evaluate(t, agents, p.rng.IntN(len(agents)), mean, now); d.better(c) {
			c = d
		}
		if c.position == positionFree {
			return p.decide(c)
		}
	}
	return p.decide(p.scan(t, agents, now))
}

// scan returns the best candidate of all agents, or one with positionNone if no agent can
// take the task. It breaks ties at random, so that homes with the same view of the agents
// do not all choose the same one.
func (p *believedFree) scan(t *gypsumtide.Task, agents []*gypsumtide.AgentView, now gypsumtide.Millis) candidate {
	mean := p.meanLoadOfOthers(agents)
	var best candidate
	ties := 0
	for i := range agents {
		c := p.evaluate(t, agents, i, mean, now)
		switch {
		case c.position == positionNone:
		case ties == 0 || c.better(best):
			best, ties = c, 1
		case !best.better(c):
			ties++
			if p.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// decide returns the decision for the best candidate.
func (p *believedFree) decide(c candidate) gypsumtide.PlacementDecision {
	switch {
	case c.position == positionFree && c.local:
		return gypsumtide.NewPlacementDecision(c.agent, reasonFreeLocal)
	case c.position == positionFree:
		return gypsumtide.NewPlacementDecision(c.agent, reasonFree)
	case c.position == positionShare:
		return gypsumtide.NewPlacementDecision(c.agent, reasonShare)
	case c.position == positionOvercommit:
		return gypsumtide.NewPlacementDecision(c.agent, reasonOvercommit)
	}
	return gypsumtide.NewPlacementDecision(-1, reasonWait)
}

// evaluate returns the position that an agent has for the task, and its score: the
// expected run time relative to an idle agent of average speed, plus remotePenalty. A
// lower score is better.
func (p *believedFree) evaluate(t *gypsumtide.Task, agents []*gypsumtide.AgentView, i int, mean float64, now gypsumtide.Millis) candidate {
	v := agents[i]
	if !canRun(t, v) {
		return candidate{}
	}
	open, slots := v.OpenTasks(), v.Slots()
	openLong := v.OwnTasks(gypsumtide.ClassLong) + v.OtherTasks(gypsumtide.ClassLong)
	if t.Class() == gypsumtide.ClassLong && !longAllowed(open, openLong, slots, v.ReservedShort()) {
		return candidate{}
	}
	estimatedOpen := p.estimatedOpen(v, mean, now)
	c := candidate{agent: i, position: positionFree, local: v.Zone() == p.opts.Zone}
	if open >= slots {
		// A short task must not wait until a long one ends.
		if t.Class() == gypsumtide.ClassShort && openLong >= slots {
			return candidate{}
		}
		switch {
		case open < slots+p.opts.Overcommit:
			c.position = positionOvercommit
		case p.homes > 1 && v.OwnTasks(gypsumtide.ClassShort)+v.OwnTasks(gypsumtide.ClassLong) < max(1, slots/p.homes):
			c.position = positionShare
		default:
			return candidate{}
		}
	}
	c.score = v.Slowness() * (1 + estimatedOpen/float64(slots))
	if !c.local {
		c.score += remotePenalty / float64(slots)
	}
	return c
}

// longAllowed reports whether a long task may start in addition to the open tasks. It
// keeps the reserved slots free for the next short tasks: if only the number of long tasks
// were bounded, short and long tasks together would fill every slot, and short tasks at 30%
// load beside batches would wait up to 32 ms at agents (p99). A quarter of the slots, but
// at least one, may hold long tasks even if only reserved slots are free, so that short
// tasks cannot starve them. In any case, long tasks use at most as many slots as are not
// reserved.
func longAllowed(open, openLong, slots, reservedShort int) bool {
	if openLong >= slots-reservedShort {
		return false
	}
	return open < slots-reservedShort || openLong < max(1, slots/4)
}

// meanLoadOfOthers returns the mean number of open tasks of other homes per slot at the
// agents that are not ejected.
func (p *believedFree) meanLoadOfOthers(agents []*gypsumtide.AgentView) float64 {
	others, slots := 0, 0
	for _, v := range agents {
		if !v.Ejected() {
			others += v.OtherTasks(gypsumtide.ClassShort) + v.OtherTasks(gypsumtide.ClassLong)
			slots += v.Slots()
		}
	}
	return float64(others) / float64(max(1, slots))
}

// estimatedOpen returns the estimated number of open tasks at the agent: those of this
// home, which are known, and those of other homes. mean is the mean number of tasks of
// other homes per slot.
func (p *believedFree) estimatedOpen(v *gypsumtide.AgentView, mean float64, now gypsumtide.Millis) float64 {
	own := float64(v.OwnTasks(gypsumtide.ClassShort) + v.OwnTasks(gypsumtide.ClassLong))
	others := float64(v.OtherTasks(gypsumtide.ClassShort) + v.OtherTasks(gypsumtide.ClassLong))
	if p.opts.StaleLoad == StaleLoadRaw {
		return own + others
	}
	// The weight of the report decreases with its age.
	weight := reportWeight * reportHalfLife / (reportHalfLife + float64(now-v.ReportedAt()))
	return own + weight*others + (1-weight)*mean*float64(v.Slots())
}
