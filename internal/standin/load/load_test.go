package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.yaml.in/yaml/v3"

	"gypsumtide/internal/standin/history"
)

// fakeEntry starts a server that responds to jobs like an entry, after modify has
// altered the response and chosen the status.
func fakeEntry(t *testing.T, modify func(job jobBody, ans map[string]any) int) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		var job jobBody
		if err := json.NewDecoder(r.Body).Decode(&job); err != nil {
			t.Error(err)
		}
		var results []map[string]any
		for i, task := range job.Tasks {
			results = append(results, map[string]any{"status": 200, "body": upstreamAnswer{job.Submission, i, task.Payload.Echo}})
		}
		ans := map[string]any{"submission-id": job.Submission, "outcome": "complete", "results": results}
		status := modify(job, ans)
		if status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(ans)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// run runs cfg and returns the report and the attempts in the history.
func run(cfg *Config) (*Report, []history.Attempt) {
	So(cfg.Check(), ShouldBeEmpty)
	var buf bytes.Buffer
	rep, err := New(cfg, &buf).Run(context.Background())
	So(err, ShouldBeNil)
	var attempts []history.Attempt
	for dec := json.NewDecoder(&buf); ; {
		var a history.Attempt
		if err := dec.Decode(&a); err == io.EOF {
			return rep, attempts
		}
		attempts = append(attempts, a)
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		change func(c *Config)
		want   string
	}{
		{func(*Config) {}, ""},
		{func(c *Config) { c.Targets = nil }, "targets"},
		{func(c *Config) { c.Targets = []string{"localhost"} }, "\"localhost\" is not an absolute URL"},
		{func(c *Config) { c.Arrivals = "often" }, "arrivals"},
		{func(c *Config) { c.Peak = Peak{Factor: 3, Length: 10, Period: 5} }, "swing"},
		{func(c *Config) { c.CancelShare = 2 }, "cancel-share"},
		{func(c *Config) { c.Direct.Rate = 1 }, "direct"},
		{func(c *Config) { c.Classes[0].TasksMax = 1201 }, "tasks-max"},
		{func(c *Config) { c.Classes[0].Rate = 3 }, "rate and share"},
		{func(c *Config) { c.Classes[0].Run.Kind = "" }, "run.kind"},
		{func(c *Config) { c.Classes[0].Hints = "maybe" }, "hints"},
		{func(c *Config) { c.Classes[0].Deadline = 0 }, "deadline-ms"},
	}
	// Guards against measuring a different load than intended because of a typing error.
	Convey("Invalid settings are reported by name", t, func() {
		for _, c := range cases {
			cfg := Default()
			c.change(cfg)
			got := fmt.Sprint(cfg.Check())
			if c.want == "" {
				So(got, ShouldEqual, "[]")
			}
			So(got, ShouldContainSubstring, c.want)
		}
	})
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestSchedule(t *testing.T) {
	Convey("A peak triples the arrival rate, and the same seed gives the same arrivals", t, func() {
		cfg := Default()
		cfg.Duration, cfg.Rate = 30_000, 200
		cfg.Peak = Peak{Factor: 3, Start: 10_000, Length: 10_000}
		for _, kind := range []string{"poisson", "step"} {
			cfg.Arrivals = kind
			var base, peak float64
			for _, a := range schedule(cfg) {
				if a.duringPeak {
					peak++
				} else {
					base++
				}
			}
			// Guards against thinning with a wrong maximum rate, which changes the offered load unnoticed.
			So(math.Abs(base-4000), ShouldBeLessThan, 4*math.Sqrt(4000))
			So(math.Abs(peak-6000), ShouldBeLessThan, 4*math.Sqrt(6000))
		}
		// Guards against arrivals that differ between runs with the same seed, whose results could not be compared.
		So(fmt.Sprint(arrivalTimes(testRand(), "poisson", 50, cfg.Peak, time.Second)), ShouldEqual,
			fmt.Sprint(arrivalTimes(testRand(), "poisson", 50, cfg.Peak, time.Second)))
	})
	Convey("Run times follow their distribution and hints their setting", t, func() {
		rng := testRand()
		stragglers := RunTime{Kind: "stragglers", Mean: 50, StragglerShare: 0.1, StragglerFactor: 20}
		var long int
		for range 1000 {
			if stragglers.draw(rng) == 1000 {
				long++
			}
			So(runTimeHint(rng, "off", 50), ShouldBeIn, int64(5), int64(500))
		}
		So(long, ShouldBeBetween, 60, 140)
		So(runTimeHint(rng, "absent", 50), ShouldEqual, 0)
		So(runTimeHint(rng, "right", 50), ShouldEqual, 50)
		So(RunTime{Kind: "fixed", Mean: 50}.draw(rng), ShouldEqual, 50)
	})
}

func TestRun(t *testing.T) {
	Convey("With fake entries", t, func() {
		cfg := Default()
		cfg.Duration, cfg.Rate, cfg.Arrivals = 400, 50, "step"
		cfg.Classes[0].TasksMin, cfg.Classes[0].TasksMax = 1, 3

		// Guards against sending the next job only after a response, which would leave queueing time out of the results.
		Convey("slow responses do not delay arrivals", func() {
			entry := fakeEntry(t, func(jobBody, map[string]any) int { time.Sleep(300 * time.Millisecond); return 200 })
			cfg.Targets = []string{entry}
			rep, attempts := run(cfg)
			So(len(attempts), ShouldEqual, 20)
			So(rep.Classes["short"].Outcomes, ShouldResemble, map[string]int{"complete": 20})
			So(rep.Classes["short"].Response.P50, ShouldBeBetween, 299, 600)
			So(attempts[19].Sent-attempts[0].Sent, ShouldBeLessThan, 700)
			So(rep.Teams["shop"].Share, ShouldEqual, 1)
			So(rep.WriteText(io.Discard), ShouldBeNil)
			var svg bytes.Buffer
			So(rep.WritePlot(&svg), ShouldBeNil)
			So(svg.String(), ShouldContainSubstring, "</svg>")
		})
		// Guards against unchecked bodies, which would hide results of other jobs from the history checker.
		Convey("the body of each result is checked", func() {
			for want, change := range map[string]func(job jobBody, ans map[string]any){
				history.CheckOK: func(jobBody, map[string]any) {},
				history.CheckMismatched: func(_ jobBody, ans map[string]any) {
					r := ans["results"].([]map[string]any)
					r[0]["body"] = upstreamAnswer{"other", 0, "other/0"}
				},
				history.CheckUnreadable: func(_ jobBody, ans map[string]any) {
					r := ans["results"].([]map[string]any)
					r[0]["body"] = "aGVsbG8="
				},
			} {
				cfg.Targets = []string{fakeEntry(t, func(j jobBody, ans map[string]any) int { change(j, ans); return 200 })}
				_, attempts := run(cfg)
				for _, a := range attempts {
					So(a.Check, ShouldEqual, want)
					So(a.Results, ShouldEqual, a.Tasks)
				}
			}
		})
		// Guards against resubmissions under a new id, which would not test deduplication.
		Convey("resubmissions use the other entry and the same id", func() {
			respondSlowly := func(jobBody, map[string]any) int { time.Sleep(50 * time.Millisecond); return 200 }
			cfg.Targets = []string{fakeEntry(t, respondSlowly), fakeEntry(t, respondSlowly)}
			cfg.ResubmitShare, cfg.ResubmitAfter = 1, 10
			_, attempts := run(cfg)
			So(len(attempts), ShouldEqual, 40)
			entries := map[string]map[string]bool{}
			for _, a := range attempts {
				if entries[a.Submission] == nil {
					entries[a.Submission] = map[string]bool{}
				}
				entries[a.Submission][a.Entry] = true
			}
			So(len(entries), ShouldEqual, 20)
			for _, e := range entries {
				So(len(e), ShouldEqual, 2)
			}
		})
		// Guards against counting a refusal as a missing response, which would hide wrong refusals.
		Convey("the history keeps outcome, status and step of a refusal", func() {
			cfg.Targets = []string{fakeEntry(t, func(_ jobBody, ans map[string]any) int {
				ans["outcome"], ans["step"], ans["results"] = "not-run", "quota", nil
				return 429
			})}
			rep, attempts := run(cfg)
			So(rep.Classes["short"].Outcomes, ShouldResemble, map[string]int{"not-run": 20})
			So(attempts[0].Status, ShouldEqual, 429)
			So(attempts[0].Step, ShouldEqual, "quota")
			// Guards against retries before Retry-After has passed, which would add load during a peak.
			cfg.RetryRefused = true
			_, attempts = run(cfg)
			So(len(attempts), ShouldEqual, 40)
			So(attempts[1].Sent-attempts[0].Received, ShouldBeGreaterThanOrEqualTo, 999)
		})
		// Guards against treating a broken connection, after which the job may have
		// run, like a refused one, after which it cannot have.
		Convey("a broken connection is distinguished from a refused one and retried once", func() {
			var calls atomic.Int64
			broken := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					calls.Add(1)
				}
				panic(http.ErrAbortHandler)
			}))
			defer broken.Close()
			closed := httptest.NewServer(nil)
			closed.Close()
			cfg.Targets, cfg.RetryBroken = []string{broken.URL}, true
			_, attempts := run(cfg)
			So(len(attempts), ShouldEqual, 40)
			So(calls.Load(), ShouldEqual, 40)
			So(attempts[0].Step, ShouldEqual, history.StepAnswer)
			cfg.Targets, cfg.RetryBroken = []string{closed.URL}, false
			_, attempts = run(cfg)
			So(len(attempts), ShouldEqual, 20)
			So(attempts[0].Step, ShouldEqual, history.StepConnect)
		})
	})
}

func TestPeakAndFairness(t *testing.T) {
	// Guards against counting refused or late jobs as served.
	Convey("The peak report compares the served tasks with what the slots can serve", t, func() {
		cfg := Default()
		cfg.Slots, cfg.Duration, cfg.Peak = 10, 5_000, Peak{Factor: 3, Start: 1_000, Length: 2_000}
		s := newStats(cfg)
		due := time.Now()
		// 10 slots can serve 400 tasks of 50 ms in 2 s. 600 are offered, 300 are
		// completed, and one of these is late.
		for i := range 600 {
			a := arrival{class: &cfg.Classes[0], runTimes: []int64{50}, idealResponse: 50, duringPeak: true}
			attempt := history.Attempt{Outcome: "complete"}
			took := 100 * time.Millisecond
			if i >= 300 {
				attempt.Outcome = "not-run"
			}
			if i%600 == 299 {
				took = time.Minute
			}
			s.recordJob(&a, []history.Attempt{attempt}, false, due, due.Add(took))
		}
		rep := s.report(cfg, nil, nil)
		So(rep.Peak.Servable, ShouldEqual, 400)
		So(rep.Peak.Served, ShouldEqual, 299)
		So(rep.Classes["short"].Late, ShouldEqual, 1)
		So(rep.Classes["short"].Ratio.P50, ShouldAlmostEqual, 2, 0.01)
	})
	// Guards against a team without load lowering the fairness, and against a team
	// that is not served leaving it unchanged.
	Convey("Fairness is 1 for equal shares and lower if one team is not served", t, func() {
		So(fairness(map[string]*TeamReport{"a": {Offered: 10, Served: 5}, "b": {Offered: 100, Served: 50}, "idle": {}}), ShouldAlmostEqual, 1)
		So(fairness(map[string]*TeamReport{"a": {Offered: 10, Served: 10}, "b": {Offered: 100}}), ShouldAlmostEqual, 0.5)
	})
}

func TestMetrics(t *testing.T) {
	// Guards against undercounted messages: labels that overwrite one another, or a process that restarted.
	Convey("Counters are summed over labels, processes and restarts", t, func() {
		parse := func(s string) map[string]float64 {
			m, err := parseMetrics(strings.NewReader(s))
			So(err, ShouldBeNil)
			return m
		}
		before := counters{"a": parse("gypsumtide_messages_total{kind=\"x\"} 5\ngypsumtide_messages_total{kind=\"y\"} 7\n"), "b": parse("gypsumtide_messages_total 90\n")}
		after := counters{"a": parse("# TYPE x\ngypsumtide_messages_total{kind=\"x\"} 15\ngypsumtide_messages_total{kind=\"y\"} 7\n"), "b": parse("gypsumtide_messages_total 4\n")}
		m, ok := messagesReport(before, after, 4)
		So(ok, ShouldBeTrue)
		So(m.Messages, ShouldEqual, 14)
		So(m.Wasted, ShouldEqual, 1.5)
		_, ok = messagesReport(nil, counters{}, 4)
		So(ok, ShouldBeFalse)
	})
}

func ExampleConfig() {
	cfg := Default()
	err := yaml.Unmarshal([]byte(`
targets: [http://127.0.0.1:7001, http://127.0.0.1:7002]
rate: 200
swing: {factor: 3, start-ms: 5000, crest-ms: 2000}
classes:
  - {name: short, service: stock-check, team: shop, share: 9, tasks-min: 1, tasks-max: 1, deadline-ms: 2000, hints: right, run: {kind: fixed, mean-ms: 50}}
  - {name: batch, service: order-batch, team: orders, share: 1, tasks-min: 100, tasks-max: 1300, deadline-ms: 9000, hints: "off", run: {kind: exponential, mean-ms: 20}}
`), cfg)
	fmt.Println(err, cfg.Check())
	// Output: <nil> [classes: batch: tasks-min and tasks-max must lie in 1 to 1200]
}
