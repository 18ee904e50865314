package measure

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/object"
	"gypsumtide/internal/standin/history"
)

// Guards against an experiment with an invalid load or invalid objects, which
// would fail only after the experiments before it have run for minutes.
func TestExperiments(t *testing.T) {
	Convey("Every load and every set of objects is valid", t, func() {
		for _, e := range experiments() {
			for _, tr := range e.trials {
				set, err := object.Parse(object.File{Name: tr.name, Data: []byte(tr.objects)})
				So(err, ShouldBeNil)
				So(set, ShouldNotBeNil)
				for _, p := range tr.phases {
					for _, cfg := range p {
						cfg.Targets = []string{"http://127.0.0.1:7001"}
						So(cfg.Check(), ShouldBeEmpty)
					}
				}
			}
		}
	})
}

// Guards against an ideal response time without the delay between caller and
// entry, or with the declared run time instead of the recorded one.
func TestRatios(t *testing.T) {
	Convey("The ideal is the recorded run time plus the delay to the entry and back", t, func() {
		r := &result{organisation: organisation{callerDelay: time.Millisecond}, runTimes: map[string]float64{"a": 50}}
		all := []history.Attempt{{Submission: "a", Outcome: "complete", Sent: 100, Received: 165}, {Submission: "b", Outcome: "not-run", Sent: 100, Received: 101}}
		So(r.ratios(all, 0), ShouldResemble, []float64{1.25})
		So(r.ratios(all, 63), ShouldResemble, []float64{1})
	})
}

// Guards against counting late answers as served, or jobs outside of the peak.
func TestOverloadValues(t *testing.T) {
	Convey("Only answers within their deadline during the peak count as served", t, func() {
		attempts := []history.Attempt{
			{Outcome: "complete", Sent: 2_000, Received: 2_300, Deadline: 1_000, Tasks: 66},
			{Outcome: "complete", Sent: 2_000, Received: 3_100, Deadline: 1_000, Tasks: 100},
			{Outcome: "complete", Sent: 4_900, Received: 5_100, Deadline: 1_000, Tasks: 100},
			{Outcome: "not-run", Sent: 3_000, Received: 3_001, Deadline: 1_000, Tasks: 1},
			{Outcome: "not-run", Sent: 5_500, Received: 5_501, Deadline: 1_000, Tasks: 1},
		}
		r := &result{phases: [][]loadResult{{{attempts: attempts}}}}
		// Of the 1,320 tasks that 88 slots can run in 3 s, 66 are served. Of the four jobs
		// sent during the peak, one is refused and one is late. The last refusal comes
		// 0.5 s after the end of the peak.
		So(overloadValues(r), ShouldResemble, []float64{0.05, 25, 25, 0.5, 0})
	})
}

// Guards against a cell that hides the lowest or highest repetition, and a
// quantile that reads beyond the last value.
func TestFormatRange(t *testing.T) {
	Convey("A cell holds the median, the lowest and the highest value", t, func() {
		So(formatRange([]float64{3, 1, 2}), ShouldEqual, "2.000 (1.000-3.000)")
		So(formatRange([]float64{250, 150}), ShouldEqual, "200 (150-250)")
		So(formatRange(nil), ShouldEqual, "failed")
		So(quantile([]float64{1, 2, 3, 4}, 0.5), ShouldEqual, 2)
		So(quantile([]float64{1}, 0.999), ShouldEqual, 1)
		So(quantile(nil, 0.5), ShouldEqual, 0)
		So(strings.Contains(formatNumber(math.Pi), "3.142"), ShouldBeTrue)
	})
}
