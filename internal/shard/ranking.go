package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide/internal/wire"
)

// agentInfo is an agent prepared for ranking.
type agentInfo struct {
	incarnation string
	zone        string
	rack        string
	hash        uint64
}

func newAgentInfo(rec wire.AgentRecord) agentInfo {
	return agentInfo{incarnation: rec.Incarnation, zone: rec.Zone, rack: rec.Rack, hash: xxhash.Sum64String(rec.Name)}
}

// rankedAgent is the rankedAgent of an agent in the order of candidates: round robin over
// the availability zones, within a zone over the racks, within a rack by
// rendezvous hash. An agent that joins never improves the rankedAgent of another one.
type rankedAgent struct {
	agent    *agentInfo
	score    uint64
	rackRank int
	zoneRank int
}

func newRankedAgent(id uint64, m *agentInfo) rankedAgent {
	return rankedAgent{agent: m, score: mix64(m.hash ^ id)}
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

// agentsByRack holds the members by availability zone and rack.
type agentsByRack [][][]agentInfo

func groupByRack(members []agentInfo) agentsByRack {
	var out agentsByRack
	zones, racks := map[string]int{}, map[[2]string]int{}
	for _, m := range members {
		z, ok := zones[m.zone]
		if !ok {
			z = len(out)
			zones[m.zone] = z
			out = append(out, nil)
		}
		k := [2]string{m.zone, m.rack}
		r, ok := racks[k]
		if !ok {
			r = len(out[z])
			racks[k] = r
			out[z] = append(out[z], nil)
		}
		out[z][r] = append(out[z][r], m)
	}
	return out
}

// topRanked returns the first k places for an id.
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
	first := newTopK(k, compareInZone)
	for _, members := range racks {
		// Each rack adds one agent before any rack adds a second one.
		if len(racks) >= k {
			first.add(bestInRack(id, members))
			continue
		}
		rack := newTopK(k, compareInRack)
		for i := range members {
			rack.add(newRankedAgent(id, &members[i]))
		}
		for i, p := range rack.ranked {
			p.rackRank = i
			first.add(p)
		}
	}
	return first.ranked
}

func bestInRack(id uint64, members []agentInfo) rankedAgent {
	first := newRankedAgent(id, &members[0])
	for i := range members[1:] {
		if p := newRankedAgent(id, &members[i+1]); compareInRack(p, first) < 0 {
			first = p
		}
	}
	return first
}

// topK keeps the first k places in order.
type topK struct {
	k       int
	compare func(a, b rankedAgent) int
	ranked  []rankedAgent
}

func newTopK(k int, compare func(a, b rankedAgent) int) topK { return topK{k: k, compare: compare} }

func (t *topK) add(p rankedAgent) {
	n := len(t.ranked)
	if n == t.k && t.compare(p, t.ranked[n-1]) > 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(t.ranked, p, t.compare)
	if n == t.k {
		t.ranked = t.ranked[:n-1]
	}
	t.ranked = slices.Insert(t.ranked, i, p)
}

// rankAmong returns how many of the ranked places would be before a member that
// joins them. Places behind it may shift, but no place before it does.
func rankAmong(id uint64, m *agentInfo, ranked []rankedAgent) int {
	a := newRankedAgent(id, m)
	for _, p := range ranked {
		if p.agent.zone == m.zone && p.agent.rack == m.rack && compareInRack(p, a) < 0 {
			a.rackRank++
		}
	}
	for _, p := range ranked {
		if p.agent.zone == m.zone && compareInZone(p, a) < 0 {
			a.zoneRank++
		}
	}
	n := 0
	for _, p := range ranked {
		if compareRanked(p, a) < 0 {
			n++
		}
	}
	return n
}

// candidateCount returns how many agents a submission of n tasks may use.
func candidateCount(n int) int { return max(16, (n+7)/8) }
