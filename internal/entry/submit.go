package entry

import (
	"context"
	"net/http"
	"time"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

const (
	// homeRetryInterval is the longest pause before a request looks up the home again. The
	// pause ends early if the state of the shards stream changes.
	homeRetryInterval = 10 * time.Millisecond
	// answerGracePeriod is the time that a request waits for its answer beyond
	// the deadline: closeGracePeriod at the home and 200 ms for the answer's way back.
	answerGracePeriod = closeGracePeriod + 200
	// homelessTimeout bounds the wait of a request for a shard without a home. A
	// takeover takes at most 3 s.
	homelessTimeout gypsumtide.Millis = 3_500
)

// homeRequest is a request of a caller to the home of its shard. It is sent again, each
// time to the current home, until it is answered or its time is over.
type homeRequest struct {
	entry    *Entry
	id       gypsumtide.SubmissionID
	kind     string
	job      *wire.Job
	deadline gypsumtide.Millis
	// maybeAccepted means that a home may have accepted the job.
	maybeAccepted bool
	startedAt     gypsumtide.Millis
}

// Submit runs a job at its home and returns the answer. issued means that this
// entry generated the id, so that no earlier request can have used it.
func (e *Entry) Submit(ctx context.Context, req *wire.Job, issued bool) wire.Answer {
	now := e.clock.Now()
	r := &homeRequest{entry: e, id: req.Submission, kind: wire.ForwardSubmit, job: req, startedAt: now, deadline: now + req.Deadline}
	a, ok := r.run(ctx)
	if ok {
		return a
	}
	return r.noHomeAnswer(issued)
}

// Fetch returns the answer of a submission, waiting up to wait for it.
func (e *Entry) Fetch(ctx context.Context, id gypsumtide.SubmissionID, wait gypsumtide.Millis) wire.Answer {
	return e.askHome(ctx, wire.ForwardFetch, id, wait)
}

// Cancel cancels a submission and returns its answer.
func (e *Entry) Cancel(ctx context.Context, id gypsumtide.SubmissionID) wire.Answer {
	return e.askHome(ctx, wire.ForwardCancel, id, 1_000)
}

func (e *Entry) askHome(ctx context.Context, kind string, id gypsumtide.SubmissionID, wait gypsumtide.Millis) wire.Answer {
	now := e.clock.Now()
	r := &homeRequest{entry: e, id: id, kind: kind, startedAt: now, deadline: now + wait}
	a, ok := r.run(ctx)
	if ok {
		return a
	}
	return wire.Answer{Submission: id, Outcome: gypsumtide.OutcomeUnknown, Problem: &wire.Problem{
		Type: "no-home", Status: http.StatusServiceUnavailable, Step: "find home", Detail: "the shard of this id has no reachable home",
		RetryAfter: 1_000,
	}}
}

// run sends the request until a home answers. It reports false if none does in
// time.
func (r *homeRequest) run(ctx context.Context) (wire.Answer, bool) {
	lastHomeAt := r.startedAt
	for {
		changed := r.entry.shardsFollower.Changed()
		a, tried, ok := r.attempt(ctx)
		if ok {
			return a, true
		}
		now := r.entry.clock.Now()
		if tried {
			lastHomeAt = now
		}
		if now >= r.deadline+answerGracePeriod || now-lastHomeAt > homelessTimeout || ctx.Err() != nil {
			return wire.Answer{}, false
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(homeRetryInterval):
		}
	}
}

// attempt sends the request to the current home once. tried reports whether it found a
// home that can be reached. ok reports whether that home answered, without asking for the
// request to be sent again (Answer.Moved).
func (r *homeRequest) attempt(ctx context.Context) (a wire.Answer, tried, ok bool) {
	home, _, self, serving := r.entry.shardManager.Route(r.id.Shard())
	ctx, cancel := context.WithTimeout(ctx, (r.remaining() + answerGracePeriod).Duration())
	defer cancel()
	switch {
	case self && serving:
		r.maybeAccepted = true
		a, ok = r.askLocal(ctx)
	case !self && home.Incarnation != "":
		peer := r.entry.peers.find(home.Incarnation)
		if peer == nil {
			return wire.Answer{}, false, false
		}
		r.maybeAccepted = true
		r.entry.metrics.forwards.Inc()
		a, ok = peer.forward(ctx, &wire.Forward{Kind: r.kind, Job: r.job, Submission: r.id, Budget: r.remaining()})
	default:
		return wire.Answer{}, false, false
	}
	return a, true, ok && !a.Moved
}

func (r *homeRequest) remaining() gypsumtide.Millis {
	return max(0, r.deadline-r.entry.clock.Now())
}

// askLocal serves the request at this entry.
func (r *homeRequest) askLocal(ctx context.Context) (wire.Answer, bool) {
	return r.entry.home.serve(ctx, &wire.Forward{Kind: r.kind, Job: r.job, Submission: r.id, Budget: r.remaining()})
}

// noHomeAnswer answers a submission that no home has answered in time.
func (r *homeRequest) noHomeAnswer(issued bool) wire.Answer {
	p := &wire.Problem{
		Type: "no-home", Status: http.StatusServiceUnavailable, Step: "find home",
		Detail: "the shard of this id has no reachable home", RetryAfter: 1_000,
	}
	// The id is certain to be unused if the shard has had no home since before
	// the id was generated, and still had none when the request arrived. The last home
	// accepted timestamps up to MaxSkew ahead of its clock, which may itself have been
	// MaxSkew ahead.
	since, asOf, homeless := r.entry.shardManager.HomelessSince(r.id.Shard())
	unused := homeless && asOf >= r.startedAt && r.id.Timestamp() > since+2*r.entry.cfg.MaxSkew
	if !r.maybeAccepted && (issued || unused) {
		return *notRunAnswer(r.id, p)
	}
	p.Detail += "; an earlier request with this id may have run"
	return wire.Answer{Submission: r.id, Outcome: gypsumtide.OutcomeUnknown, Problem: p}
}

// serve processes a request at this home, whether it arrived here or was forwarded. It
// reports false if ctx is done before there is an answer. A fetch whose wait ends while the
// job is in progress is answered with Running set.
func (h *home) serve(ctx context.Context, f *wire.Forward) (wire.Answer, bool) {
	var a wire.Answer
	var ch <-chan wire.Answer
	switch f.Kind {
	case wire.ForwardSubmit:
		ch = h.submit(f.Job, f.Budget)
	case wire.ForwardCancel:
		a, ch = h.cancel(f.Submission)
	default:
		a, ch = h.fetch(f.Submission)
		if a.Running && f.Budget == 0 {
			return a, true
		}
	}
	if ch == nil {
		return a, true
	}
	if f.Kind == wire.ForwardFetch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.Budget.Duration())
		defer cancel()
	}
	select {
	case a = <-ch:
		return a, true
	case <-ctx.Done():
		return a, a.Running
	}
}
