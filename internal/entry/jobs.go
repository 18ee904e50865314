package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"gypsumtide"
	"gypsumtide/internal/clientlimit"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// maxIssuedIDs bounds the number of ids that one request can ask for.
const maxIssuedIDs = 10_000

const jsonType = "application/json"

// jobBody is the request body of POST /v1/jobs.
type jobBody struct {
	SubmissionID  string            `json:"submission-id"`
	Service       string            `json:"service"`
	Team          string            `json:"team"`
	NonIdempotent bool              `json:"non-idempotent"`
	DeadlineMS    gypsumtide.Millis `json:"deadline-ms"`
	Tasks         taskBodies        `json:"tasks"`
}

// maxDecodedTasks bounds a list of tasks while it is decoded, before it is checked against the
// settings. A decoded task takes 40 times as much memory as an empty one in a body.
const maxDecodedTasks = 100_000

// taskBodies is a list of at most maxDecodedTasks tasks.
type taskBodies []taskBody

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskBodies) UnmarshalJSON(data []byte) (err error) {
	*l, err = clientlimit.DecodeList[taskBody](data, maxDecodedTasks, true)
	return err
}

// taskBody is one task of a jobBody. A payload is JSON, or any bytes in
// base64 with their content type.
type taskBody struct {
	Payload       json.RawMessage   `json:"payload"`
	PayloadBase64 []byte            `json:"payload-base64"`
	ContentType   string            `json:"content-type"`
	Processors    int64             `json:"processors-milli"`
	Memory        int64             `json:"memory-mib"`
	Accelerators  int64             `json:"accelerators"`
	RunTimeMS     gypsumtide.Millis `json:"run-time-ms"`
}

// answerBody is the response body of a complete or running job.
type answerBody struct {
	SubmissionID string             `json:"submission-id"`
	Outcome      gypsumtide.Outcome `json:"outcome,omitempty"`
	Running      bool               `json:"running,omitempty"`
	Results      []resultBody       `json:"results,omitempty"`
}

// resultBody is the upstream's answer to one task.
type resultBody struct {
	Status      int               `json:"status"`
	ContentType string            `json:"content-type,omitempty"`
	Body        json.RawMessage   `json:"body,omitempty"`
	BodyBase64  []byte            `json:"body-base64,omitempty"`
	RunTimeMS   gypsumtide.Millis `json:"run-time-ms"`
	Upstream    string            `json:"upstream"`
}

// handleSubmit serves POST /v1/jobs.
func (e *Entry) handleSubmit(w http.ResponseWriter, r *http.Request) {
	wait, err := waitParameter(r, -1)
	if err != nil {
		badRequest(w, r, err)
		return
	}
	req, issued, err := e.readJob(w, r)
	if err != nil {
		badRequest(w, r, err)
		return
	}
	if e.shardManager.SkewExceeded() {
		skew := e.shardManager.Skew()
		p := &wire.Problem{Type: "clock-skew", Status: http.StatusServiceUnavailable, Step: "check clock", Detail: fmt.Sprintf("the clock of this entry is %d ms off", skew), RetryAfter: 1_000}
		writeProblem(w, r, p, gypsumtide.OutcomeNotRun, &req.Submission)
		return
	}
	if a, ok := e.awaitTimestamp(r.Context(), req.Submission); !ok {
		e.writeAnswer(w, r, a)
		return
	}
	release, ok := e.jobBudget.Admit(payloadBytes(req))
	if !ok {
		writeProblem(w, r, tooManyClients("too many large jobs are in progress"), gypsumtide.OutcomeNotRun, &req.Submission)
		return
	}
	if wait < 0 {
		// Without wait-ms, the response waits for the end of the job. The job goes on
		// when the caller disconnects.
		defer release()
		e.writeAnswer(w, r, e.Submit(context.WithoutCancel(r.Context()), req, issued))
		return
	}
	done := make(chan wire.Answer, 1)
	e.background.AddRequest(e.requestFailed, func(ctx context.Context) {
		defer release()
		done <- e.Submit(ctx, req, issued)
	})
	ctx, cancel := context.WithTimeout(r.Context(), wait.Duration())
	defer cancel()
	select {
	case a := <-done:
		e.writeAnswer(w, r, a)
	case <-ctx.Done():
		w.Header().Set("Location", "/v1/jobs/"+req.Submission.String())
		writeJSON(w, http.StatusAccepted, answerBody{SubmissionID: req.Submission.String(), Running: true})
	}
}

// payloadBytes returns the size of a job's payloads.
func payloadBytes(job *wire.Job) int64 {
	n := 0
	for i := range job.Tasks {
		n += len(job.Tasks[i].Payload)
	}
	return int64(n)
}

// The Retry-After of a request that is refused because of others is between one and two times
// clientsRetryAfter, so that the callers do not return at once.
const clientsRetryAfter gypsumtide.Millis = 1_000

// tooManyClients returns the problem of a request for which there is no memory beside others.
func tooManyClients(detail string) *wire.Problem {
	return &wire.Problem{
		Type: "too-many-clients", Status: http.StatusServiceUnavailable, Step: "admit", Detail: detail,
		RetryAfter: clientsRetryAfter + rand.N(clientsRetryAfter),
	}
}

// awaitTimestamp delays a request until the timestamp of its id is at most half of
// MaxSkew ahead of this entry's clock, or ctx is done. Homes refuse ids that are more
// than MaxSkew ahead. So an earlier home cannot have accepted an id that is much newer
// than a takeover, and soon after the takeover new ids need no recovery, even if the
// clocks of callers are far ahead. If the timestamp is more than MaxAhead in the future,
// awaitTimestamp returns a refusal and false.
func (e *Entry) awaitTimestamp(ctx context.Context, id gypsumtide.SubmissionID) (wire.Answer, bool) {
	ahead := id.Timestamp() - e.clock.Wall()
	if ahead > e.cfg.MaxAhead {
		return invalidIDAnswer(id, fmt.Errorf("%w: %d ms ahead, at most %d ms allowed", submission.ErrAhead, ahead, e.cfg.MaxAhead)), false
	}
	if wait := ahead - e.cfg.MaxSkew/2; wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		}
	}
	return wire.Answer{}, true
}

// handleFetch serves GET /v1/jobs/{id}.
func (e *Entry) handleFetch(w http.ResponseWriter, r *http.Request) {
	id, err := gypsumtide.ParseSubmissionID(r.PathValue("id"))
	if err != nil {
		badRequest(w, r, err)
		return
	}
	wait, err := waitParameter(r, 0)
	if err != nil {
		badRequest(w, r, err)
		return
	}
	e.writeKnownAnswer(w, r, e.Fetch(r.Context(), id, wait))
}

// handleCancel serves DELETE /v1/jobs/{id}.
func (e *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	id, err := gypsumtide.ParseSubmissionID(r.PathValue("id"))
	if err != nil {
		badRequest(w, r, err)
		return
	}
	e.writeKnownAnswer(w, r, e.Cancel(r.Context(), id))
}

// writeKnownAnswer writes the answer of a job that was submitted by another request. It refuses if
// there is no memory for the encoded answer beside others; the home keeps it.
func (e *Entry) writeKnownAnswer(w http.ResponseWriter, r *http.Request, a wire.Answer) {
	release, ok := e.jobBudget.Admit(resultBytes(&a))
	if !ok {
		writeProblem(w, r, tooManyClients("too many large answers are being sent"), gypsumtide.OutcomeUnknown, &a.Submission)
		return
	}
	defer release()
	e.writeAnswer(w, r, a)
}

// resultBytes returns the size of the results of an answer.
func resultBytes(a *wire.Answer) int64 {
	n := 0
	for i := range a.Results {
		n += len(a.Results[i].Body)
	}
	return int64(n)
}

// handleIssue serves POST /v1/submission-ids.
func (e *Entry) handleIssue(w http.ResponseWriter, r *http.Request) {
	body := struct {
		Count int `json:"count"`
	}{Count: 1}
	if err := decodeStrict(http.MaxBytesReader(w, r.Body, 1<<10), &body); err != nil && !errors.Is(err, io.EOF) {
		badRequest(w, r, err)
		return
	}
	if body.Count < 1 || body.Count > maxIssuedIDs {
		badRequest(w, r, fmt.Errorf("count: %d is outside 1 to %d", body.Count, maxIssuedIDs))
		return
	}
	ids := make([]string, body.Count)
	for i := range ids {
		id, err := gypsumtide.NewSubmissionID()
		if err != nil {
			writeProblem(w, r, &wire.Problem{Type: "internal", Status: http.StatusInternalServerError, Step: "issue id", Detail: err.Error()}, "", nil)
			return
		}
		ids[i] = id.String()
	}
	writeJSON(w, http.StatusOK, map[string][]string{"submission-ids": ids})
}

// readJob decodes and checks a submission. issued reports whether this entry
// generated the id.
func (e *Entry) readJob(w http.ResponseWriter, r *http.Request) (req *wire.Job, issued bool, err error) {
	var body jobBody
	if err := decodeStrict(http.MaxBytesReader(w, r.Body, e.cfg.MaxJobBytes), &body); err != nil {
		return nil, false, fmt.Errorf("read job: %w", err)
	}
	clientlimit.BodyDecoded(r.Context())
	var id gypsumtide.SubmissionID
	if body.SubmissionID == "" {
		issued = true
		id, err = e.localID()
	} else {
		id, err = gypsumtide.ParseSubmissionID(body.SubmissionID)
	}
	if err != nil {
		return nil, false, err
	}
	if body.DeadlineMS == 0 {
		body.DeadlineMS = e.cfg.DefaultDeadline
	}
	if err := e.checkJob(&body); err != nil {
		return nil, false, err
	}
	req = &wire.Job{
		Submission: id, Service: body.Service, Team: body.Team, NonIdempotent: body.NonIdempotent, Deadline: body.DeadlineMS,
		Tasks: make([]wire.JobTask, len(body.Tasks)),
	}
	for i := range body.Tasks {
		t := &body.Tasks[i]
		req.Tasks[i] = wire.JobTask{
			Payload: t.PayloadBase64, ContentType: t.ContentType, RunTime: t.RunTimeMS,
			Size: gypsumtide.Size{Processors: t.Processors, Memory: t.Memory, Accelerators: t.Accelerators},
		}
		if t.Payload != nil {
			req.Tasks[i].Payload, req.Tasks[i].ContentType = t.Payload, jsonType
		}
	}
	return req, issued, nil
}

// maxLocalIDAttempts bounds the search for an id of a shard that is served here. With
// 64 shards spread over a few entries it rarely needs more than ten.
const maxLocalIDAttempts = 64

// localID returns a new id, if possible one whose shard this entry serves, so that
// the job needs no forwarding.
func (e *Entry) localID() (gypsumtide.SubmissionID, error) {
	for range maxLocalIDAttempts {
		id, err := gypsumtide.NewSubmissionID()
		if err != nil {
			return id, err
		}
		if _, ok := e.shardManager.Serving(id.Shard()); ok {
			return id, nil
		}
	}
	return gypsumtide.NewSubmissionID()
}

// checkJob checks a job against the settings and returns the first error.
func (e *Entry) checkJob(body *jobBody) error {
	switch {
	case body.Service == "":
		return errors.New("service: must not be empty")
	case len(body.Tasks) == 0:
		return errors.New("tasks: a job needs at least one task")
	case len(body.Tasks) > e.cfg.MaxTasks:
		return fmt.Errorf("tasks: %d exceed the maximum of %d", len(body.Tasks), e.cfg.MaxTasks)
	case body.DeadlineMS < 1 || body.DeadlineMS > e.cfg.MaxDeadline:
		return fmt.Errorf("deadline-ms: %d is outside 1 to %d", body.DeadlineMS, e.cfg.MaxDeadline)
	}
	for i := range body.Tasks {
		if err := e.checkTask(&body.Tasks[i]); err != nil {
			return fmt.Errorf("tasks[%d].%w", i, err)
		}
	}
	return nil
}

func (e *Entry) checkTask(t *taskBody) error {
	switch {
	case t.Payload != nil && t.PayloadBase64 != nil:
		return errors.New("payload: must not be combined with payload-base64")
	case len(t.Payload)+len(t.PayloadBase64) > e.cfg.MaxPayloadBytes:
		return fmt.Errorf("payload: larger than %d bytes", e.cfg.MaxPayloadBytes)
	case t.Processors < 0 || t.Memory < 0 || t.Accelerators < 0 || t.RunTimeMS < 0:
		return errors.New("processors-milli, memory-mib, accelerators, run-time-ms: must not be negative")
	case t.RunTimeMS > gypsumtide.MaxDuration:
		return fmt.Errorf("run-time-ms: %d is greater than %d", t.RunTimeMS, gypsumtide.MaxDuration)
	}
	size := gypsumtide.Size{Processors: t.Processors, Memory: t.Memory, Accelerators: t.Accelerators}
	if err := size.Validate(); err != nil {
		return fmt.Errorf("processors-milli, memory-mib, accelerators: %w", err)
	}
	return nil
}

// writeAnswer writes an answer as an HTTP response.
func (e *Entry) writeAnswer(w http.ResponseWriter, r *http.Request, a wire.Answer) {
	switch {
	case a.Running:
		writeJSON(w, http.StatusAccepted, answerBody{SubmissionID: a.Submission.String(), Running: true})
	case a.Outcome == gypsumtide.OutcomeComplete:
		writeJSON(w, http.StatusOK, answerBody{SubmissionID: a.Submission.String(), Outcome: a.Outcome, Results: resultBodies(a.Results)})
	default:
		writeProblem(w, r, a.Problem, a.Outcome, &a.Submission)
	}
}

func resultBodies(results []wire.TaskResult) []resultBody {
	bodies := make([]resultBody, len(results))
	for i := range results {
		result := &results[i]
		bodies[i] = resultBody{Status: result.Status, ContentType: result.ContentType, RunTimeMS: result.RunTime, Upstream: result.Upstream}
		if json.Valid(result.Body) {
			bodies[i].Body = result.Body
		} else {
			bodies[i].BodyBase64 = result.Body
		}
	}
	return bodies
}

// decodeStrict decodes exactly one JSON value without unknown fields.
func decodeStrict(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// badRequest responds to an invalid request with the outcome not-run.
func badRequest(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeProblem(w, r, &wire.Problem{Type: "invalid-request", Status: status, Step: "read request", Detail: err.Error()}, gypsumtide.OutcomeNotRun, nil)
}

// waitParameter returns the wait-ms query parameter, or defaultWait without one.
func waitParameter(r *http.Request, defaultWait gypsumtide.Millis) (gypsumtide.Millis, error) {
	raw := r.URL.Query().Get("wait-ms")
	if raw == "" {
		return defaultWait, nil
	}
	n, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || n < 0 || n > 600_000 {
		return 0, fmt.Errorf("wait-ms: %q is not a number from 0 to 600000", raw)
	}
	return gypsumtide.Millis(n), nil
}
