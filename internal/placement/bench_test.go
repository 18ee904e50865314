package placement

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"gypsumtide"
	"gypsumtide/internal/limit"
	"gypsumtide/internal/queue"
	"gypsumtide/internal/wire"
)

var benchAgents = []int{11, 100, 300, 1000, 3000}

// pool is agents with 8 slots that are busy to 70%, half of that with tasks of other homes.
type pool struct {
	agents []*gypsumtide.AgentView
	open   []placed
	rng    *rand.Rand
}

type placed struct {
	task  *gypsumtide.Task
	agent int
}

func newPool(agents int) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range agents {
		v := gypsumtide.NewAgentView(fmt.Sprint("worker-", i), fmt.Sprint("zone-", i%4), fmt.Sprint("rack-", i/3), 8, 2, gypsumtide.Size{Processors: 16_000, Memory: 64 << 10})
		v.Report(gypsumtide.Load{Running: p.rng.IntN(6)}, 1)
		p.agents = append(p.agents, v)
	}
	return p
}

// assign places a task and ends another one.
func (p *pool) assign(t *gypsumtide.Task, agent int) {
	p.agents[agent].Assign(t)
	p.open = append(p.open, placed{task: t, agent: agent})
	if len(p.open) > len(p.agents)*8*35/100 {
		p.release()
	}
}

func (p *pool) release() placed {
	i := p.rng.IntN(len(p.open))
	e := p.open[i]
	p.open[i] = p.open[len(p.open)-1]
	p.open = p.open[:len(p.open)-1]
	p.agents[e.agent].Release(e.task)
	return e
}

// Measures one placement and its bookkeeping. The agents are the candidates of
// one job; the design page bounds these to an eighth of the roster.
func BenchmarkPlace(b *testing.B) {
	for _, name := range Names() {
		for _, agents := range benchAgents {
			b.Run(fmt.Sprintf("%s/agents=%d", name, agents), func(b *testing.B) {
				benchPlace(b, name, agents, defaultScanLimit)
			})
		}
	}
	for _, agents := range benchAgents[1:] {
		b.Run(fmt.Sprintf("%s/compare-all/agents=%d", BelievedFree, agents), func(b *testing.B) {
			benchPlace(b, BelievedFree, agents, agents)
		})
	}
}

func benchPlace(b *testing.B, name string, agents, scanLimit int) {
	p := newPool(agents)
	policy, _ := New(name, Options{Zone: "zone-0", Seed: 1, ScanLimit: scanLimit})
	t := newTask(gypsumtide.ClassShort, 100)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if d := policy.Place(t, p.agents, gypsumtide.Millis(i/20)); d.Agent() >= 0 {
			p.assign(t, d.Agent())
		}
	}
}

// Measures a placement that finds no slot, and the look that avoids it.
func BenchmarkFull(b *testing.B) {
	for _, agents := range benchAgents {
		p := newPool(agents)
		for _, v := range p.agents {
			v.Report(gypsumtide.Load{Running: 8, Queued: 1}, 1)
		}
		policy, _ := New(BelievedFree, Options{Seed: 1})
		t := newTask(gypsumtide.ClassShort, 100)
		b.Run(fmt.Sprintf("place/agents=%d", agents), func(b *testing.B) {
			for range b.N {
				policy.Place(t, p.agents, 2)
			}
		})
		b.Run(fmt.Sprintf("room/agents=%d", agents), func(b *testing.B) {
			for range b.N {
				Room(p.agents, 1)
			}
		})
	}
}

// Measures the whole cost of a task at its home except the network: admission
// of jobs of 10 tasks, queue, placement, a frame of 20 dispatches encoded, a
// frame of 20 results decoded, and the learning from them. The target is at
// least 20,000 starts per second and core.
func BenchmarkStart(b *testing.B) {
	for _, agents := range benchAgents {
		for _, teams := range []int{1, 390} {
			b.Run(fmt.Sprintf("agents=%d/teams=%d", agents, teams), func(b *testing.B) {
				h := newBenchHome(agents, teams)
				b.ReportAllocs()
				b.ResetTimer()
				for h.started < b.N {
					h.submit()
					h.dispatch()
				}
				b.ReportMetric(float64(h.started)/b.Elapsed().Seconds(), "starts/s")
			})
		}
	}
}

type benchHome struct {
	pool      *pool
	placer    gypsumtide.Placer
	queue     gypsumtide.Queue
	learner   *queue.Learner
	quotas    *limit.Quotas
	admission *limit.Admission
	retries   *limit.RetryBudget
	teams     []string
	now       gypsumtide.Millis
	jobs      uint64
	started   int
	frame     wire.Frame
	payload   []byte
}

func newBenchHome(agents, teams int) *benchHome {
	h := &benchHome{pool: newPool(agents), learner: queue.NewLearner(queue.LearnerOptions{}), now: 1, payload: make([]byte, 200)}
	h.placer, _ = New(BelievedFree, Options{Zone: "zone-0", Seed: 1})
	h.queue, _ = queue.New(queue.Fair)
	cfg := limit.Config{Limits: []limit.Limit{{Name: "org", Rate: 1e9}, {Name: "team", Parent: "org", Rate: 1e9, Concurrency: 1e9}}, Teams: map[string]string{}}
	for i := range teams {
		name := fmt.Sprint("team-", i)
		h.teams = append(h.teams, name)
		cfg.Limits = append(cfg.Limits, limit.Limit{Name: name, Parent: "org", Rate: 1e9, Concurrency: 1e9})
		cfg.Teams[name] = name
	}
	h.quotas, _ = limit.NewQuotas(cfg, limit.Options{Seed: 1}, 1)
	h.admission = limit.NewAdmission(limit.AdmissionOptions{Seed: 1})
	h.retries = limit.NewRetryBudget(limit.RetryOptions{}, 1)
	// A backlog lets every step look at waiting work.
	for range 2 * teams {
		h.submit()
	}
	return h
}

func (h *benchHome) submit() {
	h.jobs++
	team := h.teams[h.jobs%uint64(len(h.teams))]
	var id gypsumtide.SubmissionID
	binary.BigEndian.PutUint64(id[8:], h.jobs)
	if !h.quotas.Admit(team, 10, h.now).Admit() {
		panic("refused by quota")
	}
	class := h.learner.Classify("check", 50)
	h.admission.Admit(limit.Forecast{
		Tasks: 10, Backlog: h.queue.(queue.Backlogger).Backlog(team, class, h.now),
		Slowest:     func(n int) gypsumtide.Millis { return h.learner.Slowest("check", n) },
		MeanRunTime: h.learner.Mean("check"), Slots: len(h.pool.agents) * 8, Deadline: h.now + 5000,
	}, h.now)
	for i := range uint32(10) {
		t := gypsumtide.NewTask(id, i, "check", team, 10, h.now+5000)
		t.SetClass(class)
		t.SetQueued(h.now)
		h.queue.Push(t)
	}
}

// dispatch starts 10 tasks, and handles a full frame each way.
func (h *benchHome) dispatch() {
	for range 10 {
		agent := -1
		t := h.queue.Pop(h.now, func(t *gypsumtide.Task) bool {
			agent = h.placer.Place(t, h.pool.agents, h.now).Agent()
			return agent >= 0
		})
		if t == nil {
			panic("no slot")
		}
		h.pool.assign(t, agent)
		h.started++
		h.frame.Dispatches = append(h.frame.Dispatches, wire.Dispatch{
			TaskRef: wire.TaskRef{Submission: t.Submission(), Task: t.Index(), Epoch: 7},
			Shard:   t.Submission().Shard(), Class: t.Class(), Service: t.Service(), Budget: t.Deadline() - h.now,
			Payload: h.payload, ContentType: "application/json",
		})
	}
	if len(h.frame.Dispatches) < 20 {
		return
	}
	h.now++
	h.retries.Fresh(20, h.now)
	h.admission.Served(20, h.queue.Len(), h.now)
	if _, err := wire.Marshal(&h.frame); err != nil {
		panic(err)
	}
	results := wire.Frame{Load: &gypsumtide.Load{Running: 5}}
	for _, d := range h.frame.Dispatches {
		results.Results = append(results.Results, wire.Result{TaskRef: d.TaskRef, State: wire.TaskDone, Status: 200, Body: h.payload, RunTime: 50, Upstream: "upstream", ContentType: d.ContentType})
	}
	h.receive(&results)
	h.frame.Dispatches = h.frame.Dispatches[:0]
}

// receive decodes results. Their encoding is the agent's part and is counted too.
func (h *benchHome) receive(f *wire.Frame) {
	data, err := wire.Marshal(f)
	if err != nil {
		panic(err)
	}
	var got wire.Frame
	if err := wire.Unmarshal(data, &got); err != nil {
		panic(err)
	}
	for _, r := range got.Results {
		h.learner.Observe("check", "worker-1", r.RunTime)
		h.quotas.Done(h.teams[0], 1, h.now)
	}
}
