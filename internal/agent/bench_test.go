package agent

import (
	"encoding/binary"
	"testing"

	"github.com/go-logr/logr"

	"gypsumtide"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/upstream"
	"gypsumtide/internal/wire"
)

// frameRecorder is a frameSender without a network. It makes a new frame at each Update
// and keeps the last one.
type frameRecorder struct{ frame wire.Frame }

func (s *frameRecorder) Update(add func(f *wire.Frame)) bool {
	s.frame = wire.Frame{}
	add(&s.frame)
	return true
}

// BenchmarkDispatchToStart measures a task from the decoded dispatch frame to
// its start and its result frame, without network and upstream.
func BenchmarkDispatchToStart(b *testing.B) {
	cfg := settings.DefaultAgent()
	// The ledger keeps no results.
	cfg.ResultBytes = 0
	a, err := New(cfg, logr.Discard(), gypsumtide.NewSystemClock())
	if err != nil {
		b.Fatal(err)
	}
	a.sendTask = func(t *task, _ gypsumtide.Millis) wire.Result {
		return wire.Result{TaskRef: t.dispatch.TaskRef, State: wire.TaskDone, Status: 200, Upstream: t.slot.Upstream()}
	}
	if _, err := a.registry.Announce(upstream.Announcement{Name: "u", URL: "http://127.0.0.1:1", Services: []string{"echo"}, TTL: 3_600_000}); err != nil {
		b.Fatal(err)
	}
	s := &entrySession{number: 1, sender: &frameRecorder{}, welcome: &wire.Welcome{}}
	a.sessions[1] = s
	id, err := gypsumtide.NewSubmissionID()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		binary.BigEndian.PutUint64(id[8:], uint64(i)|1<<63)
		f := &wire.Frame{Echo: a.clock.Now(), Dispatches: []wire.Dispatch{{TaskRef: wire.TaskRef{Submission: id, Epoch: 1}, Service: "echo", Budget: 1000}}}
		if err := a.handle(s, f); err != nil {
			b.Fatal(err)
		}
		a.finishTask(<-a.taskEnds)
	}
	if n := a.taskMetrics.started.Get(); n != uint64(b.N) {
		b.Fatalf("%d starts for %d dispatches", n, b.N)
	}
}
