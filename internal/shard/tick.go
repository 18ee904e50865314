package shard

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
)

// syncState updates the manager with the changes of State since the last call. The caller
// must hold the lock.
func (m *Manager) syncState() {
	v := m.state.version.Load()
	if v == m.syncedVersion {
		return
	}
	m.syncedVersion = v
	now := m.clock.Now()
	m.syncEntries(now)
	ownerships, nextOffset := m.state.allOwnerships()
	m.nextOffset = nextOffset
	for i := range m.shards {
		if m.shards[i].ownership != ownerships[i] {
			m.updateOwnership(i, ownerships[i], now)
		}
	}
	m.syncRoster()
}

// syncEntries takes the departures of entries from the state. It creates a peer for
// each new entry and deletes the peers that the state has discarded.
func (m *Manager) syncEntries(now gypsumtide.Millis) {
	for _, e := range m.state.Entries() {
		if e.Incarnation == m.cfg.Self.Incarnation {
			m.joined = true
			if !e.Member.Present() && !m.departed {
				m.stopServing()
			}
			continue
		}
		p := m.peers[e.Incarnation]
		if p == nil {
			p = &peer{lastFrameAt: now}
			m.peers[e.Incarnation] = p
		}
		p.info, p.departure = e.EntryInfo, e.Member.Departure
	}
	for k, p := range m.peers {
		if _, ok := m.state.Entry(k); !ok && p.info.Name != "" {
			delete(m.peers, k)
		}
	}
}

// stopServing ends all leases because a newer incarnation of this entry joined, an
// operator retired it, or its own departure was read back from the log.
func (m *Manager) stopServing() {
	m.departed = true
	for i := range m.shards {
		m.shards[i].leaseUntil = 0
		m.publishLease(i, 0)
		if m.shards[i].machine.State() == "serving" {
			m.fireEvent(&m.shards[i], "lease-lost")
		}
	}
}

// updateOwnership takes a changed ownership from the state and resets what this
// entry knows about the old one.
func (m *Manager) updateOwnership(i int, ownership Ownership, now gypsumtide.Millis) {
	sh := &m.shards[i]
	newEpoch := ownership.Epoch != sh.ownership.Epoch
	// The base offset of a pending operation is outdated now, so the operation
	// either took effect or never will.
	m.detachOperation(i)
	sh.ownership = ownership
	sh.lastAckAt, sh.lastListedAt = now, now
	sh.lostSince, sh.orphanedSince, sh.endedSince = 0, 0, 0
	state := sh.machine.State()
	if !newEpoch {
		switch state {
		case "claiming":
			m.fireEvent(sh, "home-seen")
		case "handing-over":
			m.fireEvent(sh, "handover-failed")
		}
		return
	}
	sh.leaseUntil, sh.claimReadAt, sh.tookOverAt, sh.pairsCannotRenewSince, sh.fenceRequestedAt = 0, now, 0, 0, 0
	sh.unconfirmed = unconfirmedAgents{}
	m.publishLease(i, 0)
	acceptsWon := state == "remote" || state == "homeless" || state == "claiming"
	if ownership.Home != m.cfg.Self.Incarnation {
		if state != "remote" {
			m.fireEvent(sh, "home-seen")
		}
		return
	}
	if !acceptsWon {
		// This entry was also the home at the last call, and another entry was the home in
		// between. The chart requires "home-seen" before "won".
		m.fireEvent(sh, "home-seen")
	}
	m.fireEvent(sh, "won")
	if epochs := m.state.Epochs(gypsumtide.ShardID(i)); len(epochs) > 0 {
		sh.epochInfo = epochs[len(epochs)-1]
	}
}

// Tick runs the time-dependent steps and returns the actions for the owner.
func (m *Manager) Tick() []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.syncState()
	m.allowForPause(now)
	m.lastTickAt = now
	live := m.liveCandidates(now)
	out := m.appendOwnMembership(now)
	if m.departed {
		return out
	}
	out = append(out, m.retryOperations(now)...)
	var b operationBatch
	var fenceDue []int
	for i := range m.shards {
		fenceDue = m.stepShard(i, now, live, &b, fenceDue)
	}
	m.rebalance(now, live, &b)
	m.finishDrain()
	out = append(out, m.appendAgentChanges(now, live)...)
	out = append(out, m.sendBatch(&b)...)
	out = append(out, m.rosterUpdates(now)...)
	return append(out, m.fenceRequests(fenceDue)...)
}

// allowForPause keeps a pause of this process from being mistaken for the silence
// of its peers, whose frames may be waiting unread: after a pause of at least half of
// SuspicionTimeout, each peer has the other half to be heard.
func (m *Manager) allowForPause(now gypsumtide.Millis) {
	if now-m.lastTickAt < m.cfg.SuspicionTimeout/2 {
		return
	}
	for _, p := range m.peers {
		p.lastFrameAt = max(p.lastFrameAt, now-m.cfg.SuspicionTimeout/2)
	}
	for i := range m.shards {
		m.shards[i].lastListedAt = max(m.shards[i].lastListedAt, now-m.cfg.SuspicionTimeout/2)
	}
}

// silent reports whether no frame of a peer has arrived for SuspicionTimeout.
func (m *Manager) silent(p *peer) bool { return m.clock.Now()-p.lastFrameAt >= m.cfg.SuspicionTimeout }

// lost reports whether an entry has departed, is silent or is unknown. The empty
// incarnation, which stands for no home or successor, is unknown.
func (m *Manager) lost(incarnation string) bool {
	if incarnation == m.cfg.Self.Incarnation {
		return m.departed
	}
	p := m.peers[incarnation]
	return p == nil || p.departure != Present || m.silent(p)
}

// ended reports whether an entry has provably ended. An entry that the state has
// discarded and the empty incarnation, which stands for no home or successor, count as
// ended.
func (m *Manager) ended(incarnation string) bool {
	if incarnation == "" {
		return true
	}
	if incarnation == m.cfg.Self.Incarnation {
		return m.departed
	}
	p := m.peers[incarnation]
	return p == nil || p.departure != Present
}

// homeCandidate is a live and ready entry; hash is the hash of its name.
type homeCandidate struct {
	incarnation string
	hash        uint64
	readySince  gypsumtide.Millis
}

// liveCandidates returns the entries that can become a home, including this one if
// it is eligible. It also updates peer.readySince.
func (m *Manager) liveCandidates(now gypsumtide.Millis) []homeCandidate {
	var candidates []homeCandidate
	if m.eligible() {
		candidates = append(candidates, homeCandidate{incarnation: m.cfg.Self.Incarnation, hash: xxhash.Sum64String(m.cfg.Self.Name), readySince: m.startedAt})
	}
	for k, p := range m.peers {
		if p.departure != Present || !p.ready || m.silent(p) || p.info.Name == "" {
			p.readySince = 0
			continue
		}
		if p.readySince == 0 {
			p.readySince = now
		}
		candidates = append(candidates, homeCandidate{incarnation: k, hash: xxhash.Sum64String(p.info.Name), readySince: p.readySince})
	}
	return candidates
}

// rankByHash sorts the entries by their rendezvous hash for a key, preferred first.
func rankByHash(key uint64, live []homeCandidate) []homeCandidate {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b homeCandidate) int {
		scoreA, scoreB := mix64(a.hash^mix64(key)), mix64(b.hash^mix64(key))
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		case a.incarnation > b.incarnation:
			return -1
		case a.incarnation < b.incarnation:
			return 1
		}
		return 0
	})
	return ranked
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ownRank returns the number of live entries that are preferred to this one as home
// of a shard.
func (m *Manager) ownRank(i int, live []homeCandidate) int {
	for k, c := range rankByHash(uint64(i), live) {
		if c.incarnation == m.cfg.Self.Incarnation {
			return k
		}
	}
	return len(live)
}

// preferredEntry returns the highest-ranked entry for a shard that is not excluded,
// or "".
func (m *Manager) preferredEntry(i int, live []homeCandidate, exclude ...string) string {
	for _, c := range rankByHash(uint64(i), live) {
		if !slices.Contains(exclude, c.incarnation) {
			return c.incarnation
		}
	}
	return ""
}

// stepShard runs the time-dependent steps of one shard. It adds the shard to fenceDue
// if fence requests for it are due, and returns fenceDue.
func (m *Manager) stepShard(i int, now gypsumtide.Millis, live []homeCandidate, b *operationBatch, fenceDue []int) []int {
	if m.shards[i].ownership.Home == m.cfg.Self.Incarnation {
		return m.stepHome(i, now, live, b, fenceDue)
	}
	m.stepRemote(i, now, live, b)
	return fenceDue
}

// stepRemote monitors a shard that has another home or none, and claims it if
// this entry may.
func (m *Manager) stepRemote(i int, now gypsumtide.Millis, live []homeCandidate, b *operationBatch) {
	sh := &m.shards[i]
	// A home whose heartbeats have not listed the shard for OrphanTimeout counts as
	// lost. For example, it may not have read the claim that made it the home.
	lost := sh.ownership.Home == "" || m.lost(sh.ownership.Home) || now-sh.lastListedAt >= m.cfg.OrphanTimeout
	switch state := sh.machine.State(); {
	case state == "claiming":
		return
	case lost && state == "remote":
		m.fireEvent(sh, "home-lost")
	case !lost && state == "homeless":
		m.fireEvent(sh, "home-seen")
	}
	m.updateLossTimes(sh, now, lost)
	if !lost || sh.op != nil || now < sh.backoffUntil || !m.logAvailable() || !m.eligible() {
		return
	}
	self := m.cfg.Self.Incarnation
	if sh.ownership.Successor == self {
		m.claimAsSuccessor(i, live, b)
		return
	}
	since, ok := m.claimableSince(sh, now)
	if !ok || now-since < gypsumtide.Millis(m.ownRank(i, live))*m.cfg.StaggerInterval {
		return
	}
	m.beginClaim(i, live, b)
}

// updateLossTimes records since when each condition for the claim of a shard has held.
func (m *Manager) updateLossTimes(sh *localShard, now gypsumtide.Millis, lost bool) {
	track := func(since *gypsumtide.Millis, cond bool) {
		switch {
		case !cond:
			*since = 0
		case *since == 0:
			*since = now
		}
	}
	successorLost := sh.ownership.Successor == "" || m.lost(sh.ownership.Successor)
	track(&sh.lostSince, lost)
	track(&sh.orphanedSince, lost && successorLost)
	track(&sh.endedSince, m.ended(sh.ownership.Home))
}

// claimableSince returns since when any entry may claim a shard. It may do so at
// once if the shard was never claimed or if home and successor have ended, otherwise
// OrphanTimeout after the home has ended or after home and successor were both lost.
func (m *Manager) claimableSince(sh *localShard, now gypsumtide.Millis) (since gypsumtide.Millis, ok bool) {
	if sh.ownership.Home == "" {
		return sh.endedSince, true
	}
	if m.ended(sh.ownership.Home) && m.ended(sh.ownership.Successor) {
		return sh.orphanedSince, true
	}
	if sh.endedSince > 0 && now-sh.endedSince >= m.cfg.OrphanTimeout {
		return sh.endedSince + m.cfg.OrphanTimeout, true
	}
	if sh.orphanedSince > 0 && now-sh.orphanedSince >= m.cfg.OrphanTimeout {
		return sh.orphanedSince + m.cfg.OrphanTimeout, true
	}
	return 0, false
}

// claimAsSuccessor claims a shard whose successor is this entry. It first waits
// until the agents that only the home and this entry know are recorded in the log,
// so that a later home finds them in the roster. While the claim is pending, the
// entry acknowledges no heartbeat for the shard.
func (m *Manager) claimAsSuccessor(i int, live []homeCandidate, b *operationBatch) {
	if m.roster.hasUnloggedAcknowledged() {
		m.roster.joinsUrgent = true
		return
	}
	m.beginClaim(i, live, b)
}

// beginClaim starts a claim that makes this entry the home of a shard.
func (m *Manager) beginClaim(i int, live []homeCandidate, b *operationBatch) {
	sh := &m.shards[i]
	m.fireEvent(sh, "claim-sent")
	self := m.cfg.Self.Incarnation
	m.startOperation(b, Claim, i, self, m.preferredEntry(i, live, self, sh.ownership.Home))
}

// stepHome runs the time-dependent steps of a shard whose home is this entry.
func (m *Manager) stepHome(i int, now gypsumtide.Millis, live []homeCandidate, b *operationBatch, fenceDue []int) []int {
	sh := &m.shards[i]
	if sh.machine.State() == "promising" {
		fenceDue = m.stepUnsettled(i, now, fenceDue)
	}
	if sh.machine.State() == "serving" && now >= sh.leaseUntil {
		m.fireEvent(sh, "lease-lost")
		m.publishLease(i, 0)
	}
	if sh.machine.State() == "handing-over" || sh.op != nil || now < sh.backoffUntil || !m.logAvailable() {
		return fenceDue
	}
	if !m.draining {
		m.nameSuccessor(i, now, live, b)
	}
	return fenceDue
}

// stepUnsettled runs the steps of a shard in the state "promising", in which this
// home may not serve yet. It requests fencing from the agents until the earlier
// homes are settled.
func (m *Manager) stepUnsettled(i int, now gypsumtide.Millis, fenceDue []int) []int {
	sh := &m.shards[i]
	if !m.settled(i, now) {
		if sh.fenceRequestedAt == 0 || now-sh.fenceRequestedAt >= m.cfg.ResendInterval {
			sh.fenceRequestedAt = now
			fenceDue = append(fenceDue, i)
		}
		return fenceDue
	}
	sh.tookOverAt = m.clock.Wall()
	m.fireEvent(sh, "settled")
	if sh.leaseUntil > now {
		m.fireEvent(sh, "lease-gained")
		m.publishLease(i, sh.leaseUntil)
	}
	return fenceDue
}

// settled reports whether no earlier home can start another task of the shard; the
// package documentation defines the exempt tasks and explains the rules.
func (m *Manager) settled(i int, now gypsumtide.Millis) bool {
	sh := &m.shards[i]
	if sh.ownership.Epoch == 1 {
		return true
	}
	wait := m.cfg.LeaseDuration + m.cfg.MaxEchoAge
	if m.disabled.settlementWait {
		wait = 0
	}
	confirmed := m.roster.allConfirmed(&sh.unconfirmed, i, sh.ownership.Epoch)
	if sh.epochInfo.SettlesByTimeout {
		return confirmed || now-sh.claimReadAt >= wait
	}
	if !confirmed {
		return false
	}
	if len(sh.epochInfo.OrphanedPairs) == 0 {
		return true
	}
	if sh.pairsCannotRenewSince == 0 && m.orphanedPairsCannotRenew(&sh.epochInfo) {
		sh.pairsCannotRenewSince = now
	}
	return sh.pairsCannotRenewSince > 0 && now-sh.pairsCannotRenewSince >= wait
}

// orphanedPairsCannotRenew reports whether one entry of each orphaned pair has provably
// ended or read the claim. The other one then needs the log to renew its lease, and
// finds the claim there.
func (m *Manager) orphanedPairsCannotRenew(info *EpochInfo) bool {
	for _, pair := range info.OrphanedPairs {
		if !m.endedOrReadClaim(pair.Home, info.Offset) && !m.endedOrReadClaim(pair.Successor, info.Offset) {
			return false
		}
	}
	return true
}

// endedOrReadClaim reports whether an entry has provably ended or has read the claim
// at an offset. This entry has read it.
func (m *Manager) endedOrReadClaim(incarnation string, claimOffset uint64) bool {
	if m.ended(incarnation) {
		return true
	}
	p := m.peers[incarnation]
	return incarnation == m.cfg.Self.Incarnation || p != nil && p.highestOffset > claimOffset
}

// nameSuccessor names a successor if there is none. It replaces one that has ended or
// that, for SuccessorTimeout, has not acknowledged the shard while ready. If no other
// entry can be named, it removes a successor only if that has ended. Before the successor
// changes, the unlogged agents that the old one acknowledged are recorded in the log.
// Until the new record is read back, acknowledgements do not extend the lease, because
// localShard.op is set.
func (m *Manager) nameSuccessor(i int, now gypsumtide.Millis, live []homeCandidate, b *operationBatch) {
	sh := &m.shards[i]
	old := sh.ownership.Successor
	// After a log outage the peers need some time to become ready again.
	if old != "" && !m.ended(old) && now-max(sh.lastAckAt, m.logRecoveredAt) < m.cfg.SuccessorTimeout {
		return
	}
	next := m.preferredEntry(i, live, m.cfg.Self.Incarnation, old)
	if next == "" && (old == "" || !m.ended(old)) {
		return
	}
	if m.roster.hasUnloggedAckedBy(old) {
		m.roster.joinsUrgent = true
		return
	}
	m.startOperation(b, SuccessorNamed, i, "", next)
}

// rebalance hands shards over to the entries that the rendezvous hash prefers, one
// batch at a time. If this entry is draining, it hands over all shards at once, each to
// its successor if that is live and ready.
func (m *Manager) rebalance(now gypsumtide.Millis, live []homeCandidate, b *operationBatch) {
	if !m.logAvailable() || !m.draining && now-m.lastHandoverAt < m.cfg.RebalanceInterval {
		return
	}
	moving := 0
	for i := range m.shards {
		if m.shards[i].machine.State() == "handing-over" {
			moving++
		}
	}
	for i := range m.shards {
		if !m.draining && moving >= m.cfg.RebalanceBatch {
			return
		}
		if m.startHandover(i, now, live, b) {
			moving++
			m.lastHandoverAt = now
		}
	}
}

// startHandover starts to hand a shard over if another entry should be its home, and
// reports whether it did.
func (m *Manager) startHandover(i int, now gypsumtide.Millis, live []homeCandidate, b *operationBatch) bool {
	sh := &m.shards[i]
	state := sh.machine.State()
	if sh.ownership.Home != m.cfg.Self.Incarnation || sh.op != nil || now < sh.backoffUntil || state != "serving" && (state != "stopped" || !m.draining) {
		return false
	}
	to := m.handoverTarget(i, now, live)
	if to == "" {
		return false
	}
	if m.roster.hasUnloggedInUse() {
		m.roster.joinsUrgent = true
		return false
	}
	// The home must stop serving before the claim is appended.
	m.fireEvent(sh, "handover-sent")
	sh.leaseUntil = 0
	m.publishLease(i, 0)
	m.startOperation(b, Claim, i, to, m.preferredEntry(i, live, m.cfg.Self.Incarnation, to))
	return true
}

// handoverTarget returns the entry that should become home of a shard instead of
// this one, or "".
func (m *Manager) handoverTarget(i int, now gypsumtide.Millis, live []homeCandidate) string {
	self := m.cfg.Self.Incarnation
	if m.draining {
		for _, c := range live {
			if c.incarnation == m.shards[i].ownership.Successor {
				return c.incarnation
			}
		}
		return m.preferredEntry(i, live, self)
	}
	if !m.eligible() {
		return ""
	}
	best := rankByHash(uint64(i), live)[0]
	if best.incarnation == self || now-best.readySince < m.cfg.StabilityPeriod {
		return ""
	}
	return best.incarnation
}

// finishDrain starts the departure of a draining entry when it has neither a shard nor
// a pending operation and the agents in use are recorded in the log.
func (m *Manager) finishDrain() {
	if !m.draining || m.leaving {
		return
	}
	for i := range m.shards {
		if m.shards[i].ownership.Home == m.cfg.Self.Incarnation || m.shards[i].op != nil {
			return
		}
	}
	if m.roster.hasUnloggedInUse() {
		m.roster.joinsUrgent = true
		return
	}
	m.leaving = m.joined
}
