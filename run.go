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

// TaskIndex returns the index of a task over all steps of its job, or false for a
// name that is not one of the job's.
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

// RunRef identifies one start of a task. Number rises with each start.
type RunRef struct {
	Task   TaskName `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint,omitempty"`
}

// String returns the form used in logs.
func (r RunRef) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// LogValue implements slog.LogValuer.
func (r RunRef) LogValue() slog.Value { return slog.StringValue(r.String()) }

// Incarnation identifies one incarnation of a worker. A worker that restarts may keep
// its id, so StartTime is part of the identity.
type Incarnation struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// StartTime is the Unix time of the start of this incarnation.
	StartTime Millis `cbor:"2,keyasint,omitempty"`
}

// LogValue implements slog.LogValuer.
func (l Incarnation) LogValue() slog.Value {
	return slog.StringValue(fmt.Sprintf("%s@%d", l.ID, l.StartTime))
}

// WorkerInfo is what a worker announces of itself in a heartbeat.
type WorkerInfo struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Service     string      `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
	Zone        string      `cbor:"4,keyasint"`
	Capacity    Size        `cbor:"5,keyasint"`
	Labels      []string    `cbor:"6,keyasint,omitempty"`
	// Seq rises with each heartbeat of one life.
	Seq      uint64 `cbor:"7,keyasint,omitempty"`
	Draining bool   `cbor:"8,keyasint,omitempty"`
}

// RunOrder asks a worker to start a run.
type RunOrder struct {
	Ref RunRef
	// Spec is passed to the worker unchanged.
	Spec string
	// Fence is the fencing token of the agent.
	Fence uint64
	// LeaseUntil is the end of the lease on the worker's clock.
	LeaseUntil Millis
}

// RenewRequest renews the lease on everything that runs and asks for the runs.
type RenewRequest struct {
	Fence      uint64
	LeaseUntil Millis
	// Acknowledged is the number of the last end that the agent has processed.
	Acknowledged uint64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait Millis
}

// RunProgress is a run in progress.
type RunProgress struct {
	Ref RunRef
	// Percent is the share of the work done, 0 to 100.
	Percent int
}

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone EndKind = "done"
	// EndFailed is a failure of the task or of its worker.
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndLost means that the worker's incarnation ended with the run.
	EndLost EndKind = "lost"
	// EndNotStarted means that the run has not started and never will.
	EndNotStarted EndKind = "not-started"
)

// Conclusive reports whether an end of the kind counts for the task: it is done,
// or has used one of its attempts.
func (k EndKind) Conclusive() bool { return k == EndDone || k == EndFailed }

// RunEnd is an end listed by a worker. Numbers rise from 1 in each life.
type RunEnd struct {
	Number uint64
	Ref    RunRef
	Kind   EndKind
}

// RenewResponse lists the runs of a worker.
type RenewResponse struct {
	StartTime Millis
	Clock     Millis
	Running   []RunProgress
	Ended     []RunEnd
}

// Reasons for which a worker rejects an order.
var (
	// ErrFenced means that the worker has seen a higher fencing token.
	ErrFenced = errors.New("fenced")
	// ErrStaleRun means that the worker has ended or stopped this run or a later one.
	ErrStaleRun = errors.New("run number is not higher than an ended one")
	// ErrNoCapacity means that the worker has no capacity left.
	ErrNoCapacity = errors.New("no room at the worker")
	// ErrLeaseExpired means that the lease had expired when the order arrived.
	ErrLeaseExpired = errors.New("lease of the order has expired")
	// ErrOtherIncarnation means that another incarnation answered.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrRefused means that the worker refused without having done anything.
	ErrRefused = errors.New("worker refused")
)

// Rejected reports whether err proves that the worker did not execute the order.
func Rejected(err error) bool {
	for _, reason := range []error{ErrFenced, ErrStaleRun, ErrNoCapacity, ErrLeaseExpired, ErrOtherIncarnation, ErrRefused} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// Worker executes runs under leases. An error that is not Rejected leaves open
// whether the call takes effect, now or later.
type Worker interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, life Incarnation, order RunOrder) (Millis, error)
	Stop(ctx context.Context, life Incarnation, ref RunRef, fence uint64) error
	Renew(ctx context.Context, life Incarnation, r RenewRequest) (RenewResponse, error)
}
