package queue

import (
	"fmt"
	"slices"
	"testing"

	"gypsumtide"
)

// Measures a push and a pop beside a backlog of ten thousand tasks.
func BenchmarkQueue(b *testing.B) {
	for _, name := range Names() {
		for _, teams := range []int{1, 390} {
			b.Run(fmt.Sprintf("%s/teams=%d", name, teams), func(b *testing.B) {
				q, _ := New(name)
				tasks := make([]*gypsumtide.Task, 10_000)
				for i := range tasks {
					// Jobs have 10 tasks, and every fifth job is long.
					id := uint64(i / 10)
					class := gypsumtide.Class(id % 5 / 4)
					tasks[i] = newTask(id, i, fmt.Sprint(int(id)%teams), class, 1000)
					q.Push(tasks[i])
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					q.Push(q.Pop(1, always))
				}
			})
		}
	}
}

// Measures the cost of a pop for which no task finds a slot.
func BenchmarkPopRefused(b *testing.B) {
	for _, teams := range []int{1, 390} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q, _ := New(Fair)
			for i := range uint64(teams) {
				pushJob(q, 2*i, fmt.Sprint(i), gypsumtide.ClassShort, 10)
				pushJob(q, 2*i+1, fmt.Sprint(i), gypsumtide.ClassLong, 10)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				q.Pop(1, func(*gypsumtide.Task) bool { return false })
			}
		})
	}
}

// Measures the forecast for a job of 100 tasks.
func BenchmarkAhead(b *testing.B) {
	q := newFair(func(*gypsumtide.Task) float64 { return 1 })
	for i := range uint64(390) {
		pushJob(q, i, fmt.Sprint(i), gypsumtide.ClassShort, 10)
	}
	b.ResetTimer()
	for range b.N {
		q.aheadOfJob("1", gypsumtide.ClassShort, 100)
	}
}

// Measures a batch of 1,200 tasks beside jobs of 10 tasks of the same team,
// one pop for each step. The metrics are the steps from the arrival of a job to
// its last pop.
func BenchmarkJobOrder(b *testing.B) {
	for _, name := range Names() {
		for _, gap := range []int{20, 12, 9} {
			b.Run(fmt.Sprintf("%s/small-job-load=%d%%", name, 1000/gap), func(b *testing.B) {
				var small []int
				var batch int
				for range b.N {
					small, batch = runJobOrder(name, gap)
				}
				slices.Sort(small)
				sum := 0
				for _, s := range small {
					sum += s
				}
				b.ReportMetric(float64(sum)/float64(len(small)), "small-mean")
				b.ReportMetric(float64(small[len(small)*99/100]), "small-p99")
				b.ReportMetric(float64(batch), "batch")
			})
		}
	}
}

func runJobOrder(name string, gap int) (small []int, batch int) {
	const steps = 20_000
	q, _ := New(name)
	pushJob(q, 0, "team", gypsumtide.ClassShort, 1200)
	left, arrived := map[gypsumtide.SubmissionID]int{job1(0): 1200}, map[gypsumtide.SubmissionID]int{}
	batch = steps
	for step := range steps {
		if step%gap == 0 {
			id := uint64(step/gap + 1)
			pushJob(q, id, "team", gypsumtide.ClassShort, 10)
			left[job1(id)], arrived[job1(id)] = 10, step
		}
		t := q.Pop(0, always)
		if t == nil {
			continue
		}
		if left[t.Submission()]--; left[t.Submission()] > 0 {
			continue
		}
		if t.Submission() == job1(0) {
			batch = step
		} else {
			small = append(small, step-arrived[t.Submission()])
		}
	}
	return small, batch
}
