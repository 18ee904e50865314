package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"gypsumtide"
	"gypsumtide/internal/operator"
	"gypsumtide/internal/wire"
)

// problemBody is an RFC 9457 problem with the members that this API adds.
type problemBody struct {
	Type         string             `json:"type"`
	Title        string             `json:"title"`
	Status       int                `json:"status"`
	Detail       string             `json:"detail,omitempty"`
	Instance     string             `json:"instance,omitempty"`
	Outcome      gypsumtide.Outcome `json:"outcome,omitempty"`
	SubmissionID string             `json:"submission-id,omitempty"`
	Step         string             `json:"step,omitempty"`
	Peer         string             `json:"peer,omitempty"`
	Limit        string             `json:"limit,omitempty"`
	RetryAfterMS int64              `json:"retry-after-ms,omitempty"`
}

// writeProblem answers with a problem body.
func writeProblem(w http.ResponseWriter, r *http.Request, p *wire.Problem, outcome gypsumtide.Outcome, id *gypsumtide.SubmissionID) {
	body := problemBody{
		Type: operator.ProblemPrefix + p.Type, Title: http.StatusText(p.Status), Status: p.Status, Detail: p.Detail, Instance: r.URL.Path,
		Outcome: outcome, Step: p.Step, Peer: p.Peer, Limit: p.Limit, RetryAfterMS: int64(p.RetryAfter),
	}
	if id != nil {
		body.SubmissionID = id.String()
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64(p.RetryAfter+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
