package queue

import (
	"fmt"
	"testing"

	"gypsumtide"
)

// Measures a push and a pop with a backlog of ten thousand tasks.
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

// Measures a pop when no task of 390 teams in two classes can be placed, and a call of
// Backlog, which admission makes for each job.
func BenchmarkTeams(b *testing.B) {
	q, _ := New(Fair)
	for i := range uint64(390) {
		pushJob(q, 2*i, fmt.Sprint(i), gypsumtide.ClassShort, 10)
		pushJob(q, 2*i+1, fmt.Sprint(i), gypsumtide.ClassLong, 10)
	}
	b.Run("pop-refused", func(b *testing.B) {
		for range b.N {
			q.Pop(1, func(*gypsumtide.Task) bool { return false })
		}
	})
	b.Run("backlog", func(b *testing.B) {
		for i := range b.N {
			q.(BacklogReporter).Backlog("1", gypsumtide.ClassShort, gypsumtide.Millis(i))
		}
	})
}
