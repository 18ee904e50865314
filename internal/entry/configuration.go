package entry

import (
	"context"

	"gypsumtide"
	"gypsumtide/internal/object"
	"gypsumtide/internal/wire"
)

// followConfiguration applies the newest revision whenever it changes, until ctx is done.
// It may skip revisions that follow each other quickly.
func (e *Entry) followConfiguration(ctx context.Context) error {
	var last uint64
	for {
		changed := e.configurationFollower.Changed()
		ready := e.configurationFollower.Ready()
		if rev := e.publisher.Current(); rev.Number() != last {
			last = rev.Number()
			e.applyRevision(rev)
		}
		if ready {
			e.configured.Store(true)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// applyRevision applies a revision at this entry and sends it to the connected
// agents.
func (e *Entry) applyRevision(rev object.Revision) {
	if err := rev.Err(); err != nil {
		e.log.Error(err, "this version of the program cannot read the configuration revision", "revision", rev.Number())
	}
	e.home.setEvacuations(rev.Evacuations())
	e.router.setConfiguration(rev.Set())
	if err := e.home.configure(e.router); err != nil {
		e.log.Error(err, "cannot apply the configuration", "revision", rev.Number())
		return
	}
	e.revision.Store(rev.Number())
	messages, err := newConfigMessages(e.currentConfig.Load(), rev)
	if err != nil {
		e.log.Error(err, "cannot encode the configuration for agents", "revision", rev.Number())
		return
	}
	e.currentConfig.Store(messages)
	e.home.sendConfigs(messages)
	e.log.Info("configuration in force", "revision", rev.Number(), "author", rev.Author())
}

// configMessages holds the messages that update agents to a revision of the
// configuration.
type configMessages struct {
	revision uint64
	// objects is the encoded configuration, from which the next delta is made.
	objects []byte
	full    *wire.Config
	// delta updates from the previous revision. It is nil if this entry did not
	// have that revision.
	delta *wire.Config
}

func newConfigMessages(previous *configMessages, rev object.Revision) (*configMessages, error) {
	m := &configMessages{revision: rev.Number(), objects: rev.Objects()}
	var err error
	if m.full, err = wire.FullConfig(m.revision, m.objects); err != nil {
		return nil, err
	}
	if previous != nil && previous.revision+1 == m.revision {
		m.delta = wire.ConfigDelta(previous.revision, previous.objects, m.revision, m.objects)
	}
	return m, nil
}

// messageFor returns the message for an agent that reported a revision, or nil
// if the agent is up to date. An agent never reverts to an older revision: when a
// delta from the reported revision arrives, the agent either still has that revision
// or has already got the new one or a later one from another entry.
func (m *configMessages) messageFor(reported uint64) *wire.Config {
	switch {
	case reported >= m.revision:
		return nil
	case m.delta != nil && reported == m.delta.Base:
		return m.delta
	}
	return m.full
}

// sendConfigs sends a configuration to every connected agent, and to those that connect
// later.
func (h *home) sendConfigs(m *configMessages) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = m
	for _, c := range h.agents {
		c.sendConfig(m)
	}
}

func (c *agentConn) sendConfig(m *configMessages) {
	if c.session == nil || m == nil {
		return
	}
	if config := m.messageFor(c.revision); config != nil {
		c.session.Update(func(f *wire.Frame) { f.Config = config })
	}
}

// configure applies the pools, the weights of teams and the limits of a changed
// configuration.
func (h *home) configure(r *router) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.quotas.Update(r.quotaConfig(), h.clock.Now()); err != nil {
		return err
	}
	for name := range h.pools {
		if _, err := h.pool(name); err != nil {
			return err
		}
	}
	for _, p := range h.pools {
		p.setWeights(r)
	}
	h.invalidateServiceAgents()
	return nil
}

// setWeights sets the weights of the teams in the queue.
func (p *pool) setWeights(r *router) {
	for _, t := range r.set.Load().Teams() {
		p.queue.SetWeight(t.Name, t.Weight)
	}
}

// forEachAgentSession calls fn for the session of every connected agent.
func (h *home) forEachAgentSession(fn func(s *wire.Session)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.agents {
		if c.session != nil {
			fn(c.session)
		}
	}
}

// setHomes tells the quotas which entries, besides this one, may be homes, and the
// placement how many homes there may be.
func (h *home) setHomes(incarnations []string, now gypsumtide.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homeCount = len(incarnations) + 1
	h.quotas.SetHomes(incarnations, now)
	for _, p := range h.pools {
		p.setHomes(h.homeCount)
	}
}

// setHomes tells the placement how many homes share the agents, if the placement
// depends on that number.
func (p *pool) setHomes(n int) {
	if placer, ok := p.placer.(interface{ SetHomes(n int) }); ok {
		placer.SetHomes(n)
	}
}
