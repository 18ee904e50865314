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

// received is the end of an attempt.
type received struct {
	history.Attempt
	retryAfter time.Duration
}

// flight is a job under way with its attempts.
type flight struct {
	r         *Runner
	a         *arrival
	id        string
	ends      chan received
	open      int
	resent    bool
	cancelled bool
	attempts  []history.Attempt
	answered  time.Time
}

// send starts an attempt after a delay. The channel has room for every
// attempt, so none blocks.
func (f *flight) send(ctx context.Context, number, entry int, delay time.Duration) {
	f.open++
	go func() {
		sleep(ctx, delay)
		h, retryAfter := f.r.submit(ctx, f.a, f.id, number, entry)
		f.ends <- received{h, retryAfter}
	}()
}

// resend sends the job a second time, through another entry, unless that was done.
func (f *flight) resend(ctx context.Context, delay time.Duration) {
	if f.resent || ctx.Err() != nil {
		return
	}
	f.resent = true
	f.send(ctx, 2, f.a.other, delay)
}

// end takes an answer and decides about another attempt.
func (f *flight) end(ctx context.Context, h received) {
	f.open--
	f.attempts = append(f.attempts, h.Attempt)
	switch {
	case h.Outcome == string(gypsumtide.OutcomeComplete):
		if f.answered.IsZero() {
			f.answered = time.Now()
		}
	case h.Status == 0 && f.r.cfg.RetryBroken:
		f.resend(ctx, 0)
	case h.Outcome == string(gypsumtide.OutcomeNotRun) && h.retryAfter > 0 && f.r.cfg.RetryRefused && !f.cancelled:
		f.resend(ctx, h.retryAfter)
	}
}

// runJob sends a job, and perhaps again or a cancellation, and records the best outcome.
func (r *Runner) runJob(ctx context.Context, a *arrival) {
	uid, err := uuid.NewV7()
	if err != nil {
		r.stats.note(err)
		return
	}
	f := &flight{r: r, a: a, id: uid.String(), ends: make(chan received, 2)}
	var second, cancel <-chan time.Time
	if a.resubmit {
		second = time.After(r.cfg.ResubmitAfter.Duration())
	}
	if a.cancel {
		cancel = time.After(r.cfg.CancelAfter.Duration())
	}
	f.send(ctx, 1, a.entry, 0)
	for f.open > 0 {
		select {
		case <-second:
			f.resend(ctx, 0)
		case <-cancel:
			f.cancelled = true
			r.stats.note(r.cancelJob(ctx, a.entry, f.id))
		case h := <-f.ends:
			f.end(ctx, h)
		}
	}
	if f.answered.IsZero() {
		f.answered = time.Now()
	}
	for _, h := range f.attempts {
		h.Cancelled = f.cancelled
		r.stats.note(r.hist.Write(h))
	}
	r.stats.job(a, f.attempts, f.cancelled, r.started.Add(a.at), f.answered)
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
