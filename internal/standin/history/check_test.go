package history

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// testHistory is a constructed history that each test case modifies.
type testHistory struct {
	attempts []Attempt
	events   []Event
	faults   []Fault
}

// validHistory returns a history without violations: two complete jobs, one of them
// resubmitted, a justified refusal whose submission later ran under the same ID, and
// a request that broke during a kill.
func validHistory() *testHistory {
	h := &testHistory{}
	complete := func(id string, attempt int, sent, received float64) {
		h.attempts = append(h.attempts, Attempt{Submission: id, Attempt: attempt, Entry: "e1", Sent: sent, Received: received, Deadline: 1000,
			Tasks: 2, Outcome: "complete", Status: 200, Results: 2, Check: CheckOK, Digest: "d-" + id})
	}
	start := func(id string, task int, at float64) {
		h.events = append(h.events, Event{Event: EventStart, Submission: id, Task: task, Wall: at, Upstream: "u1"},
			Event{Event: EventEnd, Submission: id, Task: task, Wall: at + 50, Upstream: "u1"})
	}
	// The comments give the indexes that the test cases use.
	complete("a", 1, 100, 200) // attempts[0]
	complete("a", 2, 150, 210) // attempts[1]
	start("a", 0, 110)         // events[0], events[1]
	start("a", 1, 120)         // events[2], events[3]
	complete("b", 1, 300, 400) // attempts[2]
	start("b", 0, 310)         // events[4], events[5]
	start("b", 1, 310)
	h.attempts = append(h.attempts, Attempt{Submission: "c", Attempt: 1, Sent: 500, Received: 510, Deadline: 1000, Tasks: 2, Outcome: "not-run", Status: 503}) // attempts[3]
	complete("c", 2, 600, 700)                                                                                                                                 // attempts[4]
	start("c", 0, 610)
	start("c", 1, 610)
	h.attempts = append(h.attempts, Attempt{Submission: "d", Attempt: 1, Sent: 800, Received: 900, Deadline: 1000, Tasks: 2, Step: StepAnswer}) // attempts[5]
	start("d", 0, 850)                                                                                                                          // events[12], events[13]
	h.faults = append(h.faults, Fault{Kind: "kill", Target: "entry-1", From: 890, Until: 890})
	// A call made directly to an upstream starts a task that no caller submitted.
	start("x", 0, 10)
	return h
}

// Guards against violations that Check misses or reports without reason.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		mutate func(h *testHistory)
		want   []Rule
	}{
		// A check that reports violations in valid histories would be ignored.
		{"no violation", func(*testHistory) {}, nil},
		// The dispatcher, or a call made directly to an upstream, runs a task again.
		{"second start", func(h *testHistory) { h.events = append(h.events, h.events[0]) }, []Rule{RuleSecondStart}},
		{"second start at another upstream", func(h *testHistory) {
			e := h.events[2]
			e.Wall, e.Upstream = 5000, "u2"
			h.events = append(h.events, e)
		}, []Rule{RuleSecondStart}},
		{"second start of a submission without an attempt", func(h *testHistory) { h.events = append(h.events, h.events[len(h.events)-2]) }, []Rule{RuleSecondStart}},
		// A home answers before it has all results.
		{"result missing", func(h *testHistory) { h.attempts[2].Results = 1 }, []Rule{RulePartial}},
		{"one result too many", func(h *testHistory) { h.attempts[2].Results = 3 }, []Rule{RulePartial}},
		{"failed job with results", func(h *testHistory) { h.attempts[2].Outcome = "failed" }, []Rule{RulePartial}},
		// A home assigns a late result to the wrong job or task.
		{"body of another submission or task", func(h *testHistory) { h.attempts[2].Check = CheckMismatched }, []Rule{RuleWrongBody}},
		{"unreadable body", func(h *testHistory) { h.attempts[2].Check = CheckUnreadable }, []Rule{RuleWrongBody}},
		// Two homes both produced an answer.
		{"two answers", func(h *testHistory) { h.attempts[1].Digest = "other" }, []Rule{RuleTwoAnswers}},
		// An answer was fabricated or belongs to another ID.
		{"complete answer without a start", func(h *testHistory) { h.events = slices.Delete(h.events, 4, 6) }, []Rule{RuleCompleteWithoutStart}},
		// A job is refused although a task had been dispatched.
		{"start before the refusal arrived", func(h *testHistory) { h.attempts[4].Outcome = "not-run"; h.attempts[4].Results = 0 }, []Rule{RuleFalseNotRun, RuleFalseNotRun}},
		{"start before the second attempt", func(h *testHistory) {
			h.events = append(h.events, Event{Event: EventStart, Submission: "c", Task: 7, Wall: 505, Upstream: "u1"})
		}, []Rule{RuleFalseNotRun}},
		// A job is refused while a dispatch is still in flight.
		{"start after the refusal arrived", func(h *testHistory) {
			h.events = append(h.events, Event{Event: EventStart, Submission: "c", Task: 7, Wall: 590, Upstream: "u1"})
		}, []Rule{RuleFalseNotRun}},
		// The start is due to the attempt that was open or whose connection broke.
		{"refusal beside an open attempt", func(h *testHistory) { h.attempts[1].Outcome = "not-run"; h.attempts[1].Results = 0 }, nil},
		{"refusal after a broken attempt", func(h *testHistory) {
			h.attempts = append(h.attempts, Attempt{Submission: "d", Attempt: 2, Sent: 910, Received: 920, Deadline: 1000, Tasks: 2, Outcome: "not-run", Status: 503})
		}, nil},
		{"refusal after an attempt that never arrived", func(h *testHistory) {
			h.attempts[5].Step = StepConnect
			h.attempts = append(h.attempts, Attempt{Submission: "d", Attempt: 2, Sent: 810, Received: 820, Deadline: 1000, Tasks: 2, Outcome: "not-run", Status: 503})
		}, []Rule{RuleFalseNotRun}},
		// A shutdown does not wait for open requests.
		{"request cut without a fault", func(h *testHistory) { h.faults = nil }, []Rule{RuleCutByShutdown}},
		{"request cut by a graceful stop", func(h *testHistory) { h.faults[0].Graceful = true }, []Rule{RuleCutByShutdown}},
		{"request cut after the effect of a fault has ended", func(h *testHistory) {
			h.attempts[5].Sent += 8000
			h.attempts[5].Received += 8000
			h.events[12].Wall += 8000
		}, []Rule{RuleCutByShutdown}},
		{"outcome lost by a graceful stop", func(h *testHistory) {
			h.faults = nil
			h.attempts[5].Status, h.attempts[5].Outcome = 502, "outcome-unknown"
		}, []Rule{RuleCutByShutdown}},
		{"outcome lost without a start", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Stop: true, From: 790, Until: 850}
			h.attempts[5].Status, h.attempts[5].Outcome = 502, "outcome-unknown"
			h.events = slices.DeleteFunc(h.events, func(e Event) bool { return e.Submission == "d" })
		}, nil},
		{"outcome lost without a start by a stop during the request", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Stop: true, From: 801, Until: 850}
			h.attempts[5].Status, h.attempts[5].Outcome = 502, "outcome-unknown"
			h.events = slices.DeleteFunc(h.events, func(e Event) bool { return e.Submission == "d" })
		}, []Rule{RuleCutByShutdown}},
		{"outcome lost at the deadline", func(h *testHistory) {
			h.faults = nil
			h.attempts[5].Status, h.attempts[5].Outcome, h.attempts[5].Received = 504, "outcome-unknown", 1800
		}, nil},
		{"no connection to a stopped entry", func(h *testHistory) { h.faults = nil; h.attempts[5].Step = StepConnect }, nil},
		// The entry may have closed an idle connection, but not if the job started.
		{"idle connection closed", func(h *testHistory) {
			h.faults = nil
			h.attempts[5].Reused, h.attempts[5].Received = true, 805
			h.events = slices.DeleteFunc(h.events, func(e Event) bool { return e.Submission == "d" })
		}, nil},
		{"request cut by the proxy of a stopped entry", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Entry: "e2", From: 790, Until: 850}
			h.attempts[5].Entry = "e2"
			h.events = slices.DeleteFunc(h.events, func(e Event) bool { return e.Submission == "d" })
		}, nil},
		// The retry through another entry started the job, not the request that was cut.
		{"request cut by the proxy of a stopped entry, then a retry", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Entry: "e2", From: 790, Until: 850}
			h.attempts[5].Entry, h.attempts[5].Received = "e2", 801
			retry := h.attempts[4]
			retry.Submission, retry.Sent, retry.Received = "d", 802, 950
			h.attempts = append(h.attempts, retry)
			h.events = append(h.events, Event{Event: EventStart, Submission: "d", Task: 1, Wall: 850, Upstream: "u1"})
		}, nil},
		{"start before the retry", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Entry: "e2", From: 790, Until: 850}
			h.attempts[5].Entry, h.attempts[5].Received = "e2", 801
			retry := h.attempts[4]
			retry.Submission, retry.Sent, retry.Received = "d", 852, 950
			h.attempts = append(h.attempts, retry)
			h.events = append(h.events, Event{Event: EventStart, Submission: "d", Task: 1, Wall: 855, Upstream: "u1"})
		}, []Rule{RuleCutByShutdown}},
		{"request sent before its entry stopped", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Entry: "e2", From: 810, Until: 850}
			h.attempts[5].Entry = "e2"
			h.events = slices.DeleteFunc(h.events, func(e Event) bool { return e.Submission == "d" })
		}, []Rule{RuleCutByShutdown}},
		{"request that started a task cut at the proxy of a stopped entry", func(h *testHistory) {
			h.faults[0] = Fault{Graceful: true, Entry: "e2", From: 790, Until: 850}
			h.attempts[5].Entry = "e2"
		}, []Rule{RuleCutByShutdown}},
		// An agent still sends tasks to a leaving upstream.
		{"start on a leaving upstream after the limit", func(h *testHistory) {
			h.faults = append(h.faults, Fault{Graceful: true, Stop: true, Upstream: "u1", From: 840 - DrainLimit, Until: 900})
		}, []Rule{RuleStartAfterDrain}},
		{"start on a leaving upstream within the limit, and after its return", func(h *testHistory) {
			h.faults = append(h.faults, Fault{Graceful: true, Stop: true, Upstream: "u1", From: 845 - DrainLimit, Until: 849},
				Fault{Graceful: true, Stop: true, Upstream: "u1", From: 849, Until: 9000}, Fault{Graceful: true, Stop: true, Upstream: "u2", From: -5000, Until: 9000})
		}, nil},
		{"reused connection cut after a start", func(h *testHistory) { h.faults = nil; h.attempts[5].Reused, h.attempts[5].Received = true, 845 }, []Rule{RuleCutByShutdown}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			h := validHistory()
			c.mutate(h)
			var got []Rule
			for _, v := range Check(h.attempts, h.events, h.faults) {
				got = append(got, v.Rule)
			}
			So(got, ShouldResemble, c.want)
		})
	}
}

// Guards against a reader that fails on the incomplete last line of a killed process,
// or returns it as a value.
func TestReadDropsIncompleteLine(t *testing.T) {
	Convey("A last line without a newline is dropped, an invalid line is an error", t, func() {
		path := filepath.Join(t.TempDir(), "h.jsonl")
		So(os.WriteFile(path, []byte("{\"event\":\"start\",\"task\":3}\n{\"event\":\"sta"), 0o600), ShouldBeNil)
		events, err := Read[Event](path)
		So(err, ShouldBeNil)
		So(events, ShouldResemble, []Event{{Event: EventStart, Task: 3}})
		So(os.WriteFile(path, []byte("{\"ev\n{}\n"), 0o600), ShouldBeNil)
		_, err = Read[Event](path)
		So(err, ShouldNotBeNil)
	})
}

func ExampleCheck() {
	attempts, _ := parse[Attempt](`{"submission":"a","attempt":1,"tasks":1,"sent-wall-ms":5,"received-wall-ms":9,"outcome":"not-run","status":503,"step":"queue"}`)
	events, _ := parse[Event](`{"event":"start","submission":"a","task":0,"wall-ms":7,"upstream":"upstream-1"}`)
	for _, v := range Check(attempts, events, nil) {
		fmt.Println(v)
	}
	// Output: false-not-run: submission a: task 0 started at upstream-1 2.0 ms after attempt 1 was sent, which was refused after 4.0 ms (step queue)
}

func parse[T any](line string) ([]T, error) { return decode[T](strings.NewReader(line + "\n")) }
