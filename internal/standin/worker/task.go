package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"gypsumtide/internal/upstream"
)

// defaultRunTime is the run time of a task whose payload does not give one.
const defaultRunTime = 50 * time.Millisecond

// throttleFactor is the factor by which each throttle request slows a task.
const throttleFactor = 2

// payload is the request body of a task. All fields are optional.
type payload struct {
	RunMillis *int64          `json:"run-ms"`
	Fail      bool            `json:"fail"`
	Echo      json.RawMessage `json:"echo"`
}

// Answer is the response body of a task. It identifies the task, so that callers
// can detect the response to another request.
type Answer struct {
	Submission string          `json:"submission"`
	Task       uint32          `json:"task"`
	Upstream   string          `json:"upstream"`
	Echo       json.RawMessage `json:"echo,omitempty"`
	// Stopped means that the task was stopped before its run time was over.
	Stopped bool `json:"stopped,omitempty"`
}

// task is the state of a running task.
type task struct {
	submission string
	index      uint32
	// remaining is the run time, before slowFactor applies, that was left at updatedAt.
	remaining  time.Duration
	updatedAt  time.Time
	slowFactor float64
	// hang lets the task run until it is stopped.
	hang bool
	// changed wakes waitForTask after setSlowFactor; stop ends the task.
	changed chan struct{}
	stop    chan struct{}
}

// runTask serves POST /tasks: it runs the task and responds when it ends.
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
	// A body that is not valid JSON is accepted: the task runs with the defaults.
	_ = json.Unmarshal(data, &p)
	t := &task{
		submission: r.Header.Get(upstream.HeaderSubmission),
		index:      uint32(index),
		remaining:  defaultRunTime,
		slowFactor: 1,
		changed:    make(chan struct{}, 1),
		stop:       make(chan struct{}, 1),
	}
	if p.RunMillis != nil {
		t.remaining = time.Duration(*p.RunMillis) * time.Millisecond
	}
	if reason := w.startTask(t, r.Header.Get(upstream.HeaderLease)); reason != "" {
		w.refused.Inc()
		rw.Header().Set(upstream.HeaderNotStarted, "true")
		http.Error(rw, reason, http.StatusServiceUnavailable)
		return
	}
	stopped := w.waitForTask(t)
	// The slot is released before the response is sent. Otherwise the agent's next
	// task could find no free slot.
	failed := w.endTask(t, stopped) || p.Fail
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	answer := Answer{Submission: t.submission, Task: t.index, Upstream: w.cfg.Name, Echo: p.Echo, Stopped: stopped}
	writeJSON(rw, status, answer)
}

// startTask records the start of a task, or returns the reason why it is refused, which
// is empty if the task was started.
func (w *Worker) startTask(t *task, lease string) string {
	w.announceMu.RLock()
	defer w.announceMu.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.faults.Refuse:
		return "refused by fault"
	case w.leaving:
		return "leaving"
	case lease != strconv.FormatUint(w.leaseGeneration, 10):
		return "lease generation is stale"
	case w.clock.Now() >= w.leaseExpiry:
		return "lease has expired"
	case len(w.tasks) >= w.cfg.Slots:
		return "full"
	}
	if w.faults.SlowFactor > 0 {
		t.slowFactor = w.faults.SlowFactor
	}
	t.hang = w.faults.Hang
	if w.faults.FailAll {
		t.remaining = 0
	}
	t.updatedAt = time.Now()
	w.tasks[t] = struct{}{}
	w.starts.Inc()
	w.history.write(w.newEvent("start", t))
	return ""
}

// endTask records the end of a task and reports whether FailAll makes it fail.
func (w *Worker) endTask(t *task, stopped bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, t)
	w.ends.Inc()
	event := "end"
	if stopped {
		event = "stop"
	}
	w.history.write(w.newEvent(event, t))
	return w.faults.FailAll
}

// waitForTask waits until the task's run time is over or the task is stopped, by an
// action or because Run ends, and reports whether it was stopped. A broken connection
// does not stop a task.
func (w *Worker) waitForTask(t *task) (stopped bool) {
	for {
		w.mu.Lock()
		left, hang := time.Duration(float64(t.remaining)*t.slowFactor), t.hang
		w.mu.Unlock()
		var timer <-chan time.Time
		if !hang {
			if left <= 0 {
				return false
			}
			timer = time.After(left)
		}
		select {
		case <-w.abort:
			return true
		case <-t.stop:
			return true
		case <-timer:
			return false
		case <-t.changed:
		}
	}
}

// setSlowFactor subtracts the work done since updatedAt from remaining and sets the slow
// factor of a running task. The caller must hold Worker.mu.
func (t *task) setSlowFactor(slowFactor float64, now time.Time) {
	t.remaining -= time.Duration(float64(now.Sub(t.updatedAt)) / t.slowFactor)
	t.updatedAt, t.slowFactor = now, slowFactor
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// controlTask serves the actions stop, throttle and checkpoint on a running task.
func (w *Worker) controlTask(rw http.ResponseWriter, r *http.Request) {
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
			t.setSlowFactor(t.slowFactor*throttleFactor, now)
		case "checkpoint":
			t.setSlowFactor(t.slowFactor, now)
			writeJSON(rw, http.StatusOK, map[string]any{"left-ms": max(t.remaining, 0).Milliseconds()})
			return
		default:
			http.Error(rw, "unknown action", http.StatusNotFound)
			return
		}
	}
	if !found {
		http.Error(rw, "the task is not running", http.StatusNotFound)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}
