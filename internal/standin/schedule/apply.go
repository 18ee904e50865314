package schedule

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"gypsumtide"
	"gypsumtide/internal/standin/deployment"
	"gypsumtide/internal/standin/faultproxy"
	"gypsumtide/internal/standin/load"
)

// shutdownTimeout is the time limit of a graceful shutdown, which waits for open
// requests.
const shutdownTimeout = 40 * time.Second

// apply causes the fault or additional load of a step and ends it after the length of
// the step; a publish race ends by itself. Link faults have no effect if the deployment
// has no fault proxies. It returns an error only if the step cannot be carried out;
// misbehaviour of the system under test is recorded as a problem.
func (r *runner) apply(ctx context.Context, s step) error {
	switch s.kind {
	case KillEntry, PauseEntry, TerminateEntry:
		return r.applyToProcess(ctx, s, pick(r.d.Entries(), s.target))
	case KillAgent, PauseAgent, TerminateAgent:
		return r.applyToProcess(ctx, s, pick(r.d.Agents(), s.target))
	case KillUpstream, PauseUpstream, TerminateUpstream:
		return r.applyToProcess(ctx, s, pick(r.d.Upstreams(), s.target))
	case CutLink, DropLink, HoldLink:
		if links := linksOf(r.d, ""); len(links) > 0 {
			r.applyToLinks(ctx, s, pick(links, s.target))
		}
	case Isolate:
		p := pick(slices.Concat(r.d.Entries(), r.d.Agents()), s.target)
		r.applyToLinks(ctx, s, linksOf(r.d, p.Name())...)
	case LogDown:
		return r.applyToLog(ctx, s, `{"down":true}`)
	case LogSlow:
		return r.applyToLog(ctx, s, `{"slow-ms":1500}`)
	case LogLosesAnswers:
		return r.applyToLog(ctx, s, `{"lose-answers":0.7}`)
	case Burst, CancelWave, Resubmission:
		return r.extraLoad(ctx, s)
	case PublishRace:
		r.publishRace(ctx, s)
	}
	return nil
}

// pick returns the element at index n modulo the length of all. n must not be negative.
func pick[T any](all []T, n int) T { return all[n%len(all)] }

// applyToProcess pauses, kills or terminates a process and then resumes or
// restarts it.
func (r *runner) applyToProcess(ctx context.Context, s step, p *deployment.Process) error {
	mu := r.faultLock(p.Name())
	mu.Lock()
	defer mu.Unlock()
	recordEnd := r.beginFault(s.kind, p.Name())
	graceful := s.kind.isGraceful()
	defer func() { recordEnd(graceful) }()
	switch s.kind {
	case PauseEntry, PauseAgent, PauseUpstream:
		if err := p.Pause(); err != nil {
			return r.restartIfEnded(p, err)
		}
		wait(ctx, s.length)
		return r.restartIfEnded(p, p.Resume())
	case KillEntry, KillAgent, KillUpstream:
		if err := p.Kill(); err != nil {
			return r.restartIfEnded(p, err)
		}
	default:
		graceful = r.terminate(ctx, p)
	}
	// If the run is aborted, the wait ends early, but the process is still restarted.
	wait(ctx, s.length)
	return p.Restart()
}

// restartIfEnded handles the result of a signal. If the process had exited before
// the signal, it records a problem and restarts the process. Otherwise it returns err.
func (r *runner) restartIfEnded(p *deployment.Process, err error) error {
	if !errors.Is(err, deployment.ErrNotRunning) {
		return err
	}
	r.addProblem("%s had exited by itself, see %s", p.Name(), p.LogFile())
	return p.Restart()
}

// terminate stops a process gracefully and reports whether it ended within
// shutdownTimeout. If not, or if it had already exited by itself, terminate records a
// problem, kills the process if it still runs, and returns false.
func (r *runner) terminate(ctx context.Context, p *deployment.Process) bool {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := p.Terminate(ctx)
	if err == nil {
		return true
	}
	r.addProblem("graceful shutdown: %v", err)
	if err := p.Kill(); err != nil && !errors.Is(err, deployment.ErrNotRunning) {
		r.addProblem("kill: %v", err)
	}
	return false
}

// applyToLinks applies the fault to links with the fault proxies and ends it
// afterwards. The links must be in the order of linksOf: concurrent faults then lock
// them in the same order and cannot deadlock.
func (r *runner) applyToLinks(ctx context.Context, s step, links ...deployment.Link) {
	proxies := r.d.Links()
	for _, l := range links {
		mu := r.faultLock(l.From + ">" + l.To)
		mu.Lock()
		defer mu.Unlock()
	}
	each := func(fn func(p *faultproxy.Proxy)) {
		for _, l := range links {
			fn(proxies[l])
		}
	}
	recordEnd := r.beginFault(s.kind, fmt.Sprint(links))
	defer recordEnd(false)
	each(func(p *faultproxy.Proxy) {
		switch {
		case s.kind == CutLink:
			p.Cut()
		case s.kind == HoldLink:
			p.Pause()
		default:
			p.Drop()
		}
	})
	wait(ctx, s.length)
	each((*faultproxy.Proxy).Heal)
}

// applyToLog sets faults of the log, given in JSON, and clears them afterwards. Both
// requests bypass the fault proxies.
func (r *runner) applyToLog(ctx context.Context, s step, faultsJSON string) error {
	mu := r.faultLock("log")
	mu.Lock()
	defer mu.Unlock()
	recordEnd := r.beginFault(s.kind, "log")
	defer recordEnd(false)
	if _, _, err := call(ctx, http.MethodPut, r.d.Log().URL()+"/faults", []byte(faultsJSON)); err != nil {
		return fmt.Errorf("set faults of the log: %w", err)
	}
	wait(ctx, s.length)
	if _, _, err := call(context.WithoutCancel(ctx), http.MethodPut, r.d.Log().URL()+"/faults", []byte("{}")); err != nil {
		return fmt.Errorf("clear faults of the log: %w", err)
	}
	return nil
}

// extraLoad sends additional load for the length of the step and waits for the responses.
func (r *runner) extraLoad(ctx context.Context, s step) error {
	recordEnd := r.beginFault(s.kind, "callers")
	defer recordEnd(true)
	cfg := r.loadConfig(r.cfg.Seed<<16 + uint64(s.target))
	cfg.Duration, cfg.Direct.Rate = millis(s.length), 0
	switch s.kind {
	case Burst:
		cfg.Rate *= 5
	case CancelWave:
		cfg.CancelShare, cfg.CancelAfter = 1, 30
	case Resubmission:
		cfg.ResubmitShare, cfg.ResubmitAfter = 1, 20
	}
	_, err := load.New(cfg, r.callerHistory).Run(ctx)
	return err
}

func millis(d time.Duration) gypsumtide.Millis { return gypsumtide.FromDuration(d) }

// call sends a request with a timeout of 10 s and returns the status and the body of
// the response.
func call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}
