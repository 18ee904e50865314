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

// Guards against an experiment that fails after minutes of others because its
// load or its objects are invalid.
func TestExperiments(t *testing.T) {
	Convey("Every load and every set of objects passes the product's own check", t, func() {
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

// Guards against a ratio whose ideal leaves out the caller's way or takes the declared run time.
func TestRatios(t *testing.T) {
	Convey("The ideal is the measured run time and the way to the entry and back", t, func() {
		r := &result{site: site{callerDelay: time.Millisecond}, runs: map[string]float64{"a": 50}}
		all := []history.Attempt{{Submission: "a", Outcome: "complete", Sent: 100, Received: 165}, {Submission: "b", Outcome: "not-run", Sent: 100, Received: 101}}
		So(r.ratios(all, 0), ShouldResemble, []float64{1.25})
		So(r.ratios(all, 63), ShouldResemble, []float64{1})
	})
}

// Guards against crest figures that count late answers or jobs outside of the crest.
func TestCrestValues(t *testing.T) {
	Convey("Only answers within deadline during the crest count as served", t, func() {
		attempts := []history.Attempt{
			{Outcome: "complete", Sent: 2_000, Received: 2_300, Deadline: 1_000, Tasks: 66},
			{Outcome: "complete", Sent: 2_000, Received: 3_100, Deadline: 1_000, Tasks: 100},
			{Outcome: "complete", Sent: 4_900, Received: 5_100, Deadline: 1_000, Tasks: 100},
			{Outcome: "not-run", Sent: 3_000, Received: 3_001, Deadline: 1_000, Tasks: 1},
			{Outcome: "not-run", Sent: 5_500, Received: 5_501, Deadline: 1_000, Tasks: 1},
		}
		r := &result{phases: [][]loadResult{{{attempts: attempts}}}}
		So(crestValues(r), ShouldResemble, []float64{0.05, 25, 25, 0.5, 0})
	})
}

// Guards against a spread that hides the lowest or highest repetition, or a
// quantile beyond the last value.
func TestSpread(t *testing.T) {
	Convey("Spread gives median, lowest and highest", t, func() {
		So(spread([]float64{3, 1, 2}), ShouldEqual, "2.000 (1.000-3.000)")
		So(spread([]float64{250, 150}), ShouldEqual, "200 (150-250)")
		So(spread(nil), ShouldEqual, "failed")
		So(quantile([]float64{1, 2, 3, 4}, 0.5), ShouldEqual, 2)
		So(quantile([]float64{1}, 0.999), ShouldEqual, 1)
		So(quantile(nil, 0.5), ShouldEqual, 0)
		So(strings.Contains(number(math.Pi), "3.142"), ShouldBeTrue)
	})
}
