package wire

import (
	"slices"

	"gypsumtide"
)

// Order asks an agent to run a task of an ephemeral job. Times are relative to
// the receipt, since the clocks of two hosts differ.
type Order struct {
	Ref      gypsumtide.RunRef `cbor:"1,keyasint"`
	Spec     string            `cbor:"2,keyasint,omitempty"`
	Size     gypsumtide.Size   `cbor:"3,keyasint,omitempty"`
	Priority int               `cbor:"4,keyasint,omitempty"`
	// JobStarted means that another task of the job has started.
	JobStarted bool `cbor:"5,keyasint,omitempty"`
	// StartWithin is the time after which the order is returned unstarted.
	StartWithin gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
	// Expected is the expected run time on an average worker.
	Expected gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
	// Incarnation is the incarnation that the entry has chosen.
	Incarnation gypsumtide.Incarnation `cbor:"8,keyasint,omitempty"`
	// Update changes JobStarted and StartWithin of an order that still waits. It
	// never creates one, since the agent may have returned the order meanwhile.
	Update bool `cbor:"9,keyasint,omitempty"`
	// Stored marks a task of a stored job. The worker keeps the end of its run until
	// the entry has recorded it.
	Stored bool `cbor:"10,keyasint,omitempty"`
}

// RunReport tells an entry what became of an order.
type RunReport struct {
	Ref gypsumtide.RunRef `cbor:"1,keyasint"`
	// Queued and Started come without an End. An order that starts at once is not
	// reported; one that waits is reported twice.
	Queued  bool               `cbor:"8,keyasint,omitempty"`
	Started bool               `cbor:"2,keyasint,omitempty"`
	End     gypsumtide.EndKind `cbor:"3,keyasint,omitempty"`
	// RunTime is the time from the start to the end.
	RunTime gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	// Reason explains an order that was not started.
	Reason string `cbor:"5,keyasint,omitempty"`
	// Remaining is the projected time to the end of a run that takes longer than
	// expected, set without an End.
	Remaining gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
	// Stalled means that the run makes no progress, so that Remaining tells nothing of
	// the task itself.
	Stalled bool `cbor:"9,keyasint,omitempty"`
	// Number rises with each report to an entry. A report is sent again on the
	// next session until the entry has acknowledged it.
	Number uint64 `cbor:"7,keyasint,omitempty"`
	// Unrecorded is set in an end that waits for the entry to record it.
	Unrecorded bool `cbor:"10,keyasint,omitempty"`
}

// WorkerReport describes an agent's worker. Each one replaces the one before.
type WorkerReport struct {
	Incarnation gypsumtide.Incarnation `cbor:"1,keyasint,omitempty"`
	Service     string                 `cbor:"2,keyasint,omitempty"`
	Zone        string                 `cbor:"3,keyasint,omitempty"`
	Labels      []string               `cbor:"4,keyasint,omitempty"`
	Capacity    gypsumtide.Size        `cbor:"5,keyasint,omitempty"`
	// Accepting is false while the worker takes no starts.
	Accepting bool `cbor:"6,keyasint,omitempty"`
	// EarlierRunsEnded is set once nothing runs on the worker that an earlier incarnation of
	// the agent has started.
	EarlierRunsEnded bool `cbor:"7,keyasint,omitempty"`
}

// Equal reports whether r and o say the same.
func (r *WorkerReport) Equal(o *WorkerReport) bool {
	return r.Incarnation == o.Incarnation && r.Service == o.Service && r.Zone == o.Zone && r.Capacity == o.Capacity &&
		r.Accepting == o.Accepting && r.EarlierRunsEnded == o.EarlierRunsEnded && slices.Equal(r.Labels, o.Labels)
}

// LoadReport is the load of an agent's worker. It is sent far more often than
// the WorkerReport, so it is encoded without field numbers.
type LoadReport struct {
	_ struct{} `cbor:",toarray"`
	// Booked is the capacity in use, all entries together, and FromPeer the part
	// of it that the receiver ordered.
	Booked   SizeRow
	FromPeer SizeRow
	// Slowness is the run time relative to the expected one; 1 is average.
	Slowness float32
	// FailureShare is the recent share of runs that failed.
	FailureShare float32
	// Waiting lists what waits, by priority.
	Waiting []WaitingLoad
}

// WaitingLoad is the size of the orders of one priority that wait at an agent.
type WaitingLoad struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	Size     SizeRow
	// FromPeer is the part that the receiver ordered.
	FromPeer SizeRow
}

// SizeRow is a gypsumtide.Size encoded without field numbers.
type SizeRow struct {
	_            struct{} `cbor:",toarray"`
	Processors   int64
	Memory       int64
	Accelerators int64
}

// NewSizeRow returns the row of a size.
func NewSizeRow(s gypsumtide.Size) SizeRow {
	return SizeRow{Processors: s.Processors, Memory: s.Memory, Accelerators: s.Accelerators}
}

// Size returns the size of the row.
func (r SizeRow) Size() gypsumtide.Size {
	return gypsumtide.Size{Processors: r.Processors, Memory: r.Memory, Accelerators: r.Accelerators}
}

// Resume opens the exchange of runs on a session. It lists the runs of the
// receiver that the agent holds.
type Resume struct {
	Held []gypsumtide.RunRef `cbor:"1,keyasint,omitempty"`
	// Complete means that the agent still has every report that the receiver has
	// not acknowledged. Then an order that is neither held nor reported did not
	// arrive and never will; otherwise it may have run, and has ended.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// Unrecorded lists the ends that the receiver has not confirmed as recorded.
	Unrecorded []gypsumtide.RunRef `cbor:"3,keyasint,omitempty"`
}
