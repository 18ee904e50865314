package daemon

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against an entry with little processor time that keeps all of its callers under a
// burst, although other entries are idle, and against one that gives them up because of a
// pause, or takes them back too early.
func TestSaturationState(t *testing.T) {
	Convey("Given a process whose latency is read every interval", t, func() {
		var s saturationState
		now := gypsumtide.Millis(10_000)
		changes := 0
		observe := func(latencies ...float64) {
			for _, latency := range latencies {
				now += saturationInterval
				if s.update(now, latency) {
					changes++
				}
			}
		}
		Convey("A single high latency does not saturate it", func() {
			observe(0.3, 500, 0.3, 7, 1, 9, 5.9)
			So(s.saturated, ShouldBeFalse)
			So(changes, ShouldEqual, 0)
		})
		Convey("Two in a row do", func() {
			observe(1, 8, 8)
			So(s.saturated, ShouldBeTrue)
			So(s.since, ShouldEqual, now)
			Convey("It recovers after the calm time only", func() {
				observe(1, 1, 1, 3, 1, 1, 1, 1, 1)
				So(s.saturated, ShouldBeTrue)
				observe(1)
				So(s.saturated, ShouldBeFalse)
				So(changes, ShouldEqual, 2)
			})
		})
	})
}

// Guards against a latency that does not show a queue of runnable goroutines.
func TestLatencyReader(t *testing.T) {
	Convey("The latency rises while more goroutines are runnable than there are processors", t, func() {
		reader := newLatencyReader()
		reader.meanMillis()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		for range 20 * runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for ctx.Err() == nil {
					for end := time.Now().Add(2 * time.Millisecond); time.Now().Before(end); {
					}
					runtime.Gosched()
				}
			})
		}
		wg.Wait()
		So(reader.meanMillis(), ShouldBeGreaterThan, saturatedLatency)
	})
}
