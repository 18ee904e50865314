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

// simEntry is an incarnation of the entry on host slot, with a simplified PartitionManager.
type simEntry struct {
	s           *simulation
	slot        int
	name        string
	state       *dispatch.State
	membership  membership
	openCount   uint64
	jobTable    *jobTable
	opening     bool
	epoch       uint64
	sequence    uint64
	queue       []pendingWrite
	writing     bool
	pausedUntil gypsumtide.Millis
	slowness    simSlowness
	// sessions has the sessions whose start the entry has handled last.
	sessions map[dispatch.WorkerID]*simSession
}

func (s *simulation) startEntry(slot int) {
	e := &simEntry{
		s: s, slot: slot, name: fmt.Sprint("entry-", slot, "/", s.now), membership: membership{ttl: membershipTTL},
		sessions: make(map[dispatch.WorkerID]*simSession),
		state:    dispatch.NewState(s.now, "z", 1.5, dispatch.NewTiming(simLease), simRecorder{s, fmt.Sprint("entry-", slot, "/", s.now)}),
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

func (e *simEntry) alive() bool            { return e.s.entries[e.slot] == e }
func (e *simEntry) running() bool          { return e.alive() && e.s.now >= e.pausedUntil }
func (e *simEntry) owner() runner.Owner    { return runner.Owner(e.name) }
func (e *simEntry) lag() gypsumtide.Millis { return e.slowness.lag(e.s) }
func (e *simEntry) logReachable() bool     { return e.s.now >= e.s.logUnreachableUntil[e.slot] }

// loop calls fn at the given interval until the process ends, except while it is paused.
func (e *simEntry) loop(interval gypsumtide.Millis, fn func()) {
	e.s.every(interval, func() bool {
		if e.running() {
			fn()
			e.act()
		}
		return e.alive()
	})
}

// later calls fn after the delay, or when a pause of the process is over. It does not call
// fn if the process has ended.
func (e *simEntry) later(delay gypsumtide.Millis, fn func()) {
	e.s.schedule(delay, func() {
		if wait := e.pausedUntil - e.s.now; wait > 0 {
			e.later(wait, fn)
			return
		}
		if e.alive() {
			fn()
			e.act()
		}
	})
}

// receiveReports handles the new reports of an agent and acknowledges all of them.
func (e *simEntry) receiveReports(id dispatch.WorkerID, a *simAgent, reports []wire.RunReport) {
	for _, r := range reports {
		if e.state.AcceptReport(id, r.Number) {
			e.state.HandleReport(e.s.now, id, r)
		}
		o := a.outbox(e.owner())
		for len(o.pending) > 0 && o.pending[0].Number <= r.Number {
			o.pending = o.pending[1:]
		}
	}
}

func (e *simEntry) updateWorker(a *simAgent, worker wire.WorkerReport, load wire.LoadReport) {
	e.state.UpdateWorker(e.s.now, a.id(), worker)
	e.state.UpdateLoad(e.s.now, a.id(), &load)
}

// act carries out the effects that the state has requested.
func (e *simEntry) act() {
	effects := e.state.TakeEffects()
	for id, m := range effects.Messages {
		if ses := e.sessions[id]; ses != nil {
			e.send(e.s.links[e.slot][ses.agent.slot], ses, m)
		}
	}
	for id := range effects.Answers {
		e.s.jobs[id].answered = true
	}
	for _, end := range effects.Stored.Ends {
		e.record(end)
	}
}

func (e *simEntry) send(l *simLink, ses *simSession, m *dispatch.Messages) {
	echo := ses.latestAgentTime
	a := ses.agent
	l.sendToAgent(ses, func() {
		now := e.s.now
		for _, o := range m.Orders {
			if e.s.mutation == staleAnswers && now-echo > link.MaxEchoAge {
				a.report(e.owner(), []wire.RunReport{{Ref: o.Ref, End: gypsumtide.EndNotStarted, Reason: "stale"}})
				continue
			}
			o.Stored = o.Stored && e.s.mutation != earlyAcknowledgement
			a.state.Submit(now, e.owner(), o, echo)
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

// join joins the group of the log, and opens or releases the partition.
func (e *simEntry) join() {
	if !e.logReachable() {
		return
	}
	sentAt := e.s.now
	e.s.schedule(1, func() {
		a := e.s.assignPartition(e.name)
		if e.s.chance(0.1) {
			return // The answer is lost.
		}
		e.later(1, func() {
			e.membership.applyJoinResult(sentAt, a)
			switch {
			case !e.membership.isAssigned(0):
				e.release()
			case e.jobTable == nil && !e.opening && e.membership.valid(e.s.now):
				e.open()
			}
		})
	})
}

// assignPartition processes a join of the member for the log. It assigns the partition to
// the member if nobody owns it or if the membership of its owner has expired.
func (s *simulation) assignPartition(member string) gypsumtide.Assignment {
	if s.partitionOwner == "" || s.partitionOwner != member && s.now > s.ownedUntil {
		s.partitionOwner = member
		s.log.generation++
	}
	a := gypsumtide.Assignment{Generation: s.log.generation}
	if s.partitionOwner == member {
		s.ownedUntil = s.now + membershipTTL
		a.Partitions = []int{0}
	}
	return a
}

// open begins an epoch, loads the partition and adopts its jobs.
func (e *simEntry) open() {
	e.opening = true
	e.openCount++
	e.epoch, e.sequence = e.membership.epoch(e.openCount), 0
	epoch := e.epoch
	e.append([]gypsumtide.KeyedRecord{{Key: ownerKey, Value: []byte(e.name)}}, func(err error) {
		if err != nil || e.epoch != epoch {
			e.release()
			return
		}
		table, records, _ := recoverJobTable(e.s.log.partitionData[0].values)
		adopt := func(err error) {
			if err != nil || e.epoch != epoch {
				e.release()
				return
			}
			notBefore := e.s.now + membershipTTL + runner.OrphanedRunTimeout(simLease)
			if e.s.mutation == noOwnerWait {
				notBefore = e.s.now
			}
			for _, j := range table.inProgressJobs() {
				e.state.Adopt(e.s.now, j.storedJob(notBefore))
			}
			e.jobTable, e.opening = table, false
		}
		if len(records) == 0 {
			adopt(nil)
			return
		}
		e.append(records, adopt)
	})
}

func (e *simEntry) release() {
	if e.jobTable != nil {
		var ids []string
		for _, j := range e.jobTable.inProgressJobs() {
			ids = append(ids, j.request.ID)
		}
		e.state.Release(e.s.now, ids)
	}
	e.jobTable, e.opening, e.epoch, e.queue, e.writing = nil, false, 0, nil, false
}

// append writes records, and retries until it knows the result or the epoch has changed.
func (e *simEntry) append(records []gypsumtide.KeyedRecord, done func(err error)) {
	epoch, sequence := e.epoch, e.sequence+1
	write := func() error { return e.s.log.Append(context.Background(), 0, epoch, sequence, records) }
	retry := func() {
		e.later(appendRetryInterval, func() {
			if e.epoch == epoch {
				e.append(records, done)
			}
		})
	}
	switch {
	case !e.logReachable():
		retry()
	case e.s.chance(0.05):
		e.s.schedule(e.s.randomBetween(100, 3000), func() { _ = write() })
		retry()
	case e.s.chance(0.05):
		e.s.schedule(2, func() { _ = write() })
		retry()
	default:
		e.s.schedule(2, func() {
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

// enqueue queues a write, and starts an append unless one is in progress.
func (e *simEntry) enqueue(p pendingWrite) {
	e.queue = append(e.queue, p)
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
	for _, p := range batch {
		records = append(records, p.records...)
	}
	finish := func(err error) {
		e.writing = false
		if err != nil {
			e.release()
			return
		}
		for _, p := range batch {
			p.onCommitted()
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
	if e.jobTable == nil {
		return
	}
	table := e.jobTable
	records, final, err := table.end(e.s.now, end)
	if err != nil {
		e.s.addViolation("%v", err)
	}
	e.enqueue(pendingWrite{records: records, onCommitted: func() {
		if final != "" {
			table.finalize(table.jobs[end.Ref.Task.Job], final, e.s.now)
		}
		e.state.EndRecorded(e.s.now, end, final != "")
	}})
}

// submit accepts a job if the entry owns the partition.
func (e *simEntry) submit(j *simJob) {
	if e.jobTable == nil || !e.membership.valid(e.s.now) {
		return
	}
	tableJob := newJob(j.request, gypsumtide.QueueRoute{Name: "r", Service: "s", Attempts: 5, SlackFactor: 1.5, Allowance: 60}, e.s.now)
	records, err := e.jobTable.accept(tableJob)
	if err != nil {
		e.s.addViolation("%v", err)
	}
	e.enqueue(pendingWrite{records: records, onCommitted: func() {
		tableJob.recorded, j.accepted = true, true
		e.state.Adopt(e.s.now, tableJob.storedJob(0))
	}})
}

func (e *simEntry) cancel(j *simJob) {
	if e.jobTable == nil || !e.membership.valid(e.s.now) {
		return
	}
	existing, ok := e.jobTable.jobs[j.request.ID]
	if !ok || !existing.recorded || existing.closing || existing.isFinal() {
		return
	}
	table := e.jobTable
	records, state, err := table.close(e.s.now, existing, gypsumtide.JobCancelled)
	if err != nil {
		e.s.addViolation("%v", err)
	}
	e.enqueue(pendingWrite{records: records, onCommitted: func() {
		table.finalize(existing, state, e.s.now)
		e.state.CloseJob(e.s.now, j.request.ID, string(state))
		j.cancelledAt = e.s.now
	}})
}
