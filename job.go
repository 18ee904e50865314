package gypsumtide

// JobRequest is a job as submitted by a caller. An ephemeral job lasts as long as
// the caller's connection; a caller that did not get the answer submits it again.
// A stored job is kept in the JobLog until some time after its end.
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

// JobStep is a set of tasks with the same requirements.
type JobStep struct {
	Tasks int  `cbor:"1,keyasint"`
	Size  Size `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate Millis `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the steps that must be done before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Label, unless empty, is a label that the worker must have.
	Label string `cbor:"5,keyasint,omitempty"`
	// Rack names the rack with the step's data, if any.
	Rack string `cbor:"6,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"7,keyasint,omitempty"`
	// Checkpointable means that runs of the tasks save checkpoints, from which later runs
	// resume.
	Checkpointable bool `cbor:"8,keyasint,omitempty"`
}
