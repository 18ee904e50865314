package entry

import (
	"context"

	"gypsumtide"
	"gypsumtide/internal/object"
	"gypsumtide/internal/wire"
)

// followConfiguration puts each revision into force at the home and at the
// connected agents.
func (e *Entry) followConfiguration(ctx context.Context) error {
	var last uint64
	for {
		changed := e.configs.Changed()
		if rev := e.publisher.Current(); rev.Number() != last {
			last = rev.Number()
			e.enforce(rev)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// enforce puts a revision into force.
func (e *Entry) enforce(rev object.Revision) {
	if err := rev.Err(); err != nil {
		e.log.Error(err, "this version of the program cannot read the revision", "revision", rev.Number())
	}
	e.router.use(rev.Set())
	if err := e.home.configure(e.router); err != nil {
		e.log.Error(err, "configuration not in force", "revision", rev.Number())
		return
	}
	e.revision.Store(rev.Number())
	messages, err := newConfigMessages(e.config.Load(), rev)
	if err != nil {
		e.log.Error(err, "configuration not sent to agents", "revision", rev.Number())
		return
	}
	e.config.Store(messages)
	e.home.sendConfigs(messages)
	e.log.Info("configuration in force", "revision", rev.Number(), "author", rev.Author())
}

// configMessages are the messages that bring a revision to agents.
type configMessages struct {
	revision uint64
	objects  []byte
	whole    *wire.Config
	// change leads from the revision before; it is nil if this entry did not have that one.
	change *wire.Config
}

func newConfigMessages(before *configMessages, rev object.Revision) (*configMessages, error) {
	m := &configMessages{revision: rev.Number(), objects: rev.Objects()}
	var err error
	if m.whole, err = wire.FullConfig(m.revision, m.objects); err != nil {
		return nil, err
	}
	if before != nil && before.revision+1 == m.revision {
		m.change = wire.ConfigDelta(before.revision, before.objects, m.revision, m.objects)
	}
	return m, nil
}

// message returns what an agent that reported a revision needs, or nil. An
// agent never reverts, so a change from the reported revision always applies
// or comes after another entry's message of the same revision.
func (m *configMessages) message(reported uint64) *wire.Config {
	switch {
	case reported >= m.revision:
		return nil
	case m.change != nil && reported == m.change.Base:
		return m.change
	}
	return m.whole
}

// sendConfigs sends a configuration to every connected agent.
func (h *home) sendConfigs(m *configMessages) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.agents {
		c.sendConfig(m)
	}
}

// sendConfig sends a configuration to an agent that has just connected.
func (h *home) sendConfig(c *agentConn, m *configMessages) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.sendConfig(m)
}

func (c *agentConn) sendConfig(m *configMessages) {
	if c.session == nil || m == nil {
		return
	}
	if config := m.message(c.revision); config != nil {
		c.session.Update(func(f *wire.Frame) { f.Config = config })
	}
}

// configure applies changed pools, weights and limits to what runs.
func (h *home) configure(r *router) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.quotas.Update(r.quotas(), h.clock.Now()); err != nil {
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
	h.invalidate()
	return nil
}

// setWeights gives the queue the weights of the teams.
func (p *pool) setWeights(r *router) {
	for _, t := range r.set.Load().Teams() {
		p.queue.SetWeight(t.Name, t.Weight)
	}
}

// eachAgent calls fn for every connected agent's session.
func (h *home) eachAgent(fn func(s *wire.Session)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.agents {
		if c.session != nil {
			fn(c.session)
		}
	}
}

// setHomes tells the placement and the quotas which other entries may be homes.
func (h *home) setHomes(names []string, now gypsumtide.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homes = len(names) + 1
	h.quotas.SetHomes(names, now)
	for _, p := range h.pools {
		p.setHomes(h.homes)
	}
}

// setHomes tells the placement how many homes share the agents.
func (p *pool) setHomes(n int) {
	if placer, ok := p.placer.(interface{ SetHomes(n int) }); ok {
		placer.SetHomes(n)
	}
}
