package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// The simulation runs the states of entries and agents against simulated workers and a
// simulated network, so that a load can be reproduced without starting processes. Times
// are in microseconds where a millisecond is too coarse.

// Delays of the simulated deployment, in microseconds.
const (
	linkDelay   = 1000
	workerDelay = 300
	stopDelay   = 10_000
	callerDelay = 1000
	millisecond = 1000
	// warmup lets the first reports arrive before the load starts.
	warmup = 500 * millisecond
)

// simEvent is a call that is scheduled for a time.
type simEvent struct {
	at       int64
	sequence int
	call     func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simKind is a kind of job, as described by the users.
type simKind struct {
	route gypsumtide.QueueRoute
	// share is the share of all jobs, width the mean number of tasks, work their mean run
	// time in ms without the jobs that tailFactor applies to, and value the value of a job
	// of mean size.
	share, width, work, value float64
}

func simKinds() []simKind {
	route := func(name string, priority int) gypsumtide.QueueRoute {
		return gypsumtide.QueueRoute{Name: name, Service: "stock", Priority: priority, Attempts: 3, SlackFactor: 1.6, Allowance: 60}
	}
	return []simKind{
		{route("short", 0), 0.245, 8, 51, 0.0291},
		{route("long", 2), 0.044, 4, 760, 0.16},
		{route("middle", 1), 0.711, 2, 170, 0.01},
	}
}

// A small share of the jobs takes several times as long as the others.
const (
	tailShare      = 0.03
	tailFactor     = 7
	meanTailFactor = 1 + tailShare*(tailFactor-1)
)

// simJob is a job with the real run times of its tasks in work, which only the workers know.
type simJob struct {
	kind      *simKind
	arrived   int64
	objective int64
	value     float64
	work      []float64
	// size is the work of all tasks in core-milliseconds.
	size float64
	// earned is the part of value that was achieved. inTime is set if that is all of it.
	earned float64
	inTime bool
	rack   string
}

// simResult is the result of a simulation. Completed jobs count as inTime, late if the
// answer came after the objective but was still useful, or tooLate. Jobs with any other
// answer count as refused, and as held if that took longer than promptRefusal. value is the
// total value of all jobs, earned the part of it that was achieved.
type simResult struct {
	jobs, inTime, late, tooLate, refused, held int
	value, earned                              float64
	// kinds holds the shares of jobs in time by the name of the kind. worstSecond is the
	// lowest value share of the jobs that arrived in the same second.
	kinds       map[string]simShares
	worstSecond float64
	// utilization is the mean share of the workers' processors in use during the load.
	utilization float64
}

// promptRefusal is the time in microseconds within which a refusal counts as immediate.
const promptRefusal = 10 * millisecond

// simShares holds the shares of jobs in time of all jobs of a kind, of its largest tenth, and
// of the fifth below that.
type simShares struct{ all, largest, large float64 }

// shares computes the results by kind and by second.
func (sim *simulation) shares() {
	byKind, value, earned := make(map[string][]*simJob), make(map[int64]float64), make(map[int64]float64)
	for _, j := range sim.jobs {
		byKind[j.kind.route.Name] = append(byKind[j.kind.route.Name], j)
		second := (j.arrived - warmup) / 1e6
		value[second] += j.value
		earned[second] += j.earned
	}
	sim.result.worstSecond = 1
	for second := range value {
		sim.result.worstSecond = min(sim.result.worstSecond, earned[second]/value[second])
	}
	sim.result.kinds = make(map[string]simShares)
	for name, jobs := range byKind {
		slices.SortFunc(jobs, func(a, b *simJob) int { return cmp.Compare(b.size, a.size) })
		n := len(jobs)
		sim.result.kinds[name] = simShares{shareInTime(jobs), shareInTime(jobs[:n/10]), shareInTime(jobs[n/10 : 3*n/10])}
	}
}

func shareInTime(jobs []*simJob) float64 {
	n := 0
	for _, j := range jobs {
		if j.inTime {
			n++
		}
	}
	return float64(n) / float64(max(1, len(jobs)))
}

func (r simResult) valueShare() float64 { return r.earned / r.value }

func (r simResult) String() string {
	n := float64(r.jobs)
	return fmt.Sprintf("value %.3f: in time %.3f, late %.3f, too late %.3f, refused %.3f, utilization %.3f",
		r.valueShare(), float64(r.inTime)/n, float64(r.late)/n, float64(r.tooLate)/n, float64(r.refused)/n, r.utilization)
}

// simConfig describes a deployment and its load.
type simConfig struct {
	seed             uint64
	entries, workers int
	// sessions is the number of entries to which each agent is connected, or 0 for all.
	sessions int
	seconds  float64
	// load is the offered work relative to the capacity, over time.
	load func(second float64) float64
	// slow returns the factor by which a worker is slowed down, over time. It may be nil.
	slow func(worker int, second float64) float64
	// burst returns the factor by which the arrivals of a kind are increased, over time. It
	// may be nil.
	burst func(kind string, second float64) float64
	// cores is the mean size of a task, in thousandths of a core, and widthSpread the spread
	// of the number of tasks of a job.
	cores, widthSpread float64
	// capacities and slowness are assigned to the workers in turn.
	capacities []int64
	slowness   func(worker int) float64
	// arrivals are the relative shares of the jobs that arrive at the entries, or nil if
	// they are equal.
	arrivals []float64
	// reportInterval is the shortest time between two load reports of an agent.
	reportInterval gypsumtide.Millis
	// racks describes the racks and the jobs that name one. It may be nil.
	racks *simRacks
}

// withDefaults returns the configuration with the values of the smaller deployment that the
// users have described, where none are set.
func (cfg simConfig) withDefaults() simConfig {
	if cfg.cores == 0 {
		cfg.cores, cfg.widthSpread, cfg.capacities = 1600, 0.4, []int64{16000, 16000, 24000}
		cfg.slowness = func(worker int) float64 { return []float64{1.25, 1, 0.8}[(worker/3)%3] }
	}
	if cfg.burst == nil {
		cfg.burst = func(string, float64) float64 { return 1 }
	}
	if cfg.arrivals == nil {
		cfg.arrivals = slices.Repeat([]float64{1}, cfg.entries)
	}
	return cfg
}

type simulation struct {
	cfg      simConfig
	now      int64
	queue    simQueue
	sequence int
	random   *rand.Rand
	kinds    []simKind
	entries  []*State
	agents   []*simAgent
	jobs     map[string]*simJob
	result   simResult
}

// simAgent is an agent and its worker.
type simAgent struct {
	sim   *simulation
	id    WorkerID
	state *runner.State
	// entries are the numbers of the entries to which the agent is connected.
	entries     []int
	slowness    float64
	capacity    int64
	running     map[gypsumtide.RunRef]*simRun
	ended       []gypsumtide.RunEnd
	renewal     *runner.RenewCall
	renewalSent gypsumtide.Millis
	renewalDue  int64
	reportedAt  gypsumtide.Millis
	loadChanged bool
	// processorTime is the time of the runs that ended during the load, multiplied by the
	// mean size of a task, in thousandths of a core times seconds.
	processorTime float64
}

type simRun struct{ startedAt, endsAt int64 }

func newSimulation(cfg simConfig) *simulation {
	cfg = cfg.withDefaults()
	sim := &simulation{cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 2)), kinds: simKinds(), jobs: make(map[string]*simJob)}
	for range cfg.entries {
		sim.entries = append(sim.entries, NewState(-10_000, "z", 1.5, testTiming, discardLogger{}))
	}
	for i := range cfg.workers {
		sim.addAgent(i, cfg.slowness(i), cfg.capacities[i%len(cfg.capacities)])
	}
	for i, e := range sim.entries {
		sim.every(10*millisecond, int64(i)*700, func() { sim.updateEntry(i, func(now gypsumtide.Millis) { e.Tick(now) }) })
	}
	for i, a := range sim.agents {
		sim.every(20*millisecond, int64(i)*300, func() { a.update(a.state.Tick) })
		sim.every(5*millisecond, int64(i)*400, a.broadcast)
	}
	sim.after(warmup, sim.generateLoad)
	return sim
}

func (sim *simulation) addAgent(i int, slowness float64, capacity int64) {
	a := &simAgent{
		sim: sim, id: workerID(i), slowness: slowness, capacity: capacity, running: make(map[gypsumtide.RunRef]*simRun),
		state: runner.NewState(runner.Timing{Lease: 1000, OwnerGrace: 400, MaxOwnerSilence: 900, MaxOwnerLag: 1 << 40, MaxEchoAge: 1 << 40, StopRetry: 80, SyncRetry: 10}, 1, discardLogger{}),
	}
	sim.agents = append(sim.agents, a)
	a.entries = sim.random.Perm(len(sim.entries))
	if sim.cfg.sessions > 0 {
		a.entries = a.entries[:sim.cfg.sessions]
	}
	for _, k := range a.entries {
		a.state.SessionOpened(runner.Owner(fmt.Sprint(k)))
		a.state.SessionResumed(0, runner.Owner(fmt.Sprint(k)))
		sim.entries[k].Connected(0, a.id, wire.Resume{Complete: true})
	}
	a.update(func(now gypsumtide.Millis) {
		a.state.Heartbeat(now, gypsumtide.WorkerInfo{
			Incarnation: incarnationOf(i), Service: "stock", Address: "w", Zone: "z", Capacity: gypsumtide.Size{Processors: capacity, Memory: 65536}, Labels: sim.cfg.racks.labels(i),
		})
	})
	a.loadChanged = true
}

func (sim *simulation) millis() gypsumtide.Millis { return gypsumtide.Millis(sim.now / millisecond) }
func (sim *simulation) second() float64           { return float64(sim.now) / 1e6 }

func (sim *simulation) after(delay int64, call func()) {
	sim.sequence++
	heap.Push(&sim.queue, simEvent{at: sim.now + delay, sequence: sim.sequence, call: call})
}

func (sim *simulation) every(interval, offset int64, call func()) {
	var again func()
	again = func() {
		call()
		sim.after(interval, again)
	}
	sim.after(offset, again)
}

// run simulates the load, and another 7.5 s in which the remaining jobs can end.
func (sim *simulation) run() simResult {
	end := int64((sim.cfg.seconds + 8) * 1e6)
	for len(sim.queue) > 0 && sim.queue[0].at < end {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.call()
	}
	capacity, processorTime := 0.0, 0.0
	for _, a := range sim.agents {
		capacity += float64(a.capacity) * sim.cfg.seconds
		processorTime += a.processorTime
	}
	sim.result.utilization = processorTime / capacity
	sim.shares()
	return sim.result
}

// generateLoad submits a job and schedules the next one.
func (sim *simulation) generateLoad() {
	if sim.now >= warmup+int64(sim.cfg.seconds*1e6) {
		return
	}
	capacity, meanWork := 0.0, 0.0
	for _, a := range sim.agents {
		capacity += float64(a.capacity) / 1000
	}
	second := sim.second() - warmup/1e6
	var shares []float64
	total := 0.0
	for _, k := range sim.kinds {
		meanWork += k.share * k.width * k.work * meanTailFactor / 1000 * sim.cfg.cores / 1000
		shares = append(shares, k.share*sim.cfg.burst(k.route.Name, second))
		total += shares[len(shares)-1]
	}
	rate := capacity * sim.cfg.load(second) / meanWork * total
	sim.after(int64(sim.random.ExpFloat64()/rate*1e6), sim.generateLoad)
	sim.submit(&sim.kinds[sim.pick(shares)])
}

// pick returns a random index with probabilities proportional to the shares.
func (sim *simulation) pick(shares []float64) int {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	x := sim.random.Float64() * total
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// logNormal draws a log-normal value with the given mean. spread is the standard deviation
// of its natural logarithm.
func (sim *simulation) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*sim.random.NormFloat64()-spread*spread/2)
}

// maxWidth is the largest number of tasks of a job relative to the mean of its kind.
const maxWidth = 4

func (sim *simulation) submit(kind *simKind) {
	base := sim.logNormal(kind.work, 0.4)
	if sim.random.Float64() < tailShare {
		base *= tailFactor
	}
	width := max(1, int(math.Round(min(maxWidth*kind.width, sim.logNormal(kind.width, sim.cfg.widthSpread)))))
	cpu := int64(sim.logNormal(sim.cfg.cores, 0.2))
	j := &simJob{kind: kind, arrived: sim.now}
	longest, total := 0.0, 0.0
	for range width {
		w := max(1, sim.logNormal(base, 0.15))
		j.work = append(j.work, w)
		longest = max(longest, w)
		total += w
	}
	j.objective = int64((1.6*longest + 60) * millisecond)
	j.size = total * float64(cpu) / 1000
	j.value = kind.value * (0.3 + 0.7*1000*j.size/(kind.width*kind.work*sim.cfg.cores))
	estimate := base * (1 + 0.4*(2*sim.random.Float64()-1))
	id := fmt.Sprintf("%016x", len(sim.jobs)+1)
	j.rack = sim.cfg.racks.choose(kind, sim.second()-warmup/1e6)
	sim.jobs[id] = j
	sim.result.jobs++
	sim.result.value += j.value
	n := sim.pick(sim.cfg.arrivals)
	sub := Submission{
		Job: gypsumtide.JobRequest{ID: id, Spec: "s", Steps: []gypsumtide.JobStep{{
			Tasks: width, Size: gypsumtide.Size{Processors: cpu, Memory: 64}, Estimate: gypsumtide.Millis(max(1, estimate)), Rack: j.rack,
		}}},
		Route: kind.route, Timeout: 1500 + gypsumtide.Millis(3*1.6*base),
	}
	sim.after(callerDelay, func() { sim.updateEntry(n, func(now gypsumtide.Millis) { sim.entries[n].Submit(now, sub) }) })
}

// updateEntry applies a change to the state of an entry and carries out its effects.
func (sim *simulation) updateEntry(n int, change func(now gypsumtide.Millis)) {
	change(sim.millis())
	e := sim.entries[n].TakeEffects()
	owner := runner.Owner(fmt.Sprint(n))
	for id, m := range e.Messages {
		a := sim.agents[agentNumber(id)]
		sim.after(linkDelay, func() {
			a.update(func(now gypsumtide.Millis) {
				for _, o := range m.Orders {
					a.state.Submit(now, owner, o, now)
				}
				for _, ref := range m.Stops {
					a.state.StopRun(now, ref)
				}
				for _, ref := range m.Recalls {
					a.state.Recall(ref)
				}
			})
		})
	}
	for id, answer := range e.Answers {
		sim.answered(sim.jobs[id], answer)
	}
}

func agentNumber(id WorkerID) int {
	var n int
	if _, err := fmt.Sscanf(id.Agent, "agent-%d", &n); err != nil {
		panic(err)
	}
	return n
}

func (sim *simulation) answered(j *simJob, a Answer) {
	took := sim.now + callerDelay - j.arrived
	sim.cfg.racks.record(j, a, took)
	switch {
	case a.Outcome != gypsumtide.OutcomeComplete:
		sim.result.refused++
		if took > promptRefusal {
			sim.result.held++
		}
	case took <= j.objective:
		sim.result.inTime++
		j.inTime = true
		j.earned = j.value
	case took <= lateFactor*j.objective:
		sim.result.late++
		j.earned = 0.2 * j.value
	default:
		sim.result.tooLate++
	}
	sim.result.earned += j.earned
}

// update applies a change to the state of the agent and carries out its effects.
func (a *simAgent) update(change func(now gypsumtide.Millis)) {
	change(a.sim.millis())
	e := a.state.TakeEffects()
	for _, c := range e.Starts {
		a.sim.after(workerDelay, func() { a.start(c) })
	}
	for _, c := range e.Stops {
		a.sim.after(workerDelay+stopDelay, func() { a.endRun(c.Ref, gypsumtide.EndStopped) })
	}
	if c := e.Sync; c != nil {
		a.sim.after(2*workerDelay, func() {
			a.update(func(now gypsumtide.Millis) { a.state.SyncAnswered(now, *c, a.answer(c.Request), nil) })
		})
	}
	for owner, reports := range e.Reports {
		a.sendReports(owner, reports)
	}
	a.loadChanged = a.loadChanged || len(e.Starts) > 0 || len(e.Reports) > 0
	if a.renewal == nil {
		if c, ok := a.state.NextRenewal(a.sim.millis(), 60); ok {
			a.renewal, a.renewalSent, a.renewalDue = &c, a.sim.millis(), a.sim.now+60*millisecond
			a.sim.after(60*millisecond, func() { a.answerRenewal(&c) })
		}
	}
}

func (a *simAgent) sendReports(owner runner.Owner, reports []wire.RunReport) {
	var n int
	if _, err := fmt.Sscan(string(owner), &n); err != nil {
		panic(err)
	}
	now := a.sim.millis()
	load, worker := a.state.LoadReport(now, owner), a.state.WorkerReport(now)
	a.sim.after(linkDelay, func() {
		a.sim.updateEntry(n, func(now gypsumtide.Millis) {
			for _, report := range reports {
				a.sim.entries[n].HandleReport(now, a.id, report)
			}
			a.sim.entries[n].UpdateWorker(now, a.id, worker)
			a.sim.entries[n].UpdateLoad(now, a.id, &load)
		})
	})
}

// broadcast sends the load to all entries if it has changed or the last report is old.
func (a *simAgent) broadcast() {
	if since := a.sim.millis() - a.reportedAt; since < a.sim.cfg.reportInterval || !a.loadChanged && since < 200 {
		return
	}
	a.loadChanged, a.reportedAt = false, a.sim.millis()
	for _, n := range a.entries {
		a.sendReports(runner.Owner(fmt.Sprint(n)), nil)
	}
}

func (a *simAgent) start(c runner.StartCall) {
	ref := c.Order.Ref
	j := a.sim.jobs[ref.Task.Job]
	factor := a.slowness
	if a.sim.cfg.slow != nil {
		factor *= a.sim.cfg.slow(agentNumber(a.id), a.sim.second())
	}
	factor *= a.sim.cfg.racks.factor(agentNumber(a.id), j)
	took := int64(j.work[ref.Task.Index] * factor * millisecond)
	a.running[ref] = &simRun{startedAt: a.sim.now, endsAt: a.sim.now + took}
	a.sim.after(took, func() { a.endRun(ref, gypsumtide.EndDone) })
	a.sim.after(workerDelay, func() {
		a.update(func(now gypsumtide.Millis) { a.state.StartAnswered(now, c, now, nil) })
	})
}

func (a *simAgent) endRun(ref gypsumtide.RunRef, kind gypsumtide.EndKind) {
	run, ok := a.running[ref]
	if !ok || kind == gypsumtide.EndDone && a.sim.now != run.endsAt {
		return
	}
	delete(a.running, ref)
	if a.sim.now < warmup+int64(a.sim.cfg.seconds*1e6) {
		a.processorTime += float64(a.sim.now-run.startedAt) / 1e6 * a.sim.cfg.cores
	}
	a.ended = append(a.ended, gypsumtide.RunEnd{Number: uint64(len(a.ended) + 1), Ref: ref, Kind: kind})
	if c := a.renewal; c != nil {
		a.sim.after(workerDelay, func() { a.answerRenewal(c) })
	}
}

func (a *simAgent) answer(q gypsumtide.RenewRequest) gypsumtide.RenewResponse {
	answer := gypsumtide.RenewResponse{StartTime: 1, Clock: a.sim.millis() + 1, Ended: a.ended[min(int(q.Acknowledged), len(a.ended)):]}
	for ref, run := range a.running {
		percent := 100 * (a.sim.now - run.startedAt) / max(1, run.endsAt-run.startedAt)
		answer.Running = append(answer.Running, gypsumtide.RunProgress{Ref: ref, Percent: int(min(99, percent))})
	}
	return answer
}

func (a *simAgent) answerRenewal(c *runner.RenewCall) {
	if a.renewal != c {
		return
	}
	a.renewal = nil
	a.update(func(now gypsumtide.Millis) { a.state.RenewAnswered(now, a.renewalSent, *c, a.answer(c.Request), nil) })
}

func constantLoad(load float64) func(float64) float64 { return func(float64) float64 { return load } }
