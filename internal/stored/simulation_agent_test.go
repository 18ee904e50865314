package stored

import (
	"errors"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

type simOutbox struct {
	number  uint64
	pending []wire.RunReport
}

// simAgent is an incarnation of an agent.
type simAgent struct {
	s           *simulation
	slot        int
	incarnation string
	state       *runner.State
	outboxes    map[runner.Owner]*simOutbox
	pausedUntil gypsumtide.Millis
	holding     bool
}

func (s *simulation) startAgent(slot int) {
	a := &simAgent{
		s: s, slot: slot, incarnation: fmt.Sprint(s.now), outboxes: make(map[runner.Owner]*simOutbox),
		state: runner.NewState(runner.NewTiming(simLease), uint64(s.now), simRecorder{s, fmt.Sprint("agent-", slot, "/", s.now)}),
	}
	s.agents[slot] = a
	s.after(s.between(2, 20), func() {
		if !a.alive() {
			return
		}
		a.state.MarkLoaded(s.now, s.marks[slot])
		if m := s.memory[slot]; m != nil && a.state.Incarnation().ID == "" {
			a.state.RestoreWorker(s.now, *m)
		}
		a.act()
	})
	a.loop(20, func() {
		a.state.Tick(s.now)
		for owner := range a.outboxes {
			if !a.state.HasOwner(owner) {
				delete(a.outboxes, owner)
			}
		}
	})
	a.loop(10, a.hold)
	a.loop(300, func() {
		info := s.workers[slot].info()
		if a.state.Heartbeat(s.now, info) {
			a.remember(info)
		}
	})
}

func (a *simAgent) alive() bool   { return a.s.agents[a.slot] == a }
func (a *simAgent) running() bool { return a.alive() && a.s.now >= a.pausedUntil }

func (a *simAgent) id() dispatch.WorkerID {
	return dispatch.WorkerID{Agent: fmt.Sprint("agent-", a.slot), Incarnation: a.incarnation}
}

// loop calls do in intervals while the process runs.
func (a *simAgent) loop(interval gypsumtide.Millis, do func()) {
	a.s.every(interval, func() bool {
		if a.running() {
			do()
			a.act()
		}
		return a.alive()
	})
}

// later calls do when the process runs again, unless it has ended.
func (a *simAgent) later(delay gypsumtide.Millis, do func()) {
	a.s.after(delay, func() {
		if wait := a.pausedUntil - a.s.now; wait > 0 {
			a.later(wait, do)
			return
		}
		if a.alive() {
			do()
			a.act()
		}
	})
}

func (a *simAgent) remember(info gypsumtide.WorkerInfo) {
	if m := a.s.memory[a.slot]; m != nil && m.Incarnation == info.Incarnation {
		return
	}
	a.later(a.s.between(4, 400), func() { a.s.memory[a.slot] = &info })
}

func (a *simAgent) mark() {
	a.later(a.s.between(4, 40), func() {
		a.s.marks[a.slot] = true
		a.state.MarkSaved()
	})
}

func (a *simAgent) outbox(owner runner.Owner) *simOutbox {
	if a.outboxes[owner] == nil {
		a.outboxes[owner] = &simOutbox{}
	}
	return a.outboxes[owner]
}

var errSimulated = errors.New("no answer")

// act carries out what the state asks for.
func (a *simAgent) act() {
	e := a.state.TakeEffects()
	w := a.s.workers[a.slot]
	for _, c := range e.Starts {
		a.start(w, c)
	}
	for _, c := range e.Stops {
		a.s.after(1, func() { w.stop(c) })
	}
	if e.Sync != nil {
		c := *e.Sync
		a.s.after(1, func() {
			answer, err := w.hold(c)
			a.later(1, func() { a.state.SyncAnswered(a.s.now, c, answer, err) })
		})
	}
	if e.SaveMark {
		a.mark()
	}
	for owner, reports := range e.Reports {
		a.report(owner, reports)
	}
}

func (a *simAgent) start(w *simWorker, c runner.StartCall) {
	lost, late := a.s.chance(w.lose), a.s.chance(w.late)
	switch {
	case late:
		a.s.after(a.s.between(100, 1000), func() { _ = w.start(c) })
	case lost:
		a.s.after(1, func() { _ = w.start(c) })
	}
	if late || lost {
		a.later(40, func() { a.state.StartAnswered(a.s.now, c, 0, errSimulated) })
		return
	}
	a.s.after(1, func() {
		err := w.start(c)
		a.later(1, func() { a.state.StartAnswered(a.s.now, c, a.s.now, err) })
	})
}

func (a *simAgent) hold() {
	if a.holding {
		return
	}
	sentAt := a.s.now
	c, ok := a.state.NextRenewal(sentAt, 0)
	if !ok {
		return
	}
	a.holding = true
	w := a.s.workers[a.slot]
	a.s.after(1, func() {
		answer, err := w.hold(c)
		if a.s.chance(0.01) {
			answer, err = gypsumtide.RenewResponse{}, errSimulated
		}
		a.later(1, func() {
			a.holding = false
			a.state.RenewAnswered(a.s.now, sentAt, c, answer, err)
		})
	})
}

func (a *simAgent) report(owner runner.Owner, reports []wire.RunReport) {
	if !a.state.HasOwner(owner) {
		return
	}
	o := a.outbox(owner)
	for i := range reports {
		o.number++
		reports[i].Number = o.number
	}
	o.pending = append(o.pending, reports...)
	for i := range simHosts {
		l := a.s.links[i][a.slot]
		if ses := l.session; ses != nil && ses.agentOpen && ses.agent == a && ses.entry.owner() == owner {
			l.toEntry(ses, func() {
				ses.entry.takeReports(a.id(), a, reports)
				ses.entry.act()
			})
		}
	}
}
