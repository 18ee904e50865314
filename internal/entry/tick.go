package entry

import (
	"container/heap"
	"fmt"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// tick does the periodic work of the home: it handles deadlines, due requeues,
// disconnected agents, expired state and jobs that no zone can serve, and then dispatches and
// recalls tasks of each pool.
func (h *home) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for len(h.timers) > 0 && h.timers[0].at <= now {
		h.expireJob(heap.Pop(&h.timers).(timer).job, now)
	}
	h.requeueDue(now)
	for _, c := range h.agents {
		if c.session == nil && now-c.disconnectedAt > agentLostTimeout {
			h.declareAgentLost(c, "agent did not reconnect")
		}
	}
	h.checkRecoveries(now)
	h.expireFinalLedgers(now)
	h.table.Expire(now, h.clock.Wall()-h.idRules.Retention())
	h.closeUnservable(now)
	h.updateSlowStarts(now)
	for _, p := range h.pools {
		p.updateReservation(now)
		h.dispatchWaiting(p, now)
		h.recall(p, now)
	}
}

// expireJob closes a job whose deadline has passed, or ends a closed job at its closeBy
// time.
func (h *home) expireJob(aj *activeJob, now gypsumtide.Millis) {
	if aj.Ended() {
		return
	}
	if aj.ClosingProblem() != nil {
		if now >= aj.closeBy {
			h.endClosedJob(aj)
		}
		return
	}
	h.closeJob(aj, deadlineProblem(aj), now)
}

func deadlineProblem(aj *activeJob) *wire.Problem {
	return &wire.Problem{
		Type: "deadline", Status: http.StatusGatewayTimeout, Step: "wait for results",
		Detail: fmt.Sprintf("%d of %d tasks were open or waiting at the deadline", len(aj.Tasks())-aj.DoneTasks(), len(aj.Tasks())),
	}
}

// requeueDue puts the tasks whose requeue delay is over back into their queues, unless
// their job has ended or is closed.
func (h *home) requeueDue(now gypsumtide.Millis) {
	notDue := h.pendingRequeues[:0]
	for _, item := range h.pendingRequeues {
		if item.at > now {
			notDue = append(notDue, item)
			continue
		}
		aj := h.jobs[item.task.Submission()]
		if aj != nil && aj.ClosingProblem() == nil && aj.Queued(item.task.Index()) {
			aj.pool.queue.Push(item.task)
		}
	}
	h.pendingRequeues = notDue
}

// timer is the time at which expireJob is due for a job.
type timer struct {
	at  gypsumtide.Millis
	job *activeJob
}

// timerHeap is a min-heap of timers by time.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}
