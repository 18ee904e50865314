package shard

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// maxAgentsPerRecord bounds the number of agents in one record to keep appends small.
const maxAgentsPerRecord = 256

// roster holds what an entry knows about the agents, by their incarnations.
type roster struct {
	// stateVersion is the State.rosterVersion that syncRoster last applied.
	stateVersion uint64
	// version changes with the set of agents that must confirm the fencing of
	// earlier epochs in a takeover.
	version uint64
	// present holds the agents that are present according to the log, infos the
	// data by which they are ranked, and byRack the same data grouped by rack.
	present map[string]AgentMember
	infos   []agentInfo
	byRack  agentsByRack
	// connected holds the agents that have a session with this entry.
	connected map[string]wire.AgentRecord
	// unlogged holds the agents for which no record has been read from the log.
	unlogged map[string]*unloggedAgent
	// leaving holds the agents that announced their departure, with the last append
	// of the agent-left record, or nil.
	leaving map[string]*operation
	// confirmedEpochs holds, for each agent and shard, the highest epoch for which
	// the agent confirmed that it rejects tasks of lower epochs.
	confirmedEpochs map[string]*[gypsumtide.ShardCount]uint64
	// joinsUrgent means that a claim, a handover, the naming of a successor or the
	// end of a drain waits until the agents in use are recorded in the log. Their
	// joins are therefore appended without the delay by rank.
	joinsUrgent bool
}

// unloggedAgent is an agent for which no record has been read from the log yet.
type unloggedAgent struct {
	record     wire.AgentRecord
	knownSince gypsumtide.Millis
	// op is the last append of the join, or nil.
	op *operation
	// acknowledged means that this entry acknowledged a roster update about it.
	acknowledged bool
	// ackedBy holds the successors that acknowledged a roster update of this
	// entry about it.
	ackedBy map[string]bool
	// updateSentAt holds when this entry last sent an update about it to each
	// successor.
	updateSentAt map[string]gypsumtide.Millis
}

func newRoster() roster {
	return roster{
		present:         map[string]AgentMember{},
		connected:       map[string]wire.AgentRecord{},
		unlogged:        map[string]*unloggedAgent{},
		leaving:         map[string]*operation{},
		confirmedEpochs: map[string]*[gypsumtide.ShardCount]uint64{},
		stateVersion:    ^uint64(0),
	}
}

// syncRoster takes the present agents from the state if they have changed, and drops
// the data of departed agents.
func (m *Manager) syncRoster() {
	r := &m.roster
	agents, version, changed := m.state.presentAgents(r.stateVersion)
	if !changed {
		return
	}
	r.stateVersion = version
	r.version++
	clear(r.present)
	r.infos = r.infos[:0]
	for _, a := range agents {
		r.present[a.Incarnation] = a
		r.infos = append(r.infos, newAgentInfo(a.AgentRecord))
	}
	r.byRack = groupByRack(r.infos)
	for k := range r.unlogged {
		if m.state.knowsAgent(k) {
			delete(r.unlogged, k)
		}
	}
	for k := range r.confirmedEpochs {
		if _, ok := r.present[k]; !ok && r.unlogged[k] == nil {
			delete(r.confirmedEpochs, k)
		}
	}
	for k := range r.leaving {
		if _, ok := r.present[k]; !ok && m.state.knowsAgent(k) {
			delete(r.leaving, k)
		}
	}
}

// add adds an agent to unlogged, unless it is there already.
func (r *roster) add(rec wire.AgentRecord, now gypsumtide.Millis) *unloggedAgent {
	u := r.unlogged[rec.Incarnation]
	if u == nil {
		u = &unloggedAgent{record: rec, knownSince: now, ackedBy: map[string]bool{}, updateSentAt: map[string]gypsumtide.Millis{}}
		r.unlogged[rec.Incarnation] = u
	}
	return u
}

// hasUnloggedAcknowledged reports whether this entry acknowledged a roster update
// about an agent that is not recorded in the log.
func (r *roster) hasUnloggedAcknowledged() bool {
	for _, u := range r.unlogged {
		if u.acknowledged {
			return true
		}
	}
	return false
}

// hasUnloggedAckedBy reports whether the successor acknowledged a roster update about
// an agent that is not recorded in the log.
func (r *roster) hasUnloggedAckedBy(successor string) bool {
	for _, u := range r.unlogged {
		if u.ackedBy[successor] {
			return true
		}
	}
	return false
}

// hasUnloggedInUse reports whether a home may use an agent that is not recorded in
// the log, because its successor acknowledged a roster update about the agent.
func (r *roster) hasUnloggedInUse() bool {
	for _, u := range r.unlogged {
		if u.acknowledged || len(u.ackedBy) > 0 {
			return true
		}
	}
	return false
}

// unconfirmedAgents lists the agents whose fence confirmation a shard may still
// wait for. Agents that have confirmed are removed from the front, so that a shard
// which waits for one agent costs little per Tick.
type unconfirmedAgents struct {
	// version is the roster.version for which agents was listed.
	version uint64
	agents  []string
}

// allConfirmed reports whether every agent that an earlier home can use has confirmed
// that it starts no task of the shard under an epoch below the given one. An earlier home
// can use the agents that are present and those about which this entry acknowledged a
// roster update.
func (r *roster) allConfirmed(unconfirmed *unconfirmedAgents, i int, epoch uint64) bool {
	if unconfirmed.version != r.version {
		unconfirmed.version = r.version
		unconfirmed.agents = slices.AppendSeq(unconfirmed.agents[:0], maps.Keys(r.present))
		for k, u := range r.unlogged {
			if u.acknowledged {
				unconfirmed.agents = append(unconfirmed.agents, k)
			}
		}
	}
	for len(unconfirmed.agents) > 0 {
		if confirmed := r.confirmedEpochs[unconfirmed.agents[0]]; confirmed == nil || confirmed[i] < epoch {
			return false
		}
		unconfirmed.agents = unconfirmed.agents[1:]
	}
	return true
}

// fenceRequests returns one action for each connected agent, with those of the shards
// whose current epoch it has not confirmed, if there are any.
func (m *Manager) fenceRequests(shards []int) []Action {
	if len(shards) == 0 {
		return nil
	}
	var out []Action
	for k := range m.roster.connected {
		a := Action{Kind: ActionSendFenceRequests, Peer: k}
		confirmed := m.roster.confirmedEpochs[k]
		for _, i := range shards {
			if epoch := m.shards[i].ownership.Epoch; confirmed == nil || confirmed[i] < epoch {
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

// AgentConnected reports that a session with an agent was established. It ignores an agent
// that ValidateAgent rejects, whose join would keep other joins out of the log.
func (m *Manager) AgentConnected(rec wire.AgentRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	if ValidateAgent(&rec) != nil {
		return
	}
	m.roster.connected[rec.Incarnation] = rec
	if !m.state.knowsAgent(rec.Incarnation) {
		m.roster.add(rec, m.clock.Now())
	}
}

// AgentDisconnected reports the end of a session with an agent.
func (m *Manager) AgentDisconnected(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	delete(m.roster.connected, incarnation)
	if u := m.roster.unlogged[incarnation]; u != nil && !u.acknowledged && len(u.ackedBy) == 0 {
		delete(m.roster.unlogged, incarnation)
	}
}

// AgentLeft reports that an agent announced its departure: it runs no task and
// starts none. The manager appends an agent-left record.
func (m *Manager) AgentLeft(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	if _, ok := m.roster.leaving[incarnation]; ok || !validIncarnation(incarnation) {
		return
	}
	if _, ok := m.roster.present[incarnation]; ok || !m.state.knowsAgent(incarnation) {
		m.roster.leaving[incarnation] = nil
	}
}

// FenceConfirmed handles an agent's confirmation that it rejects lower epochs of a
// shard. The epoch is the highest that the agent knows, so the confirmation also
// covers requests for lower ones.
func (m *Manager) FenceConfirmed(agent string, fence wire.ShardEpoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence.Shard >= gypsumtide.ShardCount {
		return
	}
	epochs := m.roster.confirmedEpochs[agent]
	if epochs == nil {
		epochs = &[gypsumtide.ShardCount]uint64{}
		m.roster.confirmedEpochs[agent] = epochs
	}
	epochs[fence.Shard] = max(epochs[fence.Shard], fence.Epoch)
}

// Usable reports whether the home of the shard may send its tasks to the agent. The
// agent must be present according to the log. While no record about it has been read,
// it is enough that the successor has acknowledged a roster update about it, unless a
// claim or a change of the successor is pending.
func (m *Manager) Usable(agent string, id gypsumtide.ShardID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	return m.usable(agent, id)
}

func (m *Manager) usable(agent string, id gypsumtide.ShardID) bool {
	if _, ok := m.roster.present[agent]; ok {
		return true
	}
	u := m.roster.unlogged[agent]
	if u == nil {
		return false
	}
	if m.disabled.rosterRule {
		return true
	}
	sh := &m.shards[id]
	return sh.op == nil && sh.ownership.Successor != "" && u.ackedBy[sh.ownership.Successor]
}

// HandleRosterUpdates takes the roster updates of a home and returns those to
// acknowledge, without those that ValidateAgent rejects. It acknowledges nothing to a home
// from which this entry is taking over a shard, or took one over so recently that the home
// may still start tasks: the home could then use an agent that has not confirmed the fencing.
func (m *Manager) HandleRosterUpdates(from string, updates []wire.AgentRecord) []wire.AgentRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	m.touchPeer(from)
	if m.departed || m.leaving || m.isTakingOverFrom(from) {
		return nil
	}
	now := m.clock.Now()
	var acks []wire.AgentRecord
	for _, rec := range updates {
		if ValidateAgent(&rec) != nil {
			continue
		}
		if !m.state.knowsAgent(rec.Incarnation) {
			m.roster.add(rec, now).acknowledged = true
			m.roster.version++
		} else if _, ok := m.roster.present[rec.Incarnation]; !ok {
			continue
		}
		acks = append(acks, rec)
	}
	return acks
}

// isTakingOverFrom reports whether this entry is claiming a shard of the home, or has
// become home of one after it less than LeaseDuration + MaxEchoAge ago, so that the
// earlier home may still start tasks.
func (m *Manager) isTakingOverFrom(home string) bool {
	now := m.clock.Now()
	self := m.cfg.Self.Incarnation
	for i := range m.shards {
		sh := &m.shards[i]
		if sh.op != nil && sh.op.isTakeover(self) && sh.ownership.Home == home {
			return true
		}
		if sh.ownership.Home == self && sh.epochInfo.Previous.Home == home && now-sh.claimReadAt < m.cfg.LeaseDuration+m.cfg.MaxEchoAge {
			return true
		}
	}
	return false
}

// HandleRosterAcks takes a successor's acknowledgement of roster updates.
func (m *Manager) HandleRosterAcks(from string, acks []wire.AgentRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	m.touchPeer(from)
	for _, rec := range acks {
		if u := m.roster.unlogged[rec.Incarnation]; u != nil {
			u.ackedBy[from] = true
		}
	}
}

// rosterUpdates tells the successors about agents that are not recorded in the log
// yet. The first update waits for half of ResendInterval; normally the log has the
// agent by then, and no update is sent.
func (m *Manager) rosterUpdates(now gypsumtide.Millis) []Action {
	r := &m.roster
	if len(r.unlogged) == 0 {
		return nil
	}
	var out []Action
	for _, successor := range m.successors() {
		a := Action{Kind: ActionSendRosterUpdates, Peer: successor}
		for _, k := range slices.Sorted(maps.Keys(r.unlogged)) {
			u := r.unlogged[k]
			if _, isConnected := r.connected[k]; !isConnected || u.ackedBy[successor] || now-u.knownSince < m.cfg.ResendInterval/2 {
				continue
			}
			if at, sent := u.updateSentAt[successor]; sent && now-at < m.cfg.ResendInterval {
				continue
			}
			u.updateSentAt[successor] = now
			a.RosterUpdates = append(a.RosterUpdates, u.record)
		}
		if len(a.RosterUpdates) > 0 {
			out = append(out, a)
		}
	}
	return out
}

// successors returns the successors of the shards whose home is this entry.
func (m *Manager) successors() []string {
	var out []string
	for i := range m.shards {
		ownership := &m.shards[i].ownership
		if ownership.Home == m.cfg.Self.Incarnation && ownership.Successor != "" && !slices.Contains(out, ownership.Successor) {
			out = append(out, ownership.Successor)
		}
	}
	slices.Sort(out)
	return out
}

// appendAgentChanges returns the appends of the joins and departures of agents that
// the log lacks. Each entry delays a join according to its rank, so that normally
// only one appends it.
func (m *Manager) appendAgentChanges(now gypsumtide.Millis, live []homeCandidate) []Action {
	r := &m.roster
	urgent := r.joinsUrgent
	r.joinsUrgent = false
	if !m.logAvailable() || len(r.unlogged) == 0 && len(r.leaving) == 0 {
		return nil
	}
	// Unless a join is urgent, a wrong clock must not get into the records, whose times
	// decide which members the state discards.
	if !urgent && abs(m.skew()) > m.cfg.MaxSkew {
		return nil
	}
	var out []Action
	var op *operation
	for _, k := range slices.Sorted(maps.Keys(r.unlogged)) {
		u := r.unlogged[k]
		if !m.retryDue(u.op, now) {
			continue
		}
		inUse := u.acknowledged || len(u.ackedBy) > 0
		if !(urgent && inUse) && now-u.knownSince < m.agentAppendDelay(k, live) {
			continue
		}
		if op == nil || len(op.record.Agents) == maxAgentsPerRecord {
			out = m.addAppend(out, op)
			op = &operation{record: Record{Kind: AgentJoined}}
		}
		op.record.Agents = append(op.record.Agents, u.record)
		u.op = op
	}
	out = m.addAppend(out, op)
	return m.appendAgentDepartures(out, now)
}

// appendAgentDepartures adds the appends of agent-left records to out.
func (m *Manager) appendAgentDepartures(out []Action, now gypsumtide.Millis) []Action {
	r := &m.roster
	var op *operation
	for _, k := range slices.Sorted(maps.Keys(r.leaving)) {
		if !m.retryDue(r.leaving[k], now) {
			continue
		}
		if op == nil || len(op.record.Agents) == maxAgentsPerRecord {
			out = m.addAppend(out, op)
			op = &operation{record: Record{Kind: AgentLeft}}
		}
		op.record.Agents = append(op.record.Agents, wire.AgentRecord{Incarnation: k})
		r.leaving[k] = op
	}
	return m.addAppend(out, op)
}

// retryDue reports whether a record is to be appended now. op is its last append: nil
// if there was none, otherwise it must have ended and have been sent at least
// RetryInterval ago.
func (m *Manager) retryDue(op *operation, now gypsumtide.Millis) bool {
	return op == nil || !op.inFlight && now-op.sentAt >= m.cfg.RetryInterval
}

// addAppend adds the append of op, which may be nil, to out.
func (m *Manager) addAppend(out []Action, op *operation) []Action {
	if op == nil {
		return out
	}
	if a, ok := m.appendAction(op); ok {
		out = append(out, a)
	}
	return out
}

// agentAppendDelay returns how long this entry waits before it appends the join of
// an agent: one StaggerInterval for each entry ranked before it.
func (m *Manager) agentAppendDelay(agent string, live []homeCandidate) gypsumtide.Millis {
	for k, c := range rankByHash(xxhash.Sum64String(agent), live) {
		if c.incarnation == m.cfg.Self.Incarnation {
			return gypsumtide.Millis(k) * m.cfg.StaggerInterval
		}
	}
	return gypsumtide.Millis(len(live)) * m.cfg.StaggerInterval
}

// RetireAgentsRecord returns the record by which an operator declares the hosts of
// agents permanently removed.
func RetireAgentsRecord(wall gypsumtide.Millis, incarnations ...string) Record {
	r := Record{Kind: AgentRetired, Time: wall}
	for _, k := range incarnations {
		r.Agents = append(r.Agents, wire.AgentRecord{Incarnation: k})
	}
	return r
}

// RetireEntryRecord returns the record by which an operator declares the host of
// an entry permanently removed.
func RetireEntryRecord(wall gypsumtide.Millis, incarnation string) Record {
	return Record{Kind: EntryRetired, Time: wall, Author: incarnation}
}

// Candidates returns the agents that a submission of n tasks may use now, in
// order of preference.
func (m *Manager) Candidates(id gypsumtide.SubmissionID, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	g := m.roster.byRack
	if extra := m.usableUnlogged(id.Shard()); len(extra) > 0 {
		g = groupByRack(append(extra, m.roster.infos...))
	}
	ranked := g.topRanked(xxhash.Sum64(id[:]), candidateCount(n))
	out := make([]string, len(ranked))
	for i, r := range ranked {
		out[i] = r.agent.incarnation
	}
	return out
}

// usableUnlogged returns the usable agents whose join has not been read from the log.
func (m *Manager) usableUnlogged(id gypsumtide.ShardID) []agentInfo {
	var infos []agentInfo
	for k, u := range m.roster.unlogged {
		if m.usable(k, id) {
			infos = append(infos, newAgentInfo(u.record))
		}
	}
	return infos
}

// RecoveryCandidate is an agent that may have started tasks of a submission.
type RecoveryCandidate struct {
	Incarnation string
	// CanAnswer is false if the agent has departed.
	CanAnswer bool
}

// RecoveryCandidates returns the agents that earlier homes may have used for a
// submission of n tasks. If complete is false, the homes may have used further
// agents that no entry knows, so an id that no candidate knows may have run.
//
// The rosters that earlier homes used since the timestamp of the id are not known
// individually. Each contained the core: the agents that are present now and joined
// at an offset that all these homes had read. Each was contained in the set of agents
// that were present at some time since the timestamp. A join never improves the rank
// of another agent. Let k be the number of agents that may run a submission of n tasks
// (candidateCount). An agent that was among the first k of any of these rosters is
// among the first k of the core plus itself.
func (m *Manager) RecoveryCandidates(id gypsumtide.SubmissionID, n int) (candidates []RecoveryCandidate, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	epochs := m.state.Epochs(id.Shard())
	if len(epochs) == 0 || epochs[len(epochs)-1].Epoch == 1 {
		return nil, true
	}
	readOffset := m.commonReadOffset(epochs, id.Timestamp())
	since := id.Timestamp() - 4*m.cfg.MaxSkew
	var core, known []agentInfo
	var canAnswer, inCore []bool
	for _, a := range m.state.Agents() {
		if !a.Member.Present() && a.Member.DepartedAt < since {
			continue
		}
		info := newAgentInfo(a.AgentRecord)
		known = append(known, info)
		canAnswer = append(canAnswer, a.Member.Present())
		inCore = append(inCore, a.Member.Present() && a.Member.JoinOffset < readOffset)
		if inCore[len(inCore)-1] {
			core = append(core, info)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(m.roster.unlogged)) {
		known = append(known, newAgentInfo(m.roster.unlogged[k].record))
		canAnswer = append(canAnswer, true)
		inCore = append(inCore, false)
	}
	// Only the first k agents of the core have to be ranked: an agent of the core is
	// a candidate if it is one of them, and any other agent if it would rank among
	// the first k together with them. Ranking the whole core took 270 ms for 3,000
	// agents.
	hash, k := xxhash.Sum64(id[:]), candidateCount(n)
	ranked := groupByRack(core).topRanked(hash, k)
	inTopOfCore := make(map[string]bool, len(ranked))
	for _, r := range ranked {
		inTopOfCore[r.agent.incarnation] = true
	}
	for i := range known {
		if inTopOfCore[known[i].incarnation] || !inCore[i] && rankAmong(hash, &known[i], ranked) < k {
			candidates = append(candidates, RecoveryCandidate{Incarnation: known[i].incarnation, CanAnswer: canAnswer[i]})
		}
	}
	return candidates, m.candidatesComplete(epochs, id.Timestamp())
}

// commonReadOffset returns an offset below which all records had been read by
// every earlier home that may have accepted an id with the timestamp.
func (m *Manager) commonReadOffset(epochs []EpochInfo, timestamp gypsumtide.Millis) uint64 {
	margin := m.cfg.LeaseDuration + 4*m.cfg.MaxSkew
	// earliest is the index of the first epoch whose home may have accepted the id.
	earliest := len(epochs) - 2
	for earliest > 0 && (!epochs[earliest].SettlesByTimeout || epochs[earliest].Time+margin >= timestamp) {
		earliest--
	}
	if earliest < 0 {
		return 0
	}
	bound := epochs[earliest].Offset + 1
	if p := m.peers[epochs[earliest].Home]; p != nil && earliest == len(epochs)-2 {
		bound = max(bound, p.offsetAt(timestamp-2*m.cfg.MaxSkew))
	}
	return bound
}

// candidatesComplete reports whether all agents are known that may have started
// tasks of an id with the timestamp.
func (m *Manager) candidatesComplete(epochs []EpochInfo, timestamp gypsumtide.Millis) bool {
	for i := range epochs {
		if len(epochs[i].OrphanedPairs) == 0 {
			continue
		}
		if i == len(epochs)-1 || timestamp <= epochs[i+1].Time+4*m.cfg.MaxSkew {
			return false
		}
	}
	return true
}
