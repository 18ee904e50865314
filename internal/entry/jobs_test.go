package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/wire"
)

// idleEntry returns an entry that is not running and knows no home of any shard.
func idleEntry() (*Entry, error) {
	cfg := settings.DefaultEntry()
	cfg.MaxTasks, cfg.MaxPayloadBytes, cfg.MaxJobBytes = 3, 100, 1_000
	return New(cfg, gypsumtide.NewSystemClock(), logr.Discard())
}

// Guards against invalid requests that are admitted or rejected without a reason,
// and against rejections that are not reported as not run.
func TestInvalidRequests(t *testing.T) {
	e, err := idleEntry()
	if err != nil {
		t.Fatal(err)
	}
	id := "/v1/jobs/00000000-0000-4000-8000-000000000000"
	long := `"` + strings.Repeat("x", 100) + `"`
	for _, c := range []struct {
		method, target, body string
		status               int
		detail               string
	}{
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{}],"colour":1}`, 400, `unknown field "colour"`},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"procesors-milli":1}]}`, 400, "unknown field"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{}]} {}`, 400, "data after"},
		{"POST", "/v1/jobs", `{"service":`, 400, "unexpected EOF"},
		{"POST", "/v1/jobs", ``, 400, "EOF"},
		{"POST", "/v1/jobs", `[]`, 400, "cannot unmarshal"},
		{"POST", "/v1/jobs", `{"tasks":[{}]}`, 400, "service: must not be empty"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[]}`, 400, "at least one task"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{},{},{},{}]}`, 400, "tasks: 4 exceed the maximum of 3"},
		{"POST", "/v1/jobs", `{"service":"s","deadline-ms":-1,"tasks":[{}]}`, 400, "deadline-ms: -1"},
		{"POST", "/v1/jobs", `{"service":"s","deadline-ms":600001,"tasks":[{}]}`, 400, "deadline-ms: 600001"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{},{"payload":` + long + `}]}`, 400, "tasks[1].payload: larger than 100"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"payload":1,"payload-base64":"eA=="}]}`, 400, "payload: must not be combined with payload-base64"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"payload-base64":"!"}]}`, 400, "base64"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"memory-mib":-1}]}`, 400, "must not be negative"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"processors-milli":-1}]}`, 400, "must not be negative"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"accelerators":-1}]}`, 400, "must not be negative"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"run-time-ms":-1}]}`, 400, "must not be negative"},
		{"POST", "/v1/jobs", `{"service":"s","submission-id":"x","tasks":[{}]}`, 400, "submission id"},
		{"POST", "/v1/jobs", `{"service":"s","submission-id":"00000000-0000-4000-8000-000000000000","tasks":[{}]}`, 400, "not a UUIDv7"},
		{"POST", "/v1/jobs", `{"service":"s","tasks":[{"payload":"` + strings.Repeat("x", 1_000) + `"}]}`, 413, "too large"},
		{"POST", "/v1/jobs?wait-ms=x", `{}`, 400, "wait-ms"},
		{"POST", "/v1/jobs?wait-ms=-1", `{}`, 400, "wait-ms"},
		{"POST", "/v1/jobs?wait-ms=600001", `{}`, 400, "wait-ms"},
		{"GET", id, "", 400, "not a UUIDv7"},
		{"DELETE", id, "", 400, "not a UUIDv7"},
		{"GET", "/v1/jobs/0190163d-8694-739b-aea5-966c26f8ad91?wait-ms=1s", "", 400, "wait-ms"},
		{"POST", "/v1/submission-ids", `{"count":0}`, 400, "outside 1 to"},
		{"POST", "/v1/submission-ids", `{"count":10001}`, 400, "outside 1 to"},
		{"POST", "/v1/submission-ids", `{"number":1}`, 400, "unknown field"},
	} {
		Convey(c.method+" "+c.target+" "+c.body[:min(len(c.body), 60)], t, func() {
			w := httptest.NewRecorder()
			e.handler().ServeHTTP(w, httptest.NewRequest(c.method, c.target, strings.NewReader(c.body)))
			So(w.Code, ShouldEqual, c.status)
			So(w.Header().Get("Content-Type"), ShouldEqual, "application/problem+json")
			var p problemBody
			So(json.Unmarshal(w.Body.Bytes(), &p), ShouldBeNil)
			So(p.Detail, ShouldContainSubstring, c.detail)
			So(p.Status, ShouldEqual, c.status)
			So(p.Step, ShouldEqual, "read request")
			So(p.Outcome, ShouldEqual, notRun)
		})
	}
}

// Guards against problem bodies without the step, the peer or the id, and
// against a Retry-After that is shorter than the intended wait.
func TestProblemBody(t *testing.T) {
	id, _ := gypsumtide.ParseSubmissionID("0190163d-8694-739b-aea5-966c26f8ad91")
	for wait, want := range map[gypsumtide.Millis]string{0: "", 1: "1", 1_000: "1", 1_001: "2"} {
		Convey(fmt.Sprintf("a problem with a retry after %d ms", wait), t, func() {
			w := httptest.NewRecorder()
			p := &wire.Problem{Type: "refused-by-limit", Status: 429, Step: "admit", Peer: "a1/u", Limit: "l", Detail: "d", RetryAfter: wait}
			writeProblem(w, httptest.NewRequest("POST", "/v1/jobs", nil), p, notRun, &id)
			So(w.Code, ShouldEqual, 429)
			So(w.Header().Get("Retry-After"), ShouldEqual, want)
			var body problemBody
			So(json.Unmarshal(w.Body.Bytes(), &body), ShouldBeNil)
			So(body, ShouldResemble, problemBody{
				Type: "urn:gypsumtide:problem:refused-by-limit", Title: "Too Many Requests", Status: 429, Detail: "d", Instance: "/v1/jobs",
				Outcome: notRun, SubmissionID: id.String(), Step: "admit", Peer: "a1/u", Limit: "l", RetryAfterMS: int64(wait),
			})
		})
	}
}

// Guards against an entry that knows no home and lets callers wait for ever, or
// reports that a job did not run although its id came with the request, so that another
// entry may have run it.
func TestNoHome(t *testing.T) {
	Convey("an entry that knows no home", t, func() {
		e, err := idleEntry()
		So(err, ShouldBeNil)
		submit := func(body string) (int, problemBody) {
			w := httptest.NewRecorder()
			e.handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body)))
			var p problemBody
			So(json.Unmarshal(w.Body.Bytes(), &p), ShouldBeNil)
			So(w.Header().Get("Retry-After"), ShouldEqual, "1")
			So(p.Step, ShouldEqual, "find home")
			return w.Code, p
		}
		start := time.Now()
		status, p := submit(`{"service":"s","deadline-ms":20,"tasks":[{}]}`)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(p.Outcome, ShouldEqual, notRun)
		id, err := gypsumtide.NewSubmissionID()
		So(err, ShouldBeNil)
		status, p = submit(`{"service":"s","deadline-ms":20,"submission-id":"` + id.String() + `","tasks":[{}]}`)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(p.Outcome, ShouldEqual, unknown)
		So(p.SubmissionID, ShouldEqual, id.String())
		So(time.Since(start), ShouldBeLessThan, 5*time.Second)
	})
}

// FuzzReadJob guards against bodies that make the decoder panic, and against
// accepted jobs that exceed the limits of the settings.
func FuzzReadJob(f *testing.F) {
	e, err := idleEntry()
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"service":"s","team":"t","deadline-ms":5,"tasks":[{"payload":{"a":1}},{"payload-base64":"eA==","content-type":"text/plain"}]}`))
	f.Add([]byte(`{"service":"s","submission-id":"0190163d-8694-739b-aea5-966c26f8ad91","tasks":[{"payload":null,"processors-milli":9}]}`))
	f.Add([]byte(`{"service":"s","SERVICE":"","tasks":[{},null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := httptest.NewRequest("POST", "/v1/jobs", io.NopCloser(bytes.NewReader(body)))
		req, _, err := e.readJob(httptest.NewRecorder(), r)
		if err != nil {
			return
		}
		if req.Service == "" || len(req.Tasks) < 1 || len(req.Tasks) > 3 || req.Deadline < 1 || req.Deadline > e.cfg.MaxDeadline {
			t.Fatalf("job accepted that exceeds the limits: %+v", req)
		}
		for _, task := range req.Tasks {
			if len(task.Payload) > 100 || task.RunTime < 0 || task.Size.Processors < 0 || task.Size.Memory < 0 || task.Size.Accelerators < 0 {
				t.Fatalf("task accepted that exceeds the limits: %+v", task)
			}
		}
	})
}
