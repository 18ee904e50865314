package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
	"gypsumtide/internal/wire"
)

// Intervals of the connections to entries.
const (
	// redialInterval is the pause after a failed attempt to reach an entry. It
	// doubles up to maxRedialInterval, since most addresses that fail for long are
	// of entries that are gone.
	redialInterval    gypsumtide.Millis = 40
	maxRedialInterval gypsumtide.Millis = 320
	// directoryInterval is the pause between two looks at the directory while no
	// entry can be reached.
	directoryInterval gypsumtide.Millis = 1000
)

// dialEntries keeps one session to each entry that is known.
func (a *Agent) dialEntries(ctx context.Context) error {
	g := group.New(ctx)
	var dialled sync.Map
	var asked gypsumtide.Millis
	for gypsumtide.Sleep(g.Context(), redialInterval) {
		for _, address := range a.entries.List() {
			if _, ok := dialled.LoadOrStore(address, true); ok {
				continue
			}
			g.Add("session to "+address, func(ctx context.Context) error {
				defer dialled.Delete(address)
				return a.keepSession(ctx, address)
			})
		}
		if now := a.clock.Now(); a.cfg.Directory != nil && !a.connected() && now-asked >= directoryInterval {
			asked = now
			a.askDirectory(g.Context())
		}
	}
	return g.Wait()
}

func (a *Agent) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions) > 0
}

func (a *Agent) askDirectory(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, directoryInterval.Duration()/2)
	defer cancel()
	records, err := a.cfg.Directory.Records(cctx)
	a.entries.AddRecords(records)
	if err != nil {
		a.log.Decision("directory-unreachable", "records", len(records), "error", err.Error())
	}
}

// keepSession dials an entry again and again until its address is forgotten.
func (a *Agent) keepSession(ctx context.Context, address string) error {
	wait := redialInterval
	for ctx.Err() == nil && a.entries.Has(address) {
		begin := a.clock.Now()
		err := a.session(ctx, address)
		if err != nil && !errors.Is(err, context.Canceled) {
			a.metrics.sessionsLost.Inc()
		}
		if a.clock.Now()-begin > maxRedialInterval {
			wait = redialInterval
		}
		gypsumtide.Sleep(ctx, wait)
		wait = min(2*wait, maxRedialInterval)
	}
	return ctx.Err()
}

// session runs one session to the entry at address until it breaks.
func (a *Agent) session(ctx context.Context, address string) error {
	s, err := link.Dial(ctx, address, a.clock)
	if err != nil {
		return err
	}
	defer s.Close()
	hello := wire.Hello{Kind: "agent", Name: a.cfg.Name, Incarnation: a.cfg.Incarnation, Zone: a.cfg.Zone}
	welcome, err := link.Introduce(ctx, s, hello)
	if err != nil {
		return err
	}
	owner := Owner(welcome.Name + "/" + welcome.Incarnation)
	defer a.entries.Confirm(address)
	a.attach(owner, s)
	a.log.Decision("entry-connected", "entry", owner, "address", address)
	err = s.Run(ctx, func(f *wire.Frame) error { return a.receive(owner, s, f) })
	a.detach(owner, s, err)
	return err
}

// attach makes s the session to an owner and tells it which runs are held.
func (a *Agent) attach(owner Owner, s *wire.Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.sessions[owner]; ok {
		old.Close()
	}
	a.sessions[owner] = s
	complete := a.state.SessionOpened(owner)
	now := a.clock.Now()
	reports := append([]wire.RunReport(nil), a.outbox(owner).pending...)
	resume := a.state.resume(owner, complete)
	a.tell(now, owner, s, func(f *wire.Frame) {
		f.RunReports = append(f.RunReports, reports...)
		f.Resume = resume
	})
}

func (a *Agent) detach(owner Owner, s *wire.Session, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[owner] != s {
		return
	}
	delete(a.sessions, owner)
	a.state.SessionClosed(a.clock.Now(), owner)
	a.log.Decision("entry-lost", "entry", owner, "error", gypsumtide.ErrorText(err), "runs", len(a.state.RunsOf(owner)))
}

// receive handles a frame of an entry.
func (a *Agent) receive(owner Owner, s *wire.Session, f *wire.Frame) error {
	for _, address := range f.Entries {
		a.entries.Add(address)
	}
	a.mu.Lock()
	if a.sessions[owner] == s {
		a.state.EchoReceived(owner, f.Echo)
	}
	if o, ok := a.outboxes[owner]; ok {
		o.acknowledge(f.ReportsSeen)
		if f.ReportInterval > 0 {
			o.every = f.ReportInterval
		}
	}
	a.mu.Unlock()
	if len(f.Orders) == 0 && len(f.StopRuns) == 0 && len(f.RecallRuns) == 0 && len(f.Recorded) == 0 && len(f.RecordDeclined) == 0 && !f.Resumed {
		return nil
	}
	started := time.Now()
	a.update(func(now gypsumtide.Millis) {
		if a.sessions[owner] != s {
			return
		}
		// An entry that was paused sends orders that its callers have given up.
		fresh := f.Echo > 0 && now-f.Echo <= link.Credit
		for _, o := range f.Orders {
			if !fresh {
				a.log.Decision("order-stale", "run", o.Ref, "age-ms", now-f.Echo)
				a.send(now, owner, []wire.RunReport{{Ref: o.Ref, End: gypsumtide.EndNotStarted, Reason: "stale"}})
				continue
			}
			a.state.Submit(now, owner, o)
		}
		for _, ref := range f.StopRuns {
			a.state.StopRun(now, ref)
		}
		for _, ref := range f.RecallRuns {
			a.state.Recall(ref)
		}
		a.state.EndsRecorded(f.Recorded)
		a.state.RecordsDeclined(now, f.RecordDeclined)
		if f.Resumed {
			a.state.SessionResumed(now, owner)
		}
	})
	a.metrics.frame.UpdateDuration(started)
	return nil
}
