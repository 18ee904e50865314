package worker

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"gypsumtide"
)

// Faults are the faults of the upstream. A request to change them replaces all of them.
type Faults struct {
	// FailAll answers each task with status 500 at once.
	FailAll bool `json:"fail-all"`
	// Hang never ends a task that starts while it is set.
	Hang bool `json:"hang"`
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	// Refuse refuses each task as not started.
	Refuse bool `json:"refuse"`
	// PauseRenewals lets the lease expire.
	PauseRenewals bool `json:"pause-renewals"`
	// Die ends the process at once.
	Die bool `json:"die"`
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
	if f.Die {
		w.cfg.Exit()
	}
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks", w.guard(w.runTask))
	mux.HandleFunc("POST /tasks/{submission}/{task}/{action}", w.guard(w.control))
	mux.HandleFunc("GET /usage", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.lastUsage()) })
	mux.HandleFunc("PUT /faults", w.putFaults)
	mux.HandleFunc("GET /metrics", func(rw http.ResponseWriter, _ *http.Request) { w.metrics.WritePrometheus(rw) })
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok\n")) })
	return mux
}

// guard asks for the shared key, if one is set.
func (w *Worker) guard(next http.HandlerFunc) http.HandlerFunc {
	if w.cfg.Key == "" {
		return next
	}
	want := []byte("Bearer " + w.cfg.Key)
	return func(rw http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(rw, "the shared key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(rw, r)
	}
}

func (w *Worker) putFaults(rw http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.SetFaults(f)
	rw.WriteHeader(http.StatusNoContent)
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

type usageSample struct {
	at   gypsumtide.Millis
	used gypsumtide.Size
}

// measureInterval is the time between two samples of the use.
const measureInterval = 100 * time.Millisecond

// The use of one running task, as far as the capacity allows.
const (
	taskProcessors = 1000
	taskMemory     = 256
)

// measure samples the use, so that it can be reported with a lag.
func (w *Worker) measure(ctx context.Context) error {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := w.clock.Now()
		w.mu.Lock()
		n := int64(len(w.tasks))
		c := w.cfg.Capacity
		used := gypsumtide.Size{Processors: min(n*taskProcessors, c.Processors), Memory: min(n*taskMemory, c.Memory), Accelerators: min(n, c.Accelerators)}
		w.usage = append(w.usage, usageSample{at: now, used: used})
		for len(w.usage) > 0 && now-w.usage[0].at >= w.cfg.UsageLag {
			w.usageNow = w.usage[0].used
			w.usage = w.usage[1:]
		}
		w.mu.Unlock()
	}
}

func (w *Worker) lastUsage() gypsumtide.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usageNow
}
