package entry

import (
	"container/heap"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// closeJob starts to end a job because of a problem: its waiting tasks are no longer
// dispatched, and agents are asked to stop the open ones and to report their state.
func (h *home) closeJob(aj *activeJob, p *wire.Problem, now gypsumtide.Millis) {
	if aj.Ended() || aj.ClosingProblem() != nil {
		return
	}
	aj.SetClosingProblem(p)
	if aj.pool != nil {
		aj.pool.queue.Remove(aj.Submission())
	}
	// If a task has started, the open tasks cannot change the outcome: the job has
	// failed, or its outcome is unknown because the result of a task is lost.
	if (aj.HasNoOpenTasks() || aj.Started()) && !aj.Recovering() {
		h.endClosedJob(aj)
		return
	}
	for _, c := range h.agents {
		c.stopTasks(aj.Submission())
	}
	aj.closeBy = now + closeGracePeriod
	heap.Push(&h.timers, timer{at: aj.closeBy, job: aj})
}

// endClosedJob ends a closed job with the outcome that the states of its tasks prove.
func (h *home) endClosedJob(aj *activeJob) {
	outcome := aj.ClosingOutcome()
	if aj.Recovering() {
		outcome = gypsumtide.OutcomeUnknown
	}
	if outcome == gypsumtide.OutcomeNotRun && !h.holdsLease(aj) {
		// Another home may have started the job. After the deadline it is safe to
		// ask that home, which learns the outcome from the agents and starts nothing.
		if h.clock.Now() >= aj.Deadline() {
			h.endJob(aj, wire.Answer{Submission: aj.Submission(), Moved: true})
			return
		}
		outcome = gypsumtide.OutcomeUnknown
	}
	h.endJob(aj, wire.Answer{Submission: aj.Submission(), Outcome: outcome, Problem: aj.ClosingProblem()})
}

// endJob gives a job its final answer and releases the job's quotas. Unless the job has
// moved or was not run, endJob also records the answer, and asks agents to stop the open
// tasks of a job that is not complete.
func (h *home) endJob(aj *activeJob, a wire.Answer) {
	a, ended := aj.End(a)
	if !ended {
		return
	}
	now := h.clock.Now()
	delete(h.jobs, aj.Submission())
	delete(h.recovering, aj.Submission())
	h.addWaiting(aj, -aj.waitingTasks)
	if aj.pool != nil {
		aj.pool.queue.Remove(aj.Submission())
	}
	if aj.Charged() {
		h.quotas.Release(aj.quotaKey, len(aj.Tasks()), now)
	}
	h.metrics.ended(a)
	if a.Moved || a.Outcome == gypsumtide.OutcomeNotRun {
		return
	}
	h.table.Add(aj.Submission(), aj.Digest(), &a, now)
	if a.Outcome != gypsumtide.OutcomeComplete {
		for _, c := range h.agents {
			c.stopTasks(aj.Submission())
		}
	}
}

// releaseJobs drops each job whose shard this entry no longer owns under the epoch of the
// job. The requests that wait for them are sent to the current home.
func (h *home) releaseJobs(owned func(s gypsumtide.ShardID, epoch uint64) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, aj := range h.jobs {
		if owned(id.Shard(), aj.Epoch()) {
			continue
		}
		for _, c := range h.agents {
			c.dropTasks(id)
		}
		h.endJob(aj, wire.Answer{Submission: id, Moved: true})
	}
}
