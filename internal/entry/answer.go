package entry

import (
	"errors"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// answeredChannel returns a channel that already holds the answer.
func answeredChannel(a wire.Answer) <-chan wire.Answer {
	ch := make(chan wire.Answer, 1)
	ch <- a
	return ch
}

// notRunAnswer returns an answer with OutcomeNotRun, which means that no task of the
// job ran.
func notRunAnswer(id gypsumtide.SubmissionID, p *wire.Problem) *wire.Answer {
	return &wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeNotRun, Problem: p}
}

// reusedIDAnswer refuses a job whose id belongs to another job.
func reusedIDAnswer(id gypsumtide.SubmissionID) wire.Answer {
	return *notRunAnswer(id, &wire.Problem{
		Type: "submission-id-reused", Status: http.StatusConflict, Step: "deduplicate",
		Detail: "another job has been submitted under this id",
	})
}

// invalidIDAnswer converts an error of the id rules to an answer.
func invalidIDAnswer(id gypsumtide.SubmissionID, err error) wire.Answer {
	if errors.Is(err, submission.ErrAhead) {
		return *notRunAnswer(id, &wire.Problem{Type: "id-ahead", Status: http.StatusBadRequest, Step: "check id", Detail: err.Error()})
	}
	return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeExpired, Problem: &wire.Problem{
		Type: "expired", Status: http.StatusGone, Step: "check id", Detail: err.Error(),
	}}
}

// recordedAnswer returns the answer of a finished submission, or a problem if
// only its outcome is still kept.
func recordedAnswer(id gypsumtide.SubmissionID, rec submission.Record) wire.Answer {
	if rec.Answer() != nil {
		return *rec.Answer()
	}
	return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeExpired, Problem: &wire.Problem{
		Type: "answer-expired", Status: http.StatusGone, Step: "look up",
		Detail: "the job ended as " + string(rec.Outcome()) + " and its answer is no longer kept",
	}}
}
