package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// The replay runs the decisions of entries and agents against simulated workers
// and a simulated network, so that a load pattern can be played again without
// processes. Times are in microseconds where a millisecond is too coarse.

// Delays of the replayed deployment, in microseconds.
const (
	delayLink   = 1000
	delayWorker = 300
	delayStop   = 10_000
	delayCaller = 1000
	millisecond = 1000
	// startUp lets the first reports arrive before the load.
	startUp = 500 * millisecond
)

// replayEvent is a call at a time.
type replayEvent struct {
	at    int64
	order int
	call  func()
}

type replayQueue []replayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// replayKind is a kind of job, as the users' sheets describe it.
type replayKind struct {
	route gypsumtide.QueueRoute
	// share of the jobs, mean number of tasks, mean run time in ms, worth of a mean job.
	share, width, work, worth float64
}

func replayKinds() []replayKind {
	route := func(name string, priority int) gypsumtide.QueueRoute {
		return gypsumtide.QueueRoute{Name: name, Service: "stock", Priority: priority, Attempts: 3, SlackFactor: 1.6, Allowance: 60}
	}
	return []replayKind{
		{route("short", 0), 0.245, 8, 51, 0.0291},
		{route("long", 2), 0.044, 4, 760, 0.16},
		{route("middle", 1), 0.711, 2, 170, 0.01},
	}
}

// A share of the jobs takes several times as long as the others.
const (
	tailShare  = 0.03
	tailFactor = 7
	meanTail   = 1 + tailShare*(tailFactor-1)
)

// replayJob is a job with the run times that only the workers know.
type replayJob struct {
	kind      *replayKind
	arrived   int64
	objective int64
	worth     float64
	work      []float64
}

// replayResult sums up a replay.
type replayResult struct {
	jobs, inTime, late, useless, refused int
	worth, earned                        float64
	// used is the share of the workers' processors in use after the start-up.
	used float64
}

func (r replayResult) share() float64 { return r.earned / r.worth }

func (r replayResult) String() string {
	n := float64(r.jobs)
	return fmt.Sprintf("worth %.3f: in time %.3f, late %.3f, useless %.3f, refused %.3f, used %.3f",
		r.share(), float64(r.inTime)/n, float64(r.late)/n, float64(r.useless)/n, float64(r.refused)/n, r.used)
}

// replayConfig is a deployment and its load.
type replayConfig struct {
	seed             uint64
	entries, workers int
	seconds          float64
	// load is the offered work relative to the capacity, over time.
	load func(second float64) float64
	// slow gives the factor of a worker's run times over time. It may be nil.
	slow func(worker int, second float64) float64
}

type replay struct {
	cfg     replayConfig
	now     int64
	queue   replayQueue
	order   int
	random  *rand.Rand
	kinds   []replayKind
	entries []*State
	agents  []*replayAgent
	jobs    map[string]*replayJob
	result  replayResult
}

// replayAgent is an agent with its worker.
type replayAgent struct {
	r        *replay
	id       WorkerID
	state    *runner.State
	speed    float64
	capacity int64
	running  map[gypsumtide.RunRef]*replayRun
	ended    []gypsumtide.RunEnd
	hold     *runner.HoldCall
	holdSent gypsumtide.Millis
	holdDue  int64
	reported gypsumtide.Millis
	dirty    bool
	busy     float64
}

type replayRun struct{ began, ends int64 }

func newReplay(cfg replayConfig) *replay {
	r := &replay{cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 2)), kinds: replayKinds(), jobs: make(map[string]*replayJob)}
	for range cfg.entries {
		r.entries = append(r.entries, NewState(-10_000, "z", 1.5, testTiming, silent{}))
	}
	for i := range cfg.workers {
		size := []int64{16000, 16000, 24000}[i%3]
		speed := []float64{1.25, 1, 0.8}[(i/3)%3]
		r.addAgent(i, speed, size)
	}
	for i, e := range r.entries {
		r.every(10*millisecond, int64(i)*700, func() { r.entry(i, func(now gypsumtide.Millis) { e.Tick(now) }) })
	}
	for i, a := range r.agents {
		r.every(20*millisecond, int64(i)*300, func() { a.step(a.state.Tick) })
		r.every(5*millisecond, int64(i)*400, a.broadcast)
	}
	r.after(startUp, r.arrive)
	return r
}

func (r *replay) addAgent(i int, speed float64, capacity int64) {
	a := &replayAgent{
		r: r, id: workerID(i), speed: speed, capacity: capacity, running: make(map[gypsumtide.RunRef]*replayRun),
		state: runner.NewState(runner.Timing{Lease: 1000, OwnerGrace: 400, Credit: 1 << 40, StopRetry: 80, SyncRetry: 10}, 1, silent{}),
	}
	r.agents = append(r.agents, a)
	for k, e := range r.entries {
		a.state.Attach(runner.Owner(fmt.Sprint(k)))
		a.state.Resumed(0, runner.Owner(fmt.Sprint(k)))
		e.Connected(0, a.id, wire.Resume{Complete: true})
	}
	a.step(func(now gypsumtide.Millis) {
		a.state.Heartbeat(now, gypsumtide.WorkerInfo{
			Incarnation: lifeOf(i), Service: "stock", Address: "w", Zone: "z", Capacity: gypsumtide.Size{Processors: capacity, Memory: 65536},
		})
	})
	a.dirty = true
}

func (r *replay) millis() gypsumtide.Millis { return gypsumtide.Millis(r.now / millisecond) }
func (r *replay) second() float64           { return float64(r.now) / 1e6 }

func (r *replay) after(delay int64, call func()) {
	r.order++
	heap.Push(&r.queue, replayEvent{at: r.now + delay, order: r.order, call: call})
}

func (r *replay) every(interval, offset int64, call func()) {
	var again func()
	again = func() {
		call()
		r.after(interval, again)
	}
	r.after(offset, again)
}

// run plays until all answers of the load are there.
func (r *replay) run() replayResult {
	end := int64((r.cfg.seconds + 8) * 1e6)
	for len(r.queue) > 0 && r.queue[0].at < end {
		e := heap.Pop(&r.queue).(replayEvent)
		r.now = e.at
		e.call()
	}
	capacity, busy := 0.0, 0.0
	for _, a := range r.agents {
		capacity += float64(a.capacity) * r.cfg.seconds
		busy += a.busy
	}
	r.result.used = busy / capacity
	return r.result
}

// arrive submits a job and plans the next one.
func (r *replay) arrive() {
	if r.now >= startUp+int64(r.cfg.seconds*1e6) {
		return
	}
	capacity, mean := 0.0, 0.0
	for _, a := range r.agents {
		capacity += float64(a.capacity) / 1000
	}
	for _, k := range r.kinds {
		mean += k.share * k.width * k.work * meanTail / 1000 * 1.6
	}
	rate := capacity * r.cfg.load(r.second()-startUp/1e6) / mean
	r.after(int64(r.random.ExpFloat64()/rate*1e6), r.arrive)
	r.submit()
}

// logNormal draws a value with the given mean and relative spread.
func (r *replay) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
}

func (r *replay) submit() {
	kind, x := &r.kinds[0], r.random.Float64()
	for i := range r.kinds {
		if kind = &r.kinds[i]; x < kind.share {
			break
		}
		x -= kind.share
	}
	base := r.logNormal(kind.work, 0.4)
	if r.random.Float64() < tailShare {
		base *= tailFactor
	}
	width := max(1, int(math.Round(r.logNormal(kind.width, 0.4))))
	cpu := int64(r.logNormal(1600, 0.2))
	j := &replayJob{kind: kind, arrived: r.now}
	longest, total := 0.0, 0.0
	for range width {
		w := max(1, r.logNormal(base, 0.15))
		j.work = append(j.work, w)
		longest = max(longest, w)
		total += w
	}
	j.objective = int64((1.6*longest + 60) * millisecond)
	j.worth = kind.worth * (0.3 + 0.7*total*float64(cpu)/(kind.width*kind.work*1600))
	estimate := base * (1 + 0.4*(2*r.random.Float64()-1))
	id := fmt.Sprintf("%016x", len(r.jobs)+1)
	r.jobs[id] = j
	r.result.jobs++
	r.result.worth += j.worth
	n := r.random.IntN(len(r.entries))
	sub := Submission{
		Job: gypsumtide.JobRequest{ID: id, Spec: "s", Steps: []gypsumtide.JobStep{{
			Tasks: width, Size: gypsumtide.Size{Processors: cpu, Memory: 64}, Estimate: gypsumtide.Millis(max(1, estimate)),
		}}},
		Route: kind.route, Timeout: 1500 + gypsumtide.Millis(3*1.6*base),
	}
	r.after(delayCaller, func() { r.entry(n, func(now gypsumtide.Millis) { r.entries[n].Submit(now, sub) }) })
}

// entry changes the state of an entry and carries out what the change asks for.
func (r *replay) entry(n int, change func(now gypsumtide.Millis)) {
	change(r.millis())
	e := r.entries[n].Take()
	owner := runner.Owner(fmt.Sprint(n))
	for id, m := range e.Messages {
		a := r.agents[agentNumber(id)]
		r.after(delayLink, func() {
			a.step(func(now gypsumtide.Millis) {
				for _, o := range m.Orders {
					a.state.Submit(now, owner, o)
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
		r.answered(r.jobs[id], answer)
	}
}

func agentNumber(id WorkerID) int {
	var n int
	if _, err := fmt.Sscanf(id.Agent, "agent-%d", &n); err != nil {
		panic(err)
	}
	return n
}

func (r *replay) answered(j *replayJob, a Answer) {
	took := r.now + delayCaller - j.arrived
	switch {
	case a.Outcome != gypsumtide.OutcomeComplete:
		r.result.refused++
	case took <= j.objective:
		r.result.inTime++
		r.result.earned += j.worth
	case took <= lateFactor*j.objective:
		r.result.late++
		r.result.earned += 0.2 * j.worth
	default:
		r.result.useless++
	}
}

// step changes the state of the agent and carries out what the change asks for.
func (a *replayAgent) step(change func(now gypsumtide.Millis)) {
	change(a.r.millis())
	e := a.state.Take()
	for _, c := range e.Starts {
		a.r.after(delayWorker, func() { a.start(c) })
	}
	for _, c := range e.Stops {
		a.r.after(delayWorker+delayStop, func() { a.end(c.Ref, gypsumtide.EndStopped) })
	}
	if c := e.Sync; c != nil {
		a.r.after(2*delayWorker, func() {
			a.step(func(now gypsumtide.Millis) { a.state.SyncAnswered(now, *c, a.answer(c.Request), nil) })
		})
	}
	for owner, reports := range e.Reports {
		a.tell(owner, reports)
	}
	a.dirty = a.dirty || len(e.Starts) > 0 || len(e.Reports) > 0
	if a.hold == nil {
		if c, ok := a.state.NextHold(a.r.millis(), 60); ok {
			a.hold, a.holdSent, a.holdDue = &c, a.r.millis(), a.r.now+60*millisecond
			a.r.after(60*millisecond, func() { a.answerHold(&c) })
		}
	}
}

func (a *replayAgent) tell(owner runner.Owner, reports []wire.RunReport) {
	var n int
	if _, err := fmt.Sscan(string(owner), &n); err != nil {
		panic(err)
	}
	now := a.r.millis()
	load, worker := a.state.Load(now, owner), a.state.Report(now)
	a.r.after(delayLink, func() {
		a.r.entry(n, func(now gypsumtide.Millis) {
			for _, report := range reports {
				a.r.entries[n].Report(now, a.id, report)
			}
			a.r.entries[n].Observe(now, a.id, worker)
			a.r.entries[n].ObserveLoad(now, a.id, &load)
		})
	})
}

func (a *replayAgent) broadcast() {
	if !a.dirty && a.r.millis()-a.reported < 200 {
		return
	}
	a.dirty, a.reported = false, a.r.millis()
	for n := range a.r.entries {
		a.tell(runner.Owner(fmt.Sprint(n)), nil)
	}
}

func (a *replayAgent) start(c runner.StartCall) {
	ref := c.Order.Ref
	j := a.r.jobs[ref.Task.Job]
	factor := a.speed
	if a.r.cfg.slow != nil {
		factor *= a.r.cfg.slow(agentNumber(a.id), a.r.second())
	}
	took := int64(j.work[ref.Task.Index] * factor * millisecond)
	a.running[ref] = &replayRun{began: a.r.now, ends: a.r.now + took}
	a.r.after(took, func() { a.end(ref, gypsumtide.EndDone) })
	a.r.after(delayWorker, func() {
		a.step(func(now gypsumtide.Millis) { a.state.StartAnswered(now, c, now, nil) })
	})
}

func (a *replayAgent) end(ref gypsumtide.RunRef, kind gypsumtide.EndKind) {
	run, ok := a.running[ref]
	if !ok || kind == gypsumtide.EndDone && a.r.now != run.ends {
		return
	}
	delete(a.running, ref)
	if a.r.now < startUp+int64(a.r.cfg.seconds*1e6) {
		a.busy += float64(a.r.now-run.began) / 1e6 * 1600
	}
	a.ended = append(a.ended, gypsumtide.RunEnd{Number: uint64(len(a.ended) + 1), Ref: ref, Kind: kind})
	if c := a.hold; c != nil {
		a.r.after(delayWorker, func() { a.answerHold(c) })
	}
}

func (a *replayAgent) answer(q gypsumtide.RenewRequest) gypsumtide.RenewResponse {
	answer := gypsumtide.RenewResponse{StartTime: 1, Clock: a.r.millis() + 1, Ended: a.ended[min(int(q.Acknowledged), len(a.ended)):]}
	for ref, run := range a.running {
		percent := 100 * (a.r.now - run.began) / max(1, run.ends-run.began)
		answer.Running = append(answer.Running, gypsumtide.RunProgress{Ref: ref, Percent: int(min(99, percent))})
	}
	return answer
}

func (a *replayAgent) answerHold(c *runner.HoldCall) {
	if a.hold != c {
		return
	}
	a.hold = nil
	a.step(func(now gypsumtide.Millis) { a.state.HoldAnswered(now, a.holdSent, *c, a.answer(c.Request), nil) })
}

func constant(load float64) func(float64) float64 { return func(float64) float64 { return load } }
