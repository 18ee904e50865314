package entry

import (
	"fmt"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recoveryTimeout bounds the wait for the agents that may have started tasks of a
// submission under an earlier home, including those that have to reconnect first.
const recoveryTimeout gypsumtide.Millis = 2_000

// recovery tracks which agents have still to report the tasks that they started for a
// submission that an earlier home may have accepted. The maps are keyed by the agent's
// incarnation.
type recovery struct {
	// requested marks the agents that the recovery request was sent to, pending those
	// that have not answered it.
	requested map[string]bool
	pending   map[string]bool
	deadline  gypsumtide.Millis
	// lostPeer names an agent or upstream that lost the result of a started task.
	lostPeer string
}

// startRecovery asks every agent that may have started tasks of the job under an
// earlier home which tasks it started.
func (h *home) startRecovery(aj *activeJob, now gypsumtide.Millis) <-chan wire.Answer {
	id := aj.Submission()
	aj.SetRecovering(true)
	aj.recovery = &recovery{requested: make(map[string]bool), pending: make(map[string]bool), deadline: recoveryDeadline(aj, now)}
	h.jobs[id] = aj
	h.recovering[id] = aj
	h.metrics.recoveries.Inc()
	ch := aj.Subscribe()
	candidates, complete := h.shardManager.RecoveryCandidates(id, len(aj.Tasks()))
	if !complete {
		h.failRecovery(aj, "", "an unknown agent may have started some")
		return ch
	}
	for _, c := range candidates {
		if l := h.finalLedgers[c.Incarnation]; l != nil && l.completeFor[id.Shard()] {
			h.recoverFromFinalLedger(aj, l)
			continue
		}
		if conn := h.agents[c.Incarnation]; !c.CanAnswer && (conn == nil || conn.session == nil) {
			h.failRecovery(aj, c.Incarnation, "the agent is gone")
			return ch
		}
		aj.recovery.pending[c.Incarnation] = true
	}
	h.requestRecovery(aj, now)
	h.finishRecovery(aj, now)
	return ch
}

// recoveryDeadline returns the time until which the agents' answers are awaited.
// A job whose deadline passed on its way to this home still gets the time of a
// round trip, so that its outcome can be determined.
func recoveryDeadline(aj *activeJob, now gypsumtide.Millis) gypsumtide.Millis {
	return max(now+closeGracePeriod, min(aj.Deadline(), now+recoveryTimeout))
}

// requestRecovery sends the recovery request to the pending agents that are connected,
// once to each.
func (h *home) requestRecovery(aj *activeJob, now gypsumtide.Millis) {
	id := aj.Submission()
	for incarnation := range aj.recovery.pending {
		c := h.agents[incarnation]
		if c == nil || c.session == nil || aj.recovery.requested[incarnation] {
			continue
		}
		aj.recovery.requested[incarnation] = c.session.Update(func(f *wire.Frame) {
			f.RecoveryRequests = append(f.RecoveryRequests, wire.RecoveryRequest{Submission: id, Shard: id.Shard(), Epoch: aj.Epoch()})
		})
	}
}

// handleRecoveryReply processes an agent's list of started tasks.
func (h *home) handleRecoveryReply(c *agentConn, r *wire.StartedTasks, now gypsumtide.Millis) {
	aj := h.jobs[r.Submission]
	if aj == nil || !aj.Recovering() || !aj.recovery.pending[c.record.Incarnation] {
		return
	}
	if r.Fenced {
		// The agent knows a later epoch, so the shard has another home, or the id may
		// have expired at the agent. In both cases the reply lists no tasks and
		// guarantees nothing.
		h.endJob(aj, wire.Answer{Submission: r.Submission, Moved: true})
		return
	}
	if r.Epoch != aj.Epoch() {
		return
	}
	delete(aj.recovery.pending, c.record.Incarnation)
	for i := range r.Tasks {
		h.applyRecoveredTask(c, aj, &r.Tasks[i], now)
	}
	h.finishRecovery(aj, now)
}

func (h *home) applyRecoveredTask(c *agentConn, aj *activeJob, r *wire.Result, now gypsumtide.Millis) {
	if int(r.Task) >= len(aj.Tasks()) {
		return
	}
	switch r.State {
	case wire.TaskDone:
		aj.Finish(r.Task, wire.TaskResult{
			Status: r.Status, ContentType: r.ContentType, Body: r.Body, RunTime: r.RunTime, Upstream: agentUpstreamName(c, r),
		})
	case wire.TaskRunning:
		t := aj.Tasks()[r.Task]
		aj.Start(r.Task)
		c.openTasks[taskKeyOf(r.TaskRef)] = openTask{task: t, epoch: aj.Epoch(), sentAt: now}
		c.view.Assign(t)
	case wire.TaskUnknown:
		aj.MarkLost(r.Task)
		aj.recovery.lostPeer = agentUpstreamName(c, r)
	}
}

// failRecoveriesOf fails the recoveries that wait for an agent that can no
// longer answer.
func (h *home) failRecoveriesOf(c *agentConn, why string) {
	for _, aj := range h.recovering {
		if aj.recovery.pending[c.record.Incarnation] {
			h.failRecovery(aj, c.record.Name, why)
		}
	}
}

// finishRecovery continues or ends the job once no answer is awaited any more.
func (h *home) finishRecovery(aj *activeJob, now gypsumtide.Millis) {
	if len(aj.recovery.pending) > 0 || aj.Ended() {
		return
	}
	if aj.recovery.lostPeer != "" {
		h.failRecovery(aj, aj.recovery.lostPeer, "a started task has no result")
		return
	}
	aj.SetRecovering(false)
	delete(h.recovering, aj.Submission())
	h.decisions.log("recover", "submission", aj.Submission().String(), "epoch", aj.Epoch(), "done", aj.DoneTasks(), "open", aj.OpenTasks())
	if aj.Complete() {
		h.endRecoveredJob(aj)
		return
	}
	if aj.ClosingProblem() != nil {
		h.endClosedJob(aj)
		return
	}
	h.resumeJob(aj, now)
}

// endRecoveredJob answers a job all of whose tasks had finished under an earlier home.
func (h *home) endRecoveredJob(aj *activeJob) {
	for i := range aj.Tasks() {
		if r := aj.Result(uint32(i)); r.Status >= http.StatusInternalServerError {
			aj.SetClosingProblem(&wire.Problem{
				Type: "task-failed", Status: http.StatusBadGateway, Step: "run task", Peer: r.Upstream,
				Detail: fmt.Sprintf("task %d ended with status %d", i, r.Status),
			})
			h.endClosedJob(aj)
			return
		}
	}
	h.endJob(aj, aj.Answer())
}

// resumeJob dispatches the tasks that no earlier home started, unless the deadline has
// passed or the job is refused. A job with a started task is routed but not admitted: it
// is not charged, and only the routing can refuse it.
func (h *home) resumeJob(aj *activeJob, now gypsumtide.Millis) {
	if now >= aj.Deadline() {
		h.expireJob(aj, now)
		return
	}
	if !aj.Started() {
		if refusal := h.admit(aj, now); refusal != nil {
			if !h.holdsLease(aj) {
				// The next home may have started the job by now.
				refusal = &wire.Answer{Submission: aj.Submission(), Moved: true}
			}
			h.endJob(aj, *refusal)
			return
		}
	} else {
		p, refusal := h.choosePool(aj)
		if refusal != nil {
			aj.SetClosingProblem(refusal.Problem)
			h.endClosedJob(aj)
			return
		}
		aj.pool = p
	}
	h.startJob(aj, now)
}

// failRecovery ends the job with an unknown outcome. The answer is not recorded,
// since an agent may still reconnect and report the outcome to a later recovery.
func (h *home) failRecovery(aj *activeJob, peer, why string) {
	id := aj.Submission()
	if _, ended := aj.End(wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeUnknown, Problem: &wire.Problem{
		Type: "outcome-unknown", Status: http.StatusServiceUnavailable, Step: "recover submission", Peer: peer,
		Detail: "it is not known which tasks were started under an earlier home: " + why,
	}}); !ended {
		return
	}
	for _, c := range h.agents {
		c.dropTasks(id)
	}
	delete(h.jobs, id)
	delete(h.recovering, id)
}

// checkRecoveries sends the requests that had to wait for an agent to connect, and fails
// the recoveries whose deadline has passed.
func (h *home) checkRecoveries(now gypsumtide.Millis) {
	for _, aj := range h.recovering {
		h.requestRecovery(aj, now)
		if now < aj.recovery.deadline {
			continue
		}
		for incarnation := range aj.recovery.pending {
			h.failRecovery(aj, incarnation, "no answer from the agent")
			break
		}
	}
}

// finalLedger holds the tasks that an agent had started when it left gracefully.
type finalLedger struct {
	name    string
	started map[gypsumtide.SubmissionID][]wire.Result
	// completeFor marks the shards for which started is complete.
	completeFor [gypsumtide.ShardCount]bool
	updatedAt   gypsumtide.Millis
	// partsSent counts the parts sent to the other entries, partsReceived those
	// received in order from each entry.
	partsSent     uint32
	partsReceived map[string]uint32
}

// finalLedgerOf returns the final ledger of an agent, and creates it if there is none.
func (h *home) finalLedgerOf(name, incarnation string, now gypsumtide.Millis) *finalLedger {
	l := h.finalLedgers[incarnation]
	if l == nil {
		l = &finalLedger{name: name, started: make(map[gypsumtide.SubmissionID][]wire.Result), partsReceived: make(map[string]uint32)}
		h.finalLedgers[incarnation] = l
	}
	l.updatedAt = now
	return l
}

// storeFinalLedger stores the started tasks that a leaving agent reports, so that
// this entry can answer for the agent in a recovery.
func (h *home) storeFinalLedger(c *agentConn, f *wire.Frame, now gypsumtide.Millis) {
	if len(f.FinalLedgerTasks) == 0 && !f.FinalLedgerComplete {
		return
	}
	received := wire.FinalLedger{Name: c.record.Name, Incarnation: c.record.Incarnation, Started: f.FinalLedgerTasks}
	l := h.finalLedgerOf(received.Name, received.Incarnation, now)
	l.addPart(&received, f.FinalLedgerComplete)
	// An entry that is about to take over a shard may no longer have a session to
	// the agent, and the previous home may get the report too late to include it in
	// its transfer.
	h.forwardFinalLedgerPart(wire.FinalLedgerPart{Ledger: received, Index: l.partsSent, Complete: f.FinalLedgerComplete})
	l.partsSent++
}

// receiveFinalLedgerPart stores a part of a final ledger that another entry forwarded.
// The last part completes the ledger only if all parts before it have arrived.
func (h *home) receiveFinalLedgerPart(from string, part *wire.FinalLedgerPart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.finalLedgerOf(part.Ledger.Name, part.Ledger.Incarnation, h.clock.Now())
	inOrder := part.Index == l.partsReceived[from]
	if inOrder {
		l.partsReceived[from]++
	}
	l.addPart(&part.Ledger, part.Complete && inOrder)
}

// addPart adds a part of the final ledger. complete means that it is the last part
// and that none is missing.
func (l *finalLedger) addPart(part *wire.FinalLedger, complete bool) {
	l.addTasks(part.Started)
	for s := range l.completeFor {
		l.completeFor[s] = l.completeFor[s] || complete
	}
}

func (l *finalLedger) addTasks(started []wire.StartedTasks) {
	for i := range started {
		l.started[started[i].Submission] = started[i].Tasks
	}
}

// recoverFromFinalLedger applies the tasks that an agent had started before it
// left to a job in recovery.
func (h *home) recoverFromFinalLedger(aj *activeJob, l *finalLedger) {
	for _, r := range l.started[aj.Submission()] {
		if int(r.Task) >= len(aj.Tasks()) {
			continue
		}
		if r.State != wire.TaskDone {
			aj.MarkLost(r.Task)
			aj.recovery.lostPeer = l.name
			continue
		}
		aj.Finish(r.Task, wire.TaskResult{
			Status: r.Status, ContentType: r.ContentType, Body: r.Body, RunTime: r.RunTime, Upstream: l.name + "/" + r.Upstream,
		})
	}
}

// finalLedgersOf returns the final ledgers that are complete for a shard, with the tasks
// of this shard only, for the next home of the shard.
func (h *home) finalLedgersOf(s gypsumtide.ShardID) []wire.FinalLedger {
	var all []wire.FinalLedger
	for incarnation, l := range h.finalLedgers {
		if !l.completeFor[s] {
			continue
		}
		ledger := wire.FinalLedger{Name: l.name, Incarnation: incarnation}
		for id, tasks := range l.started {
			if id.Shard() == s {
				ledger.Started = append(ledger.Started, wire.StartedTasks{Submission: id, Tasks: tasks})
			}
		}
		all = append(all, ledger)
	}
	return all
}

// expireFinalLedgers removes the final ledgers whose ids have all expired.
func (h *home) expireFinalLedgers(now gypsumtide.Millis) {
	for incarnation, l := range h.finalLedgers {
		if now-l.updatedAt > h.idRules.Retention() {
			delete(h.finalLedgers, incarnation)
		}
	}
}
