package wire

import "gypsumtide"

// Order asks an agent to run a task of an ephemeral job. Times are relative to
// the receipt, since the clocks of two hosts differ.
type Order struct {
	Ref      gypsumtide.RunRef `cbor:"1,keyasint"`
	Spec     string            `cbor:"2,keyasint,omitempty"`
	Size     gypsumtide.Size   `cbor:"3,keyasint,omitempty"`
	Priority int               `cbor:"4,keyasint,omitempty"`
	// Begun means that another task of the job has started.
	Begun bool `cbor:"5,keyasint,omitempty"`
	// StartWithin is the time after which the order is returned unstarted.
	StartWithin gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
	// Expected is the expected run time on an average worker.
	Expected gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
	// Life is the incarnation that the entry has chosen.
	Life gypsumtide.Life `cbor:"8,keyasint,omitempty"`
	// Update changes Begun and StartWithin of an order that still waits. It
	// never creates one, since the agent may have returned the order meanwhile.
	Update bool `cbor:"9,keyasint,omitempty"`
}

// RunReport tells an entry what became of an order.
type RunReport struct {
	Ref gypsumtide.RunRef `cbor:"1,keyasint"`
	// Started is set when the worker has begun the run, with an empty End.
	Started bool               `cbor:"2,keyasint,omitempty"`
	End     gypsumtide.EndKind `cbor:"3,keyasint,omitempty"`
	// Ran is the time from the start to the end.
	Ran gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	// Reason explains an order that was not started.
	Reason string `cbor:"5,keyasint,omitempty"`
	// Left is the projected time to the end of a run that takes longer than
	// expected, set without an End.
	Left gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
	// Number rises with each report to an entry. A report is sent again on the
	// next session until the entry has acknowledged it.
	Number uint64 `cbor:"7,keyasint,omitempty"`
}

// WorkerReport is the state of an agent's worker. Each one replaces the one before.
type WorkerReport struct {
	Life     gypsumtide.Life `cbor:"1,keyasint,omitempty"`
	Service  string          `cbor:"2,keyasint,omitempty"`
	Zone     string          `cbor:"3,keyasint,omitempty"`
	Labels   []string        `cbor:"4,keyasint,omitempty"`
	Capacity gypsumtide.Size `cbor:"5,keyasint,omitempty"`
	// Open is false while the worker takes no starts.
	Open bool `cbor:"6,keyasint,omitempty"`
	// Booked is the capacity in use, all entries together, and FromPeer the part
	// of it that the receiver ordered.
	Booked   gypsumtide.Size `cbor:"7,keyasint,omitempty"`
	FromPeer gypsumtide.Size `cbor:"8,keyasint,omitempty"`
	// Waiting lists what waits, by priority.
	Waiting []WaitingLoad `cbor:"9,keyasint,omitempty"`
	// Slowness is the run time relative to the expected one; 1 is average.
	Slowness float64 `cbor:"10,keyasint,omitempty"`
	// FailureShare is the recent share of runs that failed.
	FailureShare float64 `cbor:"11,keyasint,omitempty"`
}

// WaitingLoad is the size of the orders of one priority that wait at an agent.
type WaitingLoad struct {
	Priority int             `cbor:"1,keyasint,omitempty"`
	Size     gypsumtide.Size `cbor:"2,keyasint,omitempty"`
	// FromPeer is the part that the receiver ordered.
	FromPeer gypsumtide.Size `cbor:"3,keyasint,omitempty"`
}

// Resume opens the exchange of runs on a session. It lists the runs of the
// receiver that the agent holds; an order that is not among them did not arrive
// and never will.
type Resume struct {
	Held []gypsumtide.RunRef `cbor:"1,keyasint,omitempty"`
}
