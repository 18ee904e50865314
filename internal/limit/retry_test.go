package limit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
)

// Guards against a budget that lets agents which reject tasks multiply the
// dispatches, and against a home with few dispatches that may repeat none of them.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewRetryBudget(RetryOptions{}, 0)
		firstDispatches, taken := 0, 0
		now := gypsumtide.Millis(0)
		for now < 20_000 {
			now += gypsumtide.Millis(rapid.IntRange(1, 500).Draw(rt, "time"))
			n := rapid.IntRange(0, 300).Draw(rt, "first dispatches")
			b.RecordDispatches(n, now)
			firstDispatches += n
			for range rapid.IntRange(0, 200).Draw(rt, "wanted") {
				if b.Take(now) {
					taken++
				}
			}
			if bound := 0.1*float64(firstDispatches) + 10 + 10*float64(now)/1000; float64(taken) > bound+1e-6 {
				rt.Fatalf("%d redispatches, bound %v", taken, bound)
			}
		}
	})
	Convey("The minimum and the ratio are both usable", t, func() {
		b, taken := NewRetryBudget(RetryOptions{}, 0), 0
		for now := gypsumtide.Millis(1); now <= 10_000; now++ {
			if b.Take(now) {
				taken++
			}
		}
		So(taken, ShouldBeBetween, 105, 111)
		b.RecordDispatches(1000, 10_000)
		for b.Take(10_000) {
			taken++
		}
		So(taken, ShouldBeBetween, 205, 211)
	})
}
