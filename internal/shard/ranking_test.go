package shard

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumtide/internal/wire"
)

// Guards against a recovery that misses an agent which an earlier home used under
// a roster that no entry knows: each of the first k agents of a roster must be
// among the first k of the core plus itself. The first k must also be the same as
// in a ranking of all agents, and evenly spread over the availability zones.
func TestRecoveryCoversEveryRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var core, roster []agentInfo
		for i := range rapid.IntRange(1, 40).Draw(t, "agents") {
			info := newAgentInfo(wire.AgentRecord{
				Name: fmt.Sprint("agent-", i), Incarnation: fmt.Sprint("agent-", i),
				Zone: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "zone")), Rack: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "rack")),
			})
			switch rapid.IntRange(0, 2).Draw(t, "member of") {
			case 0:
				core = append(core, info)
				roster = append(roster, info)
			case 1:
				roster = append(roster, info)
			}
		}
		id, k := rapid.Uint64().Draw(t, "id"), rapid.IntRange(1, 20).Draw(t, "k")
		grouped := groupByRack(roster)
		all := grouped.topRanked(id, len(roster))
		ranked := groupByRack(core).topRanked(id, len(core))
		for i, r := range grouped.topRanked(id, k) {
			if r != all[i] {
				t.Fatalf("rank %d among the first %d is %s, among all %s", i, k, r.agent.incarnation, all[i].agent.incarnation)
			}
			if n := rankAmong(id, r.agent, ranked); n >= k {
				t.Fatalf("%s has rank %d in the roster, and %d in the core", r.agent.incarnation, i, n)
			}
		}
		zones := map[string]int{}
		for _, r := range all[:min(k, len(all))] {
			zones[r.agent.zone]++
		}
		for _, r := range all {
			if notSelected := r.zoneRank >= zones[r.agent.zone]; notSelected && zones[r.agent.zone] < k/len(grouped) {
				t.Fatalf("zone %s has agents left but only %d of the first %d ranks", r.agent.zone, zones[r.agent.zone], k)
			}
		}
	})
}

// Guards against a recovery that selects other agents because it ranks only the
// first k agents of the core: it must select the same as with the full ranking.
func TestTopRankedSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var core, others []agentInfo
		for i := range rapid.IntRange(1, 40).Draw(t, "agents") {
			info := newAgentInfo(wire.AgentRecord{
				Name: fmt.Sprint("agent-", i), Incarnation: fmt.Sprint("agent-", i),
				Zone: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "zone")), Rack: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "rack")),
			})
			if rapid.Bool().Draw(t, "core") {
				core = append(core, info)
			} else {
				others = append(others, info)
			}
		}
		id, k := rapid.Uint64().Draw(t, "id"), rapid.IntRange(1, 20).Draw(t, "k")
		fullRanking := groupByRack(core).topRanked(id, len(core))
		topRanking := groupByRack(core).topRanked(id, k)
		selected := map[string]bool{}
		for _, r := range topRanking {
			selected[r.agent.incarnation] = true
		}
		for i := range core {
			if want := rankAmong(id, &core[i], fullRanking) < k; selected[core[i].incarnation] != want {
				t.Fatalf("%s of the core: candidate %v, want %v", core[i].incarnation, !want, want)
			}
		}
		for i := range others {
			if want := rankAmong(id, &others[i], fullRanking) < k; rankAmong(id, &others[i], topRanking) < k != want {
				t.Fatalf("%s: candidate %v, want %v", others[i].incarnation, !want, want)
			}
		}
	})
}
