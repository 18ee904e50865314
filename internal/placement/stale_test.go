package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gypsumtide"
)

// staleModel is some agents with 8 slots that several homes share, in steps of
// 1 ms. An agent reports its load to a home with each result and once in each
// report interval. Messages take 1 ms.
type staleModel struct {
	rng    *rand.Rand
	homes  []*modelHome
	agents []*modelAgent
	now    gypsumtide.Millis
	// ratios holds run time plus waiting time relative to run time plus two trips.
	ratios []float64
	// waited counts the tasks that waited at an agent while another had a free slot.
	waited int
	tasks  int
}

type modelHome struct {
	placer gypsumtide.Placer
	views  []*gypsumtide.AgentView
	queue  []modelTask
	inbox  []modelReport
}

type modelTask struct {
	home         int
	task         *gypsumtide.Task
	run          gypsumtide.Millis
	queued, ends gypsumtide.Millis
}

type modelReport struct {
	at    gypsumtide.Millis
	agent int
	load  gypsumtide.Load
	done  *modelTask
}

type modelAgent struct {
	inbox, waiting, running []modelTask
}

const (
	modelSlots     = 8
	reportInterval = 200
)

func newStaleModel(o Options, agents, homes int) *staleModel {
	m := &staleModel{rng: rand.New(rand.NewPCG(7, 7))}
	for i := range homes {
		o.Seed = uint64(i + 1)
		p, _ := New(BelievedFree, o)
		h := &modelHome{placer: p}
		for range agents {
			h.views = append(h.views, gypsumtide.NewAgentView("", "", "", modelSlots, 0, gypsumtide.Size{}))
		}
		m.homes = append(m.homes, h)
	}
	for range agents {
		m.agents = append(m.agents, &modelAgent{})
	}
	return m
}

// arrive adds the tasks of one step. The first home has half of the demand.
func (m *staleModel) arrive(load float64) {
	const meanRun = 250.0
	for m.rng.Float64() < load*float64(len(m.agents))*modelSlots/meanRun/(1+load*float64(len(m.agents))*modelSlots/meanRun) {
		home := 0
		if m.rng.IntN(2) == 0 {
			home = m.rng.IntN(len(m.homes))
		}
		run := gypsumtide.Millis(50 + min(m.rng.ExpFloat64()*(meanRun-50), 3000))
		t := gypsumtide.NewTask(gypsumtide.SubmissionID{}, 0, "", "", 1, 0)
		m.homes[home].queue = append(m.homes[home].queue, modelTask{home: home, task: t, run: run, queued: m.now})
	}
}

func (m *staleModel) step(load float64) {
	m.now++
	m.arrive(load)
	for _, h := range m.homes {
		for len(h.inbox) > 0 && h.inbox[0].at <= m.now {
			r := h.inbox[0]
			h.inbox = h.inbox[1:]
			if r.done != nil {
				h.views[r.agent].Release(r.done.task)
			}
			h.views[r.agent].Report(r.load, m.now)
		}
		for len(h.queue) > 0 {
			d := h.placer.Place(h.queue[0].task, h.views, m.now)
			if d.Agent() < 0 {
				break
			}
			h.views[d.Agent()].Assign(h.queue[0].task)
			m.agents[d.Agent()].inbox = append(m.agents[d.Agent()].inbox, h.queue[0])
			h.queue = h.queue[1:]
		}
	}
	for i, a := range m.agents {
		m.run(i, a)
		if (m.now+gypsumtide.Millis(i*17))%reportInterval == 0 {
			for home := range m.homes {
				m.report(home, i, nil)
			}
		}
	}
}

// run ends and starts tasks at an agent. Dispatches arrive at the end of the step.
func (m *staleModel) run(i int, a *modelAgent) {
	var ended []modelTask
	a.running = slices.DeleteFunc(a.running, func(t modelTask) bool {
		if t.ends <= m.now {
			ended = append(ended, t)
		}
		return t.ends <= m.now
	})
	for len(a.waiting) > 0 && len(a.running) < modelSlots {
		t := a.waiting[0]
		a.waiting = a.waiting[1:]
		t.ends = m.now + t.run
		a.running = append(a.running, t)
		m.ratios = append(m.ratios, float64(m.now+t.run+1-t.queued)/float64(t.run+2))
	}
	for _, t := range ended {
		m.report(t.home, i, &t)
	}
	free := slices.ContainsFunc(m.agents, func(a *modelAgent) bool { return len(a.running)+len(a.waiting) < modelSlots })
	for _, t := range a.inbox {
		m.tasks++
		if free && len(a.running)+len(a.waiting) >= modelSlots {
			m.waited++
		}
		a.waiting = append(a.waiting, t)
	}
	a.inbox = a.inbox[:0]
}

func (m *staleModel) report(home, agent int, done *modelTask) {
	a := m.agents[agent]
	l := gypsumtide.Load{Running: len(a.running), Queued: len(a.waiting)}
	for _, t := range slices.Concat(a.running, a.waiting) {
		if t.home == home {
			l.FromPeer++
		}
	}
	m.homes[home].inbox = append(m.homes[home].inbox, modelReport{at: m.now + 1, agent: agent, load: l, done: done})
}

// Compares the treatments of load reported by other homes, and pairs with a
// full scan. The metrics are the 99th percentile of the response ratio and the
// part of tasks that waited at an agent while another had a free slot.
func BenchmarkStale(b *testing.B) {
	for _, load := range []float64{0.7, 0.95} {
		for _, agents := range []int{11, 60} {
			for _, stale := range []string{StaleRaw, StaleMean} {
				for _, limit := range []int{16, 256} {
					b.Run(fmt.Sprintf("load=%v/agents=%d/%s/scan-limit=%d", load, agents, stale, limit), func(b *testing.B) {
						var m *staleModel
						for range b.N {
							m = newStaleModel(Options{Stale: stale, ScanLimit: limit}, agents, 4)
							for range 600_000 / agents {
								m.step(load)
							}
						}
						slices.Sort(m.ratios)
						b.ReportMetric(m.ratios[len(m.ratios)*99/100], "p99")
						b.ReportMetric(100*float64(m.waited)/float64(m.tasks), "%waited")
					})
				}
			}
		}
	}
}
