package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"gypsumtide"
	"gypsumtide/internal/standin/deployment"
	"gypsumtide/internal/standin/history"
	"gypsumtide/internal/standin/load"
	"gypsumtide/internal/standin/worker"
)

// runTrial runs the phases of a trial on a fresh deployment and reads and checks the
// histories. It deletes the files unless Config.Dir is set, the repetition failed or a
// violation was found.
func (c *Config) runTrial(ctx context.Context, org organisation, t *trial, seed uint64) (r *result, err error) {
	dir, err := os.MkdirTemp(c.Dir, "measure-")
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	d, err := deployment.Start(ctx, deployment.Config{Bin: c.Bin, Dir: dir, Entries: org.entries, Workers: workers, Zones: org.zones, Slots: slots,
		Services: []string{"stock-check", "order-batch", "hint"}, Proxies: true, ZoneDelay: org.zoneDelay, CallerDelay: org.callerDelay})
	if err != nil {
		return nil, err
	}
	r = &result{organisation: org, runTimes: map[string]float64{}}
	// While shards still move to their preferred entries, an entry that has taken over
	// a shard must first recover the state of the shard's submissions that it does not
	// know. These submissions wait for the recovery.
	if err = d.WaitBalanced(ctx); err == nil {
		err = r.run(ctx, d, t, seed)
	}
	if err = errors.Join(err, d.Close()); err != nil {
		return nil, err
	}
	if err := r.readHistories(d, t); err != nil {
		return nil, err
	}
	if c.Dir == "" && len(r.violations) == 0 {
		err = os.RemoveAll(dir)
	}
	return r, err
}

// run publishes the configuration objects of the trial, runs its phases and counts
// the messages that are sent during the phases.
func (r *result) run(ctx context.Context, d *deployment.Deployment, t *trial, seed uint64) error {
	if err := publish(ctx, d, t.objects); err != nil {
		return err
	}
	countsBefore, err := messageCounts(ctx, d)
	if err != nil {
		return err
	}
	for i, p := range t.phases {
		r.phases = append(r.phases, make([]loadResult, len(p)))
		g, gctx := errgroup.WithContext(ctx)
		for j, cfg := range p {
			cfg.Seed = seed + uint64(100*i+10*j)
			cfg.Targets, cfg.Slots, cfg.OneWayDelay = d.EntryURLs(), totalSlots, gypsumtide.Millis(r.organisation.callerDelay.Milliseconds())
			cfg.History = historyFile(d, i, j)
			if errs := cfg.Check(); len(errs) > 0 {
				return fmt.Errorf("measure: load: %w", errors.Join(errs...))
			}
			lr := &r.phases[i][j]
			g.Go(func() (err error) {
				lr.startedAt = float64(time.Now().UnixMicro()) / 1000
				lr.report, err = load.RunFile(gctx, &cfg)
				return err
			})
		}
		if t.faults != nil && i == len(t.phases)-1 {
			g.Go(func() error { return setFaults(gctx, d.Upstreams()[0], t.faults) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	if r.messages, err = messageCounts(ctx, d); err != nil {
		return err
	}
	for kind, n := range countsBefore {
		r.messages[kind] -= n
	}
	return nil
}

// messageCounts returns the number of messages between entries and agents by kind, as
// counted by the entries.
func messageCounts(ctx context.Context, d *deployment.Deployment) (map[string]float64, error) {
	counts := map[string]float64{}
	for _, e := range d.Entries() {
		text, err := call(ctx, http.MethodGet, e.URL()+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			rest, ok := strings.CutPrefix(line, `gypsumtide_messages_total{kind="`)
			kind, value, found := strings.Cut(rest, `"} `)
			if !ok || !found {
				continue
			}
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				return nil, fmt.Errorf("measure: metrics of %s: %w", e.Name(), err)
			}
			counts[kind] += n
		}
	}
	return counts, nil
}

// historyFile returns the file for the attempts of load i of a phase.
func historyFile(d *deployment.Deployment, phase, i int) string {
	return filepath.Join(d.Dir(), fmt.Sprintf("callers-%d-%d.jsonl", phase, i))
}

// readHistories reads the histories of callers and upstreams, checks them with the
// history checker, and computes the run times.
func (r *result) readHistories(d *deployment.Deployment, t *trial) error {
	var all []history.Attempt
	for i, p := range r.phases {
		for j := range p {
			attempts, err := history.Read[history.Attempt](historyFile(d, i, j))
			if err != nil {
				return err
			}
			p[j].attempts = attempts
			all = append(all, attempts...)
		}
	}
	events, err := history.Read[history.Event](d.HistoryFiles()...)
	if err != nil {
		return err
	}
	r.violations = history.Check(all, events, nil)
	type key struct {
		submission string
		task       int
	}
	starts := map[key]int64{}
	for _, e := range events {
		k := key{e.Submission, e.Task}
		switch e.Event {
		case history.EventStart:
			starts[k] = e.Mono
		case history.EventEnd:
			if from, ok := starts[k]; ok {
				r.runTimes[e.Submission] = max(r.runTimes[e.Submission], float64(e.Mono-from)/1e6)
			}
		}
	}
	return nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// setFaults sets the faults of an upstream after faultAt.
func setFaults(ctx context.Context, u *deployment.Process, f *worker.Faults) error {
	if err := sleep(ctx, faultAt); err != nil {
		return err
	}
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("measure: faults: %w", err)
	}
	_, err = call(ctx, http.MethodPut, u.URL()+"/faults", data)
	return err
}

// publishTimeout is longer than the target time for all entries to apply a
// configuration, because the host may be busy.
const publishTimeout = 10 * time.Second

// publish publishes configuration objects at the first entry and waits for up to
// publishTimeout until every entry has applied them.
func publish(ctx context.Context, d *deployment.Deployment, objects string) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	first := d.Entries()[0].URL() + "/v1/configuration"
	base, err := revision(ctx, http.MethodGet, first, nil)
	if err != nil {
		return err
	}
	accepted, err := revision(ctx, http.MethodPut, fmt.Sprintf("%s?base=%d&author=measure", first, base), []byte(objects))
	if err != nil {
		return err
	}
	for _, e := range d.Entries() {
		for current := uint64(0); current < accepted; time.Sleep(20 * time.Millisecond) {
			if current, err = revision(ctx, http.MethodGet, e.URL()+"/v1/configuration", nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// revision sends a request to the configuration endpoint and returns the
// revision in the response.
func revision(ctx context.Context, method, url string, body []byte) (uint64, error) {
	data, err := call(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, fmt.Errorf("measure: %s %s: %w", method, url, err)
	}
	return answer.Revision, nil
}

// call sends a request and returns the response body. A status of 300 or higher
// is an error.
func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("measure: %s: %w", method, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("measure: %s %s: %w", method, url, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("measure: %s %s: status %d: %s", method, url, res.StatusCode, data)
	}
	return data, nil
}
