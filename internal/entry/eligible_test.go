package entry

import (
	"fmt"
	"slices"
	"testing"

	"gypsumtide"
	"gypsumtide/internal/job"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/wire"
)

// fixedShardManager returns the first 16 of its incarnations as candidates, or as many as
// an eighth of the tasks if that is more. Agents may be marked unusable.
type fixedShardManager struct {
	shardOwnership
	incarnations []string
	unusable     map[string]bool
}

func (m *fixedShardManager) Usable(incarnation string, _ gypsumtide.ShardID) bool {
	return !m.unusable[incarnation]
}

func (m *fixedShardManager) Candidates(_ gypsumtide.SubmissionID, n int) []string {
	return m.incarnations[:min(len(m.incarnations), max(16, (n+7)/8))]
}

func (m *fixedShardManager) RecoveryCandidates(gypsumtide.SubmissionID, int) ([]shard.RecoveryCandidate, bool) {
	return nil, true
}

// newEligibleHome returns a home with connected agents and a job with the given number
// of tasks.
func newEligibleHome(t testing.TB, agents, tasks int) (*home, *fixedShardManager, *pool, *activeJob) {
	t.Helper()
	m := &fixedShardManager{unusable: map[string]bool{}}
	h, err := newHome(homeOptions{clock: gypsumtide.NewSystemClock(), router: newRouter(), metrics: newEntryMetrics(), shardManager: m})
	if err != nil {
		t.Fatal(err)
	}
	for i := range agents {
		rec := wire.AgentRecord{Name: fmt.Sprint("agent-", i), Incarnation: fmt.Sprint("agent-", i, "#1"), Zone: fmt.Sprint("zone-", i%6)}
		c := h.agentConnected(rec, &wire.Session{}, 0, 0)
		h.applyAnnouncement(c, &wire.Announcement{Upstreams: []wire.Upstream{{Name: "u", Services: []string{"echo"}, Slots: 8}}})
		m.incarnations = append(m.incarnations, rec.Incarnation)
	}
	p, err := h.pool("default")
	if err != nil {
		t.Fatal(err)
	}
	req := &wire.Job{Service: "echo", Tasks: make([]wire.JobTask, tasks)}
	return h, m, p, &activeJob{Job: job.New(req, 1, 1, 10_000), pool: p}
}

// incarnationsOf returns the sorted incarnations of the agents, after a check that each
// view belongs to the agent at its index.
func incarnationsOf(c *agentList) []string {
	var list []string
	for i, conn := range c.conns {
		if conn.view != c.views[i] {
			return []string{"connections and views differ"}
		}
		list = append(list, conn.record.Incarnation)
	}
	slices.Sort(list)
	return list
}

// Guards against placing a task on an agent outside the job's candidate set, on
// one that may not receive tasks of the shard, or on one that has left since the
// job's last placement.
func TestEligible(t *testing.T) {
	h, m, p, aj := newEligibleHome(t, 20, 10)
	task := aj.Tasks()[0]
	expectEligible := func(what string, list []string) {
		t.Helper()
		list = slices.Sorted(slices.Values(list))
		if got := incarnationsOf(p.eligible(h, aj, task, 0)); !slices.Equal(got, list) {
			t.Errorf("%s: got %v, want %v", what, got, list)
		}
	}
	expectEligible("all agents usable", m.incarnations[:16])
	m.unusable[m.incarnations[3]] = true
	expectEligible("unusable agent", slices.Concat(m.incarnations[:3], m.incarnations[4:16]))
	delete(m.unusable, m.incarnations[3])
	expectEligible("usable again", m.incarnations[:16])
	c := h.agents[m.incarnations[5]]
	h.applyAnnouncement(c, &wire.Announcement{Draining: true})
	expectEligible("draining agent", slices.Concat(m.incarnations[:5], m.incarnations[6:16]))
	c = h.agents[m.incarnations[0]]
	h.agentDisconnected(c, c.session)
	expectEligible("session ended", slices.Concat(m.incarnations[1:5], m.incarnations[6:16]))
	h.agentConnected(c.record, &wire.Session{}, 0, 0)
	expectEligible("session restored", slices.Concat(m.incarnations[:5], m.incarnations[6:16]))
}

// BenchmarkEligible measures how long it takes to find the agents to which a further task
// of a job may be sent.
func BenchmarkEligible(b *testing.B) {
	for _, agents := range []int{11, 100, 300, 1000, 3000} {
		for _, tasks := range []int{10, 1200} {
			b.Run(fmt.Sprintf("agents=%d/tasks=%d", agents, tasks), func(b *testing.B) {
				h, _, p, aj := newEligibleHome(b, agents, tasks)
				task := aj.Tasks()[0]
				b.ReportAllocs()
				for b.Loop() {
					p.eligible(h, aj, task, 0)
				}
			})
		}
	}
}

// Guards against ejections that empty a pool, and against an ejected agent that
// receives tasks while enough others are left.
func TestEjectionIsBounded(t *testing.T) {
	for _, c := range []struct{ agents, ejected, want int }{{4, 0, 4}, {4, 1, 3}, {4, 2, 2}, {4, 3, 2}, {4, 4, 2}, {1, 1, 1}} {
		h, _, p, _ := newEligibleHome(t, c.agents, 1)
		for i := range c.ejected {
			conn := h.agents[fmt.Sprint("agent-", i, "#1")]
			h.applyAnnouncement(conn, &wire.Announcement{Upstreams: []wire.Upstream{{Name: "u", Services: []string{"echo"}, Slots: 8, Ejected: true}}})
		}
		list := p.serviceAgents(h, "echo")
		if len(list.conns) != c.want {
			t.Errorf("%d of %d agents ejected: %d agents may receive tasks, want %d", c.ejected, c.agents, len(list.conns), c.want)
		}
		for _, v := range list.views {
			if v.Ejected() {
				t.Errorf("%d of %d agents ejected: %s may receive tasks but counts as ejected", c.ejected, c.agents, v.Name())
			}
		}
	}
}
