package deployment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// readyTimeout bounds the wait for processes on a busy machine.
const readyTimeout = 30 * time.Second

// WaitReady waits until every entry and agent is ready and every entry
// completes a task of each service.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range append(append([]*Process(nil), d.entries...), d.agents...) {
		if err := poll(ctx, func() error { return p.Ready(ctx) }); err != nil {
			return fmt.Errorf("deployment: wait for %s: %w", p.name, err)
		}
	}
	if d.direct != nil {
		if err := poll(ctx, func() error { return d.probeDirect(ctx) }); err != nil {
			return fmt.Errorf("deployment: probe direct upstream: %w", err)
		}
	}
	for _, e := range d.entries {
		for _, s := range d.cfg.Services {
			if err := poll(ctx, func() error { return probe(ctx, e.URL(), s) }); err != nil {
				return fmt.Errorf("deployment: probe %s with %s: %w", e.name, s, err)
			}
		}
	}
	return nil
}

// Ready returns nil if /readyz answers with 200.
func (p *Process) Ready(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL()+"/readyz", nil)
	if err != nil {
		return err
	}
	return do(req)
}

// probe submits one task, as readiness of an entry does not say that upstreams have registered.
func probe(ctx context.Context, url, service string) error {
	body := fmt.Sprintf(`{"service":%q,"team":"probe","deadline-ms":2000,"tasks":[{"payload":{"run-ms":1}}]}`, service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/jobs", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	return do(req)
}

func do(req *http.Request) error {
	ctx, cancel := context.WithTimeout(req.Context(), 5*time.Second)
	defer cancel()
	res, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", res.StatusCode, body)
	}
	return nil
}

// poll calls fn until it returns nil, and returns its last error when ctx ends.
func poll(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func awaitPort(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return poll(ctx, func() error {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}
