package gypsumtide

// Task is what the policies know of a task.
type Task struct {
	submission SubmissionID
	index      uint32
	service    string
	team       string
	class      Class
	size       Size
	deadline   Millis
	queued     Millis
	jobTasks   int
}

// NewTask returns a task of a job with jobTasks tasks. The deadline is on the
// monotonic clock of the home.
func NewTask(submission SubmissionID, index uint32, service, team string, jobTasks int, deadline Millis) *Task {
	return &Task{submission: submission, index: index, service: service, team: team, jobTasks: jobTasks, deadline: deadline}
}

// Submission returns the id of the job.
func (t *Task) Submission() SubmissionID { return t.submission }

// Index returns the position in the job.
func (t *Task) Index() uint32 { return t.index }

// Service returns the name of the service.
func (t *Task) Service() string { return t.service }

// Team returns the name of the team that pays for the task.
func (t *Task) Team() string { return t.team }

// Class returns the class that the queue assigned.
func (t *Task) Class() Class { return t.class }

// SetClass assigns the class.
func (t *Task) SetClass(c Class) { t.class = c }

// Size returns the declared size, which is often wrong.
func (t *Task) Size() Size { return t.size }

// SetSize sets the declared size.
func (t *Task) SetSize(s Size) { t.size = s }

// Deadline returns the latest time for the answer on the home's monotonic clock.
func (t *Task) Deadline() Millis { return t.deadline }

// Queued returns the time at which the task entered the queue.
func (t *Task) Queued() Millis { return t.queued }

// SetQueued records the time at which the task entered the queue.
func (t *Task) SetQueued(now Millis) { t.queued = now }

// JobTasks returns the number of tasks in the job.
func (t *Task) JobTasks() int { return t.jobTasks }

// Load is an agent's report of the tasks it holds, all homes together.
type Load struct {
	// Running and Queued count tasks at the agent; the Long fields count the long ones among them.
	Running     int `cbor:"1,keyasint,omitempty"`
	Queued      int `cbor:"2,keyasint,omitempty"`
	RunningLong int `cbor:"3,keyasint,omitempty"`
	QueuedLong  int `cbor:"4,keyasint,omitempty"`
	// FromPeer counts the tasks held for the receiver of the report.
	FromPeer     int `cbor:"5,keyasint,omitempty"`
	FromPeerLong int `cbor:"6,keyasint,omitempty"`
	// Used is the use that the worker reported last.
	Used Size `cbor:"7,keyasint,omitempty"`
}

// AgentView is what a home believes about an agent. It is not safe for concurrent use.
type AgentView struct {
	name     string
	zone     string
	rack     string
	slots    int
	reserved int
	capacity Size
	own      [2]int
	others   [2]int
	reported Millis
	used     Size
	declared Size
	speed    float64
	ejected  bool
}

// NewAgentView describes an agent with its slots, of which reserved are kept
// free of long work.
func NewAgentView(name, zone, rack string, slots, reserved int, capacity Size) *AgentView {
	return &AgentView{name: name, zone: zone, rack: rack, slots: slots, reserved: reserved, capacity: capacity, speed: 1}
}

// Name returns the agent's name.
func (v *AgentView) Name() string { return v.name }

// Zone returns the availability zone.
func (v *AgentView) Zone() string { return v.zone }

// Rack returns the rack.
func (v *AgentView) Rack() string { return v.rack }

// Slots returns the number of tasks that may run at once.
func (v *AgentView) Slots() int { return v.slots }

// SetSlots changes the slots when the agent announces other upstreams.
func (v *AgentView) SetSlots(slots, reserved int) { v.slots, v.reserved = slots, reserved }

// SetCapacity changes the worker's capacity.
func (v *AgentView) SetCapacity(c Size) { v.capacity = c }

// ReservedShort returns the number of slots that long work may not use.
func (v *AgentView) ReservedShort() int { return v.reserved }

// Assign counts a task that this home sends to the agent.
func (v *AgentView) Assign(t *Task) {
	v.own[t.class]++
	v.declared.Processors += t.size.Processors
	v.declared.Memory += t.size.Memory
	v.declared.Accelerators += t.size.Accelerators
}

// Release counts the end of a task that was assigned.
func (v *AgentView) Release(t *Task) {
	v.own[t.class]--
	v.declared.Processors -= t.size.Processors
	v.declared.Memory -= t.size.Memory
	v.declared.Accelerators -= t.size.Accelerators
}

// Report takes the agent's load report.
func (v *AgentView) Report(l Load, now Millis) {
	long := max(0, l.RunningLong+l.QueuedLong-l.FromPeerLong)
	v.others[ClassLong] = long
	v.others[ClassShort] = max(0, l.Running+l.Queued-l.FromPeer-long)
	v.used = l.Used
	v.reported = now
}

// ReportedAt returns the time of the last report.
func (v *AgentView) ReportedAt() Millis { return v.reported }

// Own returns this home's open tasks of a class at the agent.
func (v *AgentView) Own(c Class) int { return v.own[c] }

// Others returns the open tasks of other homes as last reported.
func (v *AgentView) Others(c Class) int { return v.others[c] }

// Open returns all open tasks that the home believes to be at the agent.
func (v *AgentView) Open() int {
	return v.own[ClassShort] + v.own[ClassLong] + v.others[ClassShort] + v.others[ClassLong]
}

// Capacity returns the worker's capacity.
func (v *AgentView) Capacity() Size { return v.capacity }

// Used returns the worker's last reported use.
func (v *AgentView) Used() Size { return v.used }

// Declared returns the summed declared sizes of this home's open tasks.
func (v *AgentView) Declared() Size { return v.declared }

// Slowness returns the mean run time relative to the pool: 1 is average, 5 is five times slower.
func (v *AgentView) Slowness() float64 { return v.speed }

// SetSlowness records the relative run time.
func (v *AgentView) SetSlowness(s float64) { v.speed = s }

// Ejected reports whether the agent may receive no work because of observed failures.
func (v *AgentView) Ejected() bool { return v.ejected }

// SetEjected changes the ejection state.
func (v *AgentView) SetEjected(e bool) { v.ejected = e }

// Decision is the result of a placement with its reason, for the log line.
type Decision struct {
	agent  int
	reason string
}

// NewDecision chooses the candidate at index agent; -1 means that the task waits.
func NewDecision(agent int, reason string) Decision { return Decision{agent: agent, reason: reason} }

// Agent returns the index of the chosen candidate, or -1.
func (d Decision) Agent() int { return d.agent }

// Reason returns the reason of the choice.
func (d Decision) Reason() string { return d.reason }

// Placer chooses an agent for a task.
type Placer interface {
	// Place returns a decision without an agent if the task should wait.
	Place(t *Task, agents []*AgentView, now Millis) Decision
	Name() string
}

// Queue orders the tasks that wait at a home. It is not safe for concurrent use.
type Queue interface {
	Push(t *Task)
	// Pop removes and returns the first task in policy order for which place
	// returns true. It calls place at most once per team and class, since tasks
	// of one team and class compete for the same slots.
	Pop(now Millis, place func(t *Task) bool) *Task
	// Remove drops the waiting tasks of a submission and returns them.
	Remove(id SubmissionID) []*Task
	// Expired removes and returns the tasks whose deadline has passed.
	Expired(now Millis) []*Task
	Len() int
	// Ahead returns how many waiting tasks a new task of this team and class would wait behind.
	Ahead(team string, class Class) int
	// SetWeight sets the share of a team relative to other teams; the default is 1.
	SetWeight(team string, weight float64)
	Name() string
}

// AdmissionDecision is the answer of a Limiter.
type AdmissionDecision struct {
	admit      bool
	limit      string
	reason     string
	retryAfter Millis
}

// Admitted is the verdict that lets a job in.
func Admitted() AdmissionDecision { return AdmissionDecision{admit: true} }

// Refused names the limit that refused, the reason, and the time to wait before a retry.
func Refused(limit, reason string, retryAfter Millis) AdmissionDecision {
	return AdmissionDecision{limit: limit, reason: reason, retryAfter: retryAfter}
}

// Admit reports whether the job may enter.
func (v AdmissionDecision) Admit() bool { return v.admit }

// Limit returns the name of the limit that refused.
func (v AdmissionDecision) Limit() string { return v.limit }

// Reason returns why the job was refused.
func (v AdmissionDecision) Reason() string { return v.reason }

// RetryAfter returns the time that the caller should wait, jitter included.
func (v AdmissionDecision) RetryAfter() Millis { return v.retryAfter }

// Limiter decides whether a job is admitted. It is not safe for concurrent use.
type Limiter interface {
	// Admit charges n tasks to the team, or refuses and charges nothing.
	Admit(team string, n int, now Millis) AdmissionDecision
	// Done releases n admitted tasks.
	Done(team string, n int, now Millis)
}
