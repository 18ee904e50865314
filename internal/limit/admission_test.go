package limit

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/queue"
)

// crestModel is one home with 88 slots, jobs of 1 to 69 tasks and
// deadlines of 1 to 5 s. Refused callers come back once after their Retry-After.
type crestModel struct {
	rng       *rand.Rand
	teams     int
	queue     gypsumtide.Queue
	learner   *queue.Learner
	admission *Admission
	now       gypsumtide.Millis
	free      int
	running   endHeap
	jobs      map[gypsumtide.SubmissionID]*crestJob
	returns   map[gypsumtide.Millis][]*crestJob
	seq       uint64
	// answered, offered and refused count tasks in the crest.
	answered, offered, refused float64
}

type crestJob struct {
	tasks    int
	left     int
	budget   gypsumtide.Millis
	deadline gypsumtide.Millis
	retried  bool
	failed   bool
}

type ending struct {
	at   gypsumtide.Millis
	run  gypsumtide.Millis
	task *gypsumtide.Task
}

type endHeap []ending

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	crestSlots   = 88
	crestMeanRun = 250
	crestFrom    = gypsumtide.Millis(10_000)
	crestTo      = gypsumtide.Millis(30_000)
)

// runCrest returns the tasks of jobs answered within their deadline during the
// crest, as a part of what the slots can serve.
func runCrest(times float64, teams int, admission *Admission, seed uint64) (service float64, m *crestModel) {
	q, _ := queue.New(queue.Fair)
	m = &crestModel{
		teams: teams, rng: rand.New(rand.NewPCG(seed, 0)), queue: q, learner: queue.NewLearner(queue.LearnerOptions{}), admission: admission,
		free: crestSlots, jobs: map[gypsumtide.SubmissionID]*crestJob{}, returns: map[gypsumtide.Millis][]*crestJob{},
	}
	for m.now < crestTo {
		load := 0.7
		if m.now >= crestFrom {
			load = times
		}
		m.step(load)
	}
	return m.answered * crestMeanRun / (crestSlots * float64(crestTo-crestFrom)), m
}

func (m *crestModel) step(load float64) {
	m.now++
	const meanTasks = 14.0
	rate := load * crestSlots / crestMeanRun / meanTasks
	for m.rng.Float64() < rate/(1+rate) {
		tasks := 1 + m.rng.IntN(10)
		if m.rng.IntN(4) == 0 {
			tasks = 10 + m.rng.IntN(60)
		}
		m.submit(&crestJob{tasks: tasks, budget: gypsumtide.Millis(1000 + m.rng.IntN(4000))})
	}
	for _, j := range m.returns[m.now] {
		m.submit(j)
	}
	delete(m.returns, m.now)
	m.end()
	for _, t := range m.queue.Expired(m.now) {
		m.fail(t)
	}
	for m.free > 0 {
		t := m.queue.Pop(m.now, func(*gypsumtide.Task) bool { return true })
		if t == nil {
			break
		}
		run := gypsumtide.Millis(50 + m.rng.ExpFloat64()*(crestMeanRun-50))
		m.free--
		heap.Push(&m.running, ending{at: m.now + run, run: run, task: t})
	}
}

func (m *crestModel) submit(j *crestJob) {
	team := fmt.Sprint(m.rng.IntN(m.teams))
	j.deadline = m.now + j.budget
	if m.now >= crestFrom {
		m.offered += float64(j.tasks)
	}
	if m.admission != nil {
		f := Forecast{
			Tasks: j.tasks, Backlog: m.queue.(queue.Backlogger).Backlog(team, gypsumtide.ClassShort, m.now),
			Slowest:     func(n int) gypsumtide.Millis { return m.learner.Slowest("check", n) },
			MeanRunTime: m.learner.Mean("check"), Slots: crestSlots, Free: m.free, Deadline: j.deadline,
		}
		if v := m.admission.Admit(f, m.now); !v.Admit() {
			if m.now >= crestFrom {
				m.refused += float64(j.tasks)
			}
			if !j.retried {
				j.retried = true
				m.returns[m.now+v.RetryAfter()] = append(m.returns[m.now+v.RetryAfter()], j)
			}
			return
		}
	}
	m.seq++
	var id gypsumtide.SubmissionID
	binary.BigEndian.PutUint64(id[:], m.seq)
	j.left = j.tasks
	m.jobs[id] = j
	for i := range j.tasks {
		t := gypsumtide.NewTask(id, uint32(i), "check", team, j.tasks, j.deadline)
		t.SetQueued(m.now)
		m.queue.Push(t)
	}
}

func (m *crestModel) end() {
	ended := 0
	for len(m.running) > 0 && m.running[0].at <= m.now {
		e := heap.Pop(&m.running).(ending)
		ended++
		m.free++
		m.learner.Observe("check", "worker", e.run)
		j := m.jobs[e.task.Submission()]
		if m.now > j.deadline {
			m.fail(e.task)
		}
		if j.left--; j.left == 0 && !j.failed && m.now >= crestFrom {
			m.answered += float64(j.tasks)
		}
	}
	if m.admission != nil {
		m.admission.Served(ended, m.queue.Len(), m.now)
	}
}

// fail ends a job: its waiting tasks leave the queue.
func (m *crestModel) fail(t *gypsumtide.Task) {
	j := m.jobs[t.Submission()]
	m.queue.Remove(t.Submission())
	j.failed = true
}

// Guards against admission that refuses too much or lets jobs in that waste
// slots: at 3 and 10 times capacity at least 0.95 of what the slots can serve
// must be answered within its deadline, and below capacity few jobs refused.
func TestCrestService(t *testing.T) {
	Convey("Crest service", t, func() {
		for _, tt := range []struct {
			times   float64
			teams   int
			service float64
			refused float64
		}{{0.7, 8, 0, 0.05}, {3, 1, 0.95, 1}, {3, 8, 0.95, 1}, {10, 1, 0.95, 1}, {10, 8, 0.95, 1}} {
			refused := 0.0
			for seed := range uint64(4) {
				service, m := runCrest(tt.times, tt.teams, NewAdmission(AdmissionOptions{Seed: 1}), seed)
				So(service, ShouldBeGreaterThanOrEqualTo, tt.service)
				refused += m.refused / m.offered / 4
			}
			So(refused, ShouldBeLessThanOrEqualTo, tt.refused)
		}
	})
}

// Guards against refusals while slots are idle, jobs that cannot end in time,
// small jobs that break the promise to larger ones, and a quiet team that is
// refused because of another team's backlog.
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
		{"idle", 60, 88, 700, backlog(1, 0), ""},
		{"batch on an idle pool", 1200, 88, 5000, backlog(1, 0), ""},
		{"batch that cannot end", 1200, 88, 3000, backlog(1, 0), "the predicted wait and run time exceed the time left"},
		{"no time", 1, 88, 200, backlog(1, 0), "the mean run time exceeds the time left"},
		{"slowest too slow", 1, 0, 500, backlog(1, 200, queue.SizeRange{Size: 10, Tasks: 200}), "the predicted wait and run time exceed the time left"},
		{"before a batch with time", 10, 0, 2000, backlog(1, 1200, queue.SizeRange{Size: 1200, Tasks: 1200, Deadline: 9000}), ""},
		{"before a batch without time", 10, 0, 2000, backlog(1, 1200, queue.SizeRange{Size: 1200, Tasks: 1200, Deadline: 4020}), "admitted jobs would miss their deadlines"},
		{"before a batch that is late in any case", 10, 0, 2000, backlog(1, 1200, queue.SizeRange{Size: 1200, Tasks: 1200, Deadline: 1000}), ""},
		{"behind small jobs", 60, 0, 2000, backlog(1, 300, queue.SizeRange{Size: 1, Tasks: 300}), "the predicted wait and run time exceed the time left"},
		{"quiet team beside a backlog", 10, 0, 2000, backlog(0.5, 5000), ""},
	}
	Convey("Admit", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				a := NewAdmission(AdmissionOptions{Seed: 1})
				v := a.Admit(Forecast{
					Tasks: tt.tasks, Backlog: tt.backlog, Slots: 88, Free: tt.free, Deadline: tt.deadline, MeanRunTime: 250,
					Slowest: func(int) gypsumtide.Millis { return 600 },
				}, 0)
				So(v.Reason(), ShouldEqual, tt.reason)
				So(v.Admit(), ShouldEqual, tt.reason == "")
				if !v.Admit() {
					So(v.RetryAfter(), ShouldBeBetweenOrEqual, defaultMinRetryAfter, 2*defaultMaxRetryAfter)
				}
			})
		}
	})
}

// Guards against a service rate measured while nothing waits, which is the
// demand, and against one that outlives the agents it was observed on.
func TestServed(t *testing.T) {
	Convey("The rate is that of busy periods", t, func() {
		a := NewAdmission(AdmissionOptions{})
		for now := gypsumtide.Millis(1); now <= 3000; now++ {
			a.Served(1, 0, now)
		}
		So(a.Rate(), ShouldEqual, 0)
		for now := gypsumtide.Millis(3001); now <= 6000; now++ {
			a.Served(1, 10, now)
		}
		So(a.Rate(), ShouldAlmostEqual, 1000, 1)
		f := Forecast{Slots: 88, MeanRunTime: 250}
		So(a.rateFor(f, 6000), ShouldAlmostEqual, 1, 0.01)
		So(a.rateFor(f, 20_000), ShouldAlmostEqual, 0.352, 0.001)
	})
}

// Measures the crest service with and without admission.
func BenchmarkCrest(b *testing.B) {
	for _, times := range []float64{0.7, 1, 1.5, 3, 10} {
		for _, teams := range []int{1, 8} {
			for _, with := range []bool{false, true} {
				b.Run(fmt.Sprintf("times=%v/teams=%d/admission=%v", times, teams, with), func(b *testing.B) {
					sum, refused, n := 0.0, 0.0, 0.0
					for seed := range uint64(b.N) {
						var a *Admission
						if with {
							a = NewAdmission(AdmissionOptions{Seed: 1})
						}
						service, m := runCrest(times, teams, a, seed)
						sum, refused, n = sum+service, refused+m.refused/m.offered, n+1
					}
					b.ReportMetric(sum/n, "service")
					b.ReportMetric(100*refused/n, "%refused")
				})
			}
		}
	}
}
