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

// Headers that name a task to an upstream.
const (
	HeaderSubmission = "Gypsumtide-Submission"
	HeaderTask       = "Gypsumtide-Task"
	HeaderLease      = "Gypsumtide-Lease"
)

// Payload is a task of the stand-in upstream.
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

// echoBody is the stand-in upstream's answer.
type echoBody struct {
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Echo       string `json:"echo"`
}

// answerBody is the entry's answer, complete or a problem.
type answerBody struct {
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

// newClient returns a client that reuses connections, as callers behind the
// balancer do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}}
}

func (a *arrival) job(id string) jobBody {
	j := jobBody{Submission: id, Service: a.class.Service, Team: a.class.Team, Deadline: a.class.Deadline,
		NonIdempotent: a.nonIdempotent, Tasks: make([]taskBody, len(a.runs))}
	for i, run := range a.runs {
		size := a.class.Size
		j.Tasks[i] = taskBody{Payload: Payload{RunMillis: run, Echo: echo(id, i)}, Processors: size.Processors,
			Memory: size.Memory, Accelerators: size.Accelerators, RunTime: a.hints[i]}
	}
	return j
}

func echo(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// submit sends a job once and reports the attempt. The grace covers the
// entry's answer after the deadline.
func (r *Runner) submit(ctx context.Context, a *arrival, id string, number, entry int) (history.Attempt, time.Duration) {
	const grace = 10 * time.Second
	h := history.Attempt{Submission: id, Attempt: number, Entry: r.cfg.Targets[entry], Sent: wall(time.Now()),
		Deadline: float64(a.class.Deadline), Tasks: len(a.runs), NonIdempotent: a.nonIdempotent}
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline.Duration()+grace)
	defer cancel()
	sleep(ctx, r.cfg.ClientDelay.Duration())
	retryAfter, err := r.post(ctx, a, &h)
	if err != nil {
		h.Step, h.Detail = failedStep(err), err.Error()
	}
	sleep(ctx, r.cfg.ClientDelay.Duration())
	h.Received = wall(time.Now())
	return h, retryAfter
}

func (r *Runner) post(ctx context.Context, a *arrival, h *history.Attempt) (time.Duration, error) {
	data, err := json.Marshal(a.job(h.Submission))
	if err != nil {
		return 0, fmt.Errorf("load: encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.Entry+"/v1/jobs", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("load: request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { h.Reused = c.Reused }}
	res, err := r.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return 0, fmt.Errorf("load: submit: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, fmt.Errorf("load: read answer: %w", err)
	}
	h.Status = res.StatusCode
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second, examine(h, body)
}

// examine reads an answer into h and checks that each body belongs to its task.
func examine(h *history.Attempt, body []byte) error {
	var ans answerBody
	if err := json.Unmarshal(body, &ans); err != nil {
		h.Check = history.CheckUnreadable
		return fmt.Errorf("load: decode answer: %w", err)
	}
	h.Outcome, h.Step, h.Detail = string(ans.Outcome), ans.Step, ans.Detail
	h.Results = len(ans.Results)
	if ans.Outcome != gypsumtide.OutcomeComplete {
		return nil
	}
	h.Check = history.CheckOK
	if ans.Submission != h.Submission {
		h.Check = history.CheckMismatched
	}
	digest := xxhash.New()
	for i, res := range ans.Results {
		fmt.Fprintf(digest, "%d %d %s\n", i, res.Status, res.Body)
		var e echoBody
		if err := json.Unmarshal(res.Body, &e); err != nil {
			h.Check = history.CheckUnreadable
			continue
		}
		if e.Submission != h.Submission || e.Task != i || e.Echo != echo(h.Submission, i) {
			h.Check = history.CheckMismatched
		}
	}
	h.Digest = strconv.FormatUint(digest.Sum64(), 16)
	return nil
}

func failedStep(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return history.StepTimeout
	case gypsumtide.NotSent(err):
		return history.StepConnect
	}
	return history.StepAnswer
}

// cancelJob asks the entry to cancel a job. The answer to the submission tells the effect.
func (r *Runner) cancelJob(ctx context.Context, entry int, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.cfg.Targets[entry]+"/v1/jobs/"+id, nil)
	if err != nil {
		return fmt.Errorf("load: cancel: %w", err)
	}
	return r.discard(req)
}

// callDirect runs one task at an upstream without the dispatcher.
func (r *Runner) callDirect(ctx context.Context, url, id string) error {
	data, err := json.Marshal(Payload{RunMillis: int64(r.cfg.Direct.Run), Echo: echo(id, 0)})
	if err != nil {
		return fmt.Errorf("load: encode: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("load: direct: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmission, id)
	req.Header.Set(HeaderTask, "0")
	req.Header.Set(HeaderLease, r.cfg.Direct.Lease)
	return r.discard(req)
}

func (r *Runner) discard(req *http.Request) error {
	res, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("load: %s: %w", req.Method, err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("load: read answer: %w", err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("load: %s: status %d", req.Method, res.StatusCode)
	}
	return nil
}

func wall(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

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
