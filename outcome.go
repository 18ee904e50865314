package gypsumtide

// Outcome is the final state of a submission as reported to its caller.
type Outcome string

// The outcomes of a submission.
const (
	// OutcomeComplete means that every task has a result.
	OutcomeComplete Outcome = "complete"
	// OutcomeFailed means that at least one task ran but the job did not complete.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that no task of this request has started or ever will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a task may have started, and that not all results are
	// known.
	OutcomeUnknown Outcome = "outcome-unknown"
	// OutcomeExpired means that the id is older than the retention period.
	OutcomeExpired Outcome = "expired"
)

// Class distinguishes short tasks from long ones.
type Class uint8

// The classes of tasks.
const (
	ClassShort Class = iota
	ClassLong
)

// String returns the name used in logs and metrics.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "short"
}

// Size is an amount of resources, either the declared demand of a task or the
// capacity of a worker or an upstream.
type Size struct {
	// Processors is in thousandths of a core.
	Processors int64 `cbor:"1,keyasint,omitempty" json:"processors-milli,omitempty" yaml:"processors-milli"`
	// Memory is in MiB.
	Memory int64 `cbor:"2,keyasint,omitempty" json:"memory-mib,omitempty" yaml:"memory-mib"`
	// Accelerators is in whole devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty" yaml:"accelerators"`
}

// Fits reports whether a demand of s fits into a capacity of c. A zero field of c
// means unlimited for processors and memory, and none for accelerators.
func (s Size) Fits(c Size) bool {
	if c.Processors > 0 && s.Processors > c.Processors {
		return false
	}
	if c.Memory > 0 && s.Memory > c.Memory {
		return false
	}
	return s.Accelerators <= c.Accelerators
}

// AtMost reports whether no field of s exceeds that of c. Unlike in Fits, a zero
// field of c always means none.
func (s Size) AtMost(c Size) bool {
	return s.Processors <= c.Processors && s.Memory <= c.Memory && s.Accelerators <= c.Accelerators
}

// Add returns the sum of s and o.
func (s Size) Add(o Size) Size {
	return Size{Processors: s.Processors + o.Processors, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Sub returns the difference of s and o.
func (s Size) Sub(o Size) Size {
	return Size{Processors: s.Processors - o.Processors, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}
