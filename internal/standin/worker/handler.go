package worker

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"gypsumtide"
)

// Faults are the faults that the upstream simulates. PUT /faults replaces all of
// them; a missing field is reset.
type Faults struct {
	// FailAll makes every task that ends while it is set fail with status 500. New tasks
	// end immediately, unless Hang is set too.
	FailAll bool `json:"fail-all"`
	// Hang lets tasks that start while it is set run until they are stopped.
	Hang bool `json:"hang"`
	// SlowFactor multiplies the run times of tasks that start while it is set; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	// Refuse refuses all tasks and marks them as not started.
	Refuse bool `json:"refuse"`
	// PauseRenewals stops renewals and announcements, so that the lease expires.
	PauseRenewals bool `json:"pause-renewals"`
	// Die calls Config.Exit immediately, which normally exits the process.
	Die bool `json:"die"`
}

// SetFaults replaces all faults.
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
	mux.HandleFunc("POST /tasks", w.requireKey(w.runTask))
	mux.HandleFunc("POST /tasks/{submission}/{task}/{action}", w.requireKey(w.controlTask))
	mux.HandleFunc("GET /usage", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.lastReportedUsage()) })
	mux.HandleFunc("PUT /faults", w.putFaults)
	mux.HandleFunc("GET /metrics", func(rw http.ResponseWriter, _ *http.Request) { w.metrics.WritePrometheus(rw) })
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok\n")) })
	return mux
}

// requireKey returns a handler that rejects requests without the shared key, or next
// itself if no key is configured.
func (w *Worker) requireKey(next http.HandlerFunc) http.HandlerFunc {
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

// usageSample is the resource usage at one time.
type usageSample struct {
	at   gypsumtide.Millis
	used gypsumtide.Size
}

// usageInterval is the time between two samples of the resource usage.
const usageInterval = 100 * time.Millisecond

// The simulated usage of one running task, in thousandths of a processor and in
// MiB. Each task also uses one accelerator. The total does not exceed the capacity.
const (
	taskProcessors = 1000
	taskMemory     = 256
)

// sampleUsage records the resource usage until ctx is done, so that it can be
// reported with a lag.
func (w *Worker) sampleUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
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
		w.usageSamples = append(w.usageSamples, usageSample{at: now, used: used})
		for len(w.usageSamples) > 0 && now-w.usageSamples[0].at >= w.cfg.UsageLag {
			w.reportedUsage = w.usageSamples[0].used
			w.usageSamples = w.usageSamples[1:]
		}
		w.mu.Unlock()
	}
}

// lastReportedUsage returns the newest usage sample that is at least UsageLag old, or
// zero if there is none yet.
func (w *Worker) lastReportedUsage() gypsumtide.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportedUsage
}
