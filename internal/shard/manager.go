package shard

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// Config holds the identity of an entry and the constants for leases, takeover and
// rebalancing; see section 5 of docs/design.md.
type Config struct {
	Self wire.EntryInfo
	// SuspicionTimeout is the time without a frame from a peer after which the
	// peer counts as lost, and the time without a read to the end of the log after
	// which the log counts as unavailable.
	SuspicionTimeout gypsumtide.Millis
	// LeaseDuration (L) is how long a home may serve after it sent the log read or
	// the heartbeat that confirmed its lease. MaxEchoAge (C) is the age above which an
	// agent rejects the echo of its clock reading in a dispatch.
	LeaseDuration gypsumtide.Millis
	MaxEchoAge    gypsumtide.Millis
	// OrphanTimeout is how long a home and its successor must be lost, or the home
	// must have ended, before any other entry may claim the shard. If both have ended,
	// there is no wait. A home also counts as lost for a shard that its heartbeats have
	// not listed for this time. An entry that does not read the log for this time
	// receives no shards.
	OrphanTimeout gypsumtide.Millis
	// SuccessorTimeout is the time without an acknowledgement from a ready
	// successor after which the home names another one.
	SuccessorTimeout gypsumtide.Millis
	// StabilityPeriod is how long the preferred entry must have been ready before
	// rebalancing moves a shard to it.
	StabilityPeriod gypsumtide.Millis
	// RebalanceBatch is the largest number of shards that rebalancing moves at once,
	// and RebalanceInterval is the shortest time between two batches.
	RebalanceBatch    int
	RebalanceInterval gypsumtide.Millis
	// RetryInterval is the shortest time between two attempts of an append, and
	// ResendInterval that between two fence requests or roster updates.
	RetryInterval  gypsumtide.Millis
	ResendInterval gypsumtide.Millis
	// StaggerInterval is how much longer each entry waits than the one ranked
	// before it, so that not all entries append the same claim or join.
	StaggerInterval gypsumtide.Millis
	// MaxSkew is the largest tolerated difference of an entry's wall clock from
	// the others'.
	MaxSkew gypsumtide.Millis
}

// DefaultConfig returns the constants that entries use, except for MaxSkew, which
// they replace by the setting max-skew-ms.
func DefaultConfig(self wire.EntryInfo) Config {
	return Config{
		Self: self, SuspicionTimeout: 800, LeaseDuration: 800, MaxEchoAge: 1000, OrphanTimeout: 5000, SuccessorTimeout: 1000, StabilityPeriod: 5000,
		RebalanceBatch: 4, RebalanceInterval: 500, RetryInterval: 1000, ResendInterval: 400, StaggerInterval: 1000, MaxSkew: 500,
	}
}

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionAppend appends Record to the shards stream. The owner reports the result
	// with HandleAppendResult(ID, ...). Appends of one Tick may run in any order.
	ActionAppend ActionKind = iota + 1
	// ActionSendFenceRequests sends FenceRequests to the agent incarnation Peer.
	ActionSendFenceRequests
	// ActionSendRosterUpdates sends RosterUpdates to the entry incarnation Peer.
	ActionSendRosterUpdates
)

// Action is an instruction of a Manager to its owner. The fields that are set
// depend on Kind.
type Action struct {
	Kind          ActionKind
	ID            uint64
	Record        []byte
	Peer          string
	FenceRequests []wire.ShardEpoch
	RosterUpdates []wire.AgentRecord
}

// publishedLease holds the epoch and the end of the lease of a shard for Serving,
// which reads them without a lock.
type publishedLease struct {
	epoch atomic.Uint64
	until atomic.Int64
}

// localShard holds what one entry knows about a shard.
type localShard struct {
	ownership Ownership
	machine   chart.Machine
	// leaseUntil is the monotonic time until which this home may serve.
	leaseUntil gypsumtide.Millis
	// claimReadAt is when this entry found the claim that began the current epoch in
	// the state. It is used only if this entry is the home.
	claimReadAt gypsumtide.Millis
	// tookOverAt is the Unix time at which this home had settled the earlier ones,
	// or 0.
	tookOverAt gypsumtide.Millis
	// pairsCannotRenewSince is when orphanedPairsCannotRenew first returned true in the
	// current epoch, or 0.
	pairsCannotRenewSince gypsumtide.Millis
	// epochInfo describes the current epoch if its home is this entry.
	epochInfo EpochInfo
	// settledEpoch is the epoch whose home told this entry, its successor, that it
	// had settled the homes before it.
	settledEpoch uint64
	// lastAckAt is when the successor last acknowledged the shard while it was ready,
	// or when this entry found the current home and successor in the state.
	lastAckAt        gypsumtide.Millis
	fenceRequestedAt gypsumtide.Millis
	// lostSince is when the home was first seen lost, orphanedSince when the
	// successor was lost as well, and endedSince when the home was first known
	// to have ended. 0 means that the condition does not hold.
	lostSince     gypsumtide.Millis
	orphanedSince gypsumtide.Millis
	endedSince    gypsumtide.Millis
	// lastListedAt is when the home last listed the shard in a heartbeat, or when this
	// entry found the current home and successor in the state. allowForPause moves it
	// forward.
	lastListedAt gypsumtide.Millis
	// backoffUntil is the time until which no operation starts after a failed one.
	backoffUntil gypsumtide.Millis
	// op is the pending claim or naming of a successor, or nil.
	op          *operation
	unconfirmed unconfirmedAgents
}

// peer holds what an entry knows about another entry.
type peer struct {
	info        wire.EntryInfo
	lastFrameAt gypsumtide.Millis
	ready       bool
	// readySince is when Tick first found the peer live and ready; 0 if it was not.
	readySince gypsumtide.Millis
	departure  Departure
	// skew is the difference of this entry's wall clock from the peer's.
	skew      gypsumtide.Millis
	skewKnown bool
	// highestOffset is the highest offset in the peer's heartbeats, below which
	// the peer has read all records.
	highestOffset uint64
	// reports holds each higher offset in the peer's heartbeats with the Unix time
	// at the peer, oldest first.
	reports []offsetReport
}

// offsetReport is the offset in a peer's heartbeat, below which the peer has read
// all records, with the Unix time at the peer.
type offsetReport struct {
	wall   gypsumtide.Millis
	offset uint64
}

// sentHeartbeat holds the data of a sent heartbeat that HandleAck needs.
type sentHeartbeat struct {
	sequence uint64
	at       gypsumtide.Millis
	wall     gypsumtide.Millis
	shards   []wire.ShardEpoch
}

// ackWindow is the number of recent heartbeats whose acknowledgements are
// accepted: 6.4 s at one every 200 ms. Older ones could not extend a lease.
const ackWindow = 32

// Manager decides for one entry incarnation which shards it owns and serves. It
// performs no I/O: its owner reports events, calls Tick every 25 ms, and executes the
// returned actions. It is safe for concurrent use.
type Manager struct {
	cfg       Config
	clock     gypsumtide.Clock
	state     *State
	published [gypsumtide.ShardCount]publishedLease

	mu sync.Mutex
	// syncedVersion is the version of state that syncState last applied.
	syncedVersion uint64
	// nextOffset is the offset after the last record in state at that version.
	nextOffset uint64
	shards     [gypsumtide.ShardCount]localShard
	// peers holds the other entries by their incarnations.
	peers map[string]*peer
	// joined means that the join of this entry has been read from the log, and
	// departed that its departure has: it left, was retired or was replaced.
	// draining is set by Drain, and leaving once the drain has ended, so that this
	// entry appends its departure.
	joined     bool
	departed   bool
	draining   bool
	leaving    bool
	startedAt  gypsumtide.Millis
	lastTickAt gypsumtide.Millis
	// logReadAt is when the latest read that reached the end of the log was sent.
	logReadAt gypsumtide.Millis
	// logRecoveredAt is when HandleLogRead was last called while the log counted as
	// unavailable: the end of the last outage, once the log is available again.
	logRecoveredAt gypsumtide.Millis
	lastHandoverAt gypsumtide.Millis
	// heartbeatSequence is the sequence number of the last heartbeat.
	heartbeatSequence uint64
	sentHeartbeats    [ackWindow]sentHeartbeat

	lastAppendID uint64
	// pendingAppends holds the appends whose results have not been reported, by
	// their Action.ID.
	pendingAppends map[uint64]*operation
	// joinOp and leaveOp are the appends of the join and the departure of this
	// entry, or nil.
	joinOp  *operation
	leaveOp *operation
	roster  roster
	// internalErrors counts programming errors: rejected chart events and records
	// that cannot be encoded.
	internalErrors int

	// disabled switches off safety rules. Tests use it to prove that they detect
	// the missing rule.
	disabled disabledRules
}

type disabledRules struct {
	// settlementWait is the wait of L + C in the package documentation, and
	// rosterRule the restriction of which agents a home may use.
	settlementWait bool
	rosterRule     bool
}

// New returns the manager of the entry incarnation cfg.Self. The owner of the
// manager must apply the records of the shards stream to state.
func New(cfg Config, state *State, clock gypsumtide.Clock) *Manager {
	m := &Manager{cfg: cfg, clock: clock, state: state, peers: map[string]*peer{}, pendingAppends: map[uint64]*operation{}}
	m.roster = newRoster()
	m.startedAt = clock.Now()
	m.lastTickAt = m.startedAt
	for i := range m.shards {
		m.shards[i].machine = chart.Shard.NewMachine()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncedVersion = ^uint64(0)
	m.syncState()
	return m
}

// Self returns the entry incarnation of the manager.
func (m *Manager) Self() wire.EntryInfo { return m.cfg.Self }

// HandleLogRead reports that a read of the shards stream, sent at the monotonic time
// sentAt, reached the end of the stream and that all records have been applied.
func (m *Manager) HandleLogRead(sentAt gypsumtide.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	if !m.logAvailable() {
		m.logRecoveredAt = m.clock.Now()
	}
	m.logReadAt = max(m.logReadAt, sentAt)
	for i := range m.shards {
		m.extendLease(i, sentAt+m.cfg.LeaseDuration)
	}
}

// FrameReceived reports that a frame of an entry was received.
func (m *Manager) FrameReceived(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.touchPeer(incarnation)
}

// touchPeer records that a frame of an entry was received now, and returns its peer.
func (m *Manager) touchPeer(incarnation string) *peer {
	p := m.peers[incarnation]
	if p == nil {
		p = &peer{}
		m.peers[incarnation] = p
	}
	p.lastFrameAt = m.clock.Now()
	return p
}

// EntryDisconnected reports that the session with an entry broke. The entry receives no
// shards until its next heartbeat or acknowledgement says that it is ready. It counts as
// lost only SuspicionTimeout after its last frame.
func (m *Manager) EntryDisconnected(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[incarnation]; p != nil {
		p.ready, p.readySince = false, 0
	}
}

// Drain starts to hand over all shards. When none is left, an entry that has joined
// appends its own departure.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// HasLeft reports whether this entry has departed according to the log, or is draining
// and has not tried to join. An entry that drains appends its departure after it has
// handed over all its shards.
func (m *Manager) HasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	return m.departed || m.draining && !m.joined && m.joinOp == nil
}

// Ready reports whether this entry has read the log and has joined, and neither
// drains nor has departed. It stays ready while the log is unavailable.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	return m.ready()
}

func (m *Manager) ready() bool {
	return m.joined && !m.departed && !m.draining && !m.leaving && m.logReadAt > 0
}

// eligible reports whether this entry may become the home of more shards. Without
// the log it would not learn that it is the home, and with a wrong clock the times
// in its claims would make the recovery miss agents.
func (m *Manager) eligible() bool {
	return m.ready() && m.clock.Now()-m.logReadAt < m.cfg.OrphanTimeout && abs(m.skew()) <= m.cfg.MaxSkew
}

// logAvailable reports whether the log answered recently, so that an append is
// likely to succeed.
func (m *Manager) logAvailable() bool {
	return m.logReadAt > 0 && m.clock.Now()-m.logReadAt < m.cfg.SuspicionTimeout
}

// Route returns the home of a shard, its epoch, whether this entry is the home,
// and whether the home is believed to serve. The home is empty if the shard was
// never claimed.
func (m *Manager) Route(id gypsumtide.ShardID) (home wire.EntryInfo, epoch uint64, self, serving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	sh := &m.shards[id]
	if sh.ownership.Home == "" {
		return wire.EntryInfo{}, 0, false, false
	}
	if sh.ownership.Home == m.cfg.Self.Incarnation {
		_, ok := m.Serving(id)
		return m.cfg.Self, sh.ownership.Epoch, true, ok
	}
	if e, ok := m.state.Entry(sh.ownership.Home); ok {
		home = e.EntryInfo
	}
	return home, sh.ownership.Epoch, false, !m.lost(sh.ownership.Home)
}

// Serving returns the current epoch of a shard and whether this entry may serve it now.
// The sender of a dispatch must determine the echo of the frame before it calls Serving,
// so that the agent rejects the dispatch if the process then pauses for longer than
// MaxEchoAge.
func (m *Manager) Serving(id gypsumtide.ShardID) (epoch uint64, ok bool) {
	p := &m.published[id]
	epoch = p.epoch.Load()
	until := gypsumtide.Millis(p.until.Load())
	return epoch, m.clock.Now() < until && p.epoch.Load() == epoch
}

// publishLease makes the current epoch and the end of the lease visible to Serving.
func (m *Manager) publishLease(i int, until gypsumtide.Millis) {
	p := &m.published[i]
	if e := m.shards[i].ownership.Epoch; p.epoch.Load() != e {
		p.until.Store(0)
		p.epoch.Store(e)
	}
	p.until.Store(int64(until))
}

// TookOverAt returns the Unix time at which it was certain that the homes of
// earlier epochs can start no more tasks. It is unknown until this home has
// settled them.
func (m *Manager) TookOverAt(id gypsumtide.ShardID) (wall gypsumtide.Millis, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	sh := &m.shards[id]
	return sh.tookOverAt, sh.ownership.Home == m.cfg.Self.Incarnation && sh.tookOverAt > 0
}

// ProvablyNew reports whether no earlier home can have accepted the id. It returns false
// unless this entry is the home and has settled the earlier homes. An earlier
// home accepts timestamps up to MaxSkew ahead of its clock, which may itself be
// MaxSkew ahead of the clock of this entry.
func (m *Manager) ProvablyNew(id gypsumtide.SubmissionID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	sh := &m.shards[id.Shard()]
	if sh.ownership.Home != m.cfg.Self.Incarnation || sh.tookOverAt == 0 {
		return false
	}
	return sh.ownership.Epoch == 1 || id.Timestamp() > sh.tookOverAt+2*m.cfg.MaxSkew
}

// HomelessSince returns the Unix time since which a shard provably had no home,
// up to the monotonic time asOf. A submission that arrived before asOf with a
// timestamp later than since + 2*MaxSkew has not run (see ProvablyNew). The time
// since is 0 if the shard was never claimed. If ok is false, nothing is proven, for
// example because the home is only silent.
func (m *Manager) HomelessSince(id gypsumtide.ShardID) (since, asOf gypsumtide.Millis, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	if m.logReadAt == 0 {
		return 0, 0, false
	}
	ownership := m.shards[id].ownership
	if ownership.Home == "" {
		return 0, m.logReadAt, true
	}
	e, known := m.state.Entry(ownership.Home)
	if !known || e.Member.Present() {
		return 0, 0, false
	}
	return e.Member.DepartedAt, m.logReadAt, true
}

// Skew returns the measured difference of this entry's wall clock from the others': the
// median of the differences, its own 0 included. Entries that have departed, are silent
// or have not been measured do not count. With an even number of entries it is the one
// of the middle two with the larger absolute value.
func (m *Manager) Skew() gypsumtide.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.skew()
}

// skew does the work of Skew. The caller must hold the lock.
func (m *Manager) skew() gypsumtide.Millis {
	skews := []gypsumtide.Millis{0}
	for _, p := range m.peers {
		if p.skewKnown && !m.silent(p) && p.departure == Present {
			skews = append(skews, p.skew)
		}
	}
	slices.Sort(skews)
	lo, hi := skews[(len(skews)-1)/2], skews[len(skews)/2]
	if abs(lo) > abs(hi) {
		return lo
	}
	return hi
}

// SkewExceeded reports whether this entry must refuse submissions because its
// clock differs too much from the others'.
func (m *Manager) SkewExceeded() bool { return abs(m.Skew()) > m.cfg.MaxSkew }

func abs(d gypsumtide.Millis) gypsumtide.Millis { return max(d, -d) }

// ShardState returns the name of a shard's state in the state chart of this entry.
func (m *Manager) ShardState(id gypsumtide.ShardID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	return m.shards[id].machine.State()
}

// HandleAppendResult takes the result of the ActionAppend with the given ID. The
// offset is used only without an error. An error that wraps
// gypsumtide.ErrAppendOutcomeUnknown means that the record may be in the log or may
// still reach it. Any other error means that it is not in the log and never will be.
func (m *Manager) HandleAppendResult(id, offset uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	op := m.pendingAppends[id]
	if op == nil {
		return
	}
	delete(m.pendingAppends, id)
	op.inFlight = false
	switch {
	case err == nil:
		op.appended, op.offset, op.appendedAt = true, offset, m.clock.Now()
	case errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown):
		op.outcomeUnknown = true
	default:
		op.failed = true
	}
	m.syncState()
	m.endFailedOperation(op)
}
