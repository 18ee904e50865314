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

// retryInterval is the pause after a failed announcement.
const retryInterval = 200 * time.Millisecond

// keepLease announces the upstream and renews its lease until ctx is done.
func (w *Worker) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := w.cfg.TTL.Duration() / 3
		if !w.paused() {
			if err := w.renewOrAnnounce(ctx); err != nil {
				pause = retryInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

func (w *Worker) paused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.PauseRenewals || w.leaving
}

func (w *Worker) renewOrAnnounce(ctx context.Context) error {
	w.mu.Lock()
	generation, used := w.lease, w.usageNow
	w.mu.Unlock()
	// The lease counts from the time at which the request is sent, since the
	// agent counts it from its later receipt.
	sent := w.clock.Now()
	var lease upstream.Lease
	if generation != 0 {
		body := map[string]any{"generation": generation, "used": used}
		if err := w.call(ctx, http.MethodPut, "/v1/upstreams/"+w.cfg.Name+"/lease", body, &lease); err == nil {
			w.take(lease, sent)
			return nil
		}
		sent = w.clock.Now()
	}
	w.announcing.Lock()
	defer w.announcing.Unlock()
	a := upstream.Announcement{
		Name: w.cfg.Name, URL: w.cfg.URL, Services: w.cfg.Services, Slots: w.cfg.Slots,
		Connections: w.cfg.Connections, Capacity: w.cfg.Capacity, TTL: w.cfg.TTL,
	}
	if err := w.call(ctx, http.MethodPost, "/v1/upstreams", a, &lease); err != nil {
		return err
	}
	w.take(lease, sent)
	return nil
}

func (w *Worker) take(lease upstream.Lease, sent gypsumtide.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease, w.expires = lease.Generation, sent+lease.TTL
}

func (w *Worker) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("worker: encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, w.cfg.Agent+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("worker: request: %w", err)
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
