package limit

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/queue"
)

// overloadModel simulates one home with 88 slots, jobs of 1 to 69 tasks and
// deadlines of 1 to 5 s. A refused caller retries once after its Retry-After.
type overloadModel struct {
	rng       *rand.Rand
	teams     int
	queue     gypsumtide.Queue
	estimator *queue.RunTimeEstimator
	admission *Admission
	now       gypsumtide.Millis
	free      int
	// ends and retries hold the running tasks by the time at which they end, and the
	// refused jobs by the time at which they are submitted again.
	ends    map[gypsumtide.Millis][]overloadTask
	retries map[gypsumtide.Millis][]*overloadJob
	jobs    map[gypsumtide.SubmissionID]*overloadJob
	seq     uint64
	// answered, offered and refused count tasks between measureFrom and measureTo.
	answered, offered, refused float64
}

type overloadJob struct {
	tasks, left         int
	timeLimit, deadline gypsumtide.Millis
	retried, failed     bool
}

type overloadTask struct {
	id  gypsumtide.SubmissionID
	run gypsumtide.Millis
}

const (
	overloadSlots       = 88
	overloadMeanRunTime = 250
	measureFrom         = gypsumtide.Millis(10_000)
	measureTo           = gypsumtide.Millis(30_000)
)

// runOverload runs the model at 0.7 times its capacity until measureFrom, and then at
// loadFactor times. It returns the tasks of jobs answered within their deadline as a
// fraction of what the slots can serve.
func runOverload(loadFactor float64, teams int, admission *Admission, seed uint64) (service float64, m *overloadModel) {
	q, _ := queue.New(queue.Fair)
	m = &overloadModel{
		teams: teams, rng: rand.New(rand.NewPCG(seed, 0)), queue: q, estimator: queue.NewRunTimeEstimator(queue.RunTimeEstimatorOptions{}),
		admission: admission, free: overloadSlots, jobs: map[gypsumtide.SubmissionID]*overloadJob{},
		ends: map[gypsumtide.Millis][]overloadTask{}, retries: map[gypsumtide.Millis][]*overloadJob{},
	}
	for m.now = 1; m.now <= measureTo; m.now++ {
		if m.now < measureFrom {
			m.step(0.7)
		} else {
			m.step(loadFactor)
		}
	}
	return m.answered * overloadMeanRunTime / (overloadSlots * float64(measureTo-measureFrom)), m
}

// step simulates one millisecond with new jobs at a multiple of the capacity.
func (m *overloadModel) step(load float64) {
	const meanTasks = 14.0
	rate := load * overloadSlots / overloadMeanRunTime / meanTasks
	for m.rng.Float64() < rate/(1+rate) {
		tasks := 1 + m.rng.IntN(10)
		if m.rng.IntN(4) == 0 {
			tasks = 10 + m.rng.IntN(60)
		}
		m.submit(&overloadJob{tasks: tasks, timeLimit: gypsumtide.Millis(1000 + m.rng.IntN(4000))})
	}
	for _, j := range m.retries[m.now] {
		m.submit(j)
	}
	m.end()
	for _, t := range m.queue.RemoveExpired(m.now) {
		m.jobs[t.Submission()].failed = true
	}
	for t := m.pop(); t != nil; t = m.pop() {
		run := gypsumtide.Millis(50 + m.rng.ExpFloat64()*(overloadMeanRunTime-50))
		m.free--
		m.ends[m.now+run] = append(m.ends[m.now+run], overloadTask{id: t.Submission(), run: run})
	}
}

func (m *overloadModel) pop() *gypsumtide.Task {
	return m.queue.Pop(m.now, func(*gypsumtide.Task) bool { return m.free > 0 })
}

func (m *overloadModel) submit(j *overloadJob) {
	team := fmt.Sprint(m.rng.IntN(m.teams))
	j.left, j.deadline = j.tasks, m.now+j.timeLimit
	if m.now >= measureFrom {
		m.offered += float64(j.tasks)
	}
	if m.admission != nil {
		decision := m.admission.Admit(AdmissionRequest{
			Tasks: j.tasks, Backlog: m.queue.(queue.BacklogReporter).Backlog(team, gypsumtide.ClassShort, m.now),
			SlowestRunTime: func(n int) gypsumtide.Millis { return m.estimator.Slowest("check", n) },
			MeanRunTime:    m.estimator.Mean("check"), Slots: overloadSlots, FreeSlots: m.free, Deadline: j.deadline,
		}, m.now)
		if !decision.Admitted() {
			if m.now >= measureFrom {
				m.refused += float64(j.tasks)
			}
			if at := m.now + decision.RetryAfter(); !j.retried {
				j.retried = true
				m.retries[at] = append(m.retries[at], j)
			}
			return
		}
	}
	m.seq++
	var id gypsumtide.SubmissionID
	binary.BigEndian.PutUint64(id[:], m.seq)
	m.jobs[id] = j
	for i := range j.tasks {
		m.queue.Push(gypsumtide.NewTask(id, uint32(i), "check", team, j.tasks, j.deadline))
	}
}

// end frees the slots of the tasks that end now.
func (m *overloadModel) end() {
	for _, t := range m.ends[m.now] {
		m.free++
		m.estimator.Observe("check", "worker", t.run)
		j := m.jobs[t.id]
		if m.now > j.deadline {
			j.failed = true
			m.queue.Remove(t.id)
		}
		if j.left--; j.left == 0 && !j.failed && m.now >= measureFrom {
			m.answered += float64(j.tasks)
		}
	}
	if m.admission != nil {
		m.admission.RecordCompleted(len(m.ends[m.now]), m.queue.Len(), m.now)
	}
}

// Guards against admission that refuses too many jobs, or admits jobs that miss
// their deadline and waste slots. At 3 and 10 times capacity, at least 0.95 of
// what the slots can serve must be answered within the deadline; below capacity,
// few jobs may be refused.
func TestServiceUnderOverload(t *testing.T) {
	Convey("Service under overload", t, func() {
		for _, tt := range []struct {
			loadFactor float64
			teams      int
			minService float64
			maxRefused float64
		}{{0.7, 8, 0, 0.05}, {3, 1, 0.95, 1}, {3, 8, 0.95, 1}, {10, 1, 0.95, 1}, {10, 8, 0.95, 1}} {
			refused := 0.0
			for seed := range uint64(4) {
				service, m := runOverload(tt.loadFactor, tt.teams, NewAdmission(AdmissionOptions{Seed: 1}), seed)
				So(service, ShouldBeGreaterThanOrEqualTo, tt.minService)
				refused += m.refused / m.offered / 4
			}
			So(refused, ShouldBeLessThanOrEqualTo, tt.maxRefused)
		}
	})
}

// Guards against refusals while slots are idle, against admitted jobs that cannot
// end in time, against small jobs that make larger admitted jobs miss their
// deadlines, and against a team refused because of another team's backlog.
func TestAdmit(t *testing.T) {
	backlog := func(share float64, total int, ranges ...queue.SizeRange) queue.Backlog {
		return queue.Backlog{Ranges: ranges, Share: share, Total: total}
	}
	tests := []struct {
		name     string
		tasks    int
		free     int
		deadline gypsumtide.Millis
		backlog  queue.Backlog
		reason   string
	}{
		{"idle pool", 60, 88, 700, backlog(1, 0), ""},
		{"batch on an idle pool", 1200, 88, 5000, backlog(1, 0), ""},
		{"batch that cannot end", 1200, 88, 3000, backlog(1, 0), "the predicted wait and run time exceed the time left"},
		{"less time than a mean run", 1, 88, 200, backlog(1, 0), "the mean run time exceeds the time left"},
		{"slowest task too slow", 1, 0, 500, backlog(1, 200, queue.SizeRange{MinSize: 10, Tasks: 200}), "the predicted wait and run time exceed the time left"},
		{"ahead of a batch with a late deadline", 10, 0, 2000, backlog(1, 1200, queue.SizeRange{MinSize: 1200, Tasks: 1200, Deadline: 9000}), ""},
		{"ahead of a batch with a near deadline", 10, 0, 2000, backlog(1, 1200, queue.SizeRange{MinSize: 1200, Tasks: 1200, Deadline: 4020}), "admitted jobs would miss their deadlines"},
		{"ahead of a batch that is late in any case", 10, 0, 2000, backlog(1, 1200, queue.SizeRange{MinSize: 1200, Tasks: 1200, Deadline: 1000}), ""},
		{"behind small jobs", 60, 0, 2000, backlog(1, 300, queue.SizeRange{MinSize: 1, Tasks: 300}), "the predicted wait and run time exceed the time left"},
		{"team without a backlog beside a busy one", 10, 0, 2000, backlog(0.5, 5000), ""},
	}
	Convey("Admit", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				a := NewAdmission(AdmissionOptions{Seed: 1})
				decision := a.Admit(AdmissionRequest{
					Tasks: tt.tasks, Backlog: tt.backlog, Slots: 88, FreeSlots: tt.free, Deadline: tt.deadline, MeanRunTime: 250,
					SlowestRunTime: func(int) gypsumtide.Millis { return 600 },
				}, 0)
				So(decision.Reason(), ShouldEqual, tt.reason)
				So(decision.Admitted(), ShouldEqual, tt.reason == "")
				if !decision.Admitted() {
					So(decision.RetryAfter(), ShouldBeBetweenOrEqual, defaultMinRetryAfter, 2*defaultMaxRetryAfter)
				}
			})
		}
	})
}

// Guards against a service rate measured while no task waits, which would be the
// demand, and against an old rate that is used after agents have joined or left.
func TestMeasuredRate(t *testing.T) {
	Convey("The rate is measured only while tasks wait, and expires", t, func() {
		a := NewAdmission(AdmissionOptions{})
		for now := gypsumtide.Millis(1); now <= 3000; now++ {
			a.RecordCompleted(1, 0, now)
		}
		So(a.ServiceRate(), ShouldEqual, 0)
		for now := gypsumtide.Millis(3001); now <= 6000; now++ {
			a.RecordCompleted(1, 10, now)
		}
		So(a.ServiceRate(), ShouldAlmostEqual, 1000, 1)
		req := AdmissionRequest{Slots: 88, MeanRunTime: 250}
		So(a.rateFor(req, 6000), ShouldAlmostEqual, 1, 0.01)
		So(a.rateFor(req, 20_000), ShouldAlmostEqual, 0.352, 0.001)
	})
}

// Measures the service under overload with and without admission.
func BenchmarkOverload(b *testing.B) {
	for _, loadFactor := range []float64{0.7, 1, 1.5, 3, 10} {
		for _, teams := range []int{1, 8} {
			for name, create := range map[string]func() *Admission{
				"none": func() *Admission { return nil }, "deadline": func() *Admission { return NewAdmission(AdmissionOptions{Seed: 1}) },
			} {
				b.Run(fmt.Sprintf("times=%v/teams=%d/%s", loadFactor, teams, name), func(b *testing.B) {
					sum, refused := 0.0, 0.0
					for seed := range b.N {
						service, m := runOverload(loadFactor, teams, create(), uint64(seed))
						sum, refused = sum+service, refused+m.refused/m.offered
					}
					b.ReportMetric(sum/float64(b.N), "service")
					b.ReportMetric(100*refused/float64(b.N), "%refused")
				})
			}
		}
	}
}
