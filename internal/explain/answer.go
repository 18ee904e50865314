// Package explain has the answer of an entry to the question where a submission would go
// now, and why, without sending it, and prints it for operators.
package explain

import "gypsumtide"

// Path is the path of the request for an explanation on the metrics address of an entry.
const Path = "/explain"

// Parameters of the request. Its body is the body of the submission.
const (
	ParameterHost = "host"
	ParameterPath = "path"
	// ParameterDeadline is how long the caller would wait, in milliseconds.
	ParameterDeadline = "deadline-ms"
)

// Answer is the answer of an entry.
type Answer struct {
	Entry string `json:"entry"`
	Zone  string `json:"zone"`
	// Draining is set while the entry is shutting down, Saturated while it has too little
	// processor time, MovingCallers while it asks the load balancer to use other entries.
	Draining      bool    `json:"draining"`
	Saturated     bool    `json:"saturated"`
	MovingCallers bool    `json:"moving-callers"`
	Workers       Workers `json:"workers"`
	// Route is the matched route, or nil if there is none.
	Route *Route `json:"route,omitempty"`
	// Rejection is set if the request would be rejected before admission.
	Rejection *Rejection `json:"rejection,omitempty"`
	// Job is set if the request would not be rejected.
	Job *Job `json:"job,omitempty"`
}

// Workers describes the workers that the entry knows.
type Workers struct {
	Known int `json:"known"`
	// Usable is the number of workers that accept orders.
	Usable         int      `json:"usable"`
	EvacuatedZones []string `json:"evacuated-zones,omitempty"`
}

// Route is the route that a request matches.
type Route struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
}

// Rejection is a response to a request that does not become a job.
type Rejection struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
}

// Job is the explanation of a job.
type Job struct {
	ID string `json:"id"`
	// Stored is set for a stored job. The owner of its partition runs it, which may be another
	// entry; the choices are those that this entry would make.
	Stored bool `json:"stored"`
	// InProgress is set if an ephemeral job with the id is in progress at this entry. The
	// caller would wait for its answer, and nothing else would happen.
	InProgress bool `json:"in-progress"`
	// Admission is set for an ephemeral job that is not in progress.
	Admission *Admission `json:"admission,omitempty"`
	// Steps has the steps that wait for no other step.
	Steps []Step `json:"steps,omitempty"`
}

// Admission is the decision about the admission of an ephemeral job.
type Admission struct {
	Admitted bool   `json:"admitted"`
	Reason   string `json:"reason,omitempty"`
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter gypsumtide.Millis `json:"retry-after-ms,omitempty"`
	// Objective and Deadline are those of the job, from now.
	Objective gypsumtide.Millis `json:"objective-ms"`
	Deadline  gypsumtide.Millis `json:"deadline-ms"`
}

// Step is the explanation of a step.
type Step struct {
	Step int `json:"step"`
	// Expected is the expected run time of a task on an average worker.
	Expected gypsumtide.Millis `json:"expected-ms"`
	// Wait is the expected wait that admission compares, or nil if no worker accepts tasks of
	// the step. Allowed is the longest wait with which the job is admitted.
	Wait    *gypsumtide.Millis `json:"wait-ms,omitempty"`
	Allowed gypsumtide.Millis  `json:"allowed-ms"`
	// Accepting is the number of workers that accept tasks of the step.
	Accepting int     `json:"accepting"`
	LeftOut   LeftOut `json:"left-out"`
	// Tasks is empty if the job would be refused.
	Tasks []Task `json:"tasks,omitempty"`
	// OmittedTasks is the number of further tasks, of which the choices were not computed.
	OmittedTasks int `json:"omitted-tasks,omitempty"`
}

// LeftOut counts the workers that get no task of a step. A worker counts for the first
// reason that applies, in the order of the fields.
type LeftOut struct {
	OtherService  int `json:"other-service"`
	TooSmall      int `json:"too-small"`
	LabelMissing  int `json:"label-missing"`
	ZoneEvacuated int `json:"zone-evacuated"`
	NotConnected  int `json:"not-connected"`
	NotAccepting  int `json:"not-accepting"`
	// LimitPerWorker counts the workers that get no further task of the step once those of
	// this job are placed. Unlike the others, these workers count as accepting.
	LimitPerWorker int `json:"limit-per-worker"`
}

// Task is the choice for a task. Times are in milliseconds from now.
type Task struct {
	Index int `json:"index"`
	// Worker is the agent of the chosen worker, or "" if no worker accepts the task.
	Worker string `json:"worker,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Ordered is set if the task would be ordered there at once. Otherwise it would wait at the
	// entry, and the choice be made again.
	Ordered    bool  `json:"ordered"`
	Wait       int64 `json:"wait-ms"`
	End        int64 `json:"end-ms"`
	Cost       int64 `json:"cost-ms"`
	Candidates int   `json:"candidates"`
	// Rack is set if the step names a rack.
	Rack *RackDecision `json:"rack,omitempty"`
}

// RackDecision is the decision between the rack that a step names and other places.
type RackDecision struct {
	Rack string `json:"rack"`
	// OnRack is set if the chosen worker is on the rack.
	OnRack bool   `json:"on-rack"`
	Reason string `json:"reason"`
	// Comparison is nil if there was only one place to choose.
	Comparison *RackComparison `json:"comparison,omitempty"`
}

// RackComparison holds what was compared. Times are in milliseconds from now.
type RackComparison struct {
	RackWait      int64 `json:"rack-wait-ms"`
	RackEnd       int64 `json:"rack-end-ms"`
	ElsewhereWait int64 `json:"elsewhere-wait-ms"`
	ElsewhereEnd  int64 `json:"elsewhere-end-ms"`
	// CostToOthers is the time that other tasks lose by the longer run elsewhere.
	CostToOthers int64 `json:"cost-to-others-ms"`
	// JobEnd is the expected end of the job's other tasks, if it was needed.
	JobEnd int64 `json:"job-end-ms"`
	// Bound is the longest wait for the rack.
	Bound int64 `json:"bound-ms"`
}
