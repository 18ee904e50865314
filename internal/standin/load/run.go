package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/standin/history"
)

// Runner executes one Config.
type Runner struct {
	cfg     *Config
	client  *http.Client
	hist    *history.Writer
	stats   *stats
	started time.Time
}

// New returns a Runner that writes the callers' history to hist, which may be nil.
func New(cfg *Config, hist io.Writer) *Runner {
	if hist == nil {
		hist = io.Discard
	}
	return &Runner{cfg: cfg, client: newClient(), hist: history.NewWriter(hist), stats: newStats(cfg)}
}

// RunFile runs cfg with the history file that it names.
func RunFile(ctx context.Context, cfg *Config) (*Report, error) {
	if cfg.History == "" {
		return New(cfg, nil).Run(ctx)
	}
	f, err := os.Create(cfg.History)
	if err != nil {
		return nil, fmt.Errorf("load: history: %w", err)
	}
	rep, err := New(cfg, f).Run(ctx)
	if cerr := f.Close(); err == nil && cerr != nil {
		err = fmt.Errorf("load: history: %w", cerr)
	}
	return rep, err
}

// Run sends the scheduled load, waits for every answer, and reports. When ctx
// ends it stops sending and gives up the open requests.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	defer r.client.CloseIdleConnections()
	plan := schedule(r.cfg)
	before := r.scrape(ctx)
	r.started = time.Now()
	g := group.New(ctx)
	g.Add("direct", r.runDirect)
	g.Add("arrivals", func(ctx context.Context) error {
		var jobs sync.WaitGroup
		defer jobs.Wait()
		for i := range plan {
			a := &plan[i]
			sleep(ctx, time.Until(r.started.Add(a.at)))
			if ctx.Err() != nil {
				return ctx.Err()
			}
			jobs.Go(func() { r.runJob(ctx, a) })
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return r.stats.report(r.cfg, before, r.scrape(ctx)), nil
}

// runJob sends a job, and perhaps again or a cancellation, and records the best outcome.
func (r *Runner) runJob(ctx context.Context, a *arrival) {
	due := r.started.Add(a.at)
	uid, err := uuid.NewV7()
	if err != nil {
		r.stats.note(err)
		return
	}
	id := uid.String()
	first := make(chan history.Attempt, 1)
	go func() {
		h, _ := r.submit(ctx, a, id, 1, a.entry)
		first <- h
	}()
	var second, cancelled <-chan time.Time
	if a.resubmit {
		second = time.After(r.cfg.ResubmitAfter.Duration())
	}
	if a.cancel {
		cancelled = time.After(r.cfg.CancelAfter.Duration())
	}
	var again chan history.Attempt
	resend := func() {
		again = make(chan history.Attempt, 1)
		go func() {
			h, _ := r.submit(ctx, a, id, 2, a.other)
			again <- h
		}()
	}
	var attempts []history.Attempt
	var answered time.Time
	wasCancelled := false
	for open := 1; open > 0; {
		select {
		case <-second:
			second = nil
			if again == nil {
				open++
				resend()
			}
			continue
		case <-cancelled:
			cancelled, wasCancelled = nil, true
			r.stats.note(r.cancelJob(ctx, a.entry, id))
			continue
		case h := <-first:
			first = nil
			attempts = append(attempts, h)
			if h.Status == 0 && r.cfg.RetryBroken && again == nil && ctx.Err() == nil {
				open++
				resend()
			}
		case h := <-again:
			attempts = append(attempts, h)
		}
		open--
		if answered.IsZero() && attempts[len(attempts)-1].Outcome == string(gypsumtide.OutcomeComplete) {
			answered = time.Now()
		}
	}
	if answered.IsZero() {
		answered = time.Now()
	}
	for i := range attempts {
		attempts[i].Cancelled = wasCancelled
		r.stats.note(r.hist.Write(attempts[i]))
	}
	r.stats.job(a, attempts, wasCancelled, due, answered)
}

// runDirect calls upstreams at a steady rate, in turn.
func (r *Runner) runDirect(ctx context.Context) error {
	d := r.cfg.Direct
	if d.Rate <= 0 {
		return nil
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		at := gap(d.Rate, float64(i))
		if at >= r.cfg.Duration.Duration() {
			return nil
		}
		due := r.started.Add(at)
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		calls.Go(func() {
			uid, err := uuid.NewV7()
			if err == nil {
				err = r.callDirect(ctx, d.URLs[i%len(d.URLs)], uid.String())
			}
			r.stats.direct(err, time.Since(due))
		})
	}
}
