package gypsumtide

// Task is the data about a task that the queueing and placement policies use.
type Task struct {
	submission SubmissionID
	index      uint32
	service    string
	team       string
	class      Class
	size       Size
	deadline   Millis
	queuedAt   Millis
	jobTasks   int
}

// NewTask returns a task of a job with jobTasks tasks. The deadline is a time on
// the monotonic clock of the home, the entry that owns the job's shard.
func NewTask(submission SubmissionID, index uint32, service, team string, jobTasks int, deadline Millis) *Task {
	return &Task{submission: submission, index: index, service: service, team: team, jobTasks: jobTasks, deadline: deadline}
}

// Submission returns the id of the job.
func (t *Task) Submission() SubmissionID { return t.submission }

// Index returns the position of the task in the job.
func (t *Task) Index() uint32 { return t.index }

// Service returns the name of the service.
func (t *Task) Service() string { return t.service }

// Team returns the name of the team whose quota the task counts towards.
func (t *Task) Team() string { return t.team }

// Class returns the class assigned by the queue.
func (t *Task) Class() Class { return t.class }

// SetClass assigns the class.
func (t *Task) SetClass(c Class) { t.class = c }

// Size returns the declared size, which is often inaccurate.
func (t *Task) Size() Size { return t.size }

// SetSize sets the declared size.
func (t *Task) SetSize(s Size) { t.size = s }

// Deadline returns the time by which the answer is due, on the monotonic clock of
// the home.
func (t *Task) Deadline() Millis { return t.deadline }

// QueuedAt returns the time at which the task entered the queue.
func (t *Task) QueuedAt() Millis { return t.queuedAt }

// SetQueuedAt records the time at which the task entered the queue.
func (t *Task) SetQueuedAt(now Millis) { t.queuedAt = now }

// JobTasks returns the number of tasks of the job.
func (t *Task) JobTasks() int { return t.jobTasks }

// Load is an agent's report of the tasks that it holds for all homes.
type Load struct {
	// Running and Queued count all tasks; the Long fields count only the long ones.
	Running     int `cbor:"1,keyasint,omitempty"`
	Queued      int `cbor:"2,keyasint,omitempty"`
	RunningLong int `cbor:"3,keyasint,omitempty"`
	QueuedLong  int `cbor:"4,keyasint,omitempty"`
	// FromPeer counts the tasks held for the receiver of the report.
	FromPeer     int `cbor:"5,keyasint,omitempty"`
	FromPeerLong int `cbor:"6,keyasint,omitempty"`
	// Used is the sum of the resource usage last reported by the agent's upstreams.
	Used Size `cbor:"7,keyasint,omitempty"`
}

// AgentView is a home's estimate of the state of an agent: the tasks that the home
// itself has sent, and the load that the agent last reported. It is not safe for
// concurrent use.
type AgentView struct {
	name          string
	zone          string
	rack          string
	slots         int
	reservedShort int
	capacity      Size
	// own and others count the open tasks of each class that this home and other homes
	// have at the agent. A task is open from when it is sent until it has ended.
	own        [2]int
	others     [2]int
	reportedAt Millis
	used       Size
	declared   Size
	slowness   float64
	ejected    bool
}

// NewAgentView returns the view of an agent without tasks. Of its slots,
// reservedShort are reserved for short tasks.
func NewAgentView(name, zone, rack string, slots, reservedShort int, capacity Size) *AgentView {
	return &AgentView{name: name, zone: zone, rack: rack, slots: slots, reservedShort: reservedShort, capacity: capacity, slowness: 1}
}

// Name returns the agent's name.
func (v *AgentView) Name() string { return v.name }

// Zone returns the availability zone.
func (v *AgentView) Zone() string { return v.zone }

// Rack returns the rack.
func (v *AgentView) Rack() string { return v.rack }

// Slots returns the number of tasks that may run at once.
func (v *AgentView) Slots() int { return v.slots }

// SetSlots changes the slots after the agent has announced other upstreams.
func (v *AgentView) SetSlots(slots, reservedShort int) {
	v.slots, v.reservedShort = slots, reservedShort
}

// SetCapacity changes the capacity.
func (v *AgentView) SetCapacity(c Size) { v.capacity = c }

// ReservedShort returns the number of slots reserved for short tasks.
func (v *AgentView) ReservedShort() int { return v.reservedShort }

// Assign adds a task that this home sends to the agent.
func (v *AgentView) Assign(t *Task) {
	v.own[t.class]++
	v.declared.Processors += t.size.Processors
	v.declared.Memory += t.size.Memory
	v.declared.Accelerators += t.size.Accelerators
}

// Release removes an assigned task that has ended.
func (v *AgentView) Release(t *Task) {
	v.own[t.class]--
	v.declared.Processors -= t.size.Processors
	v.declared.Memory -= t.size.Memory
	v.declared.Accelerators -= t.size.Accelerators
}

// Report updates the view from a load report of the agent.
func (v *AgentView) Report(l Load, now Millis) {
	long := max(0, l.RunningLong+l.QueuedLong-l.FromPeerLong)
	v.others[ClassLong] = long
	v.others[ClassShort] = max(0, l.Running+l.Queued-l.FromPeer-long)
	v.used = l.Used
	v.reportedAt = now
}

// ReportedAt returns the time of the last report.
func (v *AgentView) ReportedAt() Millis { return v.reportedAt }

// OwnTasks returns this home's open tasks of a class at the agent.
func (v *AgentView) OwnTasks(c Class) int { return v.own[c] }

// OtherTasks returns the open tasks of a class that other homes have at the agent,
// as last reported.
func (v *AgentView) OtherTasks(c Class) int { return v.others[c] }

// OpenTasks returns the estimated number of all open tasks at the agent.
func (v *AgentView) OpenTasks() int {
	return v.own[ClassShort] + v.own[ClassLong] + v.others[ClassShort] + v.others[ClassLong]
}

// Capacity returns, for each resource, the largest capacity of any of the agent's
// upstreams. A task that exceeds it cannot run at the agent.
func (v *AgentView) Capacity() Size { return v.capacity }

// Used returns the resource usage last reported by the agent.
func (v *AgentView) Used() Size { return v.used }

// Declared returns the sum of the declared sizes of this home's open tasks.
func (v *AgentView) Declared() Size { return v.declared }

// Slowness returns the agent's run times relative to the mean of their services: 1 is
// average, 5 is five times slower.
func (v *AgentView) Slowness() float64 { return v.slowness }

// SetSlowness sets the value that Slowness returns.
func (v *AgentView) SetSlowness(s float64) { v.slowness = s }

// Ejected reports whether the agent receives no tasks because of observed failures.
func (v *AgentView) Ejected() bool { return v.ejected }

// SetEjected changes the ejection state.
func (v *AgentView) SetEjected(e bool) { v.ejected = e }

// PlacementDecision is the result of a placement. The reason is for the log.
type PlacementDecision struct {
	agentIndex int
	reason     string
}

// NewPlacementDecision returns the decision for the candidate at agentIndex; -1 means
// that the task waits.
func NewPlacementDecision(agentIndex int, reason string) PlacementDecision {
	return PlacementDecision{agentIndex: agentIndex, reason: reason}
}

// AgentIndex returns the index of the chosen candidate, or -1.
func (d PlacementDecision) AgentIndex() int { return d.agentIndex }

// Reason returns the reason for the choice.
func (d PlacementDecision) Reason() string { return d.reason }

// Placer chooses an agent for a task.
type Placer interface {
	// Place returns a decision without an agent if the task should wait.
	Place(t *Task, agents []*AgentView, now Millis) PlacementDecision
	Name() string
}

// Queue holds the tasks that wait at a home, in the order of its policy. It is not
// safe for concurrent use.
type Queue interface {
	Push(t *Task)
	// Pop removes and returns the first task in policy order for which place
	// returns true. It calls place at most once per team and class, since tasks
	// of one team and class compete for the same slots.
	Pop(now Millis, place func(t *Task) bool) *Task
	// Remove removes the waiting tasks of a submission and returns them.
	Remove(id SubmissionID) []*Task
	// RemoveExpired removes and returns the tasks whose deadline has passed.
	RemoveExpired(now Millis) []*Task
	Len() int
	// Ahead returns an estimate of how many waiting tasks would precede a new task of
	// this team and class.
	Ahead(team string, class Class) int
	// SetWeight sets the weight of a team relative to other teams; the default is 1.
	SetWeight(team string, weight float64)
	Name() string
}

// AdmissionDecision is the result of a Limiter.
type AdmissionDecision struct {
	admit      bool
	limit      string
	reason     string
	retryAfter Millis
}

// Admitted returns the decision to admit a job.
func Admitted() AdmissionDecision { return AdmissionDecision{admit: true} }

// Refused returns the decision to refuse a job, with the limit that was exceeded,
// the reason and the time to wait before a retry.
func Refused(limit, reason string, retryAfter Millis) AdmissionDecision {
	return AdmissionDecision{limit: limit, reason: reason, retryAfter: retryAfter}
}

// Admitted reports whether the job is admitted.
func (d AdmissionDecision) Admitted() bool { return d.admit }

// Limit returns the name of the limit that was exceeded.
func (d AdmissionDecision) Limit() string { return d.limit }

// Reason returns why the job was refused.
func (d AdmissionDecision) Reason() string { return d.reason }

// RetryAfter returns the time that the caller should wait before a retry,
// including jitter.
func (d AdmissionDecision) RetryAfter() Millis { return d.retryAfter }

// Limiter decides whether a job is admitted. It is not safe for concurrent use.
type Limiter interface {
	// Admit charges n tasks to the team's quota, or refuses them and charges nothing.
	Admit(team string, n int, now Millis) AdmissionDecision
	// Release gives back the quota of n admitted tasks.
	Release(team string, n int, now Millis)
}
