package schedule

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gypsumtide/internal/group"
	"gypsumtide/internal/standin/deployment"
	"gypsumtide/internal/standin/history"
	"gypsumtide/internal/standin/load"
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// MeanGap is the mean time between the planned starts of two successive faults.
	MeanGap time.Duration
	// Kinds are the kinds that the plan may contain. The default is AllKinds.
	Kinds []Kind
	// Load is the background load. Run sets its targets, seed, duration and RetryBroken,
	// and ignores its History: all attempts go to a file in the directory of the deployment.
	Load load.Config
	// Output receives the progress of the run: the seed, each step at its planned time,
	// and problems as they are found. The default is to discard it.
	Output io.Writer
}

// Result holds the findings of a run.
type Result struct {
	Violations []history.Violation
	// Problems are findings that are not violations, for example a process that
	// exited by itself, did not shut down or did not recover.
	Problems []string
	// Faults are the injected faults.
	Faults   []history.Fault
	Attempts []history.Attempt
	Report   *load.Report
}

// OK reports whether the run found neither violations nor problems.
func (r *Result) OK() bool { return len(r.Violations) == 0 && len(r.Problems) == 0 }

// runner executes the plan of one run.
type runner struct {
	cfg           *Config
	d             *deployment.Deployment
	callerHistory *os.File

	mu       sync.Mutex
	faults   []history.Fault
	problems []string
	// acceptedRevision is the highest configuration revision that a publication has created.
	acceptedRevision uint64
	// faultLocks holds a mutex for each process and link and for the log, by name, so
	// that only one fault at a time affects it.
	faultLocks map[string]*sync.Mutex
}

// Run injects faults into the deployment for the duration, lets it recover, and
// checks the histories. It returns an error only if the run itself fails; what it finds
// is in the Result.
func Run(ctx context.Context, d *deployment.Deployment, cfg Config) (*Result, error) {
	if len(cfg.Kinds) == 0 {
		cfg.Kinds = AllKinds
	}
	if cfg.Output == nil {
		cfg.Output = io.Discard
	}
	path := filepath.Join(d.Dir(), "callers-history.jsonl")
	// Several load runners write whole lines to the file concurrently. With
	// O_APPEND they do not overwrite one another.
	callerHistory, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	defer callerHistory.Close()
	r := &runner{cfg: &cfg, d: d, callerHistory: callerHistory, faultLocks: map[string]*sync.Mutex{}}
	res := &Result{}
	if res.Report, err = r.runLoadAndFaults(ctx); err != nil {
		return nil, err
	}
	ended := time.Now()
	if err := d.WaitReady(ctx); err != nil {
		r.addProblem("no recovery after the last fault: %v", err)
		r.saveStatus(ctx)
	}
	r.printf("waited %s for readiness after load and faults", time.Since(ended).Round(time.Millisecond))
	r.checkRevision(ctx)
	if err := r.checkProcesses(); err != nil {
		return nil, err
	}
	if res.Attempts, err = history.Read[history.Attempt](path); err != nil {
		return nil, err
	}
	events, err := history.Read[history.Event](d.HistoryFiles()...)
	if err != nil {
		return nil, err
	}
	res.Faults, res.Problems = r.faults, r.problems
	if err := saveFaults(filepath.Join(d.Dir(), "faults.jsonl"), r.faults); err != nil {
		return nil, err
	}
	res.Violations = history.Check(res.Attempts, events, r.faults)
	return res, nil
}

// runLoadAndFaults runs the background load while the planned faults happen.
func (r *runner) runLoadAndFaults(ctx context.Context) (*load.Report, error) {
	steps := plan(r.cfg.Seed, r.cfg.Kinds, r.cfg.Duration, r.cfg.MeanGap)
	r.printf("seed %d, %d faults in %s", r.cfg.Seed, len(steps), r.cfg.Duration)
	started := time.Now()
	watchCtx, stop := context.WithCancel(ctx)
	watch := group.New(watchCtx)
	for _, e := range r.d.Entries() {
		watch.Add("watch "+e.Name(), func(ctx context.Context) error { return r.reportRevisionDecrease(ctx, e) })
	}
	defer func() {
		stop()
		// The watchers only return the error of the cancelled context.
		_ = watch.Wait()
	}()
	g := group.New(ctx)
	var rep *load.Report
	g.Add("load", func(ctx context.Context) (err error) {
		cfg := r.loadConfig(r.cfg.Seed)
		cfg.Duration = millis(r.cfg.Duration)
		rep, err = load.New(cfg, r.callerHistory).Run(ctx)
		return err
	})
	for _, s := range steps {
		g.Add(string(s.kind), func(ctx context.Context) error {
			if !wait(ctx, time.Until(started.Add(s.at))) {
				return ctx.Err()
			}
			r.printf("%s", s)
			if err := r.apply(ctx, s); err != nil {
				return err
			}
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	r.printf("load and faults ended after %s", time.Since(started).Round(time.Millisecond))
	return rep, nil
}

// loadConfig returns a copy of the background load with the given seed and the
// deployment's entries as targets. Broken requests are sent once more.
func (r *runner) loadConfig(seed uint64) *load.Config {
	cfg := r.cfg.Load
	cfg.Classes = slices.Clone(cfg.Classes)
	cfg.Seed, cfg.Targets, cfg.RetryBroken = seed, r.d.EntryURLs(), true
	return &cfg
}

// faultLock returns the mutex of a process, of a link or of the log.
func (r *runner) faultLock(name string) *sync.Mutex {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faultLocks[name] == nil {
		r.faultLocks[name] = &sync.Mutex{}
	}
	return r.faultLocks[name]
}

// beginFault records the start of a fault and returns the function that records its
// end and whether it was graceful: a termination was not if the process had exited by
// itself or had to be killed. Until that function is called, the recorded end is far in
// the future.
func (r *runner) beginFault(kind Kind, target string) func(graceful bool) {
	now := unixMillisNow()
	f := history.Fault{Kind: string(kind), Target: target, Graceful: kind.isGraceful(), Stop: kind.terminatesGracefully(), From: now, Until: now + 1e9}
	for i, u := range r.d.Upstreams() {
		if f.Stop && (target == u.Name() || target == r.d.Agents()[i].Name()) {
			f.Upstream = u.Name()
		}
	}
	for _, e := range r.d.Entries() {
		if target == e.Name() && len(r.d.Links()) > 0 {
			f.Entry = e.CallerURL()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.faults)
	r.faults = append(r.faults, f)
	return func(graceful bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faults[i].Until = unixMillisNow()
		r.faults[i].Graceful = graceful
	}
}

// addProblem adds a problem to the result and prints it.
func (r *runner) addProblem(format string, args ...any) {
	r.printf("problem: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

func (r *runner) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.cfg.Output, format+"\n", args...)
}

// checkProcesses records a problem for each process that is not running, and for each
// kind of failure that the output of any of its runs contains: a panic, a fatal error or
// a data race that the race detector reported.
func (r *runner) checkProcesses() error {
	for _, p := range r.d.Processes() {
		if p.PID() == 0 {
			r.addProblem("%s has exited by itself, see %s", p.Name(), p.LogFile())
		}
		output, err := os.ReadFile(p.LogFile())
		if err != nil {
			return fmt.Errorf("schedule: %w", err)
		}
		for _, marker := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
			if bytes.Contains(output, []byte("\n"+marker)) || bytes.HasPrefix(output, []byte(marker)) {
				r.addProblem("%s wrote %q, see %s", p.Name(), marker, p.LogFile())
			}
		}
	}
	return nil
}

// saveFaults writes the faults to a file in the directory of the histories, for
// analysing a violation later.
func saveFaults(path string, faults []history.Fault) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("schedule: %w", err)
	}
	w := history.NewWriter(f)
	for _, fault := range faults {
		if err := w.Write(fault); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return f.Close()
}

// saveStatus writes the status of each entry and agent to its own file in the
// directory of the histories.
func (r *runner) saveStatus(ctx context.Context) {
	for _, p := range slices.Concat(r.d.Entries(), r.d.Agents()) {
		_, data, err := call(ctx, http.MethodGet, p.URL()+"/v1/status", nil)
		if err == nil {
			err = os.WriteFile(filepath.Join(r.d.Dir(), p.Name()+"-status.json"), data, 0o600)
		}
		if err != nil {
			r.printf("status of %s not saved: %v", p.Name(), err)
		}
	}
}

// unixMillisNow returns the time in milliseconds since 1970, with microsecond precision.
func unixMillisNow() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// wait waits for d. It reports false if ctx is done first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// maxViolationsShown is the maximum number of violations printed per rule, since
// one fault can cause many violations of the same rule.
const maxViolationsShown = 5

// WriteText writes a summary, at most maxViolationsShown violations per rule, the number
// of violations of each rule, and all problems, one per line.
func (r *Result) WriteText(w io.Writer) error {
	var errs []error
	p := func(format string, args ...any) {
		_, err := fmt.Fprintf(w, format+"\n", args...)
		errs = append(errs, err)
	}
	outcomes := map[string]int{}
	for _, a := range r.Attempts {
		if a.Outcome == "" {
			a.Outcome = "no answer: " + a.Step
		}
		outcomes[a.Outcome]++
	}
	p("%d faults, %d attempts: %v", len(r.Faults), len(r.Attempts), outcomes)
	shown := map[history.Rule]int{}
	for _, v := range r.Violations {
		if shown[v.Rule]++; shown[v.Rule] <= maxViolationsShown {
			p("violation: %s", v)
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(shown)) {
		p("%s: %d violations", rule, shown[rule])
	}
	for _, s := range r.Problems {
		p("problem: %s", s)
	}
	return errors.Join(errs...)
}
