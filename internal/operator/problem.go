package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"gypsumtide"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/object"
)

// ProblemPrefix is the common prefix of all problem types.
const ProblemPrefix = "urn:gypsumtide:problem:"

// The problem types of this interface, without ProblemPrefix, and other texts of problem
// responses.
const (
	ProblemBadRequest     = "bad-request"
	ProblemConflict       = "configuration-conflict"
	ProblemInvalid        = "invalid-configuration"
	ProblemUnknownNode    = "unknown-node"
	ProblemRefused        = "refused"
	ProblemUnavailable    = "unavailable"
	ProblemOutcomeUnknown = "unsettled"
	ProblemTooLarge       = "too-large"
	ProblemInternal       = "internal"
	problemContentType    = "application/problem+json"
	outcomeUnknownDetail  = "the outcome was not confirmed; the change may have taken effect or may still do so: read the state before a new attempt"
)

// Problem is a problem details object as defined by RFC 9457, with the extension
// members of this interface. The errors of Client wrap it.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Step is the action that failed, Peer the process that it involved.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// Revision is the current revision after a conflict.
	Revision *uint64 `json:"revision,omitempty"`
	// Errors lists every error of an invalid set.
	Errors object.Errors `json:"errors,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.Title)
	if p.Detail != "" {
		fmt.Fprintf(&b, ": %s", p.Detail)
	}
	if p.Step != "" {
		fmt.Fprintf(&b, " (step %q", p.Step)
		if p.Peer != "" {
			fmt.Fprintf(&b, ", peer %s", p.Peer)
		}
		b.WriteString(")")
	}
	for _, e := range p.Errors {
		fmt.Fprintf(&b, "\n%v", e)
	}
	return b.String()
}

// HasType reports whether the problem has the type, without ProblemPrefix.
func (p *Problem) HasType(problemType string) bool { return p.Type == ProblemPrefix+problemType }

func newProblem(problemType string, status int, title, detail string) *Problem {
	return &Problem{Type: ProblemPrefix + problemType, Title: title, Status: status, Detail: detail}
}

// problemFromError returns the problem for err. The step and peer of a
// *gypsumtide.Error take precedence over step.
func problemFromError(step string, err error) *Problem {
	p := classify(err)
	p.Step = step
	var e *gypsumtide.Error
	if errors.As(err, &e) {
		p.Step, p.Peer = e.Step(), e.Peer()
	}
	return p
}

// classify returns the type, status and texts of the problem for err.
func classify(err error) *Problem {
	var errs object.Errors
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &errs):
		p := newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "The set of objects is invalid", fmt.Sprintf("%d errors", len(errs)))
		p.Errors = errs
		return p
	case errors.As(err, &tooLarge):
		return newProblem(ProblemTooLarge, http.StatusRequestEntityTooLarge, "The set of objects is too large", err.Error())
	case errors.Is(err, object.ErrConflict):
		return newProblem(ProblemConflict, http.StatusConflict, "Another revision is in force", err.Error())
	case errors.Is(err, ErrUnknownNode):
		return newProblem(ProblemUnknownNode, http.StatusNotFound, "There is no such node", err.Error())
	case errors.Is(err, ErrRefused):
		return newProblem(ProblemRefused, http.StatusConflict, "The state of the node does not permit this", err.Error())
	case errors.Is(err, journal.ErrNotAppended):
		return newProblem(ProblemUnavailable, http.StatusServiceUnavailable, "Not possible at the moment", "nothing was changed: "+err.Error())
	case errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), errors.Is(err, object.ErrNoResult), errors.Is(err, context.DeadlineExceeded):
		return newProblem(ProblemOutcomeUnknown, http.StatusGatewayTimeout, "The outcome is not known", outcomeUnknownDetail+": "+err.Error())
	case errors.Is(err, ErrUnavailable):
		return newProblem(ProblemUnavailable, http.StatusServiceUnavailable, "Not possible at the moment", err.Error())
	}
	return newProblem(ProblemInternal, http.StatusInternalServerError, "Internal error", err.Error())
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
