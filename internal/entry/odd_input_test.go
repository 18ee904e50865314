package entry

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// nested returns a JSON array that is nested to the given depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Guards against a submission whose sizes make the sums over the tasks at an agent overflow,
// and against one that ends the entry.
func TestOddSubmission(t *testing.T) {
	e, err := idleEntry()
	if err != nil {
		t.Fatal(err)
	}
	e.cfg.MaxJobBytes = 1 << 20
	for name, body := range map[string]string{
		"size overflows":         `{"service":"s","tasks":[{"processors-milli":9223372036854775807}]}`,
		"size beyond an int":     `{"service":"s","tasks":[{"memory-mib":9223372036854775808}]}`,
		"size beyond a float":    `{"service":"s","tasks":[{"accelerators":1e400}]}`,
		"negative size":          `{"service":"s","tasks":[{"accelerators":-1}]}`,
		"run time overflows":     `{"service":"s","tasks":[{"run-time-ms":9223372036854775807}]}`,
		"deadline overflows":     `{"service":"s","tasks":[{}],"deadline-ms":9223372036854775807}`,
		"payload nested deeply":  `{"service":"s","tasks":[{"payload":` + nested(100_000) + `}]}`,
		"tasks nested deeply":    `{"service":"s","tasks":` + nested(5000) + `}`,
		"submission is a number": `{"service":"s","tasks":[{}],"submission-id":7}`,
		"truncated":              `{"service":"s","tasks":[{}]`,
		"bytes of no text":       "\xff\xfe\x00",
	} {
		Convey("An odd submission is rejected: "+name, t, func() {
			w := httptest.NewRecorder()
			_, _, err := e.readJob(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
			So(err, ShouldNotBeNil)
		})
	}
}

// Guards against a forwarded request that panics, which ends the session between two entries
// with all other requests on it, or that makes sums overflow.
func TestOddForward(t *testing.T) {
	id := gypsumtide.SubmissionID{1}
	job := func(tasks ...wire.JobTask) *wire.Job { return &wire.Job{Submission: id, Service: "s", Tasks: tasks} }
	Convey("A forwarded request that no entry sends is ignored", t, func() {
		e, err := idleEntry()
		So(err, ShouldBeNil)
		for _, odd := range []wire.Forward{
			{Kind: wire.ForwardSubmit, Submission: id},
			{Kind: wire.ForwardSubmit, Submission: id, Job: job()},
			{Kind: wire.ForwardSubmit, Submission: gypsumtide.SubmissionID{2}, Job: job(wire.JobTask{})},
			{Kind: wire.ForwardSubmit, Submission: id, Job: job(wire.JobTask{Size: gypsumtide.Size{Memory: math.MaxInt64}})},
			{Kind: wire.ForwardSubmit, Submission: id, Job: job(wire.JobTask{RunTime: math.MinInt64})},
		} {
			So(func() { e.answerForward(context.Background(), &wire.Session{}, &odd) }, ShouldNotPanic)
			var invalid *gypsumtide.InvalidValueError
			So(errors.As(validateForward(&odd), &invalid), ShouldBeTrue)
		}
	})
	Convey("The requests of entries are accepted", t, func() {
		for _, f := range []wire.Forward{{Kind: wire.ForwardFetch}, {Kind: wire.ForwardCancel}, {Kind: wire.ForwardSubmit, Submission: id, Job: job(wire.JobTask{})}} {
			So(validateForward(&f), ShouldBeNil)
		}
	})
}

// Guards against reports of an agent that make its slots negative or overflow, so that tasks
// are sent to it without limit or never, or that make a draining agent count as finished.
func TestOddAgentFrame(t *testing.T) {
	good := wire.Upstream{Name: "good", Services: []string{"echo"}, Slots: 8}
	Convey("An agent with a good upstream", t, func() {
		th := newTestHome(t)
		s := &wire.Session{}
		c := th.home.agentConnected(wire.AgentRecord{Name: "a", Incarnation: "a1"}, s, 1, 0)
		for name, odd := range map[string]wire.Upstream{
			"negative slots":     {Name: "odd", Services: []string{"echo"}, Slots: -8},
			"slots overflow":     {Name: "odd", Services: []string{"echo"}, Slots: math.MaxInt},
			"capacity overflows": {Name: "odd", Services: []string{"echo"}, Slots: 1, Capacity: gypsumtide.Size{Memory: math.MaxInt64}},
		} {
			Convey("keeps its slots when it announces another upstream: "+name, func() {
				th.handleAgentFrame(c, s, &wire.Frame{Announcement: &wire.Announcement{Upstreams: []wire.Upstream{good, odd}}})
				So(c.view.Slots(), ShouldEqual, 8)
				So(c.view.Capacity(), ShouldResemble, gypsumtide.Size{})
				So(c.upstreams, ShouldResemble, []wire.Upstream{good})
			})
		}
		for name, odd := range map[string]gypsumtide.Load{
			"sum is 0":      {Running: -1, Queued: 1},
			"sum overflows": {Running: math.MaxInt, Queued: math.MaxInt},
			"negative use":  {Used: gypsumtide.Size{Processors: -1}},
		} {
			Convey("keeps its last load and is not drained by another one: "+name, func() {
				th.handleAgentFrame(c, s, &wire.Frame{Load: &gypsumtide.Load{Running: 3}, Announcement: &wire.Announcement{Upstreams: []wire.Upstream{good}, Draining: true}})
				So(th.handleAgentFrame(c, s, &wire.Frame{Load: &odd}), ShouldBeFalse)
				So(c.view.OpenTasks(), ShouldEqual, 3)
				So(c.view.Used(), ShouldResemble, gypsumtide.Size{})
			})
		}
	})
}

// Guards against a usage of another home that makes this home's share of a limit larger than
// the limit, or no number.
func TestOddUsage(t *testing.T) {
	Convey("Only the usages in range are applied", t, func() {
		good := wire.TeamUsage{Team: "good", Rate: 1, Open: 2, Demand: 3}
		usage := []wire.TeamUsage{{Team: "a", Rate: math.NaN()}, {Team: "b", Demand: math.Inf(1)}, {Team: "c", Demand: -1}, good,
			{Team: "d", Open: -1}, {Team: "e", Open: math.MaxInt}, {Team: "f", Rate: math.MaxFloat64}}
		valid, err := validUsage(usage)
		So(valid, ShouldResemble, []wire.TeamUsage{good})
		var invalid *gypsumtide.InvalidValueError
		So(errors.As(err, &invalid), ShouldBeTrue)
	})
}
