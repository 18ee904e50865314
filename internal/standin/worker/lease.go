package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"gypsumtide"
	"gypsumtide/internal/upstream"
)

// announceRetryInterval is the delay after a failed announcement.
const announceRetryInterval = 200 * time.Millisecond

// keepLease announces the upstream and renews its lease every third of the configured
// TTL until ctx is done. It sends nothing while renewalsPaused reports true.
func (w *Worker) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := w.cfg.TTL.Duration() / 3
		if !w.renewalsPaused() {
			if err := w.renewOrAnnounce(ctx); err != nil {
				pause = announceRetryInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// renewalsPaused reports whether the lease must be neither renewed nor requested,
// because of a fault or because the worker is leaving.
func (w *Worker) renewalsPaused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.PauseRenewals || w.leaving
}

// renewOrAnnounce renews the lease, or announces the upstream if there is no
// lease or its renewal fails.
func (w *Worker) renewOrAnnounce(ctx context.Context) error {
	w.mu.Lock()
	generation, used := w.leaseGeneration, w.reportedUsage
	w.mu.Unlock()
	// For the worker, the TTL starts when the request is sent. For the agent, it starts
	// later, when the request is received, so the lease expires at the worker first.
	sentAt := w.clock.Now()
	var lease upstream.Lease
	if generation != 0 {
		body := map[string]any{"generation": generation, "used": used}
		if err := w.call(ctx, http.MethodPut, "/v1/upstreams/"+w.cfg.Name+"/lease", body, &lease); err == nil {
			w.storeLease(lease, sentAt)
			return nil
		}
		sentAt = w.clock.Now()
	}
	w.announceMu.Lock()
	defer w.announceMu.Unlock()
	a := upstream.Announcement{
		Name: w.cfg.Name, URL: w.cfg.URL, Services: w.cfg.Services, Slots: w.cfg.Slots,
		Connections: w.cfg.Connections, Capacity: w.cfg.Capacity, TTL: w.cfg.TTL,
	}
	if err := w.call(ctx, http.MethodPost, "/v1/upstreams", a, &lease); err != nil {
		return err
	}
	w.storeLease(lease, sentAt)
	return nil
}

// storeLease stores a granted lease, whose TTL counts from sentAt.
func (w *Worker) storeLease(lease upstream.Lease, sentAt gypsumtide.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseGeneration, w.leaseExpiry = lease.Generation, sentAt+lease.TTL
}

// call sends a request to the agent with a timeout of 1 s and decodes the response into
// out, unless out is nil. A status of 300 or higher is an error.
func (w *Worker) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("worker: encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, w.cfg.Agent+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("worker: create request: %w", err)
	}
	if w.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+w.cfg.Key)
	}
	resp, err := w.cfg.Client.Do(req)
	if err != nil {
		return gypsumtide.NewError(method+" "+path, w.cfg.Agent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= 300 {
		return gypsumtide.NewError(method+" "+path, w.cfg.Agent, fmt.Errorf("status %d", resp.StatusCode))
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return gypsumtide.NewError(method+" "+path, w.cfg.Agent, err)
	}
	return nil
}
