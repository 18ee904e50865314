package gypsumtide

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
)

// TaskName identifies a task of a job.
type TaskName struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// TaskIndex returns the index of a task across all steps of its job. It returns
// false if the job has no task of that name.
func TaskIndex(steps []JobStep, n TaskName) (int, bool) {
	if n.Step < 0 || n.Step >= len(steps) || n.Index < 0 || n.Index >= steps[n.Step].Tasks {
		return 0, false
	}
	index := n.Index
	for _, step := range steps[:n.Step] {
		index += step.Tasks
	}
	return index, true
}

// String returns the form used in logs.
func (n TaskName) String() string { return fmt.Sprintf("%s/%d/%d", n.Job, n.Step, n.Index) }

// RunRef identifies one run of a task. Number increases with each run.
type RunRef struct {
	Task   TaskName `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint,omitempty"`
}

// String returns the form used in logs.
func (r RunRef) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// LogValue implements slog.LogValuer.
func (r RunRef) LogValue() slog.Value { return slog.StringValue(r.String()) }

// Incarnation identifies one process of a worker. A restarted worker may keep its id,
// so StartTime is part of the identity.
type Incarnation struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// StartTime is the Unix time at which the process started.
	StartTime Millis `cbor:"2,keyasint,omitempty"`
}

// LogValue implements slog.LogValuer.
func (i Incarnation) LogValue() slog.Value {
	return slog.StringValue(fmt.Sprintf("%s@%d", i.ID, i.StartTime))
}

// WorkerInfo is the description of a worker from its heartbeat.
type WorkerInfo struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Service     string      `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
	Zone        string      `cbor:"4,keyasint"`
	Capacity    Size        `cbor:"5,keyasint"`
	Labels      []string    `cbor:"6,keyasint,omitempty"`
	// Seq increases with each heartbeat of one incarnation.
	Seq      uint64 `cbor:"7,keyasint,omitempty"`
	Draining bool   `cbor:"8,keyasint,omitempty"`
	// Remaining is the minimum time until a draining worker ends, if it has announced one.
	Remaining *Millis `cbor:"9,keyasint,omitempty"`
}

// RunOrder asks a worker to start a run.
type RunOrder struct {
	Ref RunRef
	// Spec is passed to the worker unchanged.
	Spec string
	// Fence is the fencing token of the agent. A worker rejects requests with a token lower
	// than the highest that it has received.
	Fence uint64
	// LeaseUntil is the end of the lease on the worker's clock, or 0 if the agent does
	// not know that clock yet.
	LeaseUntil Millis
	// Checkpoint is the checkpoint of an earlier run of the task from which this one
	// resumes, or "".
	Checkpoint string
}

// RenewRequest renews the lease on all runs of a worker and asks for their state.
type RenewRequest struct {
	// Fence is the fencing token of the agent, as in RunOrder.
	Fence uint64
	// LeaseUntil is the new end of the lease on the worker's clock, or 0 to leave it as
	// it is.
	LeaseUntil Millis
	// Acknowledged is the number of the last RunEnd that the worker may discard. The agent
	// has processed it and all earlier ones.
	Acknowledged uint64
	// Wait is how long the worker may delay its answer to wait for the end of a run.
	Wait Millis
}

// RunProgress is the progress of a run that has not ended.
type RunProgress struct {
	Ref RunRef
	// Percent is the completed share of the work, from 0 to 100.
	Percent int
	// Checkpoint is the newest checkpoint of the run, or "".
	Checkpoint string
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone EndKind = "done"
	// EndFailed means that the task or its worker failed.
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndLost means that the end of the run is not known, for example because the worker
	// process ended during the run.
	EndLost EndKind = "lost"
	// EndNotStarted means that the run did not start and never will.
	EndNotStarted EndKind = "not-started"
)

// Conclusive reports whether an end of this kind counts for the task: the task is
// done or has used up one of its attempts.
func (k EndKind) Conclusive() bool { return k == EndDone || k == EndFailed }

// RunEnd is the end of a run as listed by a worker. Numbers count up from 1 in each
// incarnation.
type RunEnd struct {
	Number uint64
	Ref    RunRef
	Kind   EndKind
	// Checkpoint is the last checkpoint of the run, or "".
	Checkpoint string
}

// RenewResponse lists the runs of a worker.
type RenewResponse struct {
	// StartTime is that of the worker's Incarnation.
	StartTime Millis
	// Clock is the time on the worker's clock.
	Clock   Millis
	Running []RunProgress
	// Ended lists the ends that are not acknowledged.
	Ended []RunEnd
}

// Reasons for a worker to reject a request.
var (
	// ErrFenced means that the worker has received a higher fencing token.
	ErrFenced = errors.New("fenced")
	// ErrStaleRun means that the worker has ended or stopped this run or a later one.
	ErrStaleRun = errors.New("this run of the task or a later one has ended already")
	// ErrNoCapacity means that the worker has too little free capacity for the run.
	ErrNoCapacity = errors.New("worker has no free capacity")
	// ErrLeaseExpired means that the lease of an order had expired when it arrived.
	ErrLeaseExpired = errors.New("lease of the order has expired")
	// ErrOtherWorker means that a worker with another ID answered. A restarted worker
	// that has kept its ID does not reject requests for an earlier incarnation.
	ErrOtherWorker = errors.New("a worker with another id answered")
	// ErrRefused means that the worker refused the request and took no action.
	ErrRefused = errors.New("worker refused the request")
)

// Rejected reports whether err proves that the worker has rejected the request and
// will not execute it.
func Rejected(err error) bool {
	for _, reason := range []error{ErrFenced, ErrStaleRun, ErrNoCapacity, ErrLeaseExpired, ErrOtherWorker, ErrRefused} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// Worker executes runs under leases. After an error for which Rejected returns
// false, the call may have taken effect or may still do so.
type Worker interface {
	// Start starts a run and returns the time on the worker's clock. A worker may return
	// its time with an error too; 0 means that the time is not known.
	Start(ctx context.Context, incarnation Incarnation, order RunOrder) (Millis, error)
	// Stop stops a run. If the run has not started, it never will.
	Stop(ctx context.Context, incarnation Incarnation, ref RunRef, fence uint64) error
	// Renew renews the lease, removes the acknowledged ends and returns the runs.
	Renew(ctx context.Context, incarnation Incarnation, request RenewRequest) (RenewResponse, error)
}
