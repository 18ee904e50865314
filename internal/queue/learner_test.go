package queue

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against classes that follow wrong hints, single stragglers, or noise
// around the threshold.
func TestClassify(t *testing.T) {
	tests := []struct {
		name     string
		declared gypsumtide.Millis
		runTimes []gypsumtide.Millis
		want     gypsumtide.Class
	}{
		{"no hint, nothing observed", 0, nil, gypsumtide.ClassShort},
		{"long hint, nothing observed", 5000, nil, gypsumtide.ClassLong},
		{"long hint, too few observed", 5000, repeat(50, 19), gypsumtide.ClassLong},
		{"long hint, enough observed short", 5000, repeat(50, 20), gypsumtide.ClassShort},
		{"short hint, enough observed long", 50, repeat(5000, 20), gypsumtide.ClassLong},
		{"one straggler in ten", 50, append(repeat(50, 90), repeat(30_000, 10)...), gypsumtide.ClassShort},
		{"one long task in three", 50, append(repeat(50, 200), repeat(5000, 100)...), gypsumtide.ClassLong},
		{"just below the threshold after long", 50, append(repeat(1500, 32), repeat(950, 2000)...), gypsumtide.ClassLong},
		{"far below the threshold after long", 50, append(repeat(1500, 32), repeat(500, 2000)...), gypsumtide.ClassShort},
	}
	Convey("Classify", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				l := NewRunTimeEstimator(RunTimeEstimatorOptions{})
				for _, m := range tt.runTimes {
					l.Observe("check", "worker-1", m)
				}
				So(l.Classify("check", tt.declared), ShouldEqual, tt.want)
			})
		}
	})
}

func repeat(m gypsumtide.Millis, n int) []gypsumtide.Millis {
	s := make([]gypsumtide.Millis, n)
	for i := range s {
		s[i] = m
	}
	return s
}

// Guards against a service with a false short hint that fills the slots
// reserved for short work before its first result.
func TestWrongHintIsBounded(t *testing.T) {
	Convey("At most Enough tasks are short on the strength of a hint", t, func() {
		l := NewRunTimeEstimator(RunTimeEstimatorOptions{})
		short := 0
		for range 1200 {
			if l.Classify("check", 10) == gypsumtide.ClassShort {
				short++
			}
		}
		So(short, ShouldEqual, defaultEnough)
	})
}

// Guards against estimates that miss a slow agent, or blame one for a single straggler.
func TestEstimates(t *testing.T) {
	Convey("With one agent of eleven five times slower", t, func() {
		l := NewRunTimeEstimator(RunTimeEstimatorOptions{})
		rng := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			for i := range 11 {
				m := gypsumtide.Millis(50 + rng.IntN(100))
				if i == 0 {
					m *= 5
				}
				l.Observe("check", string(rune('a'+i)), m)
			}
		}
		So(l.Slowness("a"), ShouldBeBetween, 3, 6)
		So(l.Slowness("b"), ShouldBeBetween, 0.5, 1.2)
		So(l.Slowness("unknown"), ShouldEqual, 1)
		So(l.Quantile("check", 0.5), ShouldBeBetween, 90, 120)
		So(l.Slowest("check", 1), ShouldBeLessThan, l.Slowest("check", 1000))
		So(l.Slowest("check", 1000), ShouldBeBetween, 400, 800)
		So(l.Slowest("unknown", 1), ShouldEqual, 0)
		So(l.Mean("check"), ShouldBeBetween, 120, 150)
		So(l.HasEnoughObservations("check"), ShouldBeTrue)
		So(l.HasEnoughObservations("unknown"), ShouldBeFalse)
		l.Observe("check", "b", 60_000)
		So(l.Slowness("b"), ShouldBeLessThan, 2.2)
		l.Forget("a")
		So(l.Slowness("a"), ShouldEqual, 1)
	})
}
