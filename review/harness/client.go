//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times of a client, as the pages name them.
const (
	clientDeadline = 1500 * time.Millisecond
	resendAfter    = 1300 * time.Millisecond
)

// step is a step of a job, in the words of PROTOCOL.md.
type step struct {
	Count       int    `json:"count,omitempty"`
	CPU         int64  `json:"cpu,omitempty"`
	MemMb       int64  `json:"memMb,omitempty"`
	EstimateMs  int64  `json:"estimateMs,omitempty"`
	DependsOn   []int  `json:"dependsOn,omitempty"`
	Constraints string `json:"constraints,omitempty"`
}

// job is a stored job.
type job struct {
	id       string
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	accepted time.Time
}

// newJob returns a job of one step whose tasks take the given time.
func newJob(takes time.Duration, s step) *job {
	s.EstimateMs = takes.Milliseconds()
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), Spec: fmt.Sprintf("work %d", takes.Milliseconds()), Steps: []step{s}}
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a request to an entry. The status is 0 if there was no answer.
func (d *deployment) call(e *process, method, id string, body []byte, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", e.ip, portCallers, prefix, id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Gypsumtide-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	resp, err := callers.Do(r)
	if err != nil {
		d.rec.add("%s %s%s at %s: no answer (%v)", method, prefix, id, e.name, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.rec.add("%s %s%s at %s: %d without a complete body", method, prefix, id, e.name, resp.StatusCode)
		return 0, nil
	}
	d.rec.add("%s %s%s at %s: %d %s", method, prefix, id, e.name, resp.StatusCode, bytes.TrimSpace(data))
	return resp.StatusCode, data
}

// submit hands in the job until it is accepted, or gives up after the given time. It reports
// whether the job was accepted.
func (d *deployment) submit(j *job, giveUp time.Duration, entries ...*process) bool {
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	until := time.Now().Add(giveUp)
	for n := rand.IntN(len(entries)); time.Now().Before(until); n++ {
		status, _ := d.call(entries[n%len(entries)], http.MethodPost, j.id, body, clientDeadline)
		switch {
		case status/100 == 2:
			j.accepted = time.Now()
			return true
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			time.Sleep(time.Second)
		default:
			time.Sleep(resendAfter)
		}
	}
	return false
}

// state asks for the state of a job. The state is empty unless the status is 200.
func (d *deployment) state(e *process, id string) (int, string) {
	status, data := d.call(e, http.MethodGet, id, nil, clientDeadline)
	var b struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(data, &b)
	}
	return status, b.State
}

// queued asks for the number of queued jobs. It returns -1 if there is no answer.
func (d *deployment) queued(e *process) int {
	status, data := d.call(e, http.MethodGet, "", nil, clientDeadline)
	b := struct {
		Queued int `json:"queuedJobs"`
	}{-1}
	if status == http.StatusOK {
		_ = json.Unmarshal(data, &b)
	}
	return b.Queued
}
