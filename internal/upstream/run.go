package upstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// The headers of a task request and its response.
const (
	HeaderSubmission = "Gypsumtide-Submission"
	HeaderTask       = "Gypsumtide-Task"
	HeaderService    = "Gypsumtide-Service"
	HeaderLease      = "Gypsumtide-Lease"
	HeaderBudget     = "Gypsumtide-Budget-Ms"
	HeaderNotStarted = "Gypsumtide-Not-Started"
)

// The reasons of results. ReasonConnectionNotOpened belongs to TaskNotStarted results
// whose request was not written to a connection, and the others to TaskUnknown results.
const (
	ReasonConnectionBroken    = "connection-broken"
	ReasonResponseTooLarge    = "response-too-large"
	ReasonRunTimeExceeded     = "run-time-exceeded"
	ReasonConnectionNotOpened = "connection-not-opened"
)

var errResponseTooLarge = errors.New("response too large")

// opaqueBody hides the type of its reader from net/http, which could otherwise read the
// body anew and send the request again.
type opaqueBody struct{ io.Reader }

// Run sends the task and waits for the response, for MaxRunTime at most. The budget is
// the time left until the deadline. It is passed to the upstream and does not limit the
// request, because the upstream decides whether a started task continues beyond its
// deadline.
func (s *Slot) Run(ctx context.Context, d *wire.Dispatch, budget gypsumtide.Millis) wire.Result {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.registry.cfg.MaxRunTime.Duration())
	defer cancel()
	r := s.send(ctx, d, budget)
	r.TaskRef = d.TaskRef
	r.Upstream = s.name
	r.RunTime = gypsumtide.FromDuration(time.Since(started))
	if r.State == wire.TaskUnknown && ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Reason = ReasonRunTimeExceeded
	}
	return r
}

// send sends the request and classifies the outcome: the task is done, has not
// started, or may have started.
func (s *Slot) send(ctx context.Context, d *wire.Dispatch, budget gypsumtide.Millis) wire.Result {
	var conn *countedConn
	var writtenBefore uint64
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected = true
		if conn = countedConnOf(info); conn != nil {
			writtenBefore = conn.written()
		}
	}})
	req, err := s.newRequest(ctx, d, budget)
	if err != nil {
		return wire.Result{State: wire.TaskNotStarted, Reason: ReasonConnectionNotOpened}
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		// Without a connection, or if nothing was written to it, the task cannot have
		// started.
		if !connected || conn != nil && conn.closeAndCount() == writtenBefore {
			return wire.Result{State: wire.TaskNotStarted, Reason: ReasonConnectionNotOpened}
		}
		return wire.Result{State: wire.TaskUnknown, Reason: ReasonConnectionBroken}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, 4096)
		return wire.Result{State: wire.TaskNotStarted, Reason: wire.ReasonRefused}
	}
	data, err := readLimited(resp.Body, s.registry.cfg.MaxResponseBytes)
	if errors.Is(err, errResponseTooLarge) {
		return wire.Result{State: wire.TaskUnknown, Reason: ReasonResponseTooLarge}
	}
	if err != nil {
		return wire.Result{State: wire.TaskUnknown, Reason: ReasonConnectionBroken}
	}
	return wire.Result{State: wire.TaskDone, Status: resp.StatusCode, Body: data, ContentType: resp.Header.Get("Content-Type")}
}

// countedConnOf returns the countedConn below a connection, or nil.
func countedConnOf(info httptrace.GotConnInfo) *countedConn {
	conn := info.Conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*countedConn)
	return c
}

func (s *Slot) newRequest(ctx context.Context, d *wire.Dispatch, budget gypsumtide.Millis) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(s.url, "/")+"/tasks", opaqueBody{bytes.NewReader(d.Payload)})
	if err != nil {
		return nil, fmt.Errorf("upstream: create task request: %w", err)
	}
	req.ContentLength = int64(len(d.Payload))
	if len(d.Payload) == 0 {
		req.Body = http.NoBody
	}
	if d.ContentType != "" {
		req.Header.Set("Content-Type", d.ContentType)
	}
	req.Header.Set(HeaderSubmission, d.Submission.String())
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(d.Task), 10))
	req.Header.Set(HeaderService, d.Service)
	req.Header.Set(HeaderLease, strconv.FormatUint(s.generation, 10))
	req.Header.Set(HeaderBudget, strconv.FormatInt(int64(budget), 10))
	if s.registry.cfg.SharedKey != "" {
		req.Header.Set("Authorization", "Bearer "+s.registry.cfg.SharedKey)
	}
	return req, nil
}

// readLimited reads r to its end. It returns errResponseTooLarge if there are more than
// limit bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("upstream: read response: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, errResponseTooLarge
	}
	return data, nil
}

// Stop asks the upstream to stop a running task.
func (s *Slot) Stop(ctx context.Context, ref wire.TaskRef) error {
	url := fmt.Sprintf("%s/tasks/%s/%d/stop", strings.TrimSuffix(s.url, "/"), ref.Submission, ref.Task)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return fmt.Errorf("upstream: create stop request: %w", err)
	}
	if s.registry.cfg.SharedKey != "" {
		req.Header.Set("Authorization", "Bearer "+s.registry.cfg.SharedKey)
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return gypsumtide.NewError("stop task", s.name, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= 300 {
		return gypsumtide.NewError("stop task", s.name, fmt.Errorf("status %d", resp.StatusCode))
	}
	return nil
}
