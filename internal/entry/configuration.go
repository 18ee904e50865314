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
	e.home.eachAgent(e.sendConfig)
	e.log.Info("configuration in force", "revision", rev.Number(), "author", rev.Author())
}

// sendConfig sends the configuration in force to an agent.
func (e *Entry) sendConfig(s *wire.Session) {
	rev := e.publisher.Current()
	if rev.Number() == 0 {
		return
	}
	s.Update(func(f *wire.Frame) { f.Config = &wire.Config{Revision: rev.Number(), Objects: rev.Objects()} })
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
