package gypsumtide

// JobRequest is what a caller asks for. An ephemeral job lives as long as its
// caller's connection: a caller that loses the answer submits it again. A
// stored job is kept in the JobLog until some time after its end.
type JobRequest struct {
	ID string
	// Request identifies the submission in the caller's own logs; it may be empty.
	Request string
	Spec    string
	Steps   []JobStep
}

// JobState is the state of a stored job as its callers see it.
type JobState string

// The states of a stored job. The last three are final.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobComplete  JobState = "complete"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// JobStep is a set of equal tasks.
type JobStep struct {
	Tasks int  `cbor:"1,keyasint"`
	Size  Size `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate Millis `cbor:"3,keyasint,omitempty"`
	// After lists the steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Label must be present on the worker, unless it is empty.
	Label string `cbor:"5,keyasint,omitempty"`
	// Rack names the rack with the step's data, if any.
	Rack string `cbor:"6,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int `cbor:"7,keyasint,omitempty"`
}
