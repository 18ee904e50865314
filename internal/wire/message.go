// Package wire holds the messages between the system's own processes, their
// CBOR codec and the WebSocket session that carries them.
package wire

import "gypsumtide"

// Frame is one WebSocket message. It carries any number of messages of each kind.
type Frame struct {
	// Clock is the sender's monotonic time. An agent's Clock is the session credit.
	Clock gypsumtide.Millis `cbor:"1,keyasint,omitempty"`
	// Echo is the newest Clock received from the peer.
	Echo gypsumtide.Millis `cbor:"2,keyasint,omitempty"`

	Hello        *Hello           `cbor:"3,keyasint,omitempty"`
	Welcome      *Welcome         `cbor:"4,keyasint,omitempty"`
	Announcement *Announcement    `cbor:"5,keyasint,omitempty"`
	Load         *gypsumtide.Load `cbor:"6,keyasint,omitempty"`
	Config       *Config          `cbor:"7,keyasint,omitempty"`
	// Revision is the configuration in force at the sender.
	Revision uint64 `cbor:"8,keyasint,omitempty"`

	Dispatches         []Dispatch   `cbor:"10,keyasint,omitempty"`
	Results            []Result     `cbor:"11,keyasint,omitempty"`
	FenceRequests      []ShardEpoch `cbor:"12,keyasint,omitempty"`
	FenceConfirmations []ShardEpoch `cbor:"13,keyasint,omitempty"`
	Recovers           []Recover    `cbor:"14,keyasint,omitempty"`
	Recovered          []Recovered  `cbor:"15,keyasint,omitempty"`
	// Queries ask for the state of open tasks after a broken session.
	Queries []TaskRef `cbor:"16,keyasint,omitempty"`
	// Recalls ask for tasks back that have not started.
	Recalls []TaskRef `cbor:"17,keyasint,omitempty"`
	// Cancels stop tasks, started or not.
	Cancels []TaskRef `cbor:"18,keyasint,omitempty"`

	Heartbeat *Heartbeat     `cbor:"20,keyasint,omitempty"`
	Ack       *HeartbeatAck  `cbor:"21,keyasint,omitempty"`
	Forwards  []Forward      `cbor:"22,keyasint,omitempty"`
	Replies   []ForwardReply `cbor:"23,keyasint,omitempty"`
	// RosterUpdates tell a successor of agents that are not in the log yet; RosterAcks confirm them.
	RosterUpdates []AgentRecord `cbor:"24,keyasint,omitempty"`
	RosterAcks    []AgentRecord `cbor:"25,keyasint,omitempty"`
	// StateRequest asks a peer for its folded control streams, StateReply returns them.
	StateRequest bool        `cbor:"26,keyasint,omitempty"`
	StateReply   *StateReply `cbor:"27,keyasint,omitempty"`
	// Drain asks the receiver to finish its work and to take no more.
	Drain bool `cbor:"28,keyasint,omitempty"`
	// Transfers hand the accepted ids of a shard over to its next home.
	Transfers []Transfer `cbor:"29,keyasint,omitempty"`
	// Departures list what a leaving agent started, since its ledger ends with
	// it. DeparturesComplete marks the last of them.
	Departures         []Recovered `cbor:"30,keyasint,omitempty"`
	DeparturesComplete bool        `cbor:"31,keyasint,omitempty"`

	// Orders, StopRuns and RunReports carry the runs of tasks.
	Orders     []Order             `cbor:"40,keyasint,omitempty"`
	StopRuns   []gypsumtide.RunRef `cbor:"41,keyasint,omitempty"`
	RunReports []RunReport         `cbor:"42,keyasint,omitempty"`
	Worker     *WorkerReport       `cbor:"43,keyasint,omitempty"`
	WorkerLoad *LoadReport         `cbor:"49,keyasint,omitempty"`
	// Entries lists the addresses of the entries that the sender knows.
	Entries []string `cbor:"44,keyasint,omitempty"`
	Resume  *Resume  `cbor:"45,keyasint,omitempty"`
	// Resumed answers Resume, after the stops of the runs that the sender gave up.
	Resumed bool `cbor:"50,keyasint,omitempty"`
	// ReportsSeen is the number of the last run report that the sender has processed.
	ReportsSeen uint64 `cbor:"47,keyasint,omitempty"`
	// ReportInterval is how often the sender wants unprompted worker reports.
	ReportInterval gypsumtide.Millis `cbor:"48,keyasint,omitempty"`
	// RecallRuns asks for orders back that still wait; others are not affected.
	RecallRuns []gypsumtide.RunRef `cbor:"46,keyasint,omitempty"`
	// Recorded lists ends of stored jobs' runs that the sender has recorded,
	// RecordDeclined those that it will not record.
	Recorded       []gypsumtide.RunRef `cbor:"51,keyasint,omitempty"`
	RecordDeclined []gypsumtide.RunRef `cbor:"52,keyasint,omitempty"`

	// DepartedLedgers pass the ledgers of departed agents on to the other entries.
	DepartedLedgers []DepartedLedger `cbor:"53,keyasint,omitempty"`
}

// Hello opens a session. Kind is "agent" or "entry".
type Hello struct {
	Kind        string `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint,omitempty"`
	Rack        string `cbor:"5,keyasint,omitempty"`
}

// Welcome answers a Hello and lists the entries known to the sender.
type Welcome struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation string      `cbor:"2,keyasint"`
	Entries     []EntryInfo `cbor:"3,keyasint,omitempty"`
}

// EntryInfo tells where an entry can be dialled.
type EntryInfo struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	URL         string `cbor:"3,keyasint" json:"url"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
}

// Announcement lists the upstreams beside an agent. Each one replaces the one before.
type Announcement struct {
	Upstreams []Upstream `cbor:"1,keyasint,omitempty"`
	// Draining means that the agent takes no new work.
	Draining bool `cbor:"2,keyasint,omitempty"`
}

// Upstream is an upstream that serves some services.
type Upstream struct {
	Name     string          `cbor:"1,keyasint" json:"name"`
	Services []string        `cbor:"2,keyasint" json:"services"`
	Slots    int             `cbor:"3,keyasint" json:"slots"`
	Capacity gypsumtide.Size `cbor:"4,keyasint,omitempty" json:"capacity"`
	Leaving  bool            `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
	// Ejected means that it failed too many tasks and is being probed.
	Ejected bool `cbor:"6,keyasint,omitempty" json:"ejected,omitempty"`
}

// Config is a published set of objects, or its difference from another one.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Objects is the YAML text of the set.
	Objects []byte `cbor:"2,keyasint,omitempty"`
	// Base is set in a change: Objects replaces the text of revision Base
	// except for its first Prefix and its last Suffix bytes.
	Base   uint64 `cbor:"3,keyasint,omitempty"`
	Prefix int    `cbor:"4,keyasint,omitempty"`
	Suffix int    `cbor:"5,keyasint,omitempty"`
	// Deflated means that Objects is compressed.
	Deflated bool `cbor:"6,keyasint,omitempty"`
}

// TaskRef names a task of a submission. Epoch is the epoch of its dispatch.
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
	// TaskNotStarted is a promise: the task has not started here and never will under the epoch.
	TaskNotStarted TaskState = iota + 1
	// TaskRunning means started and not finished.
	TaskRunning
	// TaskDone means that the upstream answered.
	TaskDone
	// TaskUnknown means started, with the result lost.
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

// The reasons of a TaskNotStarted result.
const (
	ReasonFenced        = "fenced"
	ReasonCreditExpired = "credit-expired"
	ReasonDeadline      = "deadline"
	ReasonCancelled     = "cancelled"
	ReasonRecalled      = "recalled"
	ReasonNoUpstream    = "no-upstream"
	ReasonDraining      = "draining"
	ReasonQueueFull     = "queue-full"
	ReasonNeverReceived = "never-received"
	ReasonRefused       = "refused-by-upstream"
)

// Result reports a task.
type Result struct {
	TaskRef
	State TaskState `cbor:"4,keyasint"`
	// Status is the HTTP status of the upstream for TaskDone.
	Status int    `cbor:"5,keyasint,omitempty"`
	Body   []byte `cbor:"6,keyasint,omitempty"`
	// RunTime is the time between start and answer.
	RunTime gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
	// Reason explains TaskNotStarted and TaskUnknown.
	Reason      string `cbor:"8,keyasint,omitempty"`
	Upstream    string `cbor:"9,keyasint,omitempty"`
	ContentType string `cbor:"10,keyasint,omitempty"`
}

// ShardEpoch asks for, or confirms, that no task of the shard starts under a lower epoch.
// In a confirmation, Epoch is the highest epoch that the agent knows.
type ShardEpoch struct {
	Shard gypsumtide.ShardID `cbor:"1,keyasint,omitempty"`
	Epoch uint64             `cbor:"2,keyasint"`
}

// Recover asks for all tasks of a submission that started at the agent.
type Recover struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Shard      gypsumtide.ShardID      `cbor:"2,keyasint,omitempty"`
	Epoch      uint64                  `cbor:"3,keyasint"`
}

// Recovered answers a Recover. Tasks that are not listed never start under a lower epoch.
type Recovered struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Epoch      uint64                  `cbor:"2,keyasint"`
	Tasks      []Result                `cbor:"3,keyasint,omitempty"`
	// Fenced means that the agent knows a higher epoch and promises nothing.
	Fenced bool `cbor:"4,keyasint,omitempty"`
}

// AgentRecord identifies one incarnation of an agent.
type AgentRecord struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Zone        string `cbor:"3,keyasint,omitempty" json:"zone,omitempty"`
	Rack        string `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
}

// Heartbeat keeps a session between entries alive and asks the peer, as the
// named successor of the listed shards, for an acknowledgement.
type Heartbeat struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Wall is the sender's Unix time, for the measurement of skew.
	Wall   gypsumtide.Millis `cbor:"2,keyasint"`
	Shards []ShardEpoch      `cbor:"3,keyasint,omitempty"`
	// Usage is the number of tasks of each team at the sender, for shared quotas.
	Usage []TeamUsage `cbor:"4,keyasint,omitempty"`
	// Ready means that the sender has read the control streams and can be a home.
	Ready bool `cbor:"5,keyasint,omitempty"`
	// Offset is the next offset of the shards stream that the sender has not
	// read. It bounds the roster that the sender uses.
	Offset uint64 `cbor:"6,keyasint,omitempty"`
	// TakeoverPending lists the shards among Shards whose earlier homes the sender
	// still waits for.
	TakeoverPending []gypsumtide.ShardID `cbor:"7,keyasint,omitempty"`
}

// TeamUsage tells how much of a team's quota a home uses.
type TeamUsage struct {
	Team string `cbor:"1,keyasint"`
	// Rate is in tasks per second.
	Rate float64 `cbor:"2,keyasint,omitempty"`
	Open int     `cbor:"3,keyasint,omitempty"`
	// Demand is the rate asked for, refusals included.
	Demand float64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAck confirms a heartbeat. Refused lists the shards that the sender
// takes over or is not the successor of.
type HeartbeatAck struct {
	Sequence uint64               `cbor:"1,keyasint"`
	Wall     gypsumtide.Millis    `cbor:"2,keyasint"`
	Refused  []gypsumtide.ShardID `cbor:"3,keyasint,omitempty"`
	Usage    []TeamUsage          `cbor:"4,keyasint,omitempty"`
	Ready    bool                 `cbor:"5,keyasint,omitempty"`
}

// Forward sends a caller's request to the home of its shard.
type Forward struct {
	Request uint64 `cbor:"1,keyasint"`
	// Kind is one of the Forward constants.
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
	Submission    gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Service       string                  `cbor:"2,keyasint"`
	Team          string                  `cbor:"3,keyasint,omitempty"`
	NonIdempotent bool                    `cbor:"4,keyasint,omitempty"`
	Deadline      gypsumtide.Millis       `cbor:"5,keyasint"`
	Tasks         []JobTask               `cbor:"6,keyasint"`
}

// JobTask is one task of a submitted job.
type JobTask struct {
	Payload     []byte          `cbor:"1,keyasint,omitempty"`
	ContentType string          `cbor:"2,keyasint,omitempty"`
	Size        gypsumtide.Size `cbor:"3,keyasint,omitempty"`
	// RunTime is the declared run time, a hint.
	RunTime gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
}

// ForwardReply answers a Forward.
type ForwardReply struct {
	Request uint64 `cbor:"1,keyasint"`
	Answer  Answer `cbor:"2,keyasint"`
}

// Answer is the answer to a submission, or Moved if the sender is not the home.
type Answer struct {
	Submission gypsumtide.SubmissionID `cbor:"1,keyasint"`
	Outcome    gypsumtide.Outcome      `cbor:"2,keyasint,omitempty"`
	// Results holds one result per task if the outcome is complete.
	Results []TaskResult `cbor:"3,keyasint,omitempty"`
	Problem *Problem     `cbor:"4,keyasint,omitempty"`
	// Moved means that the sender is not, or no longer, the home.
	Moved bool `cbor:"5,keyasint,omitempty"`
	// Running means that the job is in progress; only an answer to ForwardFetch has it.
	Running bool `cbor:"6,keyasint,omitempty"`
}

// TaskResult is the upstream's answer to a task.
type TaskResult struct {
	Status      int               `cbor:"1,keyasint"`
	ContentType string            `cbor:"2,keyasint,omitempty"`
	Body        []byte            `cbor:"3,keyasint,omitempty"`
	RunTime     gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	Upstream    string            `cbor:"5,keyasint,omitempty"`
}

// Problem is the content of an RFC 9457 problem body.
type Problem struct {
	// Type is the last part of the problem type URI, in kebab case.
	Type       string            `cbor:"1,keyasint"`
	Status     int               `cbor:"2,keyasint"`
	Detail     string            `cbor:"3,keyasint,omitempty"`
	Step       string            `cbor:"4,keyasint,omitempty"`
	Peer       string            `cbor:"5,keyasint,omitempty"`
	Limit      string            `cbor:"6,keyasint,omitempty"`
	RetryAfter gypsumtide.Millis `cbor:"7,keyasint,omitempty"`
}

// StateReply carries a node's folded control streams, each with the offset up
// to which it was folded, for a peer that cannot read the log.
type StateReply struct {
	ShardsOffset        uint64 `cbor:"1,keyasint,omitempty"`
	Shards              []byte `cbor:"2,keyasint,omitempty"`
	ConfigurationOffset uint64 `cbor:"3,keyasint,omitempty"`
	Configuration       []byte `cbor:"4,keyasint,omitempty"`
}

// Transfer lists every id of a shard that its homes up to Epoch accepted and
// that is stamped later than After. Any other later id is fresh to the next home.
type Transfer struct {
	Shard gypsumtide.ShardID        `cbor:"1,keyasint,omitempty"`
	Epoch uint64                    `cbor:"2,keyasint"`
	After gypsumtide.Millis         `cbor:"3,keyasint"`
	IDs   []gypsumtide.SubmissionID `cbor:"4,keyasint,omitempty"`
	// Departed passes on what agents that left had started of the shard's ids.
	Departed []DepartedAgent `cbor:"5,keyasint,omitempty"`
}

// DepartedAgent is the part of a departed agent's ledger that concerns a shard.
type DepartedAgent struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation string      `cbor:"2,keyasint"`
	Started     []Recovered `cbor:"3,keyasint,omitempty"`
}

// DepartedLedger is a part of the ledger that a departed agent handed over.
type DepartedLedger struct {
	Agent DepartedAgent `cbor:"1,keyasint"`
	// Part counts the parts from 0, and Complete marks the last one.
	Part     uint32 `cbor:"3,keyasint,omitempty"`
	Complete bool   `cbor:"2,keyasint,omitempty"`
}
