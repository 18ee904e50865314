package job

import (
	"testing"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// newRequest returns a submitted job with n tasks.
func newRequest(n int) *wire.Job {
	id, err := gypsumtide.NewSubmissionID()
	if err != nil {
		panic(err)
	}
	r := &wire.Job{Submission: id, Service: "s", Team: "t", Tasks: make([]wire.JobTask, n)}
	for i := range r.Tasks {
		r.Tasks[i].Payload = []byte("{}")
	}
	return r
}

// BenchmarkJob measures a job of 100 tasks from its admission to its end.
func BenchmarkJob(b *testing.B) {
	req := newRequest(100)
	result := wire.TaskResult{Status: 200}
	b.ReportAllocs()
	for b.Loop() {
		j := New(req, 1, 0, 1_000)
		for i := range uint32(100) {
			j.Dispatch(i)
		}
		for i := range uint32(100) {
			j.Finish(i, result)
		}
		if !j.Complete() || !j.HasNoOpenTasks() {
			b.Fatal("not complete")
		}
		j.End(j.Answer())
	}
}
