package entry

import (
	"context"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/operator"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/wire"
)

// operatorBackend implements operator.Backend.
type operatorBackend struct{ e *Entry }

// Nodes implements operator.Backend.
func (o operatorBackend) Nodes(context.Context) ([]operator.Node, error) {
	e := o.e
	var nodes []operator.Node
	shardCounts := make(map[string]int)
	for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
		home, _, _, _ := e.shardManager.Route(i)
		shardCounts[home.Incarnation]++
	}
	for _, m := range e.shardState.Entries() {
		if m.Member.Present() {
			n := o.entryNode(m)
			n.Shards = shardCounts[m.Incarnation]
			nodes = append(nodes, n)
		}
	}
	statuses := make(map[string]agentStatus)
	for _, a := range e.status().Agents {
		statuses[a.Incarnation] = a
	}
	for _, m := range e.shardState.Agents() {
		if !m.Member.Present() {
			continue
		}
		a := statuses[m.Incarnation]
		nodes = append(nodes, operator.Node{
			Name: m.Name, Kind: "agent", Incarnation: m.Incarnation, Zone: m.Zone, Rack: m.Rack,
			State: agentState(a), Revision: a.Revision, Slots: a.Slots, Running: a.Open, LoadReportAge: a.ReportAgeMS,
		})
	}
	return nodes, nil
}

func (o operatorBackend) entryNode(m shard.EntryMember) operator.Node {
	e := o.e
	n := operator.Node{Name: m.Name, Kind: "entry", Incarnation: m.Incarnation, Zone: m.Zone, URL: m.URL}
	if m.Incarnation == e.incarnation {
		n.State, n.Revision = nodeState(true, e.draining.Load()), e.revision.Load()
		return n
	}
	peer := e.peers.find(m.Incarnation)
	if peer == nil {
		n.State = nodeState(false, false)
		return n
	}
	n.State, n.Revision = nodeState(true, false), peer.revision.Load()
	return n
}

func nodeState(connected, draining bool) string {
	switch {
	case !connected:
		return "unreachable"
	case draining:
		return "draining"
	}
	return "ready"
}

// agentState returns the state of an agent, which is evacuated only if the agent has taken
// note of the evacuation of its zone.
func agentState(a agentStatus) string {
	state := nodeState(a.Connected, a.Draining)
	if state == "ready" && a.Evacuated {
		return "evacuated"
	}
	return state
}

// Drain implements operator.Backend.
func (o operatorBackend) Drain(_ context.Context, name string) error {
	e := o.e
	if name == e.cfg.Name {
		e.drain()
		return nil
	}
	for _, m := range e.shardState.Entries() {
		if m.Name != name || !m.Member.Present() {
			continue
		}
		if peer := e.peers.find(m.Incarnation); peer != nil && peer.session.Update(requestDrain) {
			return nil
		}
		return fmt.Errorf("drain %s: %w", name, operator.ErrUnavailable)
	}
	return e.home.drainAgent(name)
}

func requestDrain(f *wire.Frame) { f.Drain = true }

// drainAgent tells an agent to accept no more tasks.
func (h *home) drainAgent(name string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.agentsByName[name]
	if c == nil {
		return fmt.Errorf("drain %s: %w", name, operator.ErrUnknownNode)
	}
	if c.session == nil || !c.session.Update(requestDrain) {
		return fmt.Errorf("drain %s: %w", name, operator.ErrUnavailable)
	}
	return nil
}

// Retire implements operator.Backend.
func (o operatorBackend) Retire(ctx context.Context, name string) error {
	e := o.e
	var incarnations []string
	for _, m := range e.shardState.Agents() {
		if m.Name == name && m.Member.Present() {
			incarnations = append(incarnations, m.Incarnation)
		}
	}
	if len(incarnations) == 0 {
		return fmt.Errorf("retire %s: %w", name, operator.ErrUnknownNode)
	}
	if e.home.connected(name) {
		return fmt.Errorf("retire %s: the agent is connected: %w", name, operator.ErrRefused)
	}
	record := shard.RetireAgentsRecord(e.clock.Wall(), incarnations...)
	data, err := record.Encode()
	if err != nil {
		return fmt.Errorf("retire %s: %w", name, err)
	}
	if err := e.shardsFollower.Append(ctx, journal.NewID(), data); err != nil {
		return fmt.Errorf("retire %s: %w", name, err)
	}
	e.log.Info("agent retired by an operator", "agent", name)
	return nil
}

// connected reports whether the agent of that name has a session here.
func (h *home) connected(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.agentsByName[name]
	return c != nil && c.session != nil
}
