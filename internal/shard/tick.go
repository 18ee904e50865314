package shard

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
)

// sync takes over what the fold read since the last call.
func (m *Manager) sync() {
	v := m.state.version.Load()
	if v == m.version {
		return
	}
	m.version = v
	now := m.clock.Now()
	m.syncEntries(now)
	homes, next := m.state.homes()
	m.next = next
	for i := range m.shards {
		if m.shards[i].home != homes[i] {
			m.onHome(i, homes[i], now)
		}
	}
	m.syncRoster()
}

func (m *Manager) syncEntries(now gypsumtide.Millis) {
	for _, e := range m.state.Entries() {
		if e.Incarnation == m.cfg.Self.Incarnation {
			m.joined = true
			if !e.Member.Present() && !m.departed {
				m.depart()
			}
			continue
		}
		p := m.peers[e.Incarnation]
		if p == nil {
			p = &peer{lastHeard: now}
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

// depart stops everything: a newer incarnation of this entry joined, an
// operator retired it, or its own departure was read back.
func (m *Manager) depart() {
	m.departed = true
	for i := range m.shards {
		m.shards[i].lease = 0
		m.publish(i, 0)
		if m.shards[i].machine.State() == "serving" {
			m.fire(&m.shards[i], "lease-lost")
		}
	}
}

func (m *Manager) onHome(i int, h Ownership, now gypsumtide.Millis) {
	sh := &m.shards[i]
	newEpoch := h.Epoch != sh.home.Epoch
	// The base of the awaited operation is gone, so it either took effect or
	// never will.
	m.detach(i)
	sh.home = h
	sh.lastAck, sh.listedAt = now, now
	sh.lostSince, sh.orphanSince, sh.goneSince = 0, 0, 0
	state := sh.machine.State()
	if !newEpoch {
		switch state {
		case "claiming":
			m.fire(sh, "home-seen")
		case "handing-over":
			m.fire(sh, "handover-failed")
		}
		return
	}
	sh.lease, sh.readBack, sh.tookOver, sh.proven, sh.askedAt = 0, now, 0, 0, 0
	sh.waiting = waiting{}
	m.publish(i, 0)
	outside := state == "remote" || state == "homeless" || state == "claiming"
	if h.Home != m.cfg.Self.Incarnation {
		if state != "remote" {
			m.fire(sh, "home-seen")
		}
		return
	}
	if !outside {
		m.fire(sh, "home-seen")
	}
	m.fire(sh, "won")
	if ts := m.state.Epochs(gypsumtide.ShardID(i)); len(ts) > 0 {
		sh.tenure = ts[len(ts)-1]
	}
}

// Tick advances time and returns what the owner must do.
func (m *Manager) Tick() []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.sync()
	m.allowForPause(now)
	m.lastTick = now
	live := m.live(now)
	out := m.joinSelf(now)
	if m.departed {
		return out
	}
	out = append(out, m.retryOperations(now)...)
	var b batch
	var ask []int
	for i := range m.shards {
		ask = m.step(i, now, live, &b, ask)
	}
	m.rebalance(now, live, &b)
	m.finishDrain()
	out = append(out, m.logAgents(now, live)...)
	out = append(out, m.sendBatch(&b)...)
	out = append(out, m.notes(now)...)
	return append(out, m.promiseRequests(ask)...)
}

// allowForPause keeps a pause of this process from being taken for the silence of
// its peers: their frames may wait unread.
func (m *Manager) allowForPause(now gypsumtide.Millis) {
	if now-m.lastTick < m.cfg.SuspicionTimeout/2 {
		return
	}
	for _, p := range m.peers {
		p.lastHeard = max(p.lastHeard, now-m.cfg.SuspicionTimeout/2)
	}
	for i := range m.shards {
		m.shards[i].listedAt = max(m.shards[i].listedAt, now-m.cfg.SuspicionTimeout/2)
	}
}

func (m *Manager) silent(p *peer) bool { return m.clock.Now()-p.lastHeard >= m.cfg.SuspicionTimeout }

// lost reports whether an entry departed or is silent.
func (m *Manager) lost(incarnation string) bool {
	if incarnation == m.cfg.Self.Incarnation {
		return m.departed
	}
	p := m.peers[incarnation]
	return p == nil || p.departure != Present || m.silent(p)
}

// gone reports whether an entry provably ended. The empty incarnation, which
// stands for no successor, counts as gone.
func (m *Manager) gone(incarnation string) bool {
	if incarnation == "" {
		return true
	}
	if incarnation == m.cfg.Self.Incarnation {
		return m.departed
	}
	p := m.peers[incarnation]
	return p == nil || p.departure != Present
}

// candidate is a live and ready entry.
type candidate struct {
	incarnation string
	hash        uint64
	since       gypsumtide.Millis
}

// live returns the entries that can be a home, this one included.
func (m *Manager) live(now gypsumtide.Millis) []candidate {
	var cs []candidate
	if m.eligible() {
		cs = append(cs, candidate{incarnation: m.cfg.Self.Incarnation, hash: xxhash.Sum64String(m.cfg.Self.Name), since: m.startedAt})
	}
	for k, p := range m.peers {
		if p.departure != Present || !p.ready || m.silent(p) || p.info.Name == "" {
			p.readySince = 0
			continue
		}
		if p.readySince == 0 {
			p.readySince = now
		}
		cs = append(cs, candidate{incarnation: k, hash: xxhash.Sum64String(p.info.Name), since: p.readySince})
	}
	return cs
}

// ranked orders the entries by rendezvous hash for a key, the preferred first.
func ranked(key uint64, live []candidate) []candidate {
	cs := slices.Clone(live)
	slices.SortFunc(cs, func(a, b candidate) int {
		sa, sb := mix(a.hash^mix(key)), mix(b.hash^mix(key))
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		case a.incarnation > b.incarnation:
			return -1
		case a.incarnation < b.incarnation:
			return 1
		}
		return 0
	})
	return cs
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (m *Manager) rank(i int, live []candidate) int {
	for k, c := range ranked(uint64(i), live) {
		if c.incarnation == m.cfg.Self.Incarnation {
			return k
		}
	}
	return len(live)
}

// pick returns the preferred entry other than the excluded ones, or "".
func (m *Manager) pick(i int, live []candidate, exclude ...string) string {
	for _, c := range ranked(uint64(i), live) {
		if !slices.Contains(exclude, c.incarnation) {
			return c.incarnation
		}
	}
	return ""
}

// step runs one shard and adds it to ask if its agents must be asked for promises.
func (m *Manager) step(i int, now gypsumtide.Millis, live []candidate, b *batch, ask []int) []int {
	if m.shards[i].home.Home == m.cfg.Self.Incarnation {
		return m.stepHome(i, now, live, b, ask)
	}
	m.stepOther(i, now, live, b)
	return ask
}

// stepOther watches a shard of another home, or of none.
func (m *Manager) stepOther(i int, now gypsumtide.Millis, live []candidate, b *batch) {
	sh := &m.shards[i]
	// A home that is heard but does not list the shard cannot serve it, for
	// example because it has not read the claim that made it the home.
	lost := sh.home.Home == "" || m.lost(sh.home.Home) || now-sh.listedAt >= m.cfg.OrphanTimeout
	switch state := sh.machine.State(); {
	case state == "claiming":
		return
	case lost && state == "remote":
		m.fire(sh, "home-lost")
	case !lost && state == "homeless":
		m.fire(sh, "home-seen")
	}
	m.watch(sh, now, lost)
	if !lost || sh.op != nil || now < sh.backoff || !m.logFresh() || !m.eligible() {
		return
	}
	self := m.cfg.Self.Incarnation
	if sh.home.Successor == self {
		m.claimAsSuccessor(i, live, b)
		return
	}
	since, ok := m.orphaned(sh, now)
	if !ok || now-since < gypsumtide.Millis(m.rank(i, live))*m.cfg.StaggerInterval {
		return
	}
	m.beginClaim(i, live, b)
}

// watch keeps the times at which the parts of an orphan claim's condition began.
func (m *Manager) watch(sh *local, now gypsumtide.Millis, lost bool) {
	since := func(t *gypsumtide.Millis, cond bool) {
		switch {
		case !cond:
			*t = 0
		case *t == 0:
			*t = now
		}
	}
	succLost := sh.home.Successor == "" || m.lost(sh.home.Successor)
	since(&sh.lostSince, lost)
	since(&sh.orphanSince, lost && succLost)
	since(&sh.goneSince, m.gone(sh.home.Home))
}

// orphaned reports since when any entry may claim a shard: at once if it was
// never owned or if home and successor ended, else after Orphan.
func (m *Manager) orphaned(sh *local, now gypsumtide.Millis) (since gypsumtide.Millis, ok bool) {
	if sh.home.Home == "" {
		return sh.goneSince, true
	}
	if m.gone(sh.home.Home) && m.gone(sh.home.Successor) {
		return sh.orphanSince, true
	}
	if sh.goneSince > 0 && now-sh.goneSince >= m.cfg.OrphanTimeout {
		return sh.goneSince + m.cfg.OrphanTimeout, true
	}
	if sh.orphanSince > 0 && now-sh.orphanSince >= m.cfg.OrphanTimeout {
		return sh.orphanSince + m.cfg.OrphanTimeout, true
	}
	return 0, false
}

// claimAsSuccessor first has every agent logged that only this entry knows, so
// that a later home finds it in the roster. From the claim on the entry
// acknowledges nothing of the shard.
func (m *Manager) claimAsSuccessor(i int, live []candidate, b *batch) {
	if m.agents.unloggedNoted() {
		m.agents.urgent = true
		return
	}
	m.beginClaim(i, live, b)
}

func (m *Manager) beginClaim(i int, live []candidate, b *batch) {
	sh := &m.shards[i]
	m.fire(sh, "claim-sent")
	self := m.cfg.Self.Incarnation
	m.begin(b, Claim, i, self, m.pick(i, live, self, sh.home.Home))
}

// stepHome runs a shard that this entry is home for.
func (m *Manager) stepHome(i int, now gypsumtide.Millis, live []candidate, b *batch, ask []int) []int {
	sh := &m.shards[i]
	if sh.machine.State() == "promising" {
		ask = m.promising(i, now, ask)
	}
	if sh.machine.State() == "serving" && now >= sh.lease {
		m.fire(sh, "lease-lost")
		m.publish(i, 0)
	}
	if sh.machine.State() == "handing-over" || sh.op != nil || now < sh.backoff || !m.logFresh() {
		return ask
	}
	if !m.draining {
		m.nameSuccessor(i, now, live, b)
	}
	return ask
}

// promising waits until the agents of the earlier homes are settled.
func (m *Manager) promising(i int, now gypsumtide.Millis, ask []int) []int {
	sh := &m.shards[i]
	if !m.settled(i, now) {
		if sh.askedAt == 0 || now-sh.askedAt >= m.cfg.ResendInterval {
			sh.askedAt = now
			ask = append(ask, i)
		}
		return ask
	}
	sh.tookOver = m.clock.Wall()
	m.fire(sh, "settled")
	if sh.lease > now {
		m.fire(sh, "lease-gained")
		m.publish(i, sh.lease)
	}
	return ask
}

// settled reports whether no earlier home can start a task of the shard any
// more. See the package documentation.
func (m *Manager) settled(i int, now gypsumtide.Millis) bool {
	sh := &m.shards[i]
	if sh.home.Epoch == 1 {
		return true
	}
	wait := m.cfg.LeaseDuration + m.cfg.CreditLifetime
	if m.mutation.noTimeRule {
		wait = 0
	}
	promised := m.agents.allPromised(&sh.waiting, i, sh.home.Epoch)
	if sh.tenure.SettlesByTimeout {
		return promised || now-sh.readBack >= wait
	}
	if !promised {
		return false
	}
	if len(sh.tenure.OrphanedPairs) == 0 {
		return true
	}
	if sh.proven == 0 && m.closed(&sh.tenure) {
		sh.proven = now
	}
	return sh.proven > 0 && now-sh.proven >= wait
}

// closed reports whether of each pair one entry provably ended or read the
// claim, so that the other one cannot renew its lease without reading it too.
func (m *Manager) closed(t *EpochInfo) bool {
	for _, g := range t.OrphanedPairs {
		if !m.closedFor(g.Home, t.Offset) && !m.closedFor(g.Successor, t.Offset) {
			return false
		}
	}
	return true
}

func (m *Manager) closedFor(incarnation string, claim uint64) bool {
	if m.gone(incarnation) {
		return true
	}
	p := m.peers[incarnation]
	return incarnation == m.cfg.Self.Incarnation || p != nil && p.offset > claim
}

// nameSuccessor replaces a successor that is lost. The agents that only the
// old one acknowledged are logged first. From then on until the record is read
// back, no acknowledgement counts, because op is set.
func (m *Manager) nameSuccessor(i int, now gypsumtide.Millis, live []candidate, b *batch) {
	sh := &m.shards[i]
	old := sh.home.Successor
	// After an outage of the log the peers need a moment to become ready again.
	if old != "" && !m.gone(old) && now-max(sh.lastAck, m.logBack) < m.cfg.SuccessorTimeout {
		return
	}
	next := m.pick(i, live, m.cfg.Self.Incarnation, old)
	if next == "" && (old == "" || !m.gone(old)) {
		return
	}
	if m.agents.unloggedAcked(old) {
		m.agents.urgent = true
		return
	}
	m.begin(b, SuccessorNamed, i, "", next)
}

// rebalance hands shards over to the entries that the rendezvous hash prefers,
// a few at a time, or all of them when this entry drains.
func (m *Manager) rebalance(now gypsumtide.Millis, live []candidate, b *batch) {
	if !m.logFresh() || !m.draining && now-m.lastMove < m.cfg.RebalanceInterval {
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
		if m.handover(i, now, live, b) {
			moving++
			m.lastMove = now
		}
	}
}

func (m *Manager) handover(i int, now gypsumtide.Millis, live []candidate, b *batch) bool {
	sh := &m.shards[i]
	state := sh.machine.State()
	if sh.home.Home != m.cfg.Self.Incarnation || sh.op != nil || now < sh.backoff || state != "serving" && (state != "stopped" || !m.draining) {
		return false
	}
	to := m.target(i, now, live)
	if to == "" {
		return false
	}
	if m.agents.unloggedAny() {
		m.agents.urgent = true
		return false
	}
	// The home stops before the append.
	m.fire(sh, "handover-sent")
	sh.lease = 0
	m.publish(i, 0)
	m.begin(b, Claim, i, to, m.pick(i, live, m.cfg.Self.Incarnation, to))
	return true
}

// target returns the entry that should be home of a shard instead of this one, or "".
func (m *Manager) target(i int, now gypsumtide.Millis, live []candidate) string {
	self := m.cfg.Self.Incarnation
	if m.draining {
		for _, c := range live {
			if c.incarnation == m.shards[i].home.Successor {
				return c.incarnation
			}
		}
		return m.pick(i, live, self)
	}
	if !m.eligible() {
		return ""
	}
	best := ranked(uint64(i), live)[0]
	if best.incarnation == self || now-best.since < m.cfg.StabilityPeriod {
		return ""
	}
	return best.incarnation
}

// finishDrain starts the departure when no shard and no open operation is left.
func (m *Manager) finishDrain() {
	if !m.draining || m.leaving {
		return
	}
	for i := range m.shards {
		if m.shards[i].home.Home == m.cfg.Self.Incarnation || m.shards[i].op != nil {
			return
		}
	}
	if m.agents.unloggedAny() {
		m.agents.urgent = true
		return
	}
	m.leaving = m.joined
}
