package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide/internal/wire"
)

// agentInfo holds the properties of an agent by which it is ranked; hash is the hash
// of its name.
type agentInfo struct {
	incarnation string
	zone        string
	rack        string
	hash        uint64
}

func newAgentInfo(rec wire.AgentRecord) agentInfo {
	return agentInfo{incarnation: rec.Incarnation, zone: rec.Zone, rack: rec.Rack, hash: xxhash.Sum64String(rec.Name)}
}

// rankedAgent is an agent with its rank for one submission id. Candidates are
// ordered round robin over the availability zones, within a zone round robin over
// the racks, and within a rack by rendezvous hash. A joining agent never improves
// the rank of another one.
type rankedAgent struct {
	agent *agentInfo
	// score is the rendezvous hash; the highest comes first.
	score uint64
	// rackRank and zoneRank are the ranks within the rack and within the
	// availability zone, from 0.
	rackRank int
	zoneRank int
}

func newRankedAgent(id uint64, a *agentInfo) rankedAgent {
	return rankedAgent{agent: a, score: mix64(a.hash ^ id)}
}

func compareInRack(a, b rankedAgent) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.agent.incarnation, b.agent.incarnation)
}

func compareInZone(a, b rankedAgent) int {
	if c := cmp.Compare(a.rackRank, b.rackRank); c != 0 {
		return c
	}
	return compareInRack(a, b)
}

func compareRanked(a, b rankedAgent) int {
	if c := cmp.Compare(a.zoneRank, b.zoneRank); c != 0 {
		return c
	}
	return compareInZone(a, b)
}

// agentsByRack holds agents grouped by availability zone and rack.
type agentsByRack [][][]agentInfo

func groupByRack(agents []agentInfo) agentsByRack {
	var out agentsByRack
	zones, racks := map[string]int{}, map[[2]string]int{}
	for _, a := range agents {
		z, ok := zones[a.zone]
		if !ok {
			z = len(out)
			zones[a.zone] = z
			out = append(out, nil)
		}
		k := [2]string{a.zone, a.rack}
		r, ok := racks[k]
		if !ok {
			r = len(out[z])
			racks[k] = r
			out[z] = append(out[z], nil)
		}
		out[z][r] = append(out[z][r], a)
	}
	return out
}

// topRanked returns the first k agents in the order of candidates for an id.
func (g agentsByRack) topRanked(id uint64, k int) []rankedAgent {
	var all []rankedAgent
	for _, racks := range g {
		zone := topInZone(id, racks, k)
		for i := range zone {
			zone[i].zoneRank = i
		}
		all = append(all, zone...)
	}
	slices.SortFunc(all, compareRanked)
	return all[:min(k, len(all))]
}

func topInZone(id uint64, racks [][]agentInfo, k int) []rankedAgent {
	zoneTop := newTopK(k, compareInZone)
	for _, agents := range racks {
		// With at least k racks, the first agent of each rack is enough, since
		// each rack contributes one agent before any contributes a second one.
		if len(racks) >= k {
			zoneTop.add(bestInRack(id, agents))
			continue
		}
		rackTop := newTopK(k, compareInRack)
		for i := range agents {
			rackTop.add(newRankedAgent(id, &agents[i]))
		}
		for i, r := range rackTop.ranked {
			r.rackRank = i
			zoneTop.add(r)
		}
	}
	return zoneTop.ranked
}

func bestInRack(id uint64, agents []agentInfo) rankedAgent {
	best := newRankedAgent(id, &agents[0])
	for i := range agents[1:] {
		if r := newRankedAgent(id, &agents[i+1]); compareInRack(r, best) < 0 {
			best = r
		}
	}
	return best
}

// topK keeps the first k of the added agents in the order of compare.
type topK struct {
	k       int
	compare func(a, b rankedAgent) int
	ranked  []rankedAgent
}

func newTopK(k int, compare func(a, b rankedAgent) int) topK { return topK{k: k, compare: compare} }

func (t *topK) add(r rankedAgent) {
	n := len(t.ranked)
	if n == t.k && t.compare(r, t.ranked[n-1]) > 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(t.ranked, r, t.compare)
	if n == t.k {
		t.ranked = t.ranked[:n-1]
	}
	t.ranked = slices.Insert(t.ranked, i, r)
}

// rankAmong returns how many of the ranked agents would precede an agent that
// joins them. Only the ranks of the agents that follow it may change.
func rankAmong(id uint64, joining *agentInfo, ranked []rankedAgent) int {
	a := newRankedAgent(id, joining)
	for _, r := range ranked {
		if r.agent.zone == joining.zone && r.agent.rack == joining.rack && compareInRack(r, a) < 0 {
			a.rackRank++
		}
	}
	for _, r := range ranked {
		if r.agent.zone == joining.zone && compareInZone(r, a) < 0 {
			a.zoneRank++
		}
	}
	n := 0
	for _, r := range ranked {
		if compareRanked(r, a) < 0 {
			n++
		}
	}
	return n
}

// candidateCount returns the number of agents that may run a submission of n tasks.
func candidateCount(n int) int { return max(16, (n+7)/8) }
