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
	// ownersMaxAge is the age up to which the list of owners is used, ownersRetry the
	// pause between two reads of it when an owner did not answer as one.
	ownersMaxAge          gypsumtide.Millis = 1000
	ownersRefreshInterval gypsumtide.Millis = 200
	ownersTimeout         gypsumtide.Millis = 500
	forwardRetryInterval  gypsumtide.Millis = 30
	// noOwnerTimeout is how long a request waits for its partition to have an owner.
	noOwnerTimeout     gypsumtide.Millis = 1500
	dialTimeout        gypsumtide.Millis = 150
	forwardConnections                   = 16
	maxForwardBytes                      = 4 << 20
)

// memberSeparator stands between the address and the incarnation of a member.
const memberSeparator = "|"

// MemberName returns the name of an entry's incarnation as a member.
func MemberName(address, incarnation string) string { return address + memberSeparator + incarnation }

func memberAddress(member string) string {
	address, _, _ := strings.Cut(member, memberSeparator)
	return address
}

// operation is what a forwarded request asks for.
type operation uint8

const (
	opSubmit operation = iota + 1
	opState
	opCancel
)

type forwardRequest struct {
	Operation operation             `cbor:"1,keyasint"`
	Job       gypsumtide.JobRequest `cbor:"2,keyasint"`
	Route     gypsumtide.QueueRoute `cbor:"3,keyasint"`
}

// replyStatus is how an owner disposed of a request.
type replyStatus uint8

const (
	statusNotOwner replyStatus = iota + 1
	// statusDone carries the state of the job, empty if there is none.
	statusDone
	statusRefused
	statusUnknown
)

type forwardReply struct {
	Status replyStatus         `cbor:"1,keyasint"`
	State  gypsumtide.JobState `cbor:"2,keyasint,omitempty"`
	Reason string              `cbor:"3,keyasint,omitempty"`
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
	manager   *PartitionManager
	log       gypsumtide.JobLog
	activator Activator
	clock     gypsumtide.Clock
	recorder  gypsumtide.Recorder
	client    *link.Caller

	mu       sync.Mutex
	owners   map[int]string
	ownersAt gypsumtide.Millis
}

// NewRouter returns a Router for the partitions of log.
func NewRouter(manager *PartitionManager, log gypsumtide.JobLog, activator Activator, clock gypsumtide.Clock, recorder gypsumtide.Recorder) *Router {
	return &Router{
		manager: manager, log: log, activator: activator, clock: clock, recorder: recorder,
		client: link.NewCaller(dialTimeout, forwardConnections, maxForwardBytes),
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
	_, err := r.callOwner(ctx, &forwardRequest{Operation: opSubmit, Job: job, Route: route})
	r.logError("stored-submit", job, err)
	return err
}

func (r *Router) logError(kind string, job gypsumtide.JobRequest, err error) {
	if err != nil {
		r.recorder.Decision(kind, "job", job.ID, "request", job.Request, "error", err.Error())
	}
}

// State returns the state of a job, or "" if there is none.
func (r *Router) State(ctx context.Context, id string) (gypsumtide.JobState, error) {
	return r.callIfActive(ctx, opState, id)
}

// Cancel ends a job and returns its state, or "" if there is none.
func (r *Router) Cancel(ctx context.Context, id string) (gypsumtide.JobState, error) {
	return r.callIfActive(ctx, opCancel, id)
}

func (r *Router) callIfActive(ctx context.Context, op operation, id string) (gypsumtide.JobState, error) {
	active, known := r.activator.Active()
	switch {
	case active:
		return r.callOwner(ctx, &forwardRequest{Operation: op, Job: gypsumtide.JobRequest{ID: id}})
	case known:
		return "", nil
	default:
		return "", &RefusedError{Reason: "it is not known yet whether stored jobs are in use"}
	}
}

// callOwner tries the owner of the partition until it answers or the time is over.
func (r *Router) callOwner(ctx context.Context, f *forwardRequest) (gypsumtide.JobState, error) {
	partition := partitionOf(f.Job.ID, r.log.Partitions())
	begin := r.clock.Now()
	outcomeUnknown := false
	for {
		reply, err := r.tryOwner(ctx, partition, f)
		switch {
		case err == nil && reply.Status == statusDone:
			return reply.State, nil
		case err == nil && reply.Status == statusRefused && !outcomeUnknown:
			return "", &RefusedError{Reason: reply.Reason}
		case err == nil && reply.Status == statusUnknown, err != nil && !errors.Is(err, link.ErrNotSent):
			outcomeUnknown = true
		}
		timedOut := r.clock.Now()-begin > noOwnerTimeout
		switch {
		case ctx.Err() != nil && outcomeUnknown || outcomeUnknown && timedOut && f.Operation != opSubmit:
			return "", ErrOutcomeUnknown
		case !outcomeUnknown && (timedOut || ctx.Err() != nil):
			return "", &RefusedError{Reason: "the owner of the job cannot be reached"}
		}
		gypsumtide.Sleep(ctx, forwardRetryInterval)
	}
}

func (r *Router) tryOwner(ctx context.Context, partition int, f *forwardRequest) (forwardReply, error) {
	if r.manager.Owns(partition) {
		return r.handleLocally(ctx, f), nil
	}
	member, err := r.ownerOf(ctx, partition)
	if err != nil {
		return forwardReply{}, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	if member == "" || member == r.manager.cfg.Member {
		r.refreshOwnersSoon()
		return forwardReply{Status: statusNotOwner}, nil
	}
	var reply forwardReply
	err = r.client.Exchange(ctx, memberAddress(member), ForwardPath, f, &reply)
	if err != nil || reply.Status == statusNotOwner {
		r.refreshOwnersSoon()
	}
	return reply, err
}

// ownerOf returns the member that holds a partition, from a list that may be
// slightly old.
func (r *Router) ownerOf(ctx context.Context, partition int) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners != nil && r.clock.Now()-r.ownersAt < ownersMaxAge {
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

// refreshOwnersSoon has the list of owners read again soon.
func (r *Router) refreshOwnersSoon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownersAt = min(r.ownersAt, r.clock.Now()-ownersMaxAge+ownersRefreshInterval)
}

// Handle registers the interface for other entries.
func (r *Router) Handle(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ForwardPath, func(w http.ResponseWriter, req *http.Request) {
		var f forwardRequest
		if data, ok := r.client.Answer(w, req, &f, func() any { return r.handleLocally(req.Context(), &f) }); ok {
			_, _ = w.Write(data) // The other entry asks again if the answer is lost.
		}
	})
}

// handleLocally carries out a request at this entry.
func (r *Router) handleLocally(ctx context.Context, f *forwardRequest) forwardReply {
	var state gypsumtide.JobState
	var err error
	switch f.Operation {
	case opSubmit:
		err = r.manager.Submit(ctx, f.Job, f.Route)
	case opCancel:
		state, err = r.manager.Cancel(ctx, f.Job.ID)
	default:
		state, err = r.manager.State(f.Job.ID)
	}
	switch {
	case err == nil:
		return forwardReply{Status: statusDone, State: state}
	case errors.Is(err, ErrNotOwner):
		return forwardReply{Status: statusNotOwner}
	case errors.Is(err, ErrTooManyJobs), errors.Is(err, gypsumtide.ErrNotAppended):
		return forwardReply{Status: statusRefused, Reason: err.Error()}
	default:
		return forwardReply{Status: statusUnknown, Reason: err.Error()}
	}
}
