package queue

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against a class that follows a wrong declared run time or single stragglers, or
// that changes with noise around the threshold.
func TestClassify(t *testing.T) {
	tests := []struct {
		name     string
		declared gypsumtide.Millis
		runTimes []gypsumtide.Millis
		want     gypsumtide.Class
	}{
		{"nothing declared, nothing observed", 0, nil, gypsumtide.ClassShort},
		{"declared long, nothing observed", 5000, nil, gypsumtide.ClassLong},
		{"declared long, too few observed", 5000, repeat(50, 19), gypsumtide.ClassLong},
		{"declared long, enough observed short", 5000, repeat(50, 20), gypsumtide.ClassShort},
		{"declared short, enough observed long", 50, repeat(5000, 20), gypsumtide.ClassLong},
		{"one straggler in ten", 50, append(repeat(50, 90), repeat(30_000, 10)...), gypsumtide.ClassShort},
		{"one long task in three", 50, append(repeat(50, 200), repeat(5000, 100)...), gypsumtide.ClassLong},
		{"just below the threshold after long", 50, append(repeat(1500, 32), repeat(950, 2000)...), gypsumtide.ClassLong},
		{"far below the threshold after long", 50, append(repeat(1500, 32), repeat(500, 2000)...), gypsumtide.ClassShort},
	}
	Convey("The class of a service", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				e := NewRunTimeEstimator(RunTimeEstimatorOptions{})
				for _, runTime := range tt.runTimes {
					e.Observe("check", "worker-1", runTime)
				}
				So(e.Classify("check", tt.declared), ShouldEqual, tt.want)
			})
		}
	})
}

func repeat(runTime gypsumtide.Millis, n int) []gypsumtide.Millis {
	s := make([]gypsumtide.Millis, n)
	for i := range s {
		s[i] = runTime
	}
	return s
}

// Guards against a service that declares a run time far too short and then fills the
// slots reserved for short tasks before its first result.
func TestWrongDeclaredRunTime(t *testing.T) {
	Convey("At most MinObservations tasks are short because of the declared run time", t, func() {
		e := NewRunTimeEstimator(RunTimeEstimatorOptions{})
		short := 0
		for range 1200 {
			if e.Classify("check", 10) == gypsumtide.ClassShort {
				short++
			}
		}
		So(short, ShouldEqual, defaultMinObservations)
	})
}

// Guards against estimates that miss a slow agent, or count an agent as slow because of
// a single straggler.
func TestEstimates(t *testing.T) {
	Convey("With one agent of eleven five times slower", t, func() {
		e := NewRunTimeEstimator(RunTimeEstimatorOptions{})
		rng := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			for i := range 11 {
				runTime := gypsumtide.Millis(50 + rng.IntN(100))
				if i == 0 {
					runTime *= 5
				}
				e.Observe("check", string(rune('a'+i)), runTime)
			}
		}
		So(e.Slowness("a"), ShouldBeBetween, 3, 6)
		So(e.Slowness("b"), ShouldBeBetween, 0.5, 1.2)
		So(e.Slowness("unknown"), ShouldEqual, 1)
		So(e.Quantile("check", 0.5), ShouldBeBetween, 90, 120)
		So(e.Slowest("check", 1), ShouldBeLessThan, e.Slowest("check", 1000))
		So(e.Slowest("check", 1000), ShouldBeBetween, 400, 800)
		So(e.Slowest("unknown", 1), ShouldEqual, 0)
		So(e.Mean("check"), ShouldBeBetween, 120, 150)
		So(e.HasEnoughObservations("check"), ShouldBeTrue)
		So(e.HasEnoughObservations("unknown"), ShouldBeFalse)
		e.Observe("check", "b", 60_000)
		So(e.Slowness("b"), ShouldBeLessThan, 2.2)
		e.Forget("a")
		So(e.Slowness("a"), ShouldEqual, 1)
	})
}
