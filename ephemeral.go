package gypsumtide

// EphemeralJob lives as long as its caller's connection. It is not stored: a
// caller that loses the answer submits the job again.
type EphemeralJob struct {
	ID string
	// Request identifies the submission in the caller's own logs; it may be empty.
	Request string
	Spec    string
	Steps   []JobStep
}

// JobStep is a set of equal tasks.
type JobStep struct {
	Tasks int
	Size  Size
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate Millis
	// After lists the steps that must be done first.
	After []int
	// Label must be present on the worker, unless it is empty.
	Label string
	// Rack names the rack with the step's data, if any.
	Rack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int
}
