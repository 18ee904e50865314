package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"gypsumtide/internal/upstream"
)

// defaultRun is the run time of a task whose payload names none.
const defaultRun = 50 * time.Millisecond

// throttleFactor is how much slower a throttled task runs.
const throttleFactor = 2

// payload is what a task may ask for.
type payload struct {
	RunMillis *int64          `json:"run-ms"`
	Fail      bool            `json:"fail"`
	Echo      json.RawMessage `json:"echo"`
}

// Answer is the body of a task's answer. It names the task, so that a caller
// detects an answer to another request.
type Answer struct {
	Submission string          `json:"submission"`
	Task       uint32          `json:"task"`
	Upstream   string          `json:"upstream"`
	Echo       json.RawMessage `json:"echo,omitempty"`
	// Stopped means that the task ended early.
	Stopped bool `json:"stopped,omitempty"`
}

// task is a running task.
type task struct {
	submission string
	index      uint32
	// left is the run time that remains at the time since.
	left  time.Duration
	since time.Time
	slow  float64
	hang  bool
	// change wakes the runner after slow was changed; stop ends it.
	change chan struct{}
	stop   chan struct{}
}

func (w *Worker) runTask(rw http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.Header.Get(upstream.HeaderTask), 10, 32)
	if err != nil {
		http.Error(rw, "header "+upstream.HeaderTask+" is missing or wrong", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	var p payload
	// A payload that is not JSON runs with the defaults.
	_ = json.Unmarshal(data, &p)
	t := &task{
		submission: r.Header.Get(upstream.HeaderSubmission),
		index:      uint32(index),
		left:       defaultRun,
		slow:       1,
		change:     make(chan struct{}, 1),
		stop:       make(chan struct{}, 1),
	}
	if p.RunMillis != nil {
		t.left = time.Duration(*p.RunMillis) * time.Millisecond
	}
	if reason := w.begin(t, r.Header.Get(upstream.HeaderLease)); reason != "" {
		w.refused.Inc()
		rw.Header().Set(upstream.HeaderNotStarted, "true")
		http.Error(rw, reason, http.StatusServiceUnavailable)
		return
	}
	stopped := w.wait(t)
	// The slot is free before the agent can read the answer. Otherwise the
	// agent's next task would find the upstream full.
	failed := w.end(t, stopped) || p.Fail
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	answer := Answer{Submission: t.submission, Task: t.index, Upstream: w.cfg.Name, Echo: p.Echo, Stopped: stopped}
	writeJSON(rw, status, answer)
}

// begin records the start, or returns why the task is refused.
func (w *Worker) begin(t *task, lease string) string {
	w.announcing.RLock()
	defer w.announcing.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.faults.Refuse:
		return "refused by fault"
	case w.leaving:
		return "leaving"
	case lease != strconv.FormatUint(w.lease, 10):
		return "lease generation is stale"
	case w.clock.Now() >= w.expires:
		return "lease has expired"
	case len(w.tasks) >= w.cfg.Slots:
		return "full"
	}
	if w.faults.SlowFactor > 0 {
		t.slow = w.faults.SlowFactor
	}
	t.hang = w.faults.Hang
	if w.faults.FailAll {
		t.left = 0
	}
	t.since = time.Now()
	w.tasks[t] = struct{}{}
	w.starts.Inc()
	w.history.write(w.event("start", t))
	return ""
}

// end records the end and reports whether the faults make the task fail.
func (w *Worker) end(t *task, stopped bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, t)
	w.ends.Inc()
	event := "end"
	if stopped {
		event = "stop"
	}
	w.history.write(w.event(event, t))
	return w.faults.FailAll
}

// wait runs the task and reports whether it was stopped. A broken connection
// does not stop it: the work of a started task goes on.
func (w *Worker) wait(t *task) (stopped bool) {
	for {
		w.mu.Lock()
		left, hang := time.Duration(float64(t.left)*t.slow), t.hang
		w.mu.Unlock()
		var timer <-chan time.Time
		if !hang {
			if left <= 0 {
				return false
			}
			timer = time.After(left)
		}
		select {
		case <-w.closed:
			return true
		case <-t.stop:
			return true
		case <-timer:
			return false
		case <-t.change:
		}
	}
}

// pace settles the work done and changes the factor of a running task.
func (t *task) pace(slow float64, now time.Time) {
	t.left -= time.Duration(float64(now.Sub(t.since)) / t.slow)
	t.since, t.slow = now, slow
	select {
	case t.change <- struct{}{}:
	default:
	}
}

// control serves stop, throttle and checkpoint of a running task.
func (w *Worker) control(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := false
	now := time.Now()
	for t := range w.tasks {
		if t.submission != r.PathValue("submission") || strconv.FormatUint(uint64(t.index), 10) != r.PathValue("task") {
			continue
		}
		found = true
		switch r.PathValue("action") {
		case "stop":
			select {
			case t.stop <- struct{}{}:
			default:
			}
		case "throttle":
			t.pace(t.slow*throttleFactor, now)
		case "checkpoint":
			t.pace(t.slow, now)
			writeJSON(rw, http.StatusOK, map[string]any{"left-ms": max(t.left, 0).Milliseconds()})
			return
		default:
			http.Error(rw, "unknown action", http.StatusNotFound)
			return
		}
	}
	if !found {
		http.Error(rw, "no such task runs", http.StatusNotFound)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}
