package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/standin/history"
)

// Headers of the request that sends a task to an upstream.
const (
	HeaderSubmission = "Gypsumtide-Submission"
	HeaderTask       = "Gypsumtide-Task"
	HeaderLease      = "Gypsumtide-Lease"
)

// Payload is a task's request body for the stand-in upstream.
type Payload struct {
	RunMillis int64  `json:"run-ms"`
	Fail      bool   `json:"fail,omitempty"`
	Echo      string `json:"echo"`
}

type taskBody struct {
	Payload      Payload `json:"payload"`
	Processors   int64   `json:"processors-milli,omitempty"`
	Memory       int64   `json:"memory-mib,omitempty"`
	Accelerators int64   `json:"accelerators,omitempty"`
	RunTime      int64   `json:"run-time-ms,omitempty"`
}

type jobBody struct {
	Submission    string            `json:"submission-id"`
	Service       string            `json:"service"`
	Team          string            `json:"team"`
	Deadline      gypsumtide.Millis `json:"deadline-ms"`
	NonIdempotent bool              `json:"non-idempotent"`
	Tasks         []taskBody        `json:"tasks"`
}

// upstreamAnswer is the part of a stand-in upstream's response that is checked.
type upstreamAnswer struct {
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Echo       string `json:"echo"`
}

// entryAnswer is the entry's response to a job: the results of a complete job, or
// an RFC 9457 problem document that says why the job is not complete.
type entryAnswer struct {
	Submission string             `json:"submission-id"`
	Outcome    gypsumtide.Outcome `json:"outcome"`
	Step       string             `json:"step"`
	Detail     string             `json:"detail"`
	Results    []struct {
		Status   int             `json:"status"`
		Body     json.RawMessage `json:"body"`
		RunTime  int64           `json:"run-time-ms"`
		Upstream string          `json:"upstream"`
	} `json:"results"`
}

// newClient returns a client that keeps idle connections for reuse, as callers
// behind a load balancer do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}}
}

// job returns the request body of the job.
func (a *arrival) job(id string) jobBody {
	j := jobBody{Submission: id, Service: a.class.Service, Team: a.class.Team, Deadline: a.class.Deadline,
		NonIdempotent: a.nonIdempotent, Tasks: make([]taskBody, len(a.runTimes))}
	for i, run := range a.runTimes {
		size := a.class.Size
		j.Tasks[i] = taskBody{Payload: Payload{RunMillis: run, Echo: echo(id, i)}, Processors: size.Processors,
			Memory: size.Memory, Accelerators: size.Accelerators, RunTime: a.hints[i]}
	}
	return j
}

// echo returns the string that a task asks its upstream to return.
func echo(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// submit sends a job once. It returns the attempt for the history and the
// Retry-After of the response.
func (r *Runner) submit(ctx context.Context, a *arrival, id string, attemptNumber, target int) (history.Attempt, time.Duration) {
	// grace leaves time for the entry's response to a job whose deadline has passed.
	const grace = 10 * time.Second
	attempt := history.Attempt{Submission: id, Attempt: attemptNumber, Entry: r.cfg.Targets[target], Sent: unixMillis(time.Now()),
		Deadline: float64(a.class.Deadline), Tasks: len(a.runTimes), NonIdempotent: a.nonIdempotent}
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline.Duration()+grace)
	defer cancel()
	sleep(ctx, r.cfg.ClientDelay.Duration())
	retryAfter, err := r.post(ctx, a, &attempt)
	if err != nil {
		attempt.Step, attempt.Detail = failedStep(err), err.Error()
	}
	sleep(ctx, r.cfg.ClientDelay.Duration())
	attempt.Received = unixMillis(time.Now())
	return attempt, retryAfter
}

// post sends a job and stores the response in attempt. It returns the
// Retry-After of the response.
func (r *Runner) post(ctx context.Context, a *arrival, attempt *history.Attempt) (time.Duration, error) {
	data, err := json.Marshal(a.job(attempt.Submission))
	if err != nil {
		return 0, fmt.Errorf("load: encode job: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, attempt.Entry+"/v1/jobs", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("load: create job request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { attempt.Reused = c.Reused }}
	res, err := r.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return 0, fmt.Errorf("load: submit: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, fmt.Errorf("load: read response: %w", err)
	}
	attempt.Status = res.StatusCode
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second, checkAnswer(attempt, body)
}

// checkAnswer decodes a response into attempt and checks that each result
// belongs to its task.
func checkAnswer(attempt *history.Attempt, body []byte) error {
	var ans entryAnswer
	if err := json.Unmarshal(body, &ans); err != nil {
		attempt.Check = history.CheckUnreadable
		return fmt.Errorf("load: decode response: %w", err)
	}
	attempt.Outcome, attempt.Step, attempt.Detail = string(ans.Outcome), ans.Step, ans.Detail
	attempt.Results = len(ans.Results)
	if ans.Outcome != gypsumtide.OutcomeComplete {
		return nil
	}
	attempt.Check = history.CheckOK
	if ans.Submission != attempt.Submission {
		attempt.Check = history.CheckMismatched
	}
	digest := xxhash.New()
	for i, res := range ans.Results {
		fmt.Fprintf(digest, "%d %d %s\n", i, res.Status, res.Body)
		var e upstreamAnswer
		if err := json.Unmarshal(res.Body, &e); err != nil {
			attempt.Check = history.CheckUnreadable
			continue
		}
		if e.Submission != attempt.Submission || e.Task != i || e.Echo != echo(attempt.Submission, i) {
			attempt.Check = history.CheckMismatched
		}
	}
	attempt.Digest = strconv.FormatUint(digest.Sum64(), 16)
	return nil
}

// failedStep returns the step at which an attempt without a readable response failed.
func failedStep(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return history.StepTimeout
	case gypsumtide.NotSent(err):
		return history.StepConnect
	}
	return history.StepAnswer
}

// cancelJob asks the entry to cancel a job. The response to the submission
// shows whether the job was cancelled.
func (r *Runner) cancelJob(ctx context.Context, target int, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.cfg.Targets[target]+"/v1/jobs/"+id, nil)
	if err != nil {
		return fmt.Errorf("load: create cancel request: %w", err)
	}
	return r.sendAndDiscard(req)
}

// callDirect runs one task at an upstream without going through the dispatcher.
func (r *Runner) callDirect(ctx context.Context, url, id string) error {
	data, err := json.Marshal(Payload{RunMillis: int64(r.cfg.Direct.Run), Echo: echo(id, 0)})
	if err != nil {
		return fmt.Errorf("load: encode direct payload: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("load: create direct request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmission, id)
	req.Header.Set(HeaderTask, "0")
	req.Header.Set(HeaderLease, r.cfg.Direct.Lease)
	return r.sendAndDiscard(req)
}

// sendAndDiscard sends a request and discards the response body. A status of
// 400 or higher is an error.
func (r *Runner) sendAndDiscard(req *http.Request) error {
	res, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("load: %s: %w", req.Method, err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("load: read response: %w", err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("load: %s: status %d", req.Method, res.StatusCode)
	}
	return nil
}

// unixMillis returns t in milliseconds since 1970, with microsecond precision.
func unixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
