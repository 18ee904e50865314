// Package demo runs a small deployment under load, prints the response times and
// outcomes, and checks the histories.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gypsumtide"
	"gypsumtide/internal/standin/deployment"
	"gypsumtide/internal/standin/history"
	"gypsumtide/internal/standin/load"
)

// Config configures a demo.
type Config struct {
	// Bin is the directory of the programs.
	Bin string
	// Dir receives settings, logs, histories and plots; the default is a new temporary directory.
	Dir  string
	Seed uint64
	// QuietDuration is the duration of the quiet load, which consists of stock checks
	// only. MixedDuration is that of the mixed load, which adds batches and reports.
	QuietDuration gypsumtide.Millis
	MixedDuration gypsumtide.Millis
	Output        io.Writer
}

// Default returns the settings of the demo command before flags override them.
func Default() *Config {
	return &Config{Bin: "./bin", Seed: 1, QuietDuration: 5_000, MixedDuration: 15_000, Output: os.Stdout}
}

// ErrViolations means that the histories violate a guarantee.
var ErrViolations = errors.New("guarantees violated")

// Parameters of the deployment and the load.
const (
	workers       = 3
	slots         = 8  // Per worker.
	taskRunMillis = 50 // Run time of a stock check.
)

// Run starts two entries, the log stand-in, three upstreams with an agent each, and an
// upstream for direct calls. It runs a quiet and a mixed load and checks the histories. It
// returns ErrViolations if they violate a guarantee.
func Run(ctx context.Context, cfg *Config) (err error) {
	d, err := deployment.Start(ctx, deployment.Config{Bin: cfg.Bin, Dir: cfg.Dir, Entries: 2, Workers: workers, Slots: slots,
		Services: []string{"stock-check", "order-batch", "price-report"}, Direct: true})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	fmt.Fprintf(cfg.Output, "running in %s\n\n", d.Dir())
	quiet, err := runPhase(ctx, cfg, d, "quiet", quietLoad(cfg))
	if err != nil {
		return err
	}
	mixed, err := runPhase(ctx, cfg, d, "mixed", mixedLoad(cfg))
	if err != nil {
		return err
	}
	if err := writeOverhead(cfg.Output, "without other load", quiet); err != nil {
		return err
	}
	if err := writeOverhead(cfg.Output, "with batches and stragglers", mixed); err != nil {
		return err
	}
	return checkHistories(cfg.Output, d)
}

// stockCheckClass returns the class of the short interactive jobs, whose response
// times are compared with direct calls.
func stockCheckClass(rate float64) load.Class {
	return load.Class{Name: "stock-check", Service: "stock-check", Team: "shop", Rate: rate, TasksMin: 1, TasksMax: 1,
		Run: load.RunTime{Kind: "fixed", Mean: taskRunMillis}, Deadline: 5_000, Hints: "right"}
}

func quietLoad(cfg *Config) *load.Config {
	return &load.Config{Seed: cfg.Seed, Duration: cfg.QuietDuration, Arrivals: "poisson", Classes: []load.Class{stockCheckClass(60)}}
}

// mixedLoad occupies about half of the 24 slots on average: stock checks 5,
// batches 6.5, reports 0.7.
func mixedLoad(cfg *Config) *load.Config {
	return &load.Config{Seed: cfg.Seed + 1, Duration: cfg.MixedDuration, Arrivals: "poisson", Classes: []load.Class{
		stockCheckClass(100),
		{Name: "order-batch", Service: "order-batch", Team: "orders", Rate: 0.5, TasksMin: 100, TasksMax: load.MaxTasks,
			Run: load.RunTime{Kind: "exponential", Mean: 20}, Deadline: 30_000, Hints: "off"},
		{Name: "price-report", Service: "price-report", Team: "reports", Rate: 1, TasksMin: 1, TasksMax: 4,
			Run: load.RunTime{Kind: "stragglers", Mean: 100, StragglerShare: 0.1, StragglerFactor: 20}, Deadline: 30_000, Hints: "absent", NonIdempotent: 0.5},
	}}
}

// runPhase runs one load together with direct calls, prints its report and writes its
// plot.
func runPhase(ctx context.Context, cfg *Config, d *deployment.Deployment, name string, l *load.Config) (*load.Report, error) {
	url, lease := d.DirectURL()
	// The load tool reads the metrics of its targets anyway, so Metrics lists only the
	// agents, which follow the entries in MetricsURLs.
	l.Targets, l.Metrics, l.Slots, l.RetryBroken = d.EntryURLs(), d.MetricsURLs()[len(d.EntryURLs()):], workers*slots, true
	l.Direct = load.Direct{URLs: []string{url}, Lease: lease, Rate: 60, Run: taskRunMillis}
	l.History = filepath.Join(d.Dir(), "callers-"+name+".jsonl")
	rep, err := load.RunFile(ctx, l)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(cfg.Output, "== %s load, %d ms\n", name, l.Duration)
	if err := rep.WriteText(cfg.Output); err != nil {
		return nil, err
	}
	fmt.Fprintln(cfg.Output)
	var svg bytes.Buffer
	if err := rep.WritePlot(&svg); err != nil {
		return nil, err
	}
	return rep, os.WriteFile(filepath.Join(d.Dir(), name+".svg"), svg.Bytes(), 0o600)
}

// writeOverhead prints how much longer a task of 50 ms (taskRunMillis) takes through the
// dispatcher than by the direct calls of the same phase.
func writeOverhead(w io.Writer, condition string, rep *load.Report) error {
	via, direct := rep.Classes["stock-check"].Response, rep.Direct.Response
	_, err := fmt.Fprintf(w, "overhead of the dispatcher for a task of %d ms, %s: median %+.2f ms (%.2f, direct %.2f), p99 %+.2f ms (%.2f, direct %.2f)\n",
		taskRunMillis, condition, via.P50-direct.P50, via.P50, direct.P50, via.P99-direct.P99, via.P99, direct.P99)
	return err
}

// checkHistories checks the histories of both phases, without the direct upstream, and
// prints the violations. It returns ErrViolations if there are any.
func checkHistories(w io.Writer, d *deployment.Deployment) error {
	attempts, err := history.Read[history.Attempt](filepath.Join(d.Dir(), "callers-quiet.jsonl"), filepath.Join(d.Dir(), "callers-mixed.jsonl"))
	if err != nil {
		return err
	}
	events, err := history.Read[history.Event](d.HistoryFiles()...)
	if err != nil {
		return err
	}
	violations := history.Check(attempts, events, nil)
	for _, v := range violations {
		fmt.Fprintln(w, v)
	}
	fmt.Fprintf(w, "histories checked: %d requests, %d upstream events, %d violations\n", len(attempts), len(events), len(violations))
	if len(violations) > 0 {
		return ErrViolations
	}
	return nil
}
