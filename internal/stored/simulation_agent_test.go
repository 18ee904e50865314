package stored

import (
	"errors"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// simOutbox numbers the reports of an agent to one owner. pending holds those that the
// owner has not acknowledged.
type simOutbox struct {
	number  uint64
	pending []wire.RunReport
}

// simAgent is an incarnation of the agent on host slot.
type simAgent struct {
	s           *simulation
	slot        int
	incarnation string
	state       *runner.State
	outboxes    map[runner.Owner]*simOutbox
	pausedUntil gypsumtide.Millis
	renewing    bool
	// sessionCount is the number of sessions opened.
	sessionCount uint64
	slowness     simSlowness
}

func (s *simulation) startAgent(slot int) {
	timing := runner.NewTiming(simLease)
	if s.mutation == staleAnswers {
		timing.MaxOwnerLag = 1 << 40
	}
	a := &simAgent{
		s: s, slot: slot, incarnation: fmt.Sprint(s.now), outboxes: make(map[runner.Owner]*simOutbox),
		state: runner.NewState(timing, uint64(s.now), simRecorder{s, fmt.Sprint("agent-", slot, "/", s.now)}),
	}
	s.agents[slot] = a
	s.schedule(s.randomBetween(2, 20), func() {
		if !a.alive() {
			return
		}
		a.state.StoredJobsMarkLoaded(s.now, s.savedMarks[slot])
		if m := s.savedWorkers[slot]; m != nil && a.state.Incarnation().ID == "" {
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
	a.loop(10, a.renew)
	a.loop(300, func() {
		if s.workers[slot].gone {
			return
		}
		info := s.workers[slot].info()
		if a.state.Heartbeat(s.now, info) {
			a.saveWorker(info)
		}
	})
}

func (a *simAgent) alive() bool            { return a.s.agents[a.slot] == a }
func (a *simAgent) lag() gypsumtide.Millis { return a.slowness.lag(a.s) }
func (a *simAgent) running() bool          { return a.alive() && a.s.now >= a.pausedUntil }

func (a *simAgent) id() dispatch.WorkerID {
	return dispatch.WorkerID{Agent: fmt.Sprint("agent-", a.slot), Incarnation: a.incarnation}
}

// loop calls fn at the given interval until the process ends, except while it is paused.
func (a *simAgent) loop(interval gypsumtide.Millis, fn func()) {
	a.s.every(interval, func() bool {
		if a.running() {
			fn()
			a.act()
		}
		return a.alive()
	})
}

// later calls fn after the delay, or when a pause of the process is over. It does not call
// fn if the process has ended.
func (a *simAgent) later(delay gypsumtide.Millis, fn func()) {
	a.s.schedule(delay, func() {
		if wait := a.pausedUntil - a.s.now; wait > 0 {
			a.later(wait, fn)
			return
		}
		if a.alive() {
			fn()
			a.act()
		}
	})
}

func (a *simAgent) saveWorker(info gypsumtide.WorkerInfo) {
	if m := a.s.savedWorkers[a.slot]; m != nil && m.Incarnation == info.Incarnation {
		return
	}
	a.later(a.s.randomBetween(4, 400), func() { a.s.savedWorkers[a.slot] = &info })
}

// saveStoredJobsMark saves that the host may have run tasks of stored jobs.
func (a *simAgent) saveStoredJobsMark() {
	a.later(a.s.randomBetween(4, 40), func() {
		a.s.savedMarks[a.slot] = true
		a.state.StoredJobsMarkSaved()
	})
}

func (a *simAgent) outbox(owner runner.Owner) *simOutbox {
	if a.outboxes[owner] == nil {
		a.outboxes[owner] = &simOutbox{}
	}
	return a.outboxes[owner]
}

var errSimulated = errors.New("no answer")

// act carries out the effects that the state has requested.
func (a *simAgent) act() {
	effects := a.state.TakeEffects()
	w := a.s.workers[a.slot]
	for _, c := range effects.Starts {
		a.start(w, c)
	}
	for _, c := range effects.Stops {
		a.s.schedule(1+a.lag()+w.callDelay(), func() { w.stop(c) })
	}
	if effects.Sync != nil {
		c := *effects.Sync
		a.callRenew(w, c, 40, func(answer gypsumtide.RenewResponse, err error) { a.state.SyncAnswered(a.s.now, c, answer, err) })
	}
	if effects.SaveStoredJobsMark {
		a.saveStoredJobsMark()
	}
	for owner, reports := range effects.Reports {
		a.report(owner, reports)
	}
}

func (a *simAgent) start(w *simWorker, c runner.StartCall) {
	answerLost, startDelayed := a.s.chance(w.answerLossProbability), a.s.chance(w.delayProbability)
	switch {
	case startDelayed:
		a.s.schedule(a.s.randomBetween(100, w.longestDelay()), func() { _ = w.start(c) })
	case answerLost:
		a.s.schedule(1, func() { _ = w.start(c) })
	}
	if startDelayed || answerLost {
		a.later(40, func() { a.state.StartAnswered(a.s.now, c, 0, errSimulated) })
		return
	}
	a.s.schedule(1, func() {
		err := w.start(c)
		a.later(1+a.lag(), func() { a.state.StartAnswered(a.s.now, c, a.s.now, err) })
	})
}

func (a *simAgent) renew() {
	if a.renewing {
		return
	}
	sentAt := a.s.now
	c, ok := a.state.NextRenewal(sentAt, 0)
	if !ok {
		return
	}
	a.renewing = true
	w := a.s.workers[a.slot]
	a.callRenew(w, c, 100, func(answer gypsumtide.RenewResponse, err error) {
		if a.s.chance(0.01) {
			answer, err = gypsumtide.RenewResponse{}, errSimulated
		}
		a.renewing = false
		a.state.RenewAnswered(a.s.now, sentAt, c, answer, err)
	})
}

// callRenew makes a renew call. One that the worker carries out late fails after the timeout.
func (a *simAgent) callRenew(w *simWorker, c runner.RenewCall, timeout gypsumtide.Millis, done func(answer gypsumtide.RenewResponse, err error)) {
	if delay := w.callDelay(); delay > 0 {
		a.s.schedule(delay, func() { _, _ = w.renew(c) })
		a.later(timeout, func() { done(gypsumtide.RenewResponse{}, errSimulated) })
		return
	}
	a.s.schedule(1, func() {
		answer, err := w.renew(c)
		a.later(1+a.lag(), func() { done(answer, err) })
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
			l.sendToEntry(ses, func() {
				ses.entry.receiveReports(a.id(), a, reports)
				ses.entry.act()
			})
		}
	}
}
