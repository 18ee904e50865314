package entry

import (
	"errors"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// answered returns a channel that already holds the answer.
func answered(a wire.Answer) <-chan wire.Answer {
	ch := make(chan wire.Answer, 1)
	ch <- a
	return ch
}

// refuse returns an answer that says that nothing of the request ran.
func refuse(id gypsumtide.SubmissionID, p *wire.Problem) *wire.Answer {
	return &wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeNotRun, Problem: p}
}

// reusedID refuses a job under an id that belongs to another job.
func reusedID(id gypsumtide.SubmissionID) wire.Answer {
	return *refuse(id, &wire.Problem{
		Type: "submission-id-reused", Status: http.StatusConflict, Step: "deduplicate",
		Detail: "another job has been submitted under this id",
	})
}

// ruleAnswer turns an error of the id rules into an answer.
func ruleAnswer(id gypsumtide.SubmissionID, err error) wire.Answer {
	if errors.Is(err, submission.ErrAhead) {
		return *refuse(id, &wire.Problem{Type: "id-ahead", Status: http.StatusBadRequest, Step: "check id", Detail: err.Error()})
	}
	return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeExpired, Problem: &wire.Problem{
		Type: "expired", Status: http.StatusGone, Step: "check id", Detail: err.Error(),
	}}
}

// recordedAnswer repeats the answer of a finished submission.
func recordedAnswer(id gypsumtide.SubmissionID, rec submission.Record) wire.Answer {
	if rec.Answer() != nil {
		return *rec.Answer()
	}
	return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeExpired, Problem: &wire.Problem{
		Type: "answer-expired", Status: http.StatusGone, Step: "look up",
		Detail: "the job ended as " + string(rec.Outcome()) + " and its answer is no longer kept",
	}}
}
