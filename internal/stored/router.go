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

// ForwardPath is the HTTP path of requests that an entry forwards to the owner of a
// partition.
const ForwardPath = "/v1/stored-jobs"

// Intervals and limits of forwarding.
const (
	// ownersMaxAge is how long the list of partition owners is cached.
	ownersMaxAge gypsumtide.Millis = 1000
	// ownersRefreshInterval is the longest time until the list is read again if it has no
	// owner of a partition, or one that did not answer as the owner.
	ownersRefreshInterval gypsumtide.Millis = 200
	ownersTimeout         gypsumtide.Millis = 500
	forwardRetryInterval  gypsumtide.Millis = 30
	// noOwnerTimeout is how long a request is retried that its owner neither carries out
	// nor refuses. For the exception see callOwner.
	noOwnerTimeout gypsumtide.Millis = 1500
	dialTimeout    gypsumtide.Millis = 150
	// maxIdleConnections limits the idle connections kept open to each entry.
	maxIdleConnections = 16
	maxForwardBytes    = 4 << 20
)

// memberSeparator separates the address from the incarnation in a member name.
const memberSeparator = "|"

// MemberName returns the name under which an entry joins the log's group. The incarnation
// identifies the process, so that a restarted entry is a new member.
func MemberName(address, incarnation string) string { return address + memberSeparator + incarnation }

func memberAddress(member string) string {
	address, _, _ := strings.Cut(member, memberSeparator)
	return address
}

// operation is what a forwarded request asks the owner to do.
type operation uint8

const (
	opSubmit operation = iota + 1
	opState
	opCancel
)

// forwardRequest is a request on a stored job. Only opSubmit uses more than the job's id.
type forwardRequest struct {
	Operation operation             `cbor:"1,keyasint"`
	Job       gypsumtide.JobRequest `cbor:"2,keyasint"`
	Route     gypsumtide.QueueRoute `cbor:"3,keyasint"`
}

// replyStatus is the result of a forwarded request. A refused request was not carried out
// and never will be. With statusUnknown a request may have been carried out, and so may a
// cancellation with statusNotOwner.
type replyStatus uint8

const (
	statusNotOwner replyStatus = iota + 1
	// statusDone means that the request was carried out. Replies to opState and opCancel
	// have the state of the job, which is empty if there is no such job.
	statusDone
	statusRefused
	statusUnknown
)

// forwardReply answers a forwardRequest.
type forwardReply struct {
	Status replyStatus         `cbor:"1,keyasint"`
	State  gypsumtide.JobState `cbor:"2,keyasint,omitempty"`
	Reason string              `cbor:"3,keyasint,omitempty"`
}

// RefusedError means that a request was not carried out and never will be.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// ErrOutcomeUnknown means that a request may or may not have been carried out.
var ErrOutcomeUnknown = errors.New("outcome of the request is not known")

// Activator manages a flag, shared by all entries, that tells whether stored jobs are in
// use.
type Activator interface {
	// StoredJobsActive reports whether stored jobs are in use. As long as the entry cannot
	// tell, known is false. It may take some time until a flag that another entry has set is
	// seen.
	StoredJobsActive() (active, known bool)
	// CheckStoredJobs reports whether stored jobs were in use when it was called. Unlike
	// StoredJobsActive it sees a flag that another entry has just set.
	CheckStoredJobs(ctx context.Context) (bool, error)
	// ActivateStoredJobs sets the flag durably.
	ActivateStoredJobs(ctx context.Context) error
}

// Router forwards requests on stored jobs to the owners of their partitions.
type Router struct {
	manager   *PartitionManager
	log       gypsumtide.JobLog
	activator Activator
	clock     gypsumtide.Clock
	decisions gypsumtide.DecisionLogger
	client    *link.Client

	mu sync.Mutex
	// owners caches the member that owns each partition, as read at ownersAt. ownersAt is set
	// to an earlier time to have the list read again earlier.
	owners   map[int]string
	ownersAt gypsumtide.Millis
}

// NewRouter returns a Router for the partitions of log.
func NewRouter(manager *PartitionManager, log gypsumtide.JobLog, activator Activator, clock gypsumtide.Clock, decisions gypsumtide.DecisionLogger) *Router {
	return &Router{
		manager: manager, log: log, activator: activator, clock: clock, decisions: decisions,
		client: link.NewClient(dialTimeout, maxIdleConnections, maxForwardBytes),
	}
}

// Submit submits a job to the owner of its partition, and activates stored jobs first if
// needed. A *RefusedError means that this submission was not accepted; an earlier one
// with the same id may have been. Any other error is ErrOutcomeUnknown.
func (r *Router) Submit(ctx context.Context, job gypsumtide.JobRequest, route gypsumtide.QueueRoute) error {
	if active, _ := r.activator.StoredJobsActive(); !active {
		if err := r.activator.ActivateStoredJobs(ctx); err != nil {
			return &RefusedError{Reason: err.Error()}
		}
	}
	_, err := r.callOwner(ctx, &forwardRequest{Operation: opSubmit, Job: job, Route: route})
	r.logError("stored-submit", job, err)
	return err
}

func (r *Router) logError(kind string, job gypsumtide.JobRequest, err error) {
	if err != nil {
		r.decisions.Decision(kind, "job", job.ID, "request", job.Request, "error", err.Error())
	}
}

// State returns the state of a job, or "" if there is no such job.
func (r *Router) State(ctx context.Context, id string) (gypsumtide.JobState, error) {
	return r.callIfActive(ctx, opState, id)
}

// Cancel cancels a job unless it has a final state. It returns the state of the job
// after that, or "" if there is no such job.
func (r *Router) Cancel(ctx context.Context, id string) (gypsumtide.JobState, error) {
	return r.callIfActive(ctx, opCancel, id)
}

// callIfActive sends a request to the owner if stored jobs are in use. If they are not, no
// stored job exists and it returns "". If the entry cannot tell, the request is refused.
func (r *Router) callIfActive(ctx context.Context, op operation, id string) (gypsumtide.JobState, error) {
	active, known := r.activator.StoredJobsActive()
	if !active && known {
		// Another entry may have accepted the first job since this one has last heard of it.
		var err error
		active, err = r.activator.CheckStoredJobs(ctx)
		known = err == nil
	}
	switch {
	case active:
		return r.callOwner(ctx, &forwardRequest{Operation: op, Job: gypsumtide.JobRequest{ID: id}})
	case known:
		return "", nil
	default:
		return "", &RefusedError{Reason: "it is not known yet whether stored jobs are in use"}
	}
}

// callOwner sends a request to the owner of the partition, and retries until the owner
// has carried it out or refused it. A refusal counts only if no earlier attempt may have
// been carried out. callOwner gives up when ctx is done or after noOwnerTimeout, but a
// submission that an owner may already have accepted is retried until ctx is done. The error
// is a *RefusedError or ErrOutcomeUnknown.
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

// tryOwner carries out a request itself if this entry serves the partition. Otherwise it
// sends the request once to the member that is listed as the owner. If none is listed, or
// this entry itself, it returns statusNotOwner.
func (r *Router) tryOwner(ctx context.Context, partition int, f *forwardRequest) (forwardReply, error) {
	if r.manager.Serves(partition) {
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

// ownerOf returns the member that owns a partition according to the cached list, or "". It
// reads the list again when that is older than ownersMaxAge, and uses the old one if the
// read fails. It returns an error only if no list has been read before.
func (r *Router) ownerOf(ctx context.Context, partition int) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners != nil && r.clock.Now()-r.ownersAt < ownersMaxAge {
		return r.owners[partition], nil
	}
	callCtx, cancel := context.WithTimeout(ctx, ownersTimeout.Duration())
	defer cancel()
	owners, err := r.log.Owners(callCtx)
	if err != nil {
		if r.owners != nil {
			return r.owners[partition], nil
		}
		return "", err
	}
	r.owners, r.ownersAt = owners, r.clock.Now()
	return owners[partition], nil
}

// refreshOwnersSoon expires the cached list of owners early, since it seems outdated.
func (r *Router) refreshOwnersSoon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownersAt = min(r.ownersAt, r.clock.Now()-ownersMaxAge+ownersRefreshInterval)
}

// RegisterHandlers registers the handler of requests that other entries forward.
func (r *Router) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ForwardPath, func(w http.ResponseWriter, req *http.Request) {
		var f forwardRequest
		if data, ok := r.client.HandleExchange(w, req, &f, func() any { return r.handleLocally(req.Context(), &f) }); ok {
			_, _ = w.Write(data) // The other entry retries if the reply is lost.
		}
	})
}

// handleLocally carries out a request as the owner of the partition. If this entry does not
// serve the partition, it returns statusNotOwner.
func (r *Router) handleLocally(ctx context.Context, f *forwardRequest) forwardReply {
	var state gypsumtide.JobState
	var err error
	switch f.Operation {
	case opSubmit:
		err = r.manager.Submit(ctx, f.Job, f.Route)
	case opCancel:
		state, err = r.manager.Cancel(ctx, f.Job.ID)
	default:
		state, err = r.manager.State(ctx, f.Job.ID)
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
