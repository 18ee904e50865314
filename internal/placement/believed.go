package placement

import (
	"math/rand/v2"

	"gypsumtide"
)

// believedFree places a task only where a slot is believed free, or else in a
// bounded number of overcommit positions that hide the round trip.
//
// Reports of other homes are up to a heartbeat old. A home with little work
// would wait for them while a home with a batch refills every slot at once, so
// each home may always hold its equal share of an agent's slots, and the
// agent's queue decides.
type believedFree struct {
	o     Options
	rng   *rand.Rand
	homes int
}

// SetHomes tells how many homes share the agents.
func (p *believedFree) SetHomes(n int) { p.homes = max(1, n) }

// The reasons of decisions.
const (
	reasonFree       = "free slot, least believed load"
	reasonFreeLocal  = "free slot, local availability zone"
	reasonOvercommit = "no free slot, overcommit position"
	reasonShare      = "no free slot, share of this home"
	reasonWait       = "no free slot"
)

const (
	// probePairs bounds the random pairs tried before all candidates are scanned.
	probePairs = 3
	// meanSample is the number of candidates that stand for all when pairs are tried.
	meanSample = 16
	// remotePenalty in slots is added for another availability zone, so that the
	// local zone decides between agents whose loads are almost equal. In trials
	// with 4 zones 1 ms apart, 3.0 gained 0.5% of the p50 ratio at 70% load.
	remotePenalty = 0.5
	// reportWeight is the weight of a fresh report against the mean of all
	// agents. Homes that trust reports fully choose the same agents at once. In
	// trials with the model of TestStaleMeanGains, weights from 0.1 to 0.5 gained
	// about the same, and 0 and 1 less.
	reportWeight = 0.25
	// fadeTime in milliseconds is the age at which a report has half of that
	// weight, about the run time of a task.
	fadeTime = 250.0
)

// Name implements gypsumtide.Placer.
func (p *believedFree) Name() string { return BelievedFree }

// position is where a task would go at an agent.
type position int

const (
	positionNone position = iota
	positionShare
	positionOvercommit
	positionFree
)

// candidate rates an agent for a task.
type candidate struct {
	agent    int
	position position
	score    float64
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
	if len(agents) <= p.o.ScanLimit {
		return p.decide(p.scan(t, agents, now))
	}
	from := p.rng.IntN(len(agents) - meanSample)
	mean := p.meanOthers(agents[from : from+meanSample])
	for range probePairs {
		c := p.rate(t, agents, p.rng.IntN(len(agents)), mean, now)
		if d := p.rate(t, agents, p.rng.IntN(len(agents)), mean, now); d.better(c) {
			c = d
		}
		if c.position == positionFree {
			return p.decide(c)
		}
	}
	return p.decide(p.scan(t, agents, now))
}

// scan returns the best of all agents, and a random one of equals, so that
// homes with the same view do not all choose the same agent.
func (p *believedFree) scan(t *gypsumtide.Task, agents []*gypsumtide.AgentView, now gypsumtide.Millis) candidate {
	mean := p.meanOthers(agents)
	var best candidate
	equal := 0
	for i := range agents {
		c := p.rate(t, agents, i, mean, now)
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
	case c.position == positionShare:
		return gypsumtide.NewDecision(c.agent, reasonShare)
	case c.position == positionOvercommit:
		return gypsumtide.NewDecision(c.agent, reasonOvercommit)
	}
	return gypsumtide.NewDecision(-1, reasonWait)
}

// rate finds the task's position at an agent and the score of that position,
// the run time to expect relative to an idle agent of average speed.
func (p *believedFree) rate(t *gypsumtide.Task, agents []*gypsumtide.AgentView, i int, mean float64, now gypsumtide.Millis) candidate {
	v := agents[i]
	if !usable(t, v) {
		return candidate{}
	}
	open, slots := v.Open(), v.Slots()
	long := v.Own(gypsumtide.ClassLong) + v.Others(gypsumtide.ClassLong)
	if t.Class() == gypsumtide.ClassLong && !longFits(open, long, slots, v.ReservedShort()) {
		return candidate{}
	}
	believed := p.believed(v, mean, now)
	c := candidate{agent: i, position: positionFree, local: v.Zone() == p.o.Zone}
	if open >= slots {
		// A short task must not wait for a long one to end.
		if t.Class() == gypsumtide.ClassShort && long >= slots {
			return candidate{}
		}
		switch {
		case open < slots+p.o.Overcommit:
			c.position = positionOvercommit
		case p.homes > 1 && v.Own(gypsumtide.ClassShort)+v.Own(gypsumtide.ClassLong) < max(1, slots/p.homes):
			c.position = positionShare
		default:
			return candidate{}
		}
	}
	c.score = v.Slowness() * (1 + believed/float64(slots))
	if !c.local {
		c.score += remotePenalty / float64(slots)
	}
	return c
}

// longFits reports whether a long task may start beside what is open. The
// reserved slots stay free for the short tasks that come next: with a bound on
// long tasks only, stock checks at 30% load beside batches waited up to 32 ms
// at agents (p99), since both together filled every slot. A quarter of the
// slots is never denied, so that short work cannot starve long work.
func longFits(open, long, slots, reserved int) bool {
	if long >= slots-reserved {
		return false
	}
	return open < slots-reserved || long < max(1, slots/4)
}

// meanOthers returns the open tasks of other homes for each slot.
func (p *believedFree) meanOthers(agents []*gypsumtide.AgentView) float64 {
	others, slots := 0, 0
	for _, v := range agents {
		if !v.Ejected() {
			others += v.Others(gypsumtide.ClassShort) + v.Others(gypsumtide.ClassLong)
			slots += v.Slots()
		}
	}
	return float64(others) / float64(max(1, slots))
}

// believed returns the open tasks believed to be at the agent.
func (p *believedFree) believed(v *gypsumtide.AgentView, mean float64, now gypsumtide.Millis) float64 {
	own := float64(v.Own(gypsumtide.ClassShort) + v.Own(gypsumtide.ClassLong))
	others := float64(v.Others(gypsumtide.ClassShort) + v.Others(gypsumtide.ClassLong))
	if p.o.StaleLoad == StaleLoadRaw {
		return own + others
	}
	// The weight of the report falls with its age.
	w := reportWeight * fadeTime / (fadeTime + float64(now-v.ReportedAt()))
	return own + w*others + (1-w)*mean*float64(v.Slots())
}
