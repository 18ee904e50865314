package shard

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// joinBatch bounds the agents in one record, so that an append stays small.
const joinBatch = 256

// roster is what an entry knows of the agents.
type roster struct {
	turn uint64
	// version changes with the set of agents whose promises a takeover needs.
	version uint64
	present map[string]AgentMember
	members []member
	groups  groups
	// up holds the agents with a session here.
	up map[string]wire.AgentRecord
	// unlogged holds the agents whose join has not been read.
	unlogged map[string]*unlogged
	// leaving holds the agents that announced their end.
	leaving map[string]*operation
	// promised holds the highest epoch of each shard that an agent promised.
	promised map[string]*[gypsumtide.ShardCount]uint64
	// urgent means that a claim or naming waits for the log to know all agents.
	urgent bool
}

// unlogged is an agent that no record names yet.
type unlogged struct {
	record wire.AgentRecord
	since  gypsumtide.Millis
	op     *operation
	// noted means that this entry acknowledged a roster note about it.
	noted bool
	// acked holds the successors that acknowledged a note of this entry.
	acked  map[string]bool
	noteAt map[string]gypsumtide.Millis
}

func newRoster() roster {
	return roster{
		present:  map[string]AgentMember{},
		up:       map[string]wire.AgentRecord{},
		unlogged: map[string]*unlogged{},
		leaving:  map[string]*operation{},
		promised: map[string]*[gypsumtide.ShardCount]uint64{},
		turn:     ^uint64(0),
	}
}

func (m *Manager) syncRoster() {
	r := &m.agents
	agents, turn, changed := m.state.roster(r.turn)
	if !changed {
		return
	}
	r.turn = turn
	r.version++
	clear(r.present)
	r.members = r.members[:0]
	for _, a := range agents {
		r.present[a.Incarnation] = a
		r.members = append(r.members, newMember(a.AgentRecord))
	}
	r.groups = group(r.members)
	for k := range r.unlogged {
		if m.state.knowsAgent(k) {
			delete(r.unlogged, k)
		}
	}
	for k := range r.promised {
		if _, ok := r.present[k]; !ok && r.unlogged[k] == nil {
			delete(r.promised, k)
		}
	}
	for k := range r.leaving {
		if _, ok := r.present[k]; !ok && m.state.knowsAgent(k) {
			delete(r.leaving, k)
		}
	}
}

func (r *roster) add(rec wire.AgentRecord, now gypsumtide.Millis) *unlogged {
	u := r.unlogged[rec.Incarnation]
	if u == nil {
		u = &unlogged{record: rec, since: now, acked: map[string]bool{}, noteAt: map[string]gypsumtide.Millis{}}
		r.unlogged[rec.Incarnation] = u
	}
	return u
}

func (r *roster) unloggedNoted() bool {
	for _, u := range r.unlogged {
		if u.noted {
			return true
		}
	}
	return false
}

func (r *roster) unloggedAcked(successor string) bool {
	for _, u := range r.unlogged {
		if u.acked[successor] {
			return true
		}
	}
	return false
}

func (r *roster) unloggedAny() bool {
	for _, u := range r.unlogged {
		if u.noted || len(u.acked) > 0 {
			return true
		}
	}
	return false
}

// waiting is the list of agents that a shard may still wait for. Agents that
// are settled leave it at the front, so that a shard which waits for one agent
// costs little per Tick.
type waiting struct {
	version uint64
	agents  []string
}

// allPromised reports whether no present agent starts a task of the shard
// under an epoch below the given one.
func (r *roster) allPromised(w *waiting, i int, epoch uint64) bool {
	if w.version != r.version {
		w.version = r.version
		w.agents = slices.AppendSeq(w.agents[:0], maps.Keys(r.present))
		for k, u := range r.unlogged {
			if u.noted {
				w.agents = append(w.agents, k)
			}
		}
	}
	for len(w.agents) > 0 {
		if p := r.promised[w.agents[0]]; p == nil || p[i] < epoch {
			return false
		}
		w.agents = w.agents[1:]
	}
	return true
}

// promiseRequests asks each connected agent once for the shards that it has not promised.
func (m *Manager) promiseRequests(shards []int) []Action {
	if len(shards) == 0 {
		return nil
	}
	var out []Action
	for k := range m.agents.up {
		a := Action{Kind: ActionSendFenceRequests, Peer: k}
		p := m.agents.promised[k]
		for _, i := range shards {
			if epoch := m.shards[i].home.Epoch; p == nil || p[i] < epoch {
				a.FenceRequests = append(a.FenceRequests, wire.ShardEpoch{Shard: gypsumtide.ShardID(i), Epoch: epoch})
			}
		}
		if len(a.FenceRequests) > 0 {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Action) int { return cmp.Compare(a.Peer, b.Peer) })
	return out
}

// AgentUp reports a session with an agent.
func (m *Manager) AgentUp(rec wire.AgentRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	m.agents.up[rec.Incarnation] = rec
	if !m.state.knowsAgent(rec.Incarnation) {
		m.agents.add(rec, m.clock.Now())
	}
}

// AgentDown reports the end of a session with an agent.
func (m *Manager) AgentDown(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	delete(m.agents.up, incarnation)
	if u := m.agents.unlogged[incarnation]; u != nil && !u.noted && len(u.acked) == 0 {
		delete(m.agents.unlogged, incarnation)
	}
}

// AgentLeft reports that an agent announced its end: it has no task and starts
// none. The manager appends agent-left.
func (m *Manager) AgentLeft(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	if _, ok := m.agents.leaving[incarnation]; ok {
		return
	}
	if _, ok := m.agents.present[incarnation]; ok || !m.state.knowsAgent(incarnation) {
		m.agents.leaving[incarnation] = nil
	}
}

// FenceConfirmed takes an agent's promise. Its epoch is the highest that the agent
// knows, so it also settles lower ones.
func (m *Manager) FenceConfirmed(agent string, p wire.ShardEpoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Shard >= gypsumtide.ShardCount {
		return
	}
	e := m.agents.promised[agent]
	if e == nil {
		e = &[gypsumtide.ShardCount]uint64{}
		m.agents.promised[agent] = e
	}
	e[p.Shard] = max(e[p.Shard], p.Epoch)
}

// Usable reports whether a home may send tasks of the shard to the agent: its
// join has been read, or the named successor acknowledged it.
func (m *Manager) Usable(agent string, id gypsumtide.ShardID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	return m.usable(agent, id)
}

func (m *Manager) usable(agent string, id gypsumtide.ShardID) bool {
	if _, ok := m.agents.present[agent]; ok {
		return true
	}
	u := m.agents.unlogged[agent]
	if u == nil {
		return false
	}
	if m.mutation.noRoster {
		return true
	}
	sh := &m.shards[id]
	return sh.op == nil && sh.home.Successor != "" && u.acked[sh.home.Successor]
}

// HandleRosterUpdates takes the roster notes of a home and returns those to
// acknowledge. It acknowledges nothing to a home whose shards this entry takes
// over or took over so recently that the home's lease may last: the home could
// use an agent that has promised nothing.
func (m *Manager) HandleRosterUpdates(from string, notes []wire.AgentRecord) []wire.AgentRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	m.heard(from)
	if m.departed || m.leaving || m.takesOver(from) {
		return nil
	}
	now := m.clock.Now()
	var acks []wire.AgentRecord
	for _, rec := range notes {
		if !m.state.knowsAgent(rec.Incarnation) {
			m.agents.add(rec, now).noted = true
			m.agents.version++
		} else if _, ok := m.agents.present[rec.Incarnation]; !ok {
			continue
		}
		acks = append(acks, rec)
	}
	return acks
}

func (m *Manager) takesOver(from string) bool {
	now := m.clock.Now()
	self := m.cfg.Self.Incarnation
	for i := range m.shards {
		sh := &m.shards[i]
		if sh.op != nil && sh.op.takeover(self) && sh.home.Home == from {
			return true
		}
		if sh.home.Home == self && sh.tenure.Previous.Home == from && now-sh.readBack < m.cfg.LeaseDuration+m.cfg.CreditLifetime {
			return true
		}
	}
	return false
}

// HandleRosterAcks takes a successor's acknowledgement of roster notes.
func (m *Manager) HandleRosterAcks(from string, acks []wire.AgentRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	m.heard(from)
	for _, rec := range acks {
		if u := m.agents.unlogged[rec.Incarnation]; u != nil {
			u.acked[from] = true
		}
	}
}

// notes tells the successors of agents that are not logged. In normal
// operation the log is faster than the delay, and no note is sent.
func (m *Manager) notes(now gypsumtide.Millis) []Action {
	r := &m.agents
	if len(r.unlogged) == 0 {
		return nil
	}
	var out []Action
	for _, succ := range m.successors() {
		a := Action{Kind: ActionSendRosterUpdates, Peer: succ}
		for _, k := range slices.Sorted(maps.Keys(r.unlogged)) {
			u := r.unlogged[k]
			if _, up := r.up[k]; !up || u.acked[succ] || now-u.since < m.cfg.ResendInterval/2 {
				continue
			}
			if at, sent := u.noteAt[succ]; sent && now-at < m.cfg.ResendInterval {
				continue
			}
			u.noteAt[succ] = now
			a.RosterUpdates = append(a.RosterUpdates, u.record)
		}
		if len(a.RosterUpdates) > 0 {
			out = append(out, a)
		}
	}
	return out
}

func (m *Manager) successors() []string {
	var out []string
	for i := range m.shards {
		h := &m.shards[i].home
		if h.Home == m.cfg.Self.Incarnation && h.Successor != "" && !slices.Contains(out, h.Successor) {
			out = append(out, h.Successor)
		}
	}
	slices.Sort(out)
	return out
}

// logAgents appends the joins and departures that the log lacks. Entries wait
// by rank, so that normally one of them appends.
func (m *Manager) logAgents(now gypsumtide.Millis, live []candidate) []Action {
	r := &m.agents
	urgent := r.urgent
	r.urgent = false
	if !m.logFresh() || len(r.unlogged) == 0 && len(r.leaving) == 0 {
		return nil
	}
	// The times in the records decide what the fold forgets.
	if !urgent && abs(m.skew()) > m.cfg.MaxSkew {
		return nil
	}
	var out []Action
	var op *operation
	for _, k := range slices.Sorted(maps.Keys(r.unlogged)) {
		u := r.unlogged[k]
		if !m.due(u.op, now) {
			continue
		}
		used := u.noted || len(u.acked) > 0
		if !(urgent && used) && now-u.since < m.agentDelay(k, live) {
			continue
		}
		if op == nil || len(op.record.Agents) == joinBatch {
			out = m.sendAgents(out, op)
			op = &operation{record: Record{Kind: AgentJoined}}
		}
		op.record.Agents = append(op.record.Agents, u.record)
		u.op = op
	}
	out = m.sendAgents(out, op)
	return m.logDepartures(out, now)
}

func (m *Manager) logDepartures(out []Action, now gypsumtide.Millis) []Action {
	r := &m.agents
	var op *operation
	for _, k := range slices.Sorted(maps.Keys(r.leaving)) {
		if !m.due(r.leaving[k], now) {
			continue
		}
		if op == nil || len(op.record.Agents) == joinBatch {
			out = m.sendAgents(out, op)
			op = &operation{record: Record{Kind: AgentLeft}}
		}
		op.record.Agents = append(op.record.Agents, wire.AgentRecord{Incarnation: k})
		r.leaving[k] = op
	}
	return m.sendAgents(out, op)
}

func (m *Manager) due(op *operation, now gypsumtide.Millis) bool {
	return op == nil || !op.outstanding && now-op.sentAt >= m.cfg.RetryInterval
}

func (m *Manager) sendAgents(out []Action, op *operation) []Action {
	if op == nil {
		return out
	}
	if a, ok := m.send(op); ok {
		out = append(out, a)
	}
	return out
}

func (m *Manager) agentDelay(agent string, live []candidate) gypsumtide.Millis {
	for k, c := range ranked(xxhash.Sum64String(agent), live) {
		if c.incarnation == m.cfg.Self.Incarnation {
			return gypsumtide.Millis(k) * m.cfg.StaggerInterval
		}
	}
	return gypsumtide.Millis(len(live)) * m.cfg.StaggerInterval
}

// RetireRecord returns the record by which an operator states that the hosts
// of agents are gone.
func RetireRecord(wall gypsumtide.Millis, incarnations ...string) Record {
	r := Record{Kind: AgentRetired, Time: wall}
	for _, k := range incarnations {
		r.Agents = append(r.Agents, wire.AgentRecord{Incarnation: k})
	}
	return r
}

// RetireEntryRecord returns the record by which an operator states that the
// host of an entry is gone.
func RetireEntryRecord(wall gypsumtide.Millis, incarnation string) Record {
	return Record{Kind: EntryRetired, Time: wall, Author: incarnation}
}

// Candidates returns the agents that a submission of n tasks may use now, the
// preferred first.
func (m *Manager) Candidates(id gypsumtide.SubmissionID, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	g := m.agents.groups
	if extra := m.usableUnlogged(id.Shard()); len(extra) > 0 {
		g = group(append(extra, m.agents.members...))
	}
	ps := g.firstPlaces(xxhash.Sum64(id[:]), candidateCount(n))
	out := make([]string, len(ps))
	for i, p := range ps {
		out[i] = p.m.incarnation
	}
	return out
}

func (m *Manager) usableUnlogged(id gypsumtide.ShardID) []member {
	var ms []member
	for k, u := range m.agents.unlogged {
		if m.usable(k, id) {
			ms = append(ms, newMember(u.record))
		}
	}
	return ms
}

// RecoveryCandidate is an agent that may have started tasks of an id.
type RecoveryCandidate struct {
	Incarnation string
	// CanAnswer is false if the agent departed.
	CanAnswer bool
}

// RecoveryCandidates returns the agents that earlier homes may have used for a
// submission of n tasks. If complete is false, they may have used others that
// nobody can name, and the outcome of an unknown id is unknown.
//
// The rosters in force since the stamp are not known one by one. All of them
// contain the core: the agents that joined at an offset that every home in
// question had read, and are present now. All of them lie within the agents
// present at some time since the stamp. Since a join never improves the place
// of another agent, each agent that was ever among the first k is among the
// first k of the core and itself.
func (m *Manager) RecoveryCandidates(id gypsumtide.SubmissionID, n int) (candidates []RecoveryCandidate, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	ts := m.state.Epochs(id.Shard())
	if len(ts) == 0 || ts[len(ts)-1].Epoch == 1 {
		return nil, true
	}
	bound := m.oldestOffset(ts, id.Stamp())
	since := id.Stamp() - 4*m.cfg.MaxSkew
	var core, all []member
	var answers, inCore []bool
	for _, a := range m.state.Agents() {
		if !a.Member.Present() && a.Member.DepartedAt < since {
			continue
		}
		mb := newMember(a.AgentRecord)
		all = append(all, mb)
		answers = append(answers, a.Member.Present())
		inCore = append(inCore, a.Member.Present() && a.Member.JoinOffset < bound)
		if inCore[len(inCore)-1] {
			core = append(core, mb)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(m.agents.unlogged)) {
		all = append(all, newMember(m.agents.unlogged[k].record))
		answers = append(answers, true)
		inCore = append(inCore, false)
	}
	// The first k places of the core decide: an agent of the core is a candidate
	// if it has one of them, and any other agent if it would get one. Ranking
	// the whole core took 270 ms for 3,000 agents.
	hash, k := xxhash.Sum64(id[:]), candidateCount(n)
	ps := group(core).firstPlaces(hash, k)
	first := make(map[string]bool, len(ps))
	for _, p := range ps {
		first[p.m.incarnation] = true
	}
	for i := range all {
		if first[all[i].incarnation] || !inCore[i] && position(hash, &all[i], ps) < k {
			candidates = append(candidates, RecoveryCandidate{Incarnation: all[i].incarnation, CanAnswer: answers[i]})
		}
	}
	return candidates, m.complete(ts, id.Stamp())
}

// oldestOffset returns an offset below which every earlier home that can have
// accepted an id with the stamp had read all records.
func (m *Manager) oldestOffset(ts []EpochInfo, stamp gypsumtide.Millis) uint64 {
	margin := m.cfg.LeaseDuration + 4*m.cfg.MaxSkew
	lo := len(ts) - 2
	for lo > 0 && (!ts[lo].SettlesByTimeout || ts[lo].Time+margin >= stamp) {
		lo--
	}
	if lo < 0 {
		return 0
	}
	bound := ts[lo].Offset + 1
	if p := m.peers[ts[lo].Home]; p != nil && lo == len(ts)-2 {
		bound = max(bound, p.offsetAt(stamp-2*m.cfg.MaxSkew))
	}
	return bound
}

// complete reports whether all agents that can have started tasks of the id are known.
func (m *Manager) complete(ts []EpochInfo, stamp gypsumtide.Millis) bool {
	for i := range ts {
		if len(ts[i].OrphanedPairs) == 0 {
			continue
		}
		if i == len(ts)-1 || stamp <= ts[i+1].Time+4*m.cfg.MaxSkew {
			return false
		}
	}
	return true
}
