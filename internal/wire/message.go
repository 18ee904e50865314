// Package wire defines the messages between the processes of the dispatcher, their
// CBOR codec and the WebSocket session that carries them.
//
// The entry that owns a shard is called its home. A shard has an epoch, which
// increases with each change of its home, and may have a successor, an entry that
// takes the shard over if the home fails.
//
// Two kinds of agents share the Frame. An agent of package agent starts the tasks of
// submissions at upstreams: it receives Dispatches and answers with Results. An agent
// of package runner runs the tasks of jobs on a worker: it receives Orders and answers
// with RunReports.
package wire

import "gypsumtide"

// Frame is one WebSocket message. It can carry several messages of different kinds.
type Frame struct {
	// Clock is the sender's monotonic time.
	Clock gypsumtide.Millis `cbor:"1,keyasint,omitempty"`
	// Echo is the latest Clock received from the peer. An agent accepts a task only if
	// the Echo of its frame, which is a clock reading of the agent itself, is recent
	// enough. Otherwise the sender may have been paused, and may no longer be entitled to
	// have the task started.
	Echo gypsumtide.Millis `cbor:"2,keyasint,omitempty"`

	// NextWithin is the time within which the sender sends its next frame, if it is longer
	// than the heartbeat interval.
	NextWithin gypsumtide.Millis `cbor:"54,keyasint,omitempty"`

	Hello        *Hello           `cbor:"3,keyasint,omitempty"`
	Welcome      *Welcome         `cbor:"4,keyasint,omitempty"`
	Announcement *Announcement    `cbor:"5,keyasint,omitempty"`
	Load         *gypsumtide.Load `cbor:"6,keyasint,omitempty"`
	Config       *Config          `cbor:"7,keyasint,omitempty"`
	// Revision is the revision of the configuration in use at the sender.
	Revision uint64 `cbor:"8,keyasint,omitempty"`

	Dispatches         []Dispatch        `cbor:"10,keyasint,omitempty"`
	Results            []Result          `cbor:"11,keyasint,omitempty"`
	FenceRequests      []ShardEpoch      `cbor:"12,keyasint,omitempty"`
	FenceConfirmations []ShardEpoch      `cbor:"13,keyasint,omitempty"`
	RecoveryRequests   []RecoveryRequest `cbor:"14,keyasint,omitempty"`
	RecoveryReplies    []StartedTasks    `cbor:"15,keyasint,omitempty"`
	// Queries ask for the state of open tasks, after a session has failed or together
	// with Cancels.
	Queries []TaskRef `cbor:"16,keyasint,omitempty"`
	// Recalls ask the agent to return tasks that have not started.
	Recalls []TaskRef `cbor:"17,keyasint,omitempty"`
	// Cancels stop tasks, whether started or not.
	Cancels []TaskRef `cbor:"18,keyasint,omitempty"`

	Heartbeat      *Heartbeat     `cbor:"20,keyasint,omitempty"`
	HeartbeatAck   *HeartbeatAck  `cbor:"21,keyasint,omitempty"`
	Forwards       []Forward      `cbor:"22,keyasint,omitempty"`
	ForwardReplies []ForwardReply `cbor:"23,keyasint,omitempty"`
	// The roster is the set of agents that an entry knows. RosterUpdates lists for a
	// successor the agents that are not in the log yet; RosterAcks lists the confirmed
	// ones.
	RosterUpdates []AgentRecord `cbor:"24,keyasint,omitempty"`
	RosterAcks    []AgentRecord `cbor:"25,keyasint,omitempty"`
	// StateRequest asks a peer for the state that it has built from the control streams,
	// which are the log streams of the shards and of the configuration; StateReply
	// returns it.
	StateRequest bool        `cbor:"26,keyasint,omitempty"`
	StateReply   *StateReply `cbor:"27,keyasint,omitempty"`
	// Drain asks the receiver to finish its tasks and to accept no more.
	Drain bool `cbor:"28,keyasint,omitempty"`
	// Transfers pass the accepted ids of shards to their next homes.
	Transfers []Transfer `cbor:"29,keyasint,omitempty"`
	// FinalLedgerTasks list the tasks that a leaving agent has started, since its ledger
	// is lost when it exits. They may be split over several frames; FinalLedgerComplete
	// marks the last one.
	FinalLedgerTasks    []StartedTasks `cbor:"30,keyasint,omitempty"`
	FinalLedgerComplete bool           `cbor:"31,keyasint,omitempty"`

	// Orders start runs of tasks, StopRuns stop them or discard their orders, and
	// RunReports report on them.
	Orders     []Order             `cbor:"40,keyasint,omitempty"`
	StopRuns   []gypsumtide.RunRef `cbor:"41,keyasint,omitempty"`
	RunReports []RunReport         `cbor:"42,keyasint,omitempty"`
	Worker     *WorkerReport       `cbor:"43,keyasint,omitempty"`
	WorkerLoad *LoadReport         `cbor:"49,keyasint,omitempty"`
	// Entries lists addresses of entries to which the agent should open sessions.
	Entries []string `cbor:"44,keyasint,omitempty"`
	Resume  *Resume  `cbor:"45,keyasint,omitempty"`
	// Resumed answers Resume. It follows the StopRuns for the listed runs that the sender
	// no longer wants.
	Resumed bool `cbor:"50,keyasint,omitempty"`
	// AcknowledgedReport is the number of the last RunReport that the sender has
	// processed.
	AcknowledgedReport uint64 `cbor:"47,keyasint,omitempty"`
	// ReportInterval is the minimum time between two load broadcasts that the sender
	// requests from the agent. RunReports are not delayed by it, and carry the load too.
	ReportInterval gypsumtide.Millis `cbor:"48,keyasint,omitempty"`
	// Workers is the number of workers of the receiver's service, its own included, that take
	// orders from the sender. 0 means that the sender does not know it yet.
	Workers int `cbor:"55,keyasint,omitempty"`
	// Evacuations is the newest set of evacuated availability zones that the sender knows.
	// An agent starts nothing while the zone of its worker is evacuated.
	Evacuations *gypsumtide.Evacuations `cbor:"56,keyasint,omitempty"`
	// RecallRuns asks the agent to return orders that still wait; other orders are not
	// affected.
	RecallRuns []gypsumtide.RunRef `cbor:"46,keyasint,omitempty"`
	// Recorded lists the runs of stored jobs whose end the sender has recorded or need
	// not record, so that the worker may discard it. RecordDeclined lists those whose end
	// the sender will not record, so that the task may run again.
	Recorded       []gypsumtide.RunRef `cbor:"51,keyasint,omitempty"`
	RecordDeclined []gypsumtide.RunRef `cbor:"52,keyasint,omitempty"`

	// FinalLedgerParts forward the FinalLedgerTasks of agents to the other entries.
	FinalLedgerParts []FinalLedgerPart `cbor:"53,keyasint,omitempty"`
}

// Hello opens a session. Kind is "agent" or "entry".
type Hello struct {
	Kind        string `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint,omitempty"`
	Rack        string `cbor:"5,keyasint,omitempty"`
	// UnpacksSpecs means that the sender understands orders from a SpecPacker.
	UnpacksSpecs bool `cbor:"6,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Entries lists the entries known to the sender. It is empty for an agent of package
	// runner, which receives addresses in Frame.Entries.
	Entries []EntryInfo `cbor:"3,keyasint,omitempty"`
}

// EntryInfo describes an entry and the address at which it accepts sessions.
type EntryInfo struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	URL         string `cbor:"3,keyasint" json:"url"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
}

// Announcement lists the upstreams of an agent. Each announcement replaces the
// previous one.
type Announcement struct {
	Upstreams []Upstream `cbor:"1,keyasint,omitempty"`
	// Draining means that the agent accepts no new tasks.
	Draining bool `cbor:"2,keyasint,omitempty"`
	// ZoneEvacuated means that the agent starts nothing, since by the revision of the
	// configuration in this frame its availability zone is evacuated.
	ZoneEvacuated bool `cbor:"3,keyasint,omitempty"`
}

// Upstream describes an upstream and the services that it provides.
type Upstream struct {
	Name     string          `cbor:"1,keyasint" json:"name"`
	Services []string        `cbor:"2,keyasint" json:"services"`
	Slots    int             `cbor:"3,keyasint" json:"slots"`
	Capacity gypsumtide.Size `cbor:"4,keyasint,omitempty" json:"capacity"`
	Leaving  bool            `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
	// Ejected means that the upstream failed too many tasks, or a probe, and that the
	// back-off has not ended. An upstream that is being probed is not marked and offers
	// one slot.
	Ejected bool `cbor:"6,keyasint,omitempty" json:"ejected,omitempty"`
}

// Config is a published revision of the configuration, either its full text or the
// difference from another revision.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Objects is the YAML text of the configuration objects, or a part of it in a delta.
	Objects []byte `cbor:"2,keyasint,omitempty"`
	// Base is set in a delta: Objects replaces the text of revision Base, except for
	// its first Prefix and its last Suffix bytes.
	Base   uint64 `cbor:"3,keyasint,omitempty"`
	Prefix int    `cbor:"4,keyasint,omitempty"`
	Suffix int    `cbor:"5,keyasint,omitempty"`
	// Deflated means that Objects is compressed with DEFLATE.
	Deflated bool `cbor:"6,keyasint,omitempty"`
}

// TaskRef identifies a task of a submission, and the epoch under which it was
// dispatched.
type TaskRef struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Task       uint32                  `cbor:"2,keyasint,omitempty"`
	Epoch      uint64                  `cbor:"3,keyasint,omitempty"`
}

// Dispatch sends a task to an agent.
type Dispatch struct {
	TaskRef
	Shard   gypsumtide.ShardID `cbor:"4,keyasint,omitempty"`
	Class   gypsumtide.Class   `cbor:"5,keyasint,omitempty"`
	Service string             `cbor:"6,keyasint"`
	// Budget is the time left until the deadline when the frame is sent.
	Budget  gypsumtide.Millis `cbor:"7,keyasint"`
	Payload []byte            `cbor:"8,keyasint,omitempty"`
	Size    gypsumtide.Size   `cbor:"9,keyasint,omitempty"`
	// ContentType describes Payload.
	ContentType string `cbor:"10,keyasint,omitempty"`
}

// TaskState is the state of a task as an agent reports it.
type TaskState uint8

// The states of a task in a Result.
const (
	// TaskNotStarted guarantees that the task has not started at the agent, and that it
	// will not start there under the epoch without a new dispatch.
	TaskNotStarted TaskState = iota + 1
	// TaskRunning means that the task has started and has not finished.
	TaskRunning
	// TaskDone means that the upstream answered.
	TaskDone
	// TaskUnknown means that the task may have started and that its result is lost or no
	// longer kept.
	TaskUnknown
)

// String returns the name used in logs.
func (s TaskState) String() string {
	switch s {
	case TaskNotStarted:
		return "not-started"
	case TaskRunning:
		return "running"
	case TaskDone:
		return "done"
	case TaskUnknown:
		return "unknown"
	}
	return "invalid"
}

// Reasons for a TaskNotStarted result. Package upstream defines another one.
const (
	// ReasonFenced means that the agent knows a higher epoch of the shard, or has
	// processed a newer request for the task.
	ReasonFenced = "fenced"
	// ReasonCreditExpired means that Frame.Echo was missing or too old.
	ReasonCreditExpired = "credit-expired"
	ReasonDeadline      = "deadline"
	ReasonCancelled     = "cancelled"
	ReasonRecalled      = "recalled"
	// ReasonNoUpstream means that no upstream of the agent provides the service.
	ReasonNoUpstream = "no-upstream"
	ReasonDraining   = "draining"
	ReasonQueueFull  = "queue-full"
	// ReasonNeverReceived answers a query of a task that has not started. The agent has
	// received no dispatch of it, or has removed it from its queue because of the query.
	ReasonNeverReceived = "never-received"
	// ReasonRefused means that the upstream answered that it has not started the task.
	ReasonRefused = "refused-by-upstream"
	// ReasonZoneEvacuated means that the agent's availability zone is evacuated.
	ReasonZoneEvacuated = "zone-evacuated"
)

// Result reports the state of a task, and its result once it is done.
type Result struct {
	TaskRef
	State TaskState `cbor:"4,keyasint"`
	// Status is the HTTP status of the upstream's response, for TaskDone.
	Status int    `cbor:"5,keyasint,omitempty"`
	Body   []byte `cbor:"6,keyasint,omitempty"`
	// RunTime is the time from the start of the task to the upstream's response.
	RunTime gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
	// Reason is set for TaskNotStarted and TaskUnknown.
	Reason      string `cbor:"8,keyasint,omitempty"`
	Upstream    string `cbor:"9,keyasint,omitempty"`
	ContentType string `cbor:"10,keyasint,omitempty"`
}

// ShardEpoch names an epoch of a shard. As a fence request, it asks an agent to start
// no task of the shard under a lower epoch. In the confirmation, Epoch is the highest
// epoch that the agent knows.
type ShardEpoch struct {
	Shard gypsumtide.ShardID `cbor:"1,keyasint,omitempty"`
	Epoch uint64             `cbor:"2,keyasint"`
}

// RecoveryRequest asks an agent for all tasks of a submission that it has started. A
// home sends it if an earlier home of the shard may have accepted the submission.
type RecoveryRequest struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Shard      gypsumtide.ShardID      `cbor:"2,keyasint,omitempty"`
	Epoch      uint64                  `cbor:"3,keyasint"`
}

// StartedTasks lists the tasks of a submission that an agent has started. As a reply
// to a RecoveryRequest it also guarantees that no other task of the submission will
// start under an epoch lower than Epoch. Epoch and Fenced are set only in such a reply.
type StartedTasks struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Epoch      uint64                  `cbor:"2,keyasint"`
	Tasks      []Result                `cbor:"3,keyasint,omitempty"`
	// Fenced means that the agent knows a higher epoch, or that the id may have expired
	// from its ledger, so that the list is empty and guarantees nothing.
	Fenced bool `cbor:"4,keyasint,omitempty"`
}

// AgentRecord identifies one incarnation of an agent.
type AgentRecord struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Zone        string `cbor:"3,keyasint,omitempty" json:"zone,omitempty"`
	Rack        string `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
}

// Heartbeat keeps a session between entries alive. It asks the peer for an
// acknowledgement as the successor of the listed shards.
type Heartbeat struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Wall is the sender's Unix time, used to measure the clock skew.
	Wall   gypsumtide.Millis `cbor:"2,keyasint"`
	Shards []ShardEpoch      `cbor:"3,keyasint,omitempty"`
	// Usage is the quota usage of the active teams at the sender, since teams share
	// their quota across homes.
	Usage []TeamUsage `cbor:"4,keyasint,omitempty"`
	// Ready means that the sender has read the control streams and can be the home of
	// shards.
	Ready bool `cbor:"5,keyasint,omitempty"`
	// Offset is the first offset of the shards stream that the sender has not read. It
	// limits which agents of the roster the sender may use.
	Offset uint64 `cbor:"6,keyasint,omitempty"`
	// TakeoverPending lists those of Shards for which the sender still waits until the
	// earlier homes can start no more tasks.
	TakeoverPending []gypsumtide.ShardID `cbor:"7,keyasint,omitempty"`
}

// TeamUsage is the usage of a team's quota at one home.
type TeamUsage struct {
	Team string `cbor:"1,keyasint"`
	// Rate is in tasks per second.
	Rate float64 `cbor:"2,keyasint,omitempty"`
	Open int     `cbor:"3,keyasint,omitempty"`
	// Demand is the requested rate, including refused tasks.
	Demand float64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAck acknowledges a heartbeat. Refused lists the shards for which the sender
// does not act as the successor, for example because it is taking them over.
type HeartbeatAck struct {
	Sequence uint64               `cbor:"1,keyasint"`
	Wall     gypsumtide.Millis    `cbor:"2,keyasint"`
	Refused  []gypsumtide.ShardID `cbor:"3,keyasint,omitempty"`
	// Usage is not used: Heartbeat.Usage carries the quota usage.
	Usage []TeamUsage `cbor:"4,keyasint,omitempty"`
	Ready bool        `cbor:"5,keyasint,omitempty"`
}

// Forward forwards a caller's request to the home of its shard.
type Forward struct {
	// Request is the number that the ForwardReply repeats.
	Request uint64 `cbor:"1,keyasint"`
	// Kind is ForwardSubmit, ForwardFetch or ForwardCancel.
	Kind string `cbor:"2,keyasint"`
	// Job is the submitted job for ForwardSubmit.
	Job        *Job                    `cbor:"3,keyasint,omitempty"`
	Submission gypsumtide.SubmissionID `cbor:"4,keyasint"`
	// Budget is the time left until the deadline.
	Budget gypsumtide.Millis `cbor:"5,keyasint,omitempty"`
}

// The kinds of forwarded requests.
const (
	ForwardSubmit = "submit"
	ForwardFetch  = "fetch"
	ForwardCancel = "cancel"
)

// Job is a submitted job.
type Job struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Service    string                  `cbor:"2,keyasint"`
	Team       string                  `cbor:"3,keyasint,omitempty"`
	// NonIdempotent is copied from the caller's request and not evaluated.
	NonIdempotent bool `cbor:"4,keyasint,omitempty"`
	// Deadline is the time from the arrival of the caller's request until the answer is
	// due.
	Deadline gypsumtide.Millis `cbor:"5,keyasint"`
	Tasks    []JobTask         `cbor:"6,keyasint"`
}

// JobTask is one task of a submitted job.
type JobTask struct {
	Payload     []byte          `cbor:"1,keyasint,omitempty"`
	ContentType string          `cbor:"2,keyasint,omitempty"`
	Size        gypsumtide.Size `cbor:"3,keyasint,omitempty"`
	// RunTime is the run time declared by the caller, which is only a hint.
	RunTime gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
}

// ForwardReply answers a Forward.
type ForwardReply struct {
	Request uint64 `cbor:"1,keyasint"`
	Answer  Answer `cbor:"2,keyasint"`
}

// Answer is the answer to a forwarded request.
type Answer struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Outcome    gypsumtide.Outcome      `cbor:"2,keyasint,omitempty"`
	// Results holds one result per task if the outcome is complete.
	Results []TaskResult `cbor:"3,keyasint,omitempty"`
	Problem *Problem     `cbor:"4,keyasint,omitempty"`
	// Moved means that the sender cannot answer as the home of the shard at present, and
	// that the request has to be sent again, to the home of that time. Usually the sender
	// is not, or no longer, the home. A home sets it too while it may not serve the shard
	// or awaits its Transfer, and after a reply to its RecoveryRequest with Fenced set.
	Moved bool `cbor:"5,keyasint,omitempty"`
	// Running means that the job is in progress. It is set only in an answer to
	// ForwardFetch.
	Running bool `cbor:"6,keyasint,omitempty"`
}

// TaskResult is the upstream's response to a task.
type TaskResult struct {
	Status      int               `cbor:"1,keyasint"`
	ContentType string            `cbor:"2,keyasint,omitempty"`
	Body        []byte            `cbor:"3,keyasint,omitempty"`
	RunTime     gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	Upstream    string            `cbor:"5,keyasint,omitempty"`
}

// Problem holds the members of an RFC 9457 problem document.
type Problem struct {
	// Type is the last segment of the problem type URI, in kebab case.
	Type       string            `cbor:"1,keyasint"`
	Status     int               `cbor:"2,keyasint"`
	Detail     string            `cbor:"3,keyasint,omitempty"`
	Step       string            `cbor:"4,keyasint,omitempty"`
	Peer       string            `cbor:"5,keyasint,omitempty"`
	Limit      string            `cbor:"6,keyasint,omitempty"`
	RetryAfter gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
}

// StateReply carries the state that an entry has built from the control streams, for
// a peer that cannot read the log. The offsets are the positions up to which the
// streams were read.
type StateReply struct {
	ShardsOffset        uint64 `cbor:"1,keyasint,omitempty"`
	Shards              []byte `cbor:"2,keyasint,omitempty"`
	ConfigurationOffset uint64 `cbor:"3,keyasint,omitempty"`
	Configuration       []byte `cbor:"4,keyasint,omitempty"`
}

// Transfer passes the accepted ids of a shard to its next home, whose epoch is Epoch. It
// lists every id with a timestamp later than After that a home of a lower epoch has
// accepted. The next home treats any other id with such a timestamp as new.
type Transfer struct {
	Shard gypsumtide.ShardID `cbor:"1,keyasint,omitempty"`
	Epoch uint64             `cbor:"2,keyasint"`
	// After is a Unix time, as are the timestamps of ids.
	After gypsumtide.Millis         `cbor:"3,keyasint"`
	IDs   []gypsumtide.SubmissionID `cbor:"4,keyasint,omitempty"`
	// FinalLedgers list the tasks of the shard that departed agents had started.
	FinalLedgers []FinalLedger `cbor:"5,keyasint,omitempty"`
}

// FinalLedger lists the tasks that an agent had started when it left. In a Transfer, it
// lists all those of the shard.
type FinalLedger struct {
	Name        string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"`
	Started     []StartedTasks `cbor:"3,keyasint,omitempty"`
}

// FinalLedgerPart is a part of the list of tasks that an agent sent when it left, as
// one entry forwards it to another.
type FinalLedgerPart struct {
	Ledger FinalLedger `cbor:"1,keyasint"`
	// Index is the index of the part, starting at 0. Complete marks the last part.
	Index    uint32 `cbor:"3,keyasint,omitempty"`
	Complete bool   `cbor:"2,keyasint,omitempty"`
}
