package chart

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var charts = []*Chart{Task, Job, Upstream, Node, Shard}

// reachable returns the states that can be reached from start, including start.
func reachable(c *Chart, start string) map[string]bool {
	seen := map[string]bool{start: true}
	for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
		for _, e := range c.Events() {
			if to, ok := c.Next(queue[0], e); ok && !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	return seen
}

// Guards against unreachable states, final states with outgoing transitions,
// states from which no final state can be reached, and rejected events that
// change the state. Next, Step and Fire must agree on every pair.
func TestChartsExhaustively(t *testing.T) {
	for _, c := range charts {
		Convey("chart "+c.Name(), t, func() {
			So(reachable(c, c.NewMachine().State()), ShouldHaveLength, len(c.States()))
			for _, s := range c.States() {
				outgoing := 0
				for _, e := range c.Events() {
					m := Machine{chart: c, state: c.stateIndex[s]}
					to, ok := c.Next(s, e)
					err := m.Fire(e)
					So(err == nil, ShouldEqual, ok)
					next, stepped := c.Step(c.MustState(s), c.MustEvent(e))
					So(stepped, ShouldEqual, ok)
					So(c.StateName(next), ShouldEqual, m.State())
					if ok {
						outgoing++
						So(m.State(), ShouldEqual, to)
						continue
					}
					So(errors.Is(err, ErrRejected), ShouldBeTrue)
					So(m.State(), ShouldEqual, s)
				}
				So(outgoing == 0, ShouldEqual, c.Final(s))
				So(canFinish(c, s), ShouldBeTrue)
			}
		})
	}
}

// canFinish reports whether a final state can be reached from s. The shard chart
// has no final states: for it, canFinish reports whether the initial state can be
// reached.
func canFinish(c *Chart, s string) bool {
	for r := range reachable(c, s) {
		if c.Final(r) || c == Shard && r == c.NewMachine().State() {
			return true
		}
	}
	return false
}

// Guards against changes of the charts that are not intended. An empty want means that
// one of the events is rejected.
func TestChartPaths(t *testing.T) {
	for _, tt := range []struct {
		chart  *Chart
		events []string
		want   string
	}{
		{Task, []string{"dispatch", "start", "finish"}, "done"},
		{Task, []string{"dispatch", "not-started", "dispatch", "lose"}, "unknown"},
		{Task, []string{"dispatch", "start", "not-started", "dispatch", "finish"}, "done"},
		{Task, []string{"dispatch", "finish", "not-started"}, ""},
		{Task, []string{"dispatch", "lose", "not-started"}, ""},
		{Task, []string{"dispatch", "cancel"}, ""},
		{Task, []string{"dispatch", "found-done"}, ""},
		{Task, []string{"found-running", "finish"}, "done"},
		{Task, []string{"start"}, ""},
		{Job, []string{"start", "complete"}, "complete"},
		{Job, []string{"refuse"}, "not-run"},
		{Job, []string{"refuse", "start"}, ""},
		{Job, []string{"start", "move"}, "moved"},
		{Upstream, []string{"accept", "eject", "probe", "pass", "leave", "empty"}, "gone"},
		{Upstream, []string{"accept", "probe"}, ""},
		{Node, []string{"ready", "drain", "empty"}, "stopped"},
		{Node, []string{"drain", "ready"}, ""},
		{Shard, []string{"claim-sent", "won", "settled", "lease-gained", "lease-lost", "lease-gained", "handover-sent", "home-seen"}, "remote"},
		{Shard, []string{"won", "lease-gained"}, ""},
	} {
		Convey(fmt.Sprint(tt.chart.Name(), " ", tt.events), t, func() {
			m := tt.chart.NewMachine()
			var err error
			for _, e := range tt.events {
				if err = m.Fire(e); err != nil {
					break
				}
			}
			if tt.want == "" {
				So(errors.Is(err, ErrRejected), ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			So(m.State(), ShouldEqual, tt.want)
		})
	}
}

// Guards against invalid chart files that compile.
func TestCompileRejects(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key":                            "chart: x\ninitial: a\nstates: {a: {}}\nfinal: [a]\nother: 1",
		"unknown initial state":                  "chart: x\ninitial: b\nstates: {a: {}}\nfinal: [a]",
		"transition to unknown state":            "chart: x\ninitial: a\nstates: {a: {e: b}}\nfinal: []",
		"unknown final state":                    "chart: x\ninitial: a\nstates: {a: {}}\nfinal: [a, b]",
		"final state with outgoing transitions":  "chart: x\ninitial: a\nstates: {a: {e: a}}\nfinal: [a]",
		"state without transitions is not final": "chart: x\ninitial: a\nstates: {a: {}}\nfinal: []",
		"not YAML":                               "chart: [",
	} {
		Convey(name, t, func() {
			_, err := Compile([]byte(text))
			So(err, ShouldNotBeNil)
		})
	}
}

func ExampleMachine_Fire() {
	m := Task.NewMachine()
	fmt.Println(m.Fire("dispatch"), m.State())
	fmt.Println(m.Fire("admit"))
	// Output:
	// <nil> dispatched
	// task in state dispatched: admit: event rejected
}
