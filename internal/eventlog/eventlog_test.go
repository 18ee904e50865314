package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// testClock returns the time that the test has set.
type testClock struct{ now gypsumtide.Millis }

func (c *testClock) Now() gypsumtide.Millis  { return c.now }
func (c *testClock) Wall() gypsumtide.Millis { return c.now }

// Guards against decisions that block while the log is not being read.
func TestBlockedReader(t *testing.T) {
	Convey("Decisions do not block while nothing reads the log", t, func() {
		r, w := io.Pipe()
		l := New(w, gypsumtide.NewSystemClock(), 1<<30)
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, l.Run)
		begin := time.Now()
		for range 3 * maxQueuedLines {
			l.Decision("job-refused", "job", "a")
		}
		So(time.Since(begin), ShouldBeLessThan, 5*time.Second)
		l.mu.Lock()
		dropped := l.dropped["backlog"]
		l.mu.Unlock()
		So(dropped, ShouldBeGreaterThan, 0)
		cancel()
		So(r.Close(), ShouldBeNil)
		<-done
	})
}

// Guards against a log that exceeds its budget, or that drops the lines on failures
// because routine lines have used up the budget.
func TestBudget(t *testing.T) {
	Convey("Routine lines are dropped first, and dropped lines are counted", t, func() {
		clock := &testClock{now: 1}
		var out bytes.Buffer
		l := New(&out, clock, 2000)
		for range 100 {
			l.Decision("run-ended", "run", "a")
		}
		routine := len(l.lines)
		So(routine, ShouldBeBetween, 3, 20)
		l.Decision("job-refused", "job", "b")
		So(len(l.lines), ShouldEqual, routine+1)
		for range 100 {
			l.Decision("job-refused", "job", "b")
		}
		So(len(l.lines), ShouldBeLessThan, 40)

		Convey("and the budget is refilled over time", func() {
			clock.now = 1001
			before := len(l.lines)
			l.Decision("job-refused", "job", "c")
			So(len(l.lines), ShouldEqual, before+1)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(l.Run(ctx), ShouldEqual, context.Canceled)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			var last map[string]any
			So(json.Unmarshal([]byte(lines[len(lines)-1]), &last), ShouldBeNil)
			So(last["msg"], ShouldEqual, "job-refused")
			So(last["dropped-so-far"], ShouldContainKey, "job-refused")
		})
	})
}

func BenchmarkDecision(b *testing.B) {
	l := New(io.Discard, gypsumtide.NewSystemClock(), 1<<40)
	ctx, cancel := context.WithCancel(context.Background())
	done := group.Go(ctx, l.Run)
	for b.Loop() {
		l.Decision("task-placed", "run", "0123456789abcdef/0/1#1", "worker", "side-1", "wait-ms", 3, "cost", 12.5)
	}
	cancel()
	<-done
}
