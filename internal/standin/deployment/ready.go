package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"gypsumtide"
)

const (
	// settleTime is how long the number of shards that each entry serves must stay the
	// same for the shards to count as balanced. It is longer than the time between two
	// batches of shards that a rebalancing moves.
	settleTime = 2 * time.Second
	// statusInterval is the time between two polls of the entries' status.
	statusInterval = 20 * time.Millisecond
)

// readyTimeout limits WaitReady and awaitPort. It is long enough for processes to start
// on a busy machine.
const readyTimeout = 30 * time.Second

// WaitReady waits for at most readyTimeout until every entry and agent is ready, every
// entry completes a task of each service, and the direct upstream, if any, runs a task. It
// bypasses the fault proxies.
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

// Ready returns nil if the process answers /readyz with status 200.
func (p *Process) Ready(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL()+"/readyz", nil)
	if err != nil {
		return err
	}
	return doExpectOK(req)
}

// probe submits a job of one task and returns an error unless it is completed. Readiness
// is not enough, since an entry can be ready before any upstream of the service has
// registered.
func probe(ctx context.Context, url, service string) error {
	body := fmt.Sprintf(`{"service":%q,"team":"probe","deadline-ms":2000,"tasks":[{"payload":{"run-ms":1}}]}`, service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/jobs", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	return doExpectOK(req)
}

// doExpectOK sends the request with a timeout of 5 s and returns an error unless the
// status is 200.
func doExpectOK(req *http.Request) error {
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

// poll calls fn until it returns nil. If ctx ends first, it returns the last error
// of fn.
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

// awaitPort waits until addr accepts connections.
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

// ServedShards returns the number of shards that the entry serves, or 0 if its
// status cannot be read.
func (p *Process) ServedShards(ctx context.Context) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL()+"/v1/status", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Shards map[string]int `json:"shards"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return 0
	}
	return status.Shards["serving"]
}

// shardCounts returns the number of shards that each entry serves, the smallest of
// these numbers and their sum.
func (d *Deployment) shardCounts(ctx context.Context) (counts []int, least, total int) {
	least = gypsumtide.ShardCount
	for _, e := range d.entries {
		n := e.ServedShards(ctx)
		counts = append(counts, n)
		least, total = min(least, n), total+n
	}
	return counts, least, total
}

// WaitServing waits until the entries together report as many served shards as there are
// shards. It does not check which shards these are.
func (d *Deployment) WaitServing(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, _, total := d.shardCounts(ctx); total >= gypsumtide.ShardCount {
			return nil
		}
		time.Sleep(statusInterval)
	}
	return fmt.Errorf("deployment: not all shards are served: %w", ctx.Err())
}

// WaitBalanced waits until all shards are served, every entry serves some, and the
// number that each entry serves has not changed for settleTime. Tests of log outages need
// this: if the log fails before the outcome of a handover record is known, the entry that
// hands over the shard must not serve it during the outage, because the record may have
// been written.
func (d *Deployment) WaitBalanced(ctx context.Context) error {
	var last []int
	unchangedSince := time.Now()
	for ctx.Err() == nil {
		counts, least, total := d.shardCounts(ctx)
		if least == 0 || total < gypsumtide.ShardCount || !slices.Equal(counts, last) {
			last, unchangedSince = counts, time.Now()
		}
		if time.Since(unchangedSince) > settleTime {
			return nil
		}
		time.Sleep(statusInterval)
	}
	return fmt.Errorf("deployment: shards are not balanced over the entries: %w", ctx.Err())
}
