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

// ProblemPrefix precedes the last part of a problem type.
const ProblemPrefix = "urn:gypsumtide:problem:"

// The problem types of this interface, without ProblemPrefix.
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
	unsettledPublishing   = "the log did not confirm in time; the change may still take effect: read the state before a new attempt"
)

// Problem is a problem body after RFC 9457 with the extra members of this
// interface. It implements error for the client.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Step and Peer tell which action failed and which process it involved.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// Revision is the revision in force after a conflict.
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
func (p *Problem) HasType(kind string) bool { return p.Type == ProblemPrefix+kind }

func newProblem(kind string, status int, title, detail string) *Problem {
	return &Problem{Type: ProblemPrefix + kind, Title: title, Status: status, Detail: detail}
}

// problemOf returns the problem that tells err.
func problemOf(step string, err error) *Problem {
	p := classify(err)
	p.Step = step
	var e *gypsumtide.Error
	if errors.As(err, &e) {
		p.Step, p.Peer = e.Step(), e.Peer()
	}
	return p
}

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
		return newProblem(ProblemOutcomeUnknown, http.StatusGatewayTimeout, "The outcome is not known", unsettledPublishing+": "+err.Error())
	case errors.Is(err, ErrUnavailable):
		return newProblem(ProblemUnavailable, http.StatusServiceUnavailable, "Not possible at the moment", err.Error())
	}
	return newProblem(ProblemInternal, http.StatusInternalServerError, "Internal error", err.Error())
}

func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
