package runner

import (
	"context"
	"errors"
	"time"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
	"gypsumtide/internal/wire"
)

// Intervals of the connections to entries.
const (
	// redialInterval is the delay after a session has ended or a connection attempt
	// has failed. It doubles up to maxRedialInterval, since an address that fails for
	// long usually belongs to an entry that no longer exists. An attempt or a session that
	// lasts longer than maxRedialInterval resets it.
	redialInterval    gypsumtide.Millis = 40
	maxRedialInterval gypsumtide.Millis = 320
	// selectInterval is the time between two selections of the entries to connect to.
	selectInterval gypsumtide.Millis = 100
	// directoryInterval is the minimum time between two queries of the directory while
	// no entry is connected.
	directoryInterval gypsumtide.Millis = 1000
)

// dialEntries maintains the sessions to the selected entries, and queries the directory
// for more entries while there is no session.
func (a *Agent) dialEntries(ctx context.Context) error {
	g := group.New(ctx)
	var queriedAt gypsumtide.Millis
	for gypsumtide.Sleep(g.Context(), selectInterval) {
		a.openSelected(g)
		if now := a.clock.Now(); a.cfg.Directory != nil && !a.connected() && now-queriedAt >= directoryInterval {
			queriedAt = now
			a.queryDirectory(g.Context())
		}
	}
	return g.Wait()
}

// openSelected starts to maintain sessions to the entries that were selected since the last
// call.
func (a *Agent) openSelected(g *group.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, address := range a.selectSessions(a.clock.Now()) {
		ctx, stop := context.WithCancel(g.Context())
		l := &entryLink{stop: stop}
		a.links[address] = l
		g.Add("session to "+address, func(context.Context) error {
			defer a.removeLink(address, l)
			return a.maintainSession(ctx, address, l)
		})
	}
}

func (a *Agent) removeLink(address string, l *entryLink) {
	l.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, address)
}

func (a *Agent) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions) > 0
}

func (a *Agent) hasRuns(owner Owner) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.HasRuns(owner)
}

// queryDirectory adds the entries in the directory to the known ones.
func (a *Agent) queryDirectory(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, directoryInterval.Duration()/2)
	defer cancel()
	records, err := a.cfg.Directory.Records(cctx)
	a.entries.AddRecords(records)
	if err != nil {
		a.log.Decision("directory-unreachable", "records", len(records), "error", err.Error())
	}
}

// maintainSession reconnects to the entry at address until the address is removed
// from the known ones, or ctx is done.
func (a *Agent) maintainSession(ctx context.Context, address string, l *entryLink) error {
	wait := redialInterval
	for ctx.Err() == nil && a.entries.Has(address) {
		start := a.clock.Now()
		err := a.runSession(ctx, address, l)
		if err != nil && !errors.Is(err, context.Canceled) {
			a.metrics.sessionsLost.Inc()
		}
		if a.clock.Now()-start > maxRedialInterval {
			wait = redialInterval
		}
		gypsumtide.Sleep(ctx, wait)
		wait = min(2*wait, maxRedialInterval)
	}
	// The end of one session is not the end of the agent.
	return nil
}

// runSession runs one session to the entry at address until it ends.
func (a *Agent) runSession(ctx context.Context, address string, l *entryLink) error {
	defer a.noteFailure(l)
	s, err := link.Dial(ctx, address, a.clock)
	if err != nil {
		return err
	}
	defer s.Close()
	hello := wire.Hello{Kind: "agent", Name: a.cfg.Name, Incarnation: a.cfg.Incarnation, Zone: a.cfg.Zone, UnpacksSpecs: true}
	welcome, err := link.ClientHandshake(ctx, s, hello)
	if err != nil {
		return err
	}
	owner := Owner(welcome.Name + "/" + welcome.Incarnation)
	defer a.entries.Confirm(address)
	a.addSession(owner, s, l)
	a.log.Decision("entry-connected", "entry", owner, "address", address)
	err = s.Run(ctx, func(f *wire.Frame) error { return a.handleFrame(owner, s, f) })
	a.removeSession(owner, s, err)
	return err
}

// addSession makes s the session to an owner, and sends the owner the list of its
// runs and the reports that it has not acknowledged.
func (a *Agent) addSession(owner Owner, s *wire.Session, l *entryLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	l.owner, l.failed = owner, false
	if old, ok := a.sessions[owner]; ok {
		old.Close()
		a.state.SessionClosed(now, owner)
	}
	a.sessions[owner] = s
	complete := a.state.SessionOpened(owner)
	reports := append([]wire.RunReport(nil), a.outbox(owner).pending...)
	resume := a.state.resumeMessage(owner, complete)
	a.sessionCount++
	resume.Session = a.sessionCount
	s.SetIdle(!a.state.HasRuns(owner))
	a.sendFrame(now, owner, s, func(f *wire.Frame) {
		f.RunReports = append(f.RunReports, reports...)
		f.Resume = resume
	})
}

// noteFailure notes that a session, or an attempt to open one, has ended.
func (a *Agent) noteFailure(l *entryLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.fail(a.clock.Now())
}

// removeSession processes the end of a session, unless a newer one has replaced it.
func (a *Agent) removeSession(owner Owner, s *wire.Session, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[owner] != s {
		return
	}
	delete(a.sessions, owner)
	a.state.SessionClosed(a.clock.Now(), owner)
	a.log.Decision("entry-lost", "entry", owner, "error", gypsumtide.ErrorText(err), "runs", len(a.state.RunsOf(owner)))
}

// setEvacuations passes a set of evacuated zones to the state, and tells all entries at once
// if the worker accepts orders no longer, or again. The set counts whichever session it comes
// from.
func (a *Agent) setEvacuations(e gypsumtide.Evacuations) {
	a.update(func(now gypsumtide.Millis) {
		blocked := a.state.StartsBlocked()
		a.state.SetEvacuations(e)
		a.loadChanged = true // Entries use the version, see WorkerReport.EvacuationsVersion.
		if a.state.StartsBlocked() == blocked {
			return
		}
		for owner, s := range a.sessions {
			a.sendFrame(now, owner, s, func(*wire.Frame) {})
		}
	})
}

// frameReceived processes the parts of a frame that every frame may have.
func (a *Agent) frameReceived(owner Owner, s *wire.Session, f *wire.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[owner] == s {
		a.state.EchoReceived(owner, f.Echo)
	}
	o, ok := a.outboxes[owner]
	if !ok {
		return
	}
	o.acknowledge(f.AcknowledgedReport)
	if f.ReportInterval > 0 {
		o.minInterval = f.ReportInterval
	}
	if f.Workers > 0 {
		o.workers = f.Workers
	}
}

// handleFrame processes a frame from an entry.
func (a *Agent) handleFrame(owner Owner, s *wire.Session, f *wire.Frame) error {
	if err := wire.UnpackSpecs(f.Orders); err != nil {
		return err
	}
	for _, address := range f.Entries {
		a.entries.Add(address)
	}
	if f.Evacuations != nil {
		// An echo permits starts, so the set that comes with it or before it goes first.
		a.setEvacuations(*f.Evacuations)
	}
	a.frameReceived(owner, s, f)
	if len(f.Orders) == 0 && len(f.StopRuns) == 0 && len(f.RecallRuns) == 0 && len(f.Recorded) == 0 && len(f.RecordDeclined) == 0 && !f.Resumed {
		return nil
	}
	started := time.Now()
	a.update(func(now gypsumtide.Millis) {
		if a.sessions[owner] != s {
			return
		}
		for _, o := range f.Orders {
			a.state.Submit(now, owner, o, f.Echo)
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
	s.SetIdle(!a.hasRuns(owner))
	a.metrics.frameSeconds.UpdateDuration(started)
	return nil
}
