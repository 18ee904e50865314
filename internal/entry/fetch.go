package entry

import (
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// cancel cancels a job at the request of its caller. If the returned channel is not
// nil, the answer arrives on it.
func (h *home) cancel(id gypsumtide.SubmissionID) (wire.Answer, <-chan wire.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	epoch, ok := h.shardManager.Serving(id.Shard())
	if !ok {
		return wire.Answer{Submission: id, Moved: true}, nil
	}
	aj := h.jobs[id]
	if aj == nil {
		return h.lookup(id, epoch), nil
	}
	ch := aj.Subscribe()
	h.closeJob(aj, &wire.Problem{Type: "cancelled", Status: http.StatusConflict, Step: "cancel", Detail: "the caller cancelled the job"}, h.clock.Now())
	return wire.Answer{}, ch
}

// fetch returns the answer of a submission. If the job is in progress, the answer
// arrives on the returned channel.
func (h *home) fetch(id gypsumtide.SubmissionID) (wire.Answer, <-chan wire.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	epoch, ok := h.shardManager.Serving(id.Shard())
	if !ok {
		return wire.Answer{Submission: id, Moved: true}, nil
	}
	if aj := h.jobs[id]; aj != nil {
		return wire.Answer{Submission: id, Running: true}, aj.Subscribe()
	}
	return h.lookup(id, epoch), nil
}

// lookup answers for a submission that is not in progress.
func (h *home) lookup(id gypsumtide.SubmissionID, epoch uint64) wire.Answer {
	if rec, ok := h.table.Find(id); ok {
		return recordedAnswer(id, rec)
	}
	if err := h.idRules.Check(id, h.clock.Wall()); err != nil {
		return invalidIDAnswer(id, err)
	}
	if id.Timestamp() <= h.table.Floor() {
		return invalidIDAnswer(id, submission.ErrExpired)
	}
	p := &wire.Problem{Type: "unknown-submission", Status: http.StatusNotFound, Step: "look up"}
	if h.neverAccepted(epoch, id) {
		p.Detail = "no job with this id has been accepted"
		return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeNotRun, Problem: p}
	}
	p.Detail = "an earlier home may have accepted this id: submit the job again to learn its outcome"
	return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeUnknown, Problem: p}
}
