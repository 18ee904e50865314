package stored

import (
	"context"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/dispatch"
	"gypsumtide/internal/link"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// simEntry is an incarnation of an entry with what its Keeper does.
type simEntry struct {
	s           *simulation
	slot        int
	name        string
	state       *dispatch.State
	membership  membership
	openings    uint64
	book        *book
	opening     bool
	epoch       uint64
	sequence    uint64
	queue       []change
	writing     bool
	pausedUntil gypsumtide.Millis
}

func (s *simulation) startEntry(slot int) {
	e := &simEntry{
		s: s, slot: slot, name: fmt.Sprint("entry-", slot, "/", s.now), membership: membership{ttl: membershipTTL},
		state: dispatch.NewState(s.now, "z", 1.5, dispatch.NewTiming(simLease), simRecorder{s, fmt.Sprint("entry-", slot, "/", s.now)}),
	}
	s.entries[slot] = e
	e.loop(10, func() { e.state.Tick(s.now) })
	e.loop(handoverInterval, func() {
		if !e.membership.valid(s.now) {
			e.release()
		}
	})
	e.loop(joinInterval, e.join)
	e.later(1, e.join)
}

func (e *simEntry) alive() bool         { return e.s.entries[e.slot] == e }
func (e *simEntry) running() bool       { return e.alive() && e.s.now >= e.pausedUntil }
func (e *simEntry) owner() runner.Owner { return runner.Owner(e.name) }
func (e *simEntry) reaches() bool       { return e.s.now >= e.s.storeAway[e.slot] }

func (e *simEntry) loop(interval gypsumtide.Millis, do func()) {
	e.s.every(interval, func() bool {
		if e.running() {
			do()
			e.act()
		}
		return e.alive()
	})
}

func (e *simEntry) later(delay gypsumtide.Millis, do func()) {
	e.s.after(delay, func() {
		if wait := e.pausedUntil - e.s.now; wait > 0 {
			e.later(wait, do)
			return
		}
		if e.alive() {
			do()
			e.act()
		}
	})
}

// takeReports takes the reports of an agent that are new, and acknowledges them.
func (e *simEntry) takeReports(id dispatch.WorkerID, a *simAgent, reports []wire.RunReport) {
	for _, r := range reports {
		if e.state.AcceptReport(id, r.Number) {
			e.state.Report(e.s.now, id, r)
		}
		o := a.outbox(e.owner())
		for len(o.pending) > 0 && o.pending[0].Number <= r.Number {
			o.pending = o.pending[1:]
		}
	}
}

func (e *simEntry) observe(a *simAgent) {
	e.state.UpdateWorker(e.s.now, a.id(), a.state.Report(e.s.now))
	load := a.state.Load(e.s.now, e.owner())
	e.state.UpdateLoad(e.s.now, a.id(), &load)
}

// act carries out what the state asks for.
func (e *simEntry) act() {
	eff := e.state.TakeEffects()
	for j := range simHosts {
		l := e.s.links[e.slot][j]
		ses := l.session
		if ses == nil || !ses.entryOpen || ses.entry != e {
			continue
		}
		if m, ok := eff.Messages[ses.agent.id()]; ok {
			e.send(l, ses, m)
		}
	}
	for _, end := range eff.Stored.Ends {
		e.record(end)
	}
}

func (e *simEntry) send(l *simLink, ses *simSession, m *dispatch.Messages) {
	echo := ses.echo
	a := ses.agent
	l.toAgent(ses, func() {
		now := e.s.now
		for _, o := range m.Orders {
			if now-echo > link.MaxEchoAge {
				a.report(e.owner(), []wire.RunReport{{Ref: o.Ref, End: gypsumtide.EndNotStarted, Reason: "stale"}})
				continue
			}
			o.Stored = e.s.mutation != unrecordedEnds
			a.state.Submit(now, e.owner(), o)
		}
		for _, ref := range m.Stops {
			a.state.StopRun(now, ref)
		}
		for _, ref := range m.Recalls {
			a.state.Recall(ref)
		}
		a.state.EndsRecorded(m.Recorded)
		a.state.RecordsDeclined(now, m.RecordDeclined)
		a.act()
	})
}

// join asks the log for the partition.
func (e *simEntry) join() {
	if !e.reaches() {
		return
	}
	sentAt := e.s.now
	e.s.after(1, func() {
		a := e.s.deal(e.name)
		if e.s.chance(0.1) {
			return // The answer is lost.
		}
		e.later(1, func() {
			e.membership.joined(sentAt, a)
			switch {
			case !e.membership.holds(0):
				e.release()
			case e.book == nil && !e.opening && e.membership.valid(e.s.now):
				e.open()
			}
		})
	})
}

// deal keeps the holder of the partition while it joins, and passes it on when it lapses.
func (s *simulation) deal(member string) gypsumtide.Assignment {
	if s.holder == "" || s.holder != member && s.now > s.until {
		s.holder = member
		s.log.generation++
	}
	a := gypsumtide.Assignment{Generation: s.log.generation}
	if s.holder == member {
		s.until = s.now + membershipTTL
		a.Partitions = []int{0}
	}
	return a
}

// open begins an epoch and reads the partition.
func (e *simEntry) open() {
	e.opening = true
	e.openings++
	e.epoch, e.sequence = e.membership.epoch(e.openings), 0
	epoch := e.epoch
	e.append([]gypsumtide.KeyedRecord{{Key: ownerKey, Value: []byte(e.name)}}, func(err error) {
		if err != nil || e.epoch != epoch {
			e.release()
			return
		}
		b, records, _ := recoverBook(e.s.log.parts[0].values)
		adopt := func(err error) {
			if err != nil || e.epoch != epoch {
				e.release()
				return
			}
			notBefore := e.s.now + membershipTTL + runner.AbandonedAfter(simLease)
			if e.s.mutation == hastyOwners {
				notBefore = e.s.now
			}
			for _, j := range b.open() {
				e.state.Adopt(e.s.now, j.adoption(notBefore))
			}
			e.book, e.opening = b, false
		}
		if len(records) == 0 {
			adopt(nil)
			return
		}
		e.append(records, adopt)
	})
}

func (e *simEntry) release() {
	if e.book != nil {
		var ids []string
		for _, j := range e.book.open() {
			ids = append(ids, j.request.ID)
		}
		e.state.Release(e.s.now, ids)
	}
	e.book, e.opening, e.epoch, e.queue, e.writing = nil, false, 0, nil, false
}

// append writes records, and tries until it knows the result.
func (e *simEntry) append(records []gypsumtide.KeyedRecord, done func(err error)) {
	epoch, sequence := e.epoch, e.sequence+1
	write := func() error { return e.s.log.Append(context.Background(), 0, epoch, sequence, records) }
	again := func() {
		e.later(appendRetry, func() {
			if e.epoch == epoch {
				e.append(records, done)
			}
		})
	}
	switch {
	case !e.reaches():
		again()
	case e.s.chance(0.05):
		e.s.after(e.s.between(100, 3000), func() { _ = write() })
		again()
	case e.s.chance(0.05):
		e.s.after(2, func() { _ = write() })
		again()
	default:
		e.s.after(2, func() {
			err := write()
			e.later(2, func() {
				if e.epoch != epoch {
					return
				}
				if err == nil {
					e.sequence = sequence
				}
				done(err)
			})
		})
	}
}

// add queues a change and writes what waits.
func (e *simEntry) add(c change) {
	e.queue = append(e.queue, c)
	e.write()
}

func (e *simEntry) write() {
	if e.writing || len(e.queue) == 0 || e.epoch == 0 {
		return
	}
	batch := e.queue
	e.queue = nil
	e.writing = true
	var records []gypsumtide.KeyedRecord
	for _, c := range batch {
		records = append(records, c.records...)
	}
	finish := func(err error) {
		e.writing = false
		if err != nil {
			e.release()
			return
		}
		for _, c := range batch {
			c.committed()
		}
		e.write()
	}
	if len(records) == 0 {
		finish(nil)
		return
	}
	e.append(records, finish)
}

func (e *simEntry) record(end dispatch.TaskEnd) {
	if e.book == nil {
		return
	}
	b := e.book
	records, final, err := b.end(e.s.now, end)
	if err != nil {
		e.s.violate("%v", err)
	}
	e.add(change{records: records, committed: func() {
		if final != "" {
			b.show(b.jobs[end.Ref.Task.Job], final, e.s.now)
		}
		e.state.Recorded(e.s.now, end, final != "")
	}})
}

// submit has a job accepted if the entry owns the partition.
func (e *simEntry) submit(j *simJob) {
	if e.book == nil || !e.membership.valid(e.s.now) {
		return
	}
	accepted := newJob(j.request, gypsumtide.QueueRoute{Name: "r", Service: "s", Attempts: 5, SlackFactor: 1.5, Allowance: 60}, e.s.now)
	records, err := e.book.accept(accepted)
	if err != nil {
		e.s.violate("%v", err)
	}
	e.add(change{records: records, committed: func() {
		accepted.recorded, j.accepted = true, true
		e.state.Adopt(e.s.now, accepted.adoption(0))
	}})
}

func (e *simEntry) cancel(j *simJob) {
	if e.book == nil || !e.membership.valid(e.s.now) {
		return
	}
	known, ok := e.book.jobs[j.request.ID]
	if !ok || !known.recorded || known.closing || known.final() {
		return
	}
	b := e.book
	records, state, err := b.close(e.s.now, known, gypsumtide.JobCancelled)
	if err != nil {
		e.s.violate("%v", err)
	}
	e.add(change{records: records, committed: func() {
		b.show(known, state, e.s.now)
		e.state.CloseJob(e.s.now, j.request.ID, string(state))
		j.cancelled = e.s.now
	}})
}
