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

// Runner sends the load of one Config.
type Runner struct {
	cfg       *Config
	client    *http.Client
	hist      *history.Writer
	stats     *stats
	startedAt time.Time
}

// New returns a Runner that writes the attempts to hist, which may be nil.
func New(cfg *Config, hist io.Writer) *Runner {
	if hist == nil {
		hist = io.Discard
	}
	return &Runner{cfg: cfg, client: newClient(), hist: history.NewWriter(hist), stats: newStats(cfg)}
}

// RunFile runs cfg and writes the attempts to the file cfg.History, if it is set.
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

// Run sends the scheduled load, waits for all responses and returns the report.
// When ctx is done, it stops sending and aborts the open requests. If ctx was cancelled,
// it returns the report of what was sent until then.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	defer r.client.CloseIdleConnections()
	plan := schedule(r.cfg)
	before := r.scrape(ctx)
	r.startedAt = time.Now()
	g := group.New(ctx)
	g.Add("direct", r.runDirect)
	g.Add("arrivals", func(ctx context.Context) error {
		var jobs sync.WaitGroup
		defer jobs.Wait()
		for i := range plan {
			a := &plan[i]
			sleep(ctx, time.Until(r.startedAt.Add(a.at)))
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

// attemptResult is a finished attempt.
type attemptResult struct {
	history.Attempt
	retryAfter time.Duration
}

// jobRun is the state of a job that is in progress.
type jobRun struct {
	runner  *Runner
	arrival *arrival
	id      string
	results chan attemptResult
	// pending is the number of attempts in progress.
	pending   int
	resent    bool
	cancelled bool
	attempts  []history.Attempt
	// answeredAt is the time of the first complete response or, if there is none,
	// of the end of the last attempt.
	answeredAt time.Time
}

// send starts an attempt after a delay. The results channel has room for both
// attempts, so sending to it never blocks.
func (j *jobRun) send(ctx context.Context, attemptNumber, target int, delay time.Duration) {
	j.pending++
	go func() {
		sleep(ctx, delay)
		attempt, retryAfter := j.runner.submit(ctx, j.arrival, j.id, attemptNumber, target)
		j.results <- attemptResult{attempt, retryAfter}
	}()
}

// resend sends the job once more, through another entry, unless it has already
// been resent.
func (j *jobRun) resend(ctx context.Context, delay time.Duration) {
	if j.resent || ctx.Err() != nil {
		return
	}
	j.resent = true
	j.send(ctx, 2, j.arrival.retryTarget, delay)
}

// handleResult stores a finished attempt and resends the job if the settings ask for it.
func (j *jobRun) handleResult(ctx context.Context, res attemptResult) {
	j.pending--
	j.attempts = append(j.attempts, res.Attempt)
	switch {
	case res.Outcome == string(gypsumtide.OutcomeComplete):
		if j.answeredAt.IsZero() {
			j.answeredAt = time.Now()
		}
	case res.Status == 0 && j.runner.cfg.RetryBroken:
		j.resend(ctx, 0)
	case res.Outcome == string(gypsumtide.OutcomeNotRun) && res.retryAfter > 0 && j.runner.cfg.RetryRefused && !j.cancelled:
		j.resend(ctx, res.retryAfter)
	}
}

// runJob sends a job, and resends or cancels it as scheduled or configured. It
// writes the attempts to the history and records the best outcome.
func (r *Runner) runJob(ctx context.Context, a *arrival) {
	uid, err := uuid.NewV7()
	if err != nil {
		r.stats.recordError(err)
		return
	}
	j := &jobRun{runner: r, arrival: a, id: uid.String(), results: make(chan attemptResult, 2)}
	var resubmit, cancel <-chan time.Time
	if a.resubmit {
		resubmit = time.After(r.cfg.ResubmitAfter.Duration())
	}
	if a.cancel {
		cancel = time.After(r.cfg.CancelAfter.Duration())
	}
	j.send(ctx, 1, a.target, 0)
	for j.pending > 0 {
		select {
		case <-resubmit:
			j.resend(ctx, 0)
		case <-cancel:
			j.cancelled = true
			r.stats.recordError(r.cancelJob(ctx, a.target, j.id))
		case res := <-j.results:
			j.handleResult(ctx, res)
		}
	}
	if j.answeredAt.IsZero() {
		j.answeredAt = time.Now()
	}
	for _, attempt := range j.attempts {
		attempt.Cancelled = j.cancelled
		r.stats.recordError(r.hist.Write(attempt))
	}
	r.stats.recordJob(a, j.attempts, j.cancelled, r.startedAt.Add(a.at), j.answeredAt)
}

// runDirect calls the upstreams in turn at a constant rate.
func (r *Runner) runDirect(ctx context.Context) error {
	d := r.cfg.Direct
	if d.Rate <= 0 {
		return nil
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		at := interval(d.Rate, float64(i))
		if at >= r.cfg.Duration.Duration() {
			return nil
		}
		due := r.startedAt.Add(at)
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		calls.Go(func() {
			uid, err := uuid.NewV7()
			if err == nil {
				err = r.callDirect(ctx, d.URLs[i%len(d.URLs)], uid.String())
			}
			r.stats.recordDirect(err, time.Since(due))
		})
	}
}
