package entry

import (
	"fmt"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recoveryWait bounds the wait for agents of a submission in doubt whose
// session is broken.
const recoveryWait gypsumtide.Millis = 2_000

// recovery collects what the candidate agents started for a submission that an
// earlier home may have accepted.
type recovery struct {
	asked   map[string]bool
	pending map[string]bool
	until   gypsumtide.Millis
	lost    string
}

// startRecovery asks every agent that may have started tasks of the job.
func (h *home) startRecovery(aj *activeJob, now gypsumtide.Millis) <-chan wire.Answer {
	id := aj.Submission()
	aj.SetRecovering(true)
	aj.recovery = &recovery{asked: make(map[string]bool), pending: make(map[string]bool), until: recoveryEnd(aj, now)}
	h.jobs[id] = aj
	h.recovering[id] = aj
	h.metrics.recoveries.Inc()
	ch := aj.Wait()
	candidates, complete := h.owner.RecoveryCandidates(id, len(aj.Tasks()))
	if !complete {
		h.failRecovery(aj, "", "an agent that is not known may have started tasks")
		return ch
	}
	for _, c := range candidates {
		if d := h.departed[c.Incarnation]; d != nil && d.covers[id.Shard()] {
			h.recoverDeparted(aj, d)
			continue
		}
		if conn := h.agents[c.Incarnation]; !c.CanAnswer && (conn == nil || conn.session == nil) {
			h.failRecovery(aj, c.Incarnation, "the agent is gone")
			return ch
		}
		aj.recovery.pending[c.Incarnation] = true
	}
	h.askAgents(aj, now)
	h.finishRecovery(aj, now)
	return ch
}

// recoveryEnd returns how long the agents' answers are awaited. A job whose
// deadline passed on its way to this home still gets the time of a round trip,
// so that its outcome is known.
func recoveryEnd(aj *activeJob, now gypsumtide.Millis) gypsumtide.Millis {
	return max(now+closeGrace, min(aj.Deadline(), now+recoveryWait))
}

// askAgents sends the recover request to the pending agents that are connected.
func (h *home) askAgents(aj *activeJob, now gypsumtide.Millis) {
	id := aj.Submission()
	for inc := range aj.recovery.pending {
		c := h.agents[inc]
		if c == nil || c.session == nil || aj.recovery.asked[inc] {
			continue
		}
		aj.recovery.asked[inc] = c.session.Update(func(f *wire.Frame) {
			f.Recovers = append(f.Recovers, wire.Recover{Submission: id, Shard: id.Shard(), Epoch: aj.Epoch()})
		})
	}
}

// recovered takes an agent's list of started tasks.
func (h *home) recovered(c *agentConn, r *wire.Recovered, now gypsumtide.Millis) {
	aj := h.jobs[r.Submission]
	if aj == nil || !aj.Recovering() || !aj.recovery.pending[c.record.Incarnation] {
		return
	}
	if r.Fenced {
		h.end(aj, wire.Answer{Submission: r.Submission, Moved: true})
		return
	}
	if r.Epoch != aj.Epoch() {
		return
	}
	delete(aj.recovery.pending, c.record.Incarnation)
	for i := range r.Tasks {
		h.recoveredTask(c, aj, &r.Tasks[i], now)
	}
	h.finishRecovery(aj, now)
}

func (h *home) recoveredTask(c *agentConn, aj *activeJob, r *wire.Result, now gypsumtide.Millis) {
	if int(r.Task) >= len(aj.Tasks()) {
		return
	}
	switch r.State {
	case wire.TaskDone:
		aj.Finish(r.Task, wire.TaskResult{
			Status: r.Status, ContentType: r.ContentType, Body: r.Body, RunTime: r.RunTime, Upstream: peerName(c, r),
		})
	case wire.TaskRunning:
		t := aj.Tasks()[r.Task]
		aj.Start(r.Task)
		c.open[keyOf(r.TaskRef)] = openTask{task: t, epoch: aj.Epoch(), sentAt: now}
		c.view.Assign(t)
	case wire.TaskUnknown:
		aj.Lose(r.Task)
		aj.recovery.lost = peerName(c, r)
	}
}

// recoveryLost notes that an agent can no longer answer.
func (h *home) recoveryLost(c *agentConn, why string) {
	for _, aj := range h.recovering {
		if aj.recovery.pending[c.record.Incarnation] {
			h.failRecovery(aj, c.record.Name, why)
		}
	}
}

// finishRecovery continues the job once every candidate has answered.
func (h *home) finishRecovery(aj *activeJob, now gypsumtide.Millis) {
	if len(aj.recovery.pending) > 0 || aj.Ended() {
		return
	}
	if aj.recovery.lost != "" {
		h.failRecovery(aj, aj.recovery.lost, "a started task has no result")
		return
	}
	aj.SetRecovering(false)
	delete(h.recovering, aj.Submission())
	h.decisions.log("recover", "submission", aj.Submission().String(), "epoch", aj.Epoch(), "done", aj.DoneTasks(), "open", aj.OpenTasks())
	if aj.Complete() {
		h.endRecovered(aj)
		return
	}
	if aj.Closing() != nil {
		h.endClosed(aj)
		return
	}
	h.resume(aj, now)
}

// endRecovered answers a job all of whose tasks had finished under an earlier home.
func (h *home) endRecovered(aj *activeJob) {
	for i := range aj.Tasks() {
		if r := aj.Result(uint32(i)); r.Status >= http.StatusInternalServerError {
			aj.Close(&wire.Problem{
				Type: "task-failed", Status: http.StatusBadGateway, Step: "run task", Peer: r.Upstream,
				Detail: fmt.Sprintf("task %d ended with status %d", i, r.Status),
			})
			h.endClosed(aj)
			return
		}
	}
	h.end(aj, aj.Answer())
}

// resume dispatches the tasks that no earlier home started.
func (h *home) resume(aj *activeJob, now gypsumtide.Millis) {
	if now >= aj.Deadline() {
		h.expire(aj, now)
		return
	}
	if !aj.Started() {
		if refusal := h.admit(aj, now); refusal != nil {
			if !h.holdsLease(aj) {
				// The next home may have started the job by now.
				refusal = &wire.Answer{Submission: aj.Submission(), Moved: true}
			}
			h.end(aj, *refusal)
			return
		}
	} else {
		p, refusal := h.choosePool(aj)
		if refusal != nil {
			aj.Close(refusal.Problem)
			h.endClosed(aj)
			return
		}
		aj.pool = p
	}
	h.start(aj, now)
}

// failRecovery answers that the outcome is unknown. The answer is not
// remembered, since the agent may come back and tell.
func (h *home) failRecovery(aj *activeJob, peer, why string) {
	id := aj.Submission()
	if _, ended := aj.End(wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeUnknown, Problem: &wire.Problem{
		Type: "outcome-unknown", Status: http.StatusServiceUnavailable, Step: "recover submission", Peer: peer,
		Detail: "an earlier home may have started tasks there: " + why,
	}}); !ended {
		return
	}
	for _, c := range h.agents {
		c.forget(id)
	}
	delete(h.jobs, id)
	delete(h.recovering, id)
}

// tickRecoveries asks agents that came back and gives up those that did not.
func (h *home) tickRecoveries(now gypsumtide.Millis) {
	for _, aj := range h.recovering {
		h.askAgents(aj, now)
		if now < aj.recovery.until {
			continue
		}
		for inc := range aj.recovery.pending {
			h.failRecovery(aj, inc, "no answer from the agent")
			break
		}
	}
}

// departedLedger is what an agent had started when it left in order.
type departedLedger struct {
	name    string
	started map[gypsumtide.SubmissionID][]wire.Result
	// covers holds the shards whose part of the ledger is complete here.
	covers [gypsumtide.ShardCount]bool
	at     gypsumtide.Millis
	// passed counts the parts passed on, received those that came from each entry.
	passed   uint32
	received map[string]uint32
}

// departedFrom returns the ledger of a departed agent, empty if it is new.
func (h *home) departedFrom(name, incarnation string, now gypsumtide.Millis) *departedLedger {
	d := h.departed[incarnation]
	if d == nil {
		d = &departedLedger{name: name, started: make(map[gypsumtide.SubmissionID][]wire.Result), received: make(map[string]uint32)}
		h.departed[incarnation] = d
	}
	d.at = now
	return d
}

// takeDeparture keeps the ledger of a leaving agent, so that this entry can
// answer for it in a recovery.
func (h *home) takeDeparture(c *agentConn, f *wire.Frame, now gypsumtide.Millis) {
	if len(f.Departures) == 0 && !f.DeparturesComplete {
		return
	}
	agent := wire.DepartedAgent{Name: c.record.Name, Incarnation: c.record.Incarnation, Started: f.Departures}
	d := h.departedFrom(agent.Name, agent.Incarnation, now)
	d.keep(&agent, f.DeparturesComplete)
	// An entry that is about to become a home may have no session to the agent any
	// more, and the home that hands over to it gets the ledger too late.
	h.passOn(wire.DepartedLedger{Agent: agent, Part: d.passed, Complete: f.DeparturesComplete})
	d.passed++
}

// receiveLedger keeps a part of a ledger that another entry passed on. Without
// all parts before it, the last one does not make the ledger complete.
func (h *home) receiveLedger(from string, l *wire.DepartedLedger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.departedFrom(l.Agent.Name, l.Agent.Incarnation, h.clock.Now())
	inOrder := l.Part == d.received[from]
	if inOrder {
		d.received[from]++
	}
	d.keep(&l.Agent, l.Complete && inOrder)
}

// keep adds a part of the ledger, and notes whether it is the last of a complete one.
func (d *departedLedger) keep(a *wire.DepartedAgent, complete bool) {
	d.add(a.Started)
	for s := range d.covers {
		d.covers[s] = d.covers[s] || complete
	}
}

func (d *departedLedger) add(started []wire.Recovered) {
	for i := range started {
		d.started[started[i].Submission] = started[i].Tasks
	}
}

// recoverDeparted answers for an agent that left.
func (h *home) recoverDeparted(aj *activeJob, d *departedLedger) {
	for _, r := range d.started[aj.Submission()] {
		if int(r.Task) >= len(aj.Tasks()) {
			continue
		}
		if r.State != wire.TaskDone {
			aj.Lose(r.Task)
			aj.recovery.lost = d.name
			continue
		}
		aj.Finish(r.Task, wire.TaskResult{
			Status: r.Status, ContentType: r.ContentType, Body: r.Body, RunTime: r.RunTime, Upstream: d.name + "/" + r.Upstream,
		})
	}
}

// departedOf returns what departed agents had started of a shard's ids, for
// the next home of the shard.
func (h *home) departedOf(s gypsumtide.ShardID) []wire.DepartedAgent {
	var all []wire.DepartedAgent
	for inc, d := range h.departed {
		if !d.covers[s] {
			continue
		}
		a := wire.DepartedAgent{Name: d.name, Incarnation: inc}
		for id, tasks := range d.started {
			if id.Shard() == s {
				a.Started = append(a.Started, wire.Recovered{Submission: id, Tasks: tasks})
			}
		}
		all = append(all, a)
	}
	return all
}

// forgetDeparted drops the ledgers whose ids have all expired.
func (h *home) forgetDeparted(now gypsumtide.Millis) {
	for inc, d := range h.departed {
		if now-d.at > h.rules.Retention() {
			delete(h.departed, inc)
		}
	}
}
