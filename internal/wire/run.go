package wire

import (
	"slices"

	"gypsumtide"
)

// Order asks an agent to run a task. Times are relative to the receipt of the order,
// since the clocks of two hosts differ.
type Order struct {
	Ref      gypsumtide.RunRef `cbor:"1,keyasint"`
	Spec     string            `cbor:"2,keyasint,omitempty"`
	Size     gypsumtide.Size   `cbor:"3,keyasint,omitempty"`
	Priority int               `cbor:"4,keyasint,omitempty"`
	// JobStarted means that a task of the job has started or is presumed to have started.
	JobStarted bool `cbor:"5,keyasint,omitempty"`
	// StartWithin is the time after which the agent returns the order if it has not
	// started.
	StartWithin gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
	// Expected is the expected run time on an average worker.
	Expected gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
	// Incarnation is the worker incarnation that the entry has chosen.
	Incarnation gypsumtide.Incarnation `cbor:"8,keyasint,omitempty"`
	// Update marks a change of JobStarted and StartWithin of an order that still waits.
	// It never adds an order, since the agent may have returned the order meanwhile.
	Update bool `cbor:"9,keyasint,omitempty"`
	// Stored marks a task of a stored job. The worker retains the end of the run until
	// the entry has recorded it.
	Stored bool `cbor:"10,keyasint,omitempty"`
	// Checkpointable means that the entry keeps checkpoints of the run. The fields below are
	// set only with it.
	Checkpointable bool `cbor:"11,keyasint,omitempty"`
	// Checkpoint is the checkpoint from which the run resumes, or "". Restore is the time
	// that this is expected to take; Expected includes it.
	Checkpoint string            `cbor:"12,keyasint,omitempty"`
	Restore    gypsumtide.Millis `cbor:"14,keyasint,omitempty"`
	// Submission numbers the submissions at the entry. A job that is submitted again may get
	// the same run numbers, but none of the earlier checkpoints.
	Submission uint64 `cbor:"13,keyasint,omitempty"`
	// CompressedSpec replaces Spec: it is the spec compressed with Zstandard. RepeatsSpec
	// means that the spec is that of the previous order of the job in the frame. See
	// SpecPacker.
	CompressedSpec []byte `cbor:"15,keyasint,omitempty"`
	RepeatsSpec    bool   `cbor:"16,keyasint,omitempty"`
}

// RunReport reports the state of an order to an entry.
type RunReport struct {
	Ref gypsumtide.RunRef `cbor:"1,keyasint"`
	// Queued and Started are set only without an End. An order that starts immediately
	// is reported only when the run ends; one that has to wait is also reported when it
	// is queued and when it starts.
	Queued  bool               `cbor:"8,keyasint,omitempty"`
	Started bool               `cbor:"2,keyasint,omitempty"`
	End     gypsumtide.EndKind `cbor:"3,keyasint,omitempty"`
	// RunTime is the time from the start to the end.
	RunTime gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	// Reason explains an order that was not started, or a run whose end is not known.
	Reason string `cbor:"5,keyasint,omitempty"`
	// Remaining is the projected time to the end of a run that takes longer than
	// expected. It is set only without an End.
	Remaining gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
	// Stalled means that the run makes no progress, so that Remaining says nothing
	// about the task itself.
	Stalled bool `cbor:"9,keyasint,omitempty"`
	// Number increases with each report to an entry. A report is sent again on each
	// new session until the entry has acknowledged it.
	Number uint64 `cbor:"7,keyasint,omitempty"`
	// Unrecorded is set for an end that the entry still has to record.
	Unrecorded bool `cbor:"10,keyasint,omitempty"`
	// Checkpoint is the newest checkpoint of the run, or "", and CheckpointPercent the
	// progress of the run when the checkpoint was first seen. Without an End, the report says
	// nothing else. Submission is that of the order.
	Checkpoint        string `cbor:"11,keyasint,omitempty"`
	CheckpointPercent int    `cbor:"12,keyasint,omitempty"`
	Submission        uint64 `cbor:"13,keyasint,omitempty"`
}

// WorkerReport describes an agent's worker. Each report replaces the previous one.
type WorkerReport struct {
	Incarnation gypsumtide.Incarnation `cbor:"1,keyasint,omitempty"`
	Service     string                 `cbor:"2,keyasint,omitempty"`
	Zone        string                 `cbor:"3,keyasint,omitempty"`
	Labels      []string               `cbor:"4,keyasint,omitempty"`
	Capacity    gypsumtide.Size        `cbor:"5,keyasint,omitempty"`
	// Accepting is false while the worker accepts no new runs.
	Accepting bool `cbor:"6,keyasint,omitempty"`
	// EarlierRunsEnded is set once all runs that an earlier incarnation of the agent
	// has started on the worker have ended.
	EarlierRunsEnded bool `cbor:"7,keyasint,omitempty"`
	// EvacuationsVersion is the version of the agent's set of evacuated zones if the set
	// names any zone, and otherwise 0. An entry with a newer set sends it, so that an agent
	// does not keep an evacuation that has ended.
	EvacuationsVersion uint64 `cbor:"8,keyasint,omitempty"`
	// ZoneEvacuated is set while the agent starts nothing because the worker's zone is
	// evacuated.
	ZoneEvacuated bool `cbor:"9,keyasint,omitempty"`
	// Leaving is set while the worker has announced when it ends. LeavesIn is the minimum
	// time until then.
	Leaving  bool              `cbor:"10,keyasint,omitempty"`
	LeavesIn gypsumtide.Millis `cbor:"11,keyasint,omitempty"`
	// LeavesAt is the same time on the agent's clock. It is not encoded; Equal compares it
	// instead of LeavesIn, which decreases all the time.
	LeavesAt gypsumtide.Millis `cbor:"-"`
}

// Equal reports whether r and o have the same content.
func (r *WorkerReport) Equal(o *WorkerReport) bool {
	return r.Incarnation == o.Incarnation && r.Service == o.Service && r.Zone == o.Zone && r.Capacity == o.Capacity &&
		r.Accepting == o.Accepting && r.EarlierRunsEnded == o.EarlierRunsEnded && r.EvacuationsVersion == o.EvacuationsVersion &&
		r.ZoneEvacuated == o.ZoneEvacuated && r.Leaving == o.Leaving && r.LeavesAt == o.LeavesAt && slices.Equal(r.Labels, o.Labels)
}

// LoadReport is the load of an agent's worker. It is sent far more often than a
// WorkerReport and is therefore encoded as a CBOR array, without field numbers.
type LoadReport struct {
	_ struct{} `cbor:",toarray"`
	// Booked is the capacity reserved for the runs of all entries, without the orders
	// that wait. FromPeer is the part of it for the runs of the receiver.
	Booked   SizeArray
	FromPeer SizeArray
	// Slowness is the recent run time relative to the expected run time; 1 is as
	// expected.
	Slowness float32
	// FailureShare is the share of recent runs that failed or that the worker refused to
	// start.
	FailureShare float32
	// Waiting lists the load of the waiting orders by priority.
	Waiting []WaitingLoad
}

// ratioTolerance is the relative difference up to which two ratios are similar.
const ratioTolerance = 0.03

// Similar reports whether an entry would place tasks in the same way with o as with r.
func (r *LoadReport) Similar(o *LoadReport) bool {
	return r.Booked == o.Booked && r.FromPeer == o.FromPeer && slices.Equal(r.Waiting, o.Waiting) &&
		similarRatios(1+r.FailureShare, 1+o.FailureShare) && similarRatios(r.Slowness, o.Slowness)
}

func similarRatios(a, b float32) bool { return a <= b*(1+ratioTolerance) && b <= a*(1+ratioTolerance) }

// maxRatio is the largest accepted value of the ratios in a LoadReport.
const maxRatio = 1e6

// Validate returns an *InvalidValueError for a value with which an entry could not choose
// between workers.
func (r *LoadReport) Validate() error {
	for _, ratio := range []float32{r.Slowness, r.FailureShare} {
		if !(ratio >= 0 && ratio <= maxRatio) { // A NaN is not in the range.
			return &gypsumtide.InvalidValueError{Field: "ratio", Value: ratio}
		}
	}
	sizes := []SizeArray{r.Booked, r.FromPeer}
	for _, l := range r.Waiting {
		sizes = append(sizes, l.Size, l.FromPeer)
	}
	for _, size := range sizes {
		if err := size.Size().Validate(); err != nil {
			return err
		}
	}
	return nil
}

// WaitingLoad is the total size of the orders of one priority that wait at an agent.
type WaitingLoad struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	Size     SizeArray
	// FromPeer is the part for the orders of the receiver.
	FromPeer SizeArray
}

// SizeArray is a gypsumtide.Size that is encoded as a CBOR array, without field
// numbers.
type SizeArray struct {
	_            struct{} `cbor:",toarray"`
	Processors   int64
	Memory       int64
	Accelerators int64
}

// NewSizeArray converts s to a SizeArray.
func NewSizeArray(s gypsumtide.Size) SizeArray {
	return SizeArray{Processors: s.Processors, Memory: s.Memory, Accelerators: s.Accelerators}
}

// Size converts r to a gypsumtide.Size.
func (r SizeArray) Size() gypsumtide.Size {
	return gypsumtide.Size{Processors: r.Processors, Memory: r.Memory, Accelerators: r.Accelerators}
}

// Resume is the first message about runs on a session. It lists the runs that the
// agent holds for the receiver.
type Resume struct {
	Held []gypsumtide.RunRef `cbor:"1,keyasint,omitempty"`
	// Complete means that the agent still has all reports that the receiver has not
	// acknowledged. If so, an order that is neither held nor reported has not arrived
	// and never will. Otherwise such an order may have run, and has ended.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// Unrecorded lists the runs whose end the receiver has not confirmed as recorded.
	Unrecorded []gypsumtide.RunRef `cbor:"3,keyasint,omitempty"`
	// Session numbers the sessions of the sender to the receiver in the order in which the
	// sender has opened them, from 1; 0 means unknown.
	Session uint64 `cbor:"4,keyasint,omitempty"`
}
