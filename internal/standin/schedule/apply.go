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

// shutdownLimit bounds a graceful stop, which waits for open requests.
const shutdownLimit = 40 * time.Second

// apply executes one step, restores what it disturbed, and returns the errors
// of the test code only.
func (r *runner) apply(ctx context.Context, s step) error {
	switch s.kind {
	case KillEntry, PauseEntry, TerminateEntry:
		return r.disturbProcess(ctx, s, pick(r.d.Entries(), s.target))
	case KillAgent, PauseAgent, TerminateAgent:
		return r.disturbProcess(ctx, s, pick(r.d.Agents(), s.target))
	case KillUpstream, PauseUpstream, TerminateUpstream:
		return r.disturbProcess(ctx, s, pick(r.d.Upstreams(), s.target))
	case CutLink, DropLink, HoldLink:
		if links := linksOf(r.d, ""); len(links) > 0 {
			r.disturbLinks(ctx, s, pick(links, s.target))
		}
	case Isolate:
		p := pick(slices.Concat(r.d.Entries(), r.d.Agents()), s.target)
		r.disturbLinks(ctx, s, linksOf(r.d, p.Name())...)
	case LogDown:
		return r.disturbLog(ctx, s, `{"down":true}`)
	case LogSlow:
		return r.disturbLog(ctx, s, `{"slow-ms":1500}`)
	case LogLosesAnswers:
		return r.disturbLog(ctx, s, `{"lose-answers":0.7}`)
	case Burst, CancelWave, Resubmission:
		return r.extraLoad(ctx, s)
	case PublishRace:
		r.publishRace(ctx, s)
	}
	return nil
}

func pick[T any](all []T, n int) T { return all[n%len(all)] }

func (r *runner) disturbProcess(ctx context.Context, s step, p *deployment.Process) error {
	mu := r.lock(p.Name())
	mu.Lock()
	defer mu.Unlock()
	end := r.began(s.kind, p.Name())
	graceful := s.kind.graceful()
	defer func() { end(graceful) }()
	switch s.kind {
	case PauseEntry, PauseAgent, PauseUpstream:
		if err := p.Pause(); err != nil {
			return r.gone(p, err)
		}
		wait(ctx, s.length)
		return r.gone(p, p.Resume())
	case KillEntry, KillAgent, KillUpstream:
		if err := p.Kill(); err != nil {
			return r.gone(p, err)
		}
	default:
		graceful = r.terminate(ctx, p)
	}
	// A process restarts even when the run ends, so that recovery can be checked.
	wait(ctx, s.length)
	return p.Restart()
}

// gone turns a signal to a process that ended by itself into a problem and starts it again.
func (r *runner) gone(p *deployment.Process, err error) error {
	if !errors.Is(err, deployment.ErrNotRunning) {
		return err
	}
	r.problem("%s had ended by itself, see %s", p.Name(), p.LogFile())
	return p.Restart()
}

// terminate reports whether the process shut down in time; otherwise it is killed.
func (r *runner) terminate(ctx context.Context, p *deployment.Process) bool {
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	err := p.Terminate(ctx)
	if err == nil {
		return true
	}
	r.problem("graceful stop: %v", err)
	if err := p.Kill(); err != nil && !errors.Is(err, deployment.ErrNotRunning) {
		r.problem("kill: %v", err)
	}
	return false
}

func (r *runner) disturbLinks(ctx context.Context, s step, links ...deployment.Link) {
	proxies := r.d.Links()
	for _, l := range links {
		mu := r.lock(l.From + ">" + l.To)
		mu.Lock()
		defer mu.Unlock()
	}
	each := func(fn func(p *faultproxy.Proxy)) {
		for _, l := range links {
			fn(proxies[l])
		}
	}
	end := r.began(s.kind, fmt.Sprint(links))
	defer end(false)
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

// disturbLog sets the log's faults directly, past the proxies.
func (r *runner) disturbLog(ctx context.Context, s step, faults string) error {
	mu := r.lock("log")
	mu.Lock()
	defer mu.Unlock()
	end := r.began(s.kind, "log")
	defer end(false)
	if _, _, err := call(ctx, http.MethodPut, r.d.Log().URL()+"/faults", []byte(faults)); err != nil {
		return fmt.Errorf("log faults: %w", err)
	}
	wait(ctx, s.length)
	if _, _, err := call(context.WithoutCancel(ctx), http.MethodPut, r.d.Log().URL()+"/faults", []byte("{}")); err != nil {
		return fmt.Errorf("log faults: %w", err)
	}
	return nil
}

// extraLoad adds load for the length of the step.
func (r *runner) extraLoad(ctx context.Context, s step) error {
	end := r.began(s.kind, "callers")
	defer end(true)
	cfg := r.load(r.cfg.Seed<<16 + uint64(s.target))
	cfg.Duration, cfg.Direct.Rate = millis(s.length), 0
	switch s.kind {
	case Burst:
		cfg.Rate *= 5
	case CancelWave:
		cfg.CancelShare, cfg.CancelAfter = 1, 30
	case Resubmission:
		cfg.ResubmitShare, cfg.ResubmitAfter = 1, 20
	}
	_, err := load.New(cfg, r.hist).Run(ctx)
	return err
}

func millis(d time.Duration) gypsumtide.Millis { return gypsumtide.FromDuration(d) }

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
