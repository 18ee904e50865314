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

// benchPool holds agents with 8 slots. Tasks of other homes fill about a third of the
// slots, and tasks of this home up to another third.
type benchPool struct {
	rng    *rand.Rand
	agents []*gypsumtide.AgentView
	tasks  []*gypsumtide.Task
	// agentOf holds the index of the agent of each task.
	agentOf []int
}

func newPool(agents int) *benchPool {
	p := &benchPool{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range agents {
		v := gypsumtide.NewAgentView("", fmt.Sprint("zone-", i%4), "", 8, 2, gypsumtide.Size{Memory: 64 << 10})
		v.Report(gypsumtide.Load{Running: p.rng.IntN(6)}, 1)
		p.agents = append(p.agents, v)
	}
	return p
}

// assign assigns a task to an agent. Once tasks of this home use a third of the slots, it
// also releases another one.
func (p *benchPool) assign(t *gypsumtide.Task, agent int) {
	p.agents[agent].Assign(t)
	if len(p.tasks) < len(p.agents)*8/3 {
		p.tasks, p.agentOf = append(p.tasks, t), append(p.agentOf, agent)
		return
	}
	i := p.rng.IntN(len(p.tasks))
	p.agents[p.agentOf[i]].Release(p.tasks[i])
	p.tasks[i], p.agentOf[i] = t, agent
}

// Measures a placement and the update of the agent views, both if random pairs of agents
// are tried first and if all agents are compared.
func BenchmarkPlace(b *testing.B) {
	for _, name := range Names() {
		for _, scanLimit := range []int{defaultScanLimit, 3000} {
			if name != BelievedFree && scanLimit > defaultScanLimit {
				continue
			}
			for _, agents := range benchAgents {
				b.Run(fmt.Sprintf("%s/scan-limit=%d/agents=%d", name, scanLimit, agents), func(b *testing.B) {
					p, t := newPool(agents), newTask(gypsumtide.ClassShort, 100)
					policy, _ := New(name, Options{Zone: "zone-0", Seed: 1, ScanLimit: scanLimit})
					b.ReportAllocs()
					b.ResetTimer()
					for i := range b.N {
						p.assign(t, policy.Place(t, p.agents, gypsumtide.Millis(i/20)).AgentIndex())
					}
				})
			}
		}
	}
}

// Measures the total cost of a task at its home except the network: admission of jobs of
// 10 tasks, queue, placement, encoding a frame of 20 dispatches, encoding (the agent's
// part) and decoding a frame of 20 results, and updating the run time estimates. The
// target is at least 20,000 task starts per second and core.
func BenchmarkStart(b *testing.B) {
	for _, agents := range benchAgents {
		for _, teams := range []int{1, 390} {
			b.Run(fmt.Sprintf("agents=%d/teams=%d", agents, teams), func(b *testing.B) {
				h := newBenchHome(b, agents, teams)
				b.ReportAllocs()
				b.ResetTimer()
				n := 0
				for ; n < b.N; n += 20 {
					h.submit()
					h.submit()
					h.dispatchAndFinish()
				}
				b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "starts/s")
			})
		}
	}
}

// benchHome simulates the home of jobs of a number of teams.
type benchHome struct {
	b         *testing.B
	pool      *benchPool
	placer    gypsumtide.Placer
	queue     gypsumtide.Queue
	estimator *queue.RunTimeEstimator
	quotas    *limit.Quotas
	admission *limit.Admission
	teams     int
	now       gypsumtide.Millis
	jobs      uint64
}

func newBenchHome(b *testing.B, agents, teams int) *benchHome {
	h := &benchHome{b: b, pool: newPool(agents), estimator: queue.NewRunTimeEstimator(queue.RunTimeEstimatorOptions{}), teams: teams, now: 1}
	h.placer, _ = New(BelievedFree, Options{Zone: "zone-0", Seed: 1})
	h.queue, _ = queue.New(queue.Fair)
	h.quotas, _ = limit.NewQuotas(limit.Config{
		Limits:  []limit.Limit{{Name: "all", Rate: 1e9}, {Name: "team", Parent: "all", Rate: 1e9, Concurrency: 1e9}},
		Default: "team",
	}, limit.Options{}, 1)
	h.admission = limit.NewAdmission(limit.AdmissionOptions{})
	// A backlog ensures that every step has waiting tasks.
	for range 2 * teams {
		h.submit()
	}
	return h
}

// submit admits and queues a job of 10 tasks.
func (h *benchHome) submit() {
	h.jobs++
	team := fmt.Sprint("team-", h.jobs%uint64(h.teams))
	var id gypsumtide.SubmissionID
	binary.BigEndian.PutUint64(id[8:], h.jobs)
	if !h.quotas.Admit(team, 10, h.now).Admitted() {
		h.b.Fatal("a job was refused by the quota")
	}
	class := h.estimator.Classify("check", 50)
	h.admission.Admit(limit.AdmissionRequest{
		Tasks: 10, Backlog: h.queue.(queue.BacklogReporter).Backlog(team, class, h.now),
		SlowestRunTime: func(n int) gypsumtide.Millis { return h.estimator.Slowest("check", n) },
		MeanRunTime:    h.estimator.Mean("check"), Slots: len(h.pool.agents) * 8, Deadline: h.now + 5000,
	}, h.now)
	for i := range uint32(10) {
		t := gypsumtide.NewTask(id, i, "check", team, 10, h.now+5000)
		t.SetClass(class)
		h.queue.Push(t)
	}
}

// dispatchAndFinish dispatches 20 tasks and receives their results.
func (h *benchHome) dispatchAndFinish() {
	var dispatchFrame, resultFrame, decoded wire.Frame
	payload := make([]byte, 200)
	for range 20 {
		agent := -1
		t := h.queue.Pop(h.now, func(t *gypsumtide.Task) bool {
			agent = h.placer.Place(t, h.pool.agents, h.now).AgentIndex()
			return agent >= 0
		})
		if t == nil {
			h.b.Fatal("no waiting task could be placed")
		}
		h.pool.assign(t, agent)
		ref := wire.TaskRef{Submission: t.Submission(), Task: t.Index(), Epoch: 7}
		dispatchFrame.Dispatches = append(dispatchFrame.Dispatches, wire.Dispatch{TaskRef: ref, Shard: ref.Submission.Shard(), Service: t.Service(), Budget: t.Deadline() - h.now, Payload: payload})
		resultFrame.Results = append(resultFrame.Results, wire.Result{TaskRef: ref, State: wire.TaskDone, Status: 200, Body: payload, RunTime: 50, Upstream: "upstream"})
		h.quotas.Release(t.Team(), 1, h.now)
	}
	_, err := wire.Marshal(&dispatchFrame)
	data, err2 := wire.Marshal(&resultFrame)
	if err3 := wire.Unmarshal(data, &decoded); err != nil || err2 != nil || err3 != nil {
		h.b.Fatal(err, err2, err3)
	}
	for _, r := range decoded.Results {
		h.estimator.Observe("check", "worker-1", r.RunTime)
	}
	h.now++
	h.admission.RecordCompleted(20, h.queue.Len(), h.now)
}
