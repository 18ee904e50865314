package stored

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/link"
	"gypsumtide/internal/wire"
)

// simLink is the network path between an entry and an agent, with its session.
type simLink struct {
	s            *simulation
	entry, agent int
	// toEntryCutUntil and toAgentCutUntil are the times until which each direction is cut.
	toEntryCutUntil, toAgentCutUntil gypsumtide.Millis
	// session is the newest session. open has all sessions that either side has open.
	session *simSession
	open    []*simSession
}

type simSession struct {
	// entryOpen and agentOpen report whether the session is open from the view of each side.
	entryOpen, agentOpen bool
	entry                *simEntry
	agent                *simAgent
	// entryReceivedAt and agentReceivedAt are the times at which each side last received a
	// heartbeat of the other, or at which the session was opened. latestAgentTime is the
	// newest clock reading of the agent that the entry has received. The entry echoes it
	// to the agent.
	entryReceivedAt, agentReceivedAt gypsumtide.Millis
	latestAgentTime                  gypsumtide.Millis
	pipeToEntry, pipeToAgent         simPipe
	// replaced is set once the entry has handled the start of another session of the agent.
	replaced bool
}

// simPipe delivers the messages to one side of a session in order. waiting is set while a
// delivery is scheduled.
type simPipe struct {
	messages []simMessage
	waiting  bool
}

// simMessage is a message that is delivered by calling fn. The field at is the earliest
// time of the delivery.
type simMessage struct {
	at gypsumtide.Millis
	fn func()
}

// send delivers a message after the delay, once the link is not cut and the receiver not
// paused. The message is dropped if the receiver has closed the session or ended by then.
func (l *simLink) send(p *simPipe, delay gypsumtide.Millis, heldUntil func() gypsumtide.Millis, open func() bool, fn func()) {
	p.messages = append(p.messages, simMessage{l.s.now + delay + l.s.randomBetween(1, 3), fn})
	var deliver func()
	deliver = func() {
		p.waiting = false
		for len(p.messages) > 0 {
			if !open() {
				p.messages = nil
				return
			}
			if wait := max(p.messages[0].at, heldUntil()) - l.s.now; wait > 0 {
				p.waiting = true
				l.s.schedule(wait, deliver)
				return
			}
			next := p.messages[0]
			p.messages = p.messages[1:]
			next.fn()
		}
	}
	if !p.waiting {
		p.waiting = true
		l.s.schedule(0, deliver)
	}
}

func (l *simLink) sendToEntry(ses *simSession, fn func()) {
	delay := ses.agent.lag() + ses.entry.lag()
	l.send(&ses.pipeToEntry, delay, func() gypsumtide.Millis { return max(l.toEntryCutUntil, ses.entry.pausedUntil) }, func() bool { return ses.entryOpen && ses.entry.alive() }, fn)
}

func (l *simLink) sendToAgent(ses *simSession, fn func()) {
	delay := ses.agent.lag() + ses.entry.lag()
	l.send(&ses.pipeToAgent, delay, func() gypsumtide.Millis { return max(l.toAgentCutUntil, ses.agent.pausedUntil) }, func() bool { return ses.agentOpen && ses.agent.alive() }, fn)
}

// connect opens a session if both sides are reachable and the agent has none. The entry
// may not have noticed yet that the previous one has ended.
func (l *simLink) connect() {
	e, a := l.s.entries[l.entry], l.s.agents[l.agent]
	if e == nil || a == nil || l.s.now < max(l.toEntryCutUntil, l.toAgentCutUntil, e.pausedUntil, a.pausedUntil) {
		return
	}
	if old := l.session; old != nil && old.agentOpen && old.agent == a && old.entry == e {
		return
	}
	ses := &simSession{entryOpen: true, agentOpen: true, entry: e, agent: a, entryReceivedAt: l.s.now, agentReceivedAt: l.s.now}
	l.session = ses
	l.open = append(l.open, ses)
	owner := e.owner()
	a.sessionCount++
	complete := a.state.SessionOpened(owner)
	reports := append([]wire.RunReport(nil), a.outbox(owner).pending...)
	resume := wire.Resume{Held: a.state.RunsOf(owner), Complete: complete, Session: a.sessionCount, Unrecorded: a.state.UnrecordedEnds(owner)}
	worker, load := a.state.WorkerReport(l.s.now), a.state.LoadReport(l.s.now, owner)
	l.sendToEntry(ses, func() {
		if !e.state.BeginResume(a.id(), resume) {
			l.closeEntry(ses)
			return
		}
		if old := e.sessions[a.id()]; old != nil && old != ses {
			old.replaced = true
			l.closeEntry(old)
		}
		e.sessions[a.id()] = ses
		e.receiveReports(a.id(), a, reports)
		e.state.Connected(l.s.now, a.id(), resume)
		e.updateWorker(a, worker, load)
		e.act()
		l.sendToAgent(ses, func() {
			a.state.SessionResumed(l.s.now, owner)
			a.act()
		})
	})
}

// exchangeHeartbeats sends heartbeats both ways.
func (l *simLink) exchangeHeartbeats() {
	for _, ses := range l.open {
		l.exchangeSessionHeartbeats(ses)
	}
}

func (l *simLink) exchangeSessionHeartbeats(ses *simSession) {
	s := l.s
	if ses.agentOpen && ses.agent.running() {
		at := s.now
		worker, load := ses.agent.state.WorkerReport(at), ses.agent.state.LoadReport(at, ses.entry.owner())
		l.sendToEntry(ses, func() {
			ses.entryReceivedAt, ses.latestAgentTime = s.now, max(ses.latestAgentTime, at)
			if ses.entry.sessions[ses.agent.id()] == ses {
				ses.entry.updateWorker(ses.agent, worker, load)
				ses.entry.act()
			}
		})
	}
	if ses.entryOpen && ses.entry.running() {
		echo := ses.latestAgentTime
		l.sendToAgent(ses, func() {
			ses.agentReceivedAt = s.now
			ses.agent.state.EchoReceived(ses.entry.owner(), echo)
		})
	}
}

// closeLostSessions closes each side of a session that has received nothing for longer than
// link.ReceiveTimeout, or whose process has ended.
func (l *simLink) closeLostSessions() {
	for _, ses := range slices.Clone(l.open) {
		l.closeIfLost(ses)
	}
	l.open = slices.DeleteFunc(l.open, func(ses *simSession) bool { return !ses.entryOpen && !ses.agentOpen })
}

func (l *simLink) closeIfLost(ses *simSession) {
	s := l.s
	if ses.entryOpen && (!ses.entry.alive() || ses.entry.running() && s.now-ses.entryReceivedAt > link.ReceiveTimeout) {
		l.closeEntry(ses)
	}
	if ses.agentOpen && (!ses.agent.alive() || ses.agent.running() && s.now-ses.agentReceivedAt > link.ReceiveTimeout) {
		l.closeAgent(ses)
	}
}

func (l *simLink) closeEntry(ses *simSession) {
	if !ses.entryOpen {
		return
	}
	ses.entryOpen = false
	if ses.entry.alive() && ses.entry.sessions[ses.agent.id()] == ses && !ses.replaced {
		delete(ses.entry.sessions, ses.agent.id())
		ses.entry.state.Disconnected(l.s.now, ses.agent.id(), "closed")
		ses.entry.act()
	}
	if !l.s.chance(l.s.closeLossProbability) {
		l.sendToAgent(ses, func() { l.closeAgent(ses) })
	}
}

func (l *simLink) closeAgent(ses *simSession) {
	if !ses.agentOpen {
		return
	}
	ses.agentOpen = false
	if ses.agent.alive() {
		ses.agent.state.SessionClosed(l.s.now, ses.entry.owner())
		ses.agent.act()
	}
	if !l.s.chance(l.s.closeLossProbability) {
		l.sendToEntry(ses, func() { l.closeEntry(ses) })
	}
}
