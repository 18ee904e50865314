package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/explain"
)

// testExplanation is the answer of an entry about a job with two tasks for a rack.
func testExplanation() explain.Answer {
	wait := gypsumtide.Millis(0)
	compared := &explain.RackComparison{RackWait: 13, RackEnd: 313, ElsewhereWait: 0, ElsewhereEnd: 450, CostToOthers: 4, Bound: 180}
	return explain.Answer{
		Entry: "entry-1", Zone: "a", Saturated: true, Workers: explain.Workers{Known: 11, Usable: 8, EvacuatedZones: []string{"c"}},
		Route: &explain.Route{Name: "checks", Service: "stock", Priority: 1},
		Job: &explain.Job{
			ID: "00000000000000ab", Admission: &explain.Admission{Admitted: true, Objective: 540, Deadline: 1500},
			Steps: []explain.Step{{
				Expected: 300, Wait: &wait, Allowed: 234, Accepting: 6, LeftOut: explain.LeftOut{OtherService: 2, ZoneEvacuated: 2, NotAccepting: 1},
				Tasks: []explain.Task{
					{Worker: "agent-3", Zone: "a", Ordered: true, Wait: 13, End: 313, Cost: 361, Candidates: 6, Rack: &explain.RackDecision{Rack: "r2", OnRack: true, Reason: "the rack pays", Comparison: compared}},
					{Index: 1, Candidates: 0, Rack: &explain.RackDecision{Rack: "r2", Reason: "no worker accepts the task"}},
				},
			}},
		},
	}
}

// startExplainingEntry serves the explanation, and returns the metrics address. The last request
// and its body are kept.
func startExplainingEntry(answer any) (address string, last *http.Request, body *string, stop func()) {
	last, body = new(http.Request), new(string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		*last, *body = *r, string(data)
		if r.URL.Query().Get(explain.ParameterHost) == "none" {
			w.WriteHeader(http.StatusBadRequest)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	return strings.TrimPrefix(server.URL, "http://"), last, body, server.Close
}

func ExampleGypsumctl_explainJob() {
	address, _, _, stop := startExplainingEntry(testExplanation())
	defer stop()
	cmd := Gypsumctl()
	cmd.Reader = strings.NewReader(`{"spec":"s","bestEffort":true,"steps":[{"count":2,"cpu":500,"estimateMs":300,"affinity":"r2"}]}`)
	err := cmd.Run(context.Background(), []string{"gypsumctl", "explain-job", "--entry", address, "--host", "h.example", "--path", "/checks/00000000000000ab", "-"})
	fmt.Println(err)
	// Output:
	// entry entry-1 in zone a: saturated
	// workers: 11 known, 8 accept orders, evacuated zones: c
	// route: checks, service stock, priority 1
	// job 00000000000000ab: admitted, objective in 540 ms, deadline in 1500 ms
	// step 0: a task takes 300 ms, 6 workers accept it, expected wait 0 ms, allowed 234 ms
	//   left out: 2 other service, 2 zone evacuated, 1 not accepting
	//   TASK  WORKER   ZONE  WAIT   END     COST    CANDIDATES  DECISION
	//   0     agent-3  a     13 ms  313 ms  361 ms  6           ordered, the rack pays (rack r2: end 313 ms, wait 13 ms of at most 180; elsewhere: end 450 ms, wait 0 ms, cost to others 4 ms)
	//   1     -        -     -      -       -       0           waits at the entry, no worker accepts the task
	// <nil>
}

// Guards against a command that asks about another submission than the one given, changes the
// answer that it prints as JSON, or hides an error.
func TestExplainJob(t *testing.T) {
	Convey("Given an entry and a file", t, func() {
		address, last, body, stop := startExplainingEntry(testExplanation())
		defer stop()
		file := filepath.Join(t.TempDir(), "job.json")
		So(os.WriteFile(file, []byte(`{"steps":[]}`), 0o600), ShouldBeNil)

		Convey("The request has the submission, and --json prints the answer as it is", func() {
			want, err := json.Marshal(testExplanation())
			So(err, ShouldBeNil)
			for _, args := range [][]string{{"explain-job", "--json"}, {"--json", "explain-job"}} {
				out, err := gypsumctl(append(args, "--entry", "http://"+address+"/", "--host", "h.example", "--path", "/q/a b", "--deadline", "700", file)...)
				So(err, ShouldBeNil)
				So(strings.TrimSpace(out), ShouldEqual, string(want))
			}
			So(*body, ShouldEqual, `{"steps":[]}`)
			So(last.Method, ShouldEqual, http.MethodPost)
			query := last.URL.Query()
			So(query.Get(explain.ParameterHost)+query.Get(explain.ParameterPath)+query.Get(explain.ParameterDeadline), ShouldEqual, "h.example/q/a b700")
		})

		Convey("Errors are reported", func() {
			for _, c := range []struct {
				want string
				args []string
			}{
				{"give one file", []string{"--entry", address, "--host", "h", "--path", "/"}},
				{"no such file", []string{"--entry", address, "--host", "h", "--path", "/", file + "x"}},
				{"status 400", []string{"--entry", address, "--host", "none", "--path", "/", file}},
				{"connection refused", []string{"--entry", "127.0.0.1:1", "--host", "h", "--path", "/", file}},
				{`"entry" not set`, []string{"--host", "h", "--path", "/", file}},
			} {
				_, err := gypsumctl(append([]string{"explain-job"}, c.args...)...)
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.want)
			}
		})
	})

	Convey("Requests and jobs that are not placed are described", t, func() {
		text := func(a explain.Answer) string {
			var b strings.Builder
			So(a.Write(&b), ShouldBeNil)
			return b.String()
		}
		So(text(explain.Answer{Entry: "e", Rejection: &explain.Rejection{Status: 404, Reason: "no such queue"}}), ShouldEqual,
			"entry e in zone : serves, not saturated\nworkers: 0 known, 0 accept orders\nroute: none\nrequest: rejected with status 404: no such queue\n")
		So(text(explain.Answer{Draining: true, MovingCallers: true}), ShouldContainSubstring, ": drains, moves callers to other entries\n")
		job := &explain.Job{ID: "j", Admission: &explain.Admission{Reason: "no worker is free in time", RetryAfter: 1200}, Steps: []explain.Step{{Expected: 9, Allowed: 15}}}
		So(text(explain.Answer{Job: job}), ShouldContainSubstring, "job j: refused, no worker is free in time; retry after 1200 ms\nstep 0: a task takes 9 ms, 0 workers accept it, expected wait none, allowed 15 ms\n")
		So(text(explain.Answer{Job: &explain.Job{ID: "j", InProgress: true}}), ShouldContainSubstring, "in progress at this entry")
		stored := &explain.Job{ID: "j", Stored: true, Steps: []explain.Step{{Tasks: []explain.Task{{Worker: "w"}}, OmittedTasks: 3}}}
		So(text(explain.Answer{Job: stored}), ShouldContainSubstring, "job j: stored")
		So(text(explain.Answer{Job: stored}), ShouldContainSubstring, "3 further tasks are not shown\n")
	})
}
