package stored

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/link"
)

// ForwardPath is the HTTP path of requests that an entry forwards to the owner.
const ForwardPath = "/v1/stored-jobs"

// Intervals and limits of forwarding.
const (
	// ownersAge is the age up to which the list of owners is used, ownersRetry the
	// pause between two reads of it when an owner did not answer as one.
	ownersAge     gypsumtide.Millis = 1000
	ownersRetry   gypsumtide.Millis = 200
	ownersTimeout gypsumtide.Millis = 500
	routeRetry    gypsumtide.Millis = 30
	// ownerlessTime is how long a request waits for its partition to have an owner.
	ownerlessTime      gypsumtide.Millis = 1500
	dialTimeout        gypsumtide.Millis = 150
	forwardConnections                   = 16
	maxForwardBytes                      = 4 << 20
)

// memberSeparator stands between the address and the incarnation of a member.
const memberSeparator = "|"

// MemberName returns the name of an entry's incarnation as a member.
func MemberName(address, incarnation string) string { return address + memberSeparator + incarnation }

func addressOf(member string) string {
	address, _, _ := strings.Cut(member, memberSeparator)
	return address
}

// operation is what a forwarded request asks for.
type operation uint8

const (
	submitJob operation = iota + 1
	readJob
	cancelJob
)

type forward struct {
	Operation operation             `cbor:"1,keyasint"`
	Job       gypsumtide.JobRequest `cbor:"2,keyasint"`
	Route     gypsumtide.QueueRoute `cbor:"3,keyasint"`
}

// verdict is how an owner disposed of a request.
type verdict uint8

const (
	notOwner verdict = iota + 1
	// done carries the state of the job, empty if there is none.
	done
	refused
	uncertain
)

type reply struct {
	Verdict verdict             `cbor:"1,keyasint"`
	State   gypsumtide.JobState `cbor:"2,keyasint,omitempty"`
	Reason  string              `cbor:"3,keyasint,omitempty"`
}

// RefusedError means that a request was not carried out and never will be.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// ErrOutcomeUnknown means that it is not known whether a request was carried out.
var ErrOutcomeUnknown = errors.New("outcome of the request is not known")

// Activator tells all entries that stored jobs are in use.
type Activator interface {
	// Active reports whether stored jobs are in use; known is false as long as the
	// entry cannot tell.
	Active() (active, known bool)
	// Activate notes durably that stored jobs are in use.
	Activate(ctx context.Context) error
}

// Router carries requests on stored jobs to the owners of their partitions.
type Router struct {
	keeper    *PartitionManager
	log       gypsumtide.JobLog
	activator Activator
	clock     gypsumtide.Clock
	lines     gypsumtide.Recorder
	caller    *link.Client

	mu       sync.Mutex
	owners   map[int]string
	ownersAt gypsumtide.Millis
}

// NewRouter returns a Router for the partitions of log.
func NewRouter(keeper *PartitionManager, log gypsumtide.JobLog, activator Activator, clock gypsumtide.Clock, lines gypsumtide.Recorder) *Router {
	return &Router{
		keeper: keeper, log: log, activator: activator, clock: clock, lines: lines,
		caller: link.NewClient(dialTimeout, forwardConnections, maxForwardBytes),
	}
}

// Submit has a job accepted. A *RefusedError proves that it is not accepted and
// never runs.
func (r *Router) Submit(ctx context.Context, job gypsumtide.JobRequest, route gypsumtide.QueueRoute) error {
	if active, _ := r.activator.Active(); !active {
		if err := r.activator.Activate(ctx); err != nil {
			return &RefusedError{Reason: err.Error()}
		}
	}
	_, err := r.carry(ctx, &forward{Operation: submitJob, Job: job, Route: route})
	r.logError("stored-submit", job, err)
	return err
}

func (r *Router) logError(kind string, job gypsumtide.JobRequest, err error) {
	if err != nil {
		r.lines.Decision(kind, "job", job.ID, "request", job.Request, "error", err.Error())
	}
}

// State returns the state of a job, or "" if there is none.
func (r *Router) State(ctx context.Context, id string) (gypsumtide.JobState, error) {
	return r.ask(ctx, readJob, id)
}

// Cancel ends a job and returns its state, or "" if there is none.
func (r *Router) Cancel(ctx context.Context, id string) (gypsumtide.JobState, error) {
	return r.ask(ctx, cancelJob, id)
}

func (r *Router) ask(ctx context.Context, op operation, id string) (gypsumtide.JobState, error) {
	active, known := r.activator.Active()
	switch {
	case active:
		return r.carry(ctx, &forward{Operation: op, Job: gypsumtide.JobRequest{ID: id}})
	case known:
		return "", nil
	default:
		return "", &RefusedError{Reason: "it is not known yet whether stored jobs are in use"}
	}
}

// carry tries the owner of the partition until it answers or the time is over.
func (r *Router) carry(ctx context.Context, f *forward) (gypsumtide.JobState, error) {
	partition := partitionOf(f.Job.ID, r.log.Partitions())
	begin := r.clock.Now()
	doubt := false
	for {
		a, err := r.attempt(ctx, partition, f)
		switch {
		case err == nil && a.Verdict == done:
			return a.State, nil
		case err == nil && a.Verdict == refused && !doubt:
			return "", &RefusedError{Reason: a.Reason}
		case err == nil && a.Verdict == uncertain, err != nil && !errors.Is(err, link.ErrNotSent):
			doubt = true
		}
		late := r.clock.Now()-begin > ownerlessTime
		switch {
		case ctx.Err() != nil && doubt || doubt && late && f.Operation != submitJob:
			return "", ErrOutcomeUnknown
		case !doubt && (late || ctx.Err() != nil):
			return "", &RefusedError{Reason: "the owner of the job cannot be reached"}
		}
		gypsumtide.Sleep(ctx, routeRetry)
	}
}

func (r *Router) attempt(ctx context.Context, partition int, f *forward) (reply, error) {
	if r.keeper.Owns(partition) {
		return r.local(ctx, f), nil
	}
	member, err := r.owner(ctx, partition)
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	if member == "" || member == r.keeper.cfg.Member {
		r.expectChange()
		return reply{Verdict: notOwner}, nil
	}
	var a reply
	err = r.caller.Exchange(ctx, addressOf(member), ForwardPath, f, &a)
	if err != nil || a.Verdict == notOwner {
		r.expectChange()
	}
	return a, err
}

// owner returns the member that holds a partition, from a list that may be
// slightly old.
func (r *Router) owner(ctx context.Context, partition int) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners != nil && r.clock.Now()-r.ownersAt < ownersAge {
		return r.owners[partition], nil
	}
	cctx, cancel := context.WithTimeout(ctx, ownersTimeout.Duration())
	defer cancel()
	owners, err := r.log.Owners(cctx)
	if err != nil {
		if r.owners != nil {
			return r.owners[partition], nil
		}
		return "", err
	}
	r.owners, r.ownersAt = owners, r.clock.Now()
	return owners[partition], nil
}

// expectChange has the list of owners read again soon.
func (r *Router) expectChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownersAt = min(r.ownersAt, r.clock.Now()-ownersAge+ownersRetry)
}

// Handle registers the interface for other entries.
func (r *Router) Handle(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ForwardPath, func(w http.ResponseWriter, req *http.Request) {
		var f forward
		if data, ok := r.caller.HandleExchange(w, req, &f, func() any { return r.local(req.Context(), &f) }); ok {
			_, _ = w.Write(data) // The other entry asks again if the answer is lost.
		}
	})
}

// local carries out a request at this entry.
func (r *Router) local(ctx context.Context, f *forward) reply {
	var state gypsumtide.JobState
	var err error
	switch f.Operation {
	case submitJob:
		err = r.keeper.Submit(ctx, f.Job, f.Route)
	case cancelJob:
		state, err = r.keeper.Cancel(ctx, f.Job.ID)
	default:
		state, err = r.keeper.State(f.Job.ID)
	}
	switch {
	case err == nil:
		return reply{Verdict: done, State: state}
	case errors.Is(err, ErrNotOwner):
		return reply{Verdict: notOwner}
	case errors.Is(err, ErrTooManyJobs), errors.Is(err, gypsumtide.ErrNotAppended):
		return reply{Verdict: refused, Reason: err.Error()}
	default:
		return reply{Verdict: uncertain, Reason: err.Error()}
	}
}
