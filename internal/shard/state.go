package shard

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// departedRetention is how long departed agents and entries and the epochs of
// earlier homes are kept at least, measured by the times in the records. It exceeds
// id-retention (10 min), so that the recovery of any unexpired id can see them.
const departedRetention gypsumtide.Millis = 30 * 60 * 1000

// maxTimeAdvance bounds how far one record after the first valid one advances
// State.recordTime, so that one author with a wrong clock cannot make all nodes
// discard data that the recovery of unexpired ids still needs.
const maxTimeAdvance gypsumtide.Millis = 15 * 60 * 1000

// errSnapshotTooOld means that a snapshot covers fewer records than the state.
var errSnapshotTooOld = errors.New("snapshot is older than the state")

// Departure says how a process ended.
type Departure uint8

// The ways in which a process ends.
const (
	// Present means that the process has not departed.
	Present Departure = iota
	// Left means that the process shut down gracefully: it announced its departure
	// after it had stopped its work.
	Left
	// Replaced means that a newer incarnation of the same name joined, which
	// proves that this one has ended.
	Replaced
	// Retired means that an operator declared the host permanently removed.
	Retired
)

// String returns the name used in logs.
func (d Departure) String() string {
	switch d {
	case Present:
		return "present"
	case Left:
		return "left"
	case Replaced:
		return "replaced"
	case Retired:
		return "retired"
	}
	return "invalid"
}

// Member records when an entry or agent joined and departed.
type Member struct {
	// JoinOffset is the offset of the join record, JoinedAt its Unix time. For an agent
	// whose departure was read first, they are those of the departure record.
	JoinOffset uint64            `cbor:"1,keyasint,omitempty"`
	JoinedAt   gypsumtide.Millis `cbor:"2,keyasint,omitempty"`
	// DepartureOffset is the offset of the record that made the member depart,
	// DepartedAt its Unix time.
	DepartureOffset uint64            `cbor:"3,keyasint,omitempty"`
	DepartedAt      gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	Departure       Departure         `cbor:"5,keyasint,omitempty"`
}

// Present reports whether the member joined and has not departed.
func (m *Member) Present() bool { return m.Departure == Present }

// EntryMember is an entry with its membership.
type EntryMember struct {
	wire.EntryInfo
	Member Member `cbor:"10,keyasint"`
}

// AgentMember is an agent with its membership.
type AgentMember struct {
	wire.AgentRecord
	Member Member `cbor:"10,keyasint"`
}

// Ownership holds the home and the successor of a shard.
type Ownership struct {
	// Home and Successor are incarnations. Home is empty if the shard was never
	// claimed, and Successor if none is named.
	Home      string `cbor:"1,keyasint,omitempty"`
	Epoch     uint64 `cbor:"2,keyasint,omitempty"`
	Successor string `cbor:"3,keyasint,omitempty"`
	// Offset is the offset of the last valid record of the shard.
	Offset uint64 `cbor:"4,keyasint,omitempty"`
}

// EpochInfo describes one epoch of a shard. The recovery of ids that earlier
// homes may have accepted needs it.
type EpochInfo struct {
	Home  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Offset and Time are the offset and the time of the claim record.
	Offset uint64            `cbor:"3,keyasint"`
	Time   gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	// Claimer is the entry that appended the claim. Previous is the ownership
	// that the claim replaced.
	Claimer  string    `cbor:"5,keyasint"`
	Previous Ownership `cbor:"6,keyasint"`
	// SettlesByTimeout means that all earlier homes are settled once a lease and an
	// echo have expired after the home of this epoch read its claim, since there are
	// none before Previous.Home, or Previous.Home had settled them or could have done
	// so by waiting.
	SettlesByTimeout bool `cbor:"7,keyasint,omitempty"`
	// OrphanedPairs lists the earlier homes, each with its successor, that may
	// have used agents which only the two know.
	OrphanedPairs []OrphanedPair `cbor:"8,keyasint,omitempty"`
}

// OrphanedPair is a home, with its successor, that lost its shard to an orphan
// claim without having left gracefully. As long as both may be running, the
// successor can renew the lease of the home, which can use agents that only
// the two know.
type OrphanedPair struct {
	Home      string `cbor:"1,keyasint"`
	Successor string `cbor:"2,keyasint"`
}

// State holds the membership of entries and agents and the ownership of all shards.
// It is built by replaying the shards stream. It is safe for concurrent use, but
// Apply and Restore must be called in offset order.
type State struct {
	// version increases with each Apply and each successful Restore.
	version atomic.Uint64

	mu      sync.RWMutex
	entries map[string]*EntryMember
	agents  map[string]*AgentMember
	// newestEntry and newestAgent hold the newest incarnation of each name.
	newestEntry map[string]string
	newestAgent map[string]string
	ownerships  [gypsumtide.ShardCount]Ownership
	// epochs holds the current epoch of each shard and the retained earlier ones,
	// oldest first.
	epochs [gypsumtide.ShardCount][]EpochInfo
	// nextOffset is the offset after the last record applied.
	nextOffset uint64
	// recordTime is the time in the last valid record, except that each record but
	// the first valid one advances it by at most maxTimeAdvance. It decides which
	// departed members and old epochs are discarded.
	recordTime gypsumtide.Millis
	// malformed and invalid count the rejected records; see Malformed and Invalid.
	malformed uint64
	invalid   uint64
	// rosterVersion increases with each record that adds an agent or marks one as
	// departed, and with each successful Restore.
	rosterVersion uint64
}

// NewState returns an empty state, as it is before the first record.
func NewState() *State {
	s := &State{}
	s.reset()
	return s
}

func (s *State) reset() {
	s.entries = map[string]*EntryMember{}
	s.agents = map[string]*AgentMember{}
	s.newestEntry = map[string]string{}
	s.newestAgent = map[string]string{}
}

// Apply applies one record. A malformed or invalid record changes nothing but
// the next offset, the version and a counter.
func (s *State) Apply(offset uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.version.Add(1)
	if offset+1 > s.nextOffset {
		s.nextOffset = offset + 1
	}
	r, err := DecodeRecord(data)
	if err != nil {
		s.malformed++
		return
	}
	if !s.apply(offset, r) {
		s.invalid++
		return
	}
	if s.recordTime == 0 {
		s.recordTime = r.Time
	}
	before := s.recordTime
	s.recordTime = min(r.Time, s.recordTime+maxTimeAdvance)
	// Pruning once a minute is enough and keeps the replay of many records fast.
	if before/60_000 != s.recordTime/60_000 {
		s.prune()
	}
}

func (s *State) apply(offset uint64, r *Record) bool {
	switch r.Kind {
	case EntryJoined:
		return s.joinEntry(offset, r)
	case EntryLeft:
		return s.departEntry(offset, r, Left)
	case EntryRetired:
		return s.departEntry(offset, r, Retired)
	case AgentJoined:
		return s.joinAgents(offset, r)
	case AgentLeft:
		return s.departAgents(offset, r, Left)
	case AgentRetired:
		return s.departAgents(offset, r, Retired)
	case Claim:
		return s.applyClaim(offset, r)
	case SuccessorNamed:
		return s.applySuccessorNamed(offset, r)
	}
	return false
}

// joinEntry adds an entry and marks the older incarnation of its name as replaced.
// Incarnations are ordered as text, so a late join of an older incarnation does not
// replace the newer one.
func (s *State) joinEntry(offset uint64, r *Record) bool {
	if _, ok := s.entries[r.Entry.Incarnation]; ok {
		return false
	}
	e := &EntryMember{EntryInfo: *r.Entry, Member: Member{JoinOffset: offset, JoinedAt: r.Time}}
	s.entries[e.Incarnation] = e
	newest := s.newestEntry[e.Name]
	if newest > e.Incarnation {
		depart(&e.Member, offset, r.Time, Replaced)
		return true
	}
	if old := s.entries[newest]; old != nil && old.Member.Present() {
		depart(&old.Member, offset, r.Time, Replaced)
	}
	s.newestEntry[e.Name] = e.Incarnation
	return true
}

func (s *State) departEntry(offset uint64, r *Record, departure Departure) bool {
	e := s.entries[r.Author]
	if e == nil || !e.Member.Present() {
		return false
	}
	depart(&e.Member, offset, r.Time, departure)
	return true
}

// joinAgents adds agents. It marks older incarnations as replaced by the same rule
// as joinEntry.
func (s *State) joinAgents(offset uint64, r *Record) bool {
	changed := false
	for i := range r.Agents {
		rec := r.Agents[i]
		if _, ok := s.agents[rec.Incarnation]; ok {
			continue
		}
		changed = true
		a := &AgentMember{AgentRecord: rec, Member: Member{JoinOffset: offset, JoinedAt: r.Time}}
		s.agents[a.Incarnation] = a
		newest := s.newestAgent[a.Name]
		if newest > a.Incarnation {
			depart(&a.Member, offset, r.Time, Replaced)
			continue
		}
		if old := s.agents[newest]; old != nil && old.Member.Present() {
			depart(&old.Member, offset, r.Time, Replaced)
		}
		s.newestAgent[a.Name] = a.Incarnation
	}
	if changed {
		s.rosterVersion++
	}
	return changed
}

// departAgents marks agents as departed. It also records the departure of an
// unknown agent, so that a join which takes effect later does not make the agent
// present.
func (s *State) departAgents(offset uint64, r *Record, departure Departure) bool {
	changed := false
	for i := range r.Agents {
		rec := r.Agents[i]
		a := s.agents[rec.Incarnation]
		if a == nil {
			a = &AgentMember{AgentRecord: wire.AgentRecord{Incarnation: rec.Incarnation}}
			a.Member = Member{JoinOffset: offset, JoinedAt: r.Time}
			s.agents[rec.Incarnation] = a
		}
		if a.Member.Present() {
			depart(&a.Member, offset, r.Time, departure)
			changed = true
		}
	}
	if changed {
		s.rosterVersion++
	}
	return changed
}

func depart(m *Member, offset uint64, at gypsumtide.Millis, departure Departure) {
	m.DepartureOffset, m.DepartedAt, m.Departure = offset, at, departure
}

// applyClaim applies a claim to those of its shards for which it is valid: it starts
// the next epoch, is based on the last valid record, changes the home, and either the
// new home or the current one is its author. The author and the new home must be present,
// and validSuccessor must accept the successor.
func (s *State) applyClaim(offset uint64, r *Record) bool {
	if !s.presentEntry(r.Author) || !s.presentEntry(r.Home) || !s.validSuccessor(r.Home, r.Successor) {
		return false
	}
	changed := false
	for _, ref := range r.Shards {
		current := &s.ownerships[ref.Shard]
		if ref.Epoch != current.Epoch+1 || ref.BaseOffset != current.Offset {
			continue
		}
		if r.Home == current.Home || r.Author != r.Home && r.Author != current.Home {
			continue
		}
		info := EpochInfo{Home: r.Home, Epoch: ref.Epoch, Offset: offset, Time: r.Time, Claimer: r.Author, Previous: *current}
		s.setSettlementRules(ref.Shard, &info, ref.Settled)
		*current = Ownership{Home: r.Home, Epoch: ref.Epoch, Successor: r.Successor, Offset: offset}
		s.epochs[ref.Shard] = append(s.recentEpochs(ref.Shard), info)
		changed = true
	}
	return changed
}

// setSettlementRules sets how the home of a new epoch may settle the homes before
// it. The flag settled is ShardRef.Settled of the claim.
func (s *State) setSettlementRules(id gypsumtide.ShardID, info *EpochInfo, settled bool) {
	previous := info.Previous
	var last EpochInfo
	if epochs := s.epochs[id]; len(epochs) > 0 {
		last = epochs[len(epochs)-1]
	}
	switch info.Claimer {
	case previous.Home:
		// A home hands a shard over only after it has settled the homes before it.
		info.SettlesByTimeout = true
	case previous.Successor:
		info.SettlesByTimeout = settled || last.SettlesByTimeout
		if !info.SettlesByTimeout {
			info.OrphanedPairs = last.OrphanedPairs
		}
	default:
		info.SettlesByTimeout = previous.Epoch == 0
		info.OrphanedPairs = slices.Clone(last.OrphanedPairs)
		if previous.Successor != "" && !s.leftGracefully(previous.Home) {
			info.OrphanedPairs = append(info.OrphanedPairs, OrphanedPair{Home: previous.Home, Successor: previous.Successor})
		}
	}
}

// recentEpochs returns a copy of the epochs of a shard, without those that ended more
// than departedRetention ago.
func (s *State) recentEpochs(id gypsumtide.ShardID) []EpochInfo {
	epochs := s.epochs[id]
	for len(epochs) > 1 && epochs[1].Time < s.recordTime-departedRetention {
		epochs = epochs[1:]
	}
	return slices.Clone(epochs)
}

// applySuccessorNamed replaces the successor of those shards for which the record is
// valid: its author is present and the home, it is based on the last valid record, and
// validSuccessor accepts the successor.
func (s *State) applySuccessorNamed(offset uint64, r *Record) bool {
	if !s.presentEntry(r.Author) || !s.validSuccessor(r.Author, r.Successor) {
		return false
	}
	changed := false
	for _, ref := range r.Shards {
		current := &s.ownerships[ref.Shard]
		if current.Home != r.Author || ref.Epoch != current.Epoch || ref.BaseOffset != current.Offset {
			continue
		}
		current.Successor, current.Offset = r.Successor, offset
		changed = true
	}
	return changed
}

func (s *State) presentEntry(incarnation string) bool {
	e := s.entries[incarnation]
	return e != nil && e.Member.Present()
}

func (s *State) leftGracefully(incarnation string) bool {
	e := s.entries[incarnation]
	return e != nil && e.Member.Departure == Left
}

// validSuccessor reports whether a record may name the successor. One that has
// departed in the meantime is accepted, since the home will name another one.
func (s *State) validSuccessor(home, successor string) bool {
	return successor == "" || successor != home && s.entries[successor] != nil
}

// prune discards members that departed more than departedRetention ago, except
// entries that are still the home or the successor of a shard.
func (s *State) prune() {
	cutoff := s.recordTime - departedRetention
	pruned := false
	for k, a := range s.agents {
		if !a.Member.Present() && a.Member.DepartedAt < cutoff {
			delete(s.agents, k)
			pruned = true
		}
	}
	for k, e := range s.entries {
		if !e.Member.Present() && e.Member.DepartedAt < cutoff && !s.isHomeOrSuccessor(k) {
			delete(s.entries, k)
			pruned = true
		}
	}
	if pruned {
		s.rebuildNewest()
	}
}

// rebuildNewest derives the newest incarnations from the members alone, so that a
// restored state equals the one that wrote the snapshot.
func (s *State) rebuildNewest() {
	clear(s.newestEntry)
	clear(s.newestAgent)
	for _, e := range s.entries {
		s.newestEntry[e.Name] = max(s.newestEntry[e.Name], e.Incarnation)
	}
	for _, a := range s.agents {
		if a.Name != "" {
			s.newestAgent[a.Name] = max(s.newestAgent[a.Name], a.Incarnation)
		}
	}
}

func (s *State) isHomeOrSuccessor(incarnation string) bool {
	for i := range s.ownerships {
		if s.ownerships[i].Home == incarnation || s.ownerships[i].Successor == incarnation {
			return true
		}
	}
	return false
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Next       uint64        `cbor:"1,keyasint"`
	Entries    []EntryMember `cbor:"2,keyasint,omitempty"`
	Agents     []AgentMember `cbor:"3,keyasint,omitempty"`
	Ownerships []Ownership   `cbor:"4,keyasint"`
	Epochs     [][]EpochInfo `cbor:"5,keyasint"`
	// Time is State.recordTime.
	Time gypsumtide.Millis `cbor:"6,keyasint,omitempty"`
}

// Snapshot encodes the state. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snap := snapshot{Next: s.nextOffset, Ownerships: s.ownerships[:], Epochs: s.epochs[:], Time: s.recordTime}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		snap.Entries = append(snap.Entries, *s.entries[k])
	}
	for _, k := range slices.Sorted(maps.Keys(s.agents)) {
		snap.Agents = append(snap.Agents, *s.agents[k])
	}
	return wire.Marshal(&snap)
}

// Restore replaces the state by a snapshot, which must not be older. On an error
// the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := wire.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("shard: restore: %w", err)
	}
	if len(snap.Ownerships) != gypsumtide.ShardCount || len(snap.Epochs) != gypsumtide.ShardCount {
		return fmt.Errorf("shard: restore: snapshot of %d shards, want %d", len(snap.Ownerships), gypsumtide.ShardCount)
	}
	for _, err := range []error{gypsumtide.ValidateCounter("next offset", snap.Next), gypsumtide.ValidateTime("snapshot time", snap.Time)} {
		if err != nil {
			return fmt.Errorf("shard: restore: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Next < s.nextOffset {
		return fmt.Errorf("shard: restore: %w: its next offset is %d, that of the state %d", errSnapshotTooOld, snap.Next, s.nextOffset)
	}
	defer s.version.Add(1)
	s.reset()
	s.nextOffset, s.recordTime = snap.Next, snap.Time
	copy(s.ownerships[:], snap.Ownerships)
	copy(s.epochs[:], snap.Epochs)
	for i := range snap.Entries {
		e := &snap.Entries[i]
		s.entries[e.Incarnation] = e
	}
	for i := range snap.Agents {
		a := &snap.Agents[i]
		s.agents[a.Incarnation] = a
	}
	s.rebuildNewest()
	s.rosterVersion++
	return nil
}

// Ownership returns the home and the successor of a shard.
func (s *State) Ownership(id gypsumtide.ShardID) Ownership {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ownerships[id]
}

// Epochs returns the retained epochs of a shard, oldest first.
func (s *State) Epochs(id gypsumtide.ShardID) []EpochInfo {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.epochs[id])
}

// Entries returns all known entries, including departed ones, sorted by incarnation.
func (s *State) Entries() []EntryMember {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sortedEntries := make([]EntryMember, 0, len(s.entries))
	for _, e := range s.entries {
		sortedEntries = append(sortedEntries, *e)
	}
	slices.SortFunc(sortedEntries, func(a, b EntryMember) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return sortedEntries
}

// Entry returns an entry by its incarnation.
func (s *State) Entry(incarnation string) (EntryMember, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[incarnation]
	if e == nil {
		return EntryMember{}, false
	}
	return *e, true
}

// Agents returns all known agents, including departed ones, sorted by incarnation.
func (s *State) Agents() []AgentMember {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sortedAgents := make([]AgentMember, 0, len(s.agents))
	for _, a := range s.agents {
		sortedAgents = append(sortedAgents, *a)
	}
	slices.SortFunc(sortedAgents, func(a, b AgentMember) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return sortedAgents
}

// Agent returns an agent by its incarnation.
func (s *State) Agent(incarnation string) (AgentMember, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a := s.agents[incarnation]
	if a == nil {
		return AgentMember{}, false
	}
	return *a, true
}

// presentAgents returns the present agents, sorted by incarnation, if rosterVersion
// is no longer version.
func (s *State) presentAgents(version uint64) (agents []AgentMember, newVersion uint64, changed bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.rosterVersion == version {
		return nil, version, false
	}
	for _, a := range s.agents {
		if a.Member.Present() {
			agents = append(agents, *a)
		}
	}
	slices.SortFunc(agents, func(a, b AgentMember) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return agents, s.rosterVersion, true
}

// knowsAgent reports whether a record of the agent, a join or a departure, is known.
func (s *State) knowsAgent(incarnation string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.agents[incarnation] != nil
}

// allOwnerships returns the ownership of all shards and the next offset.
func (s *State) allOwnerships() ([gypsumtide.ShardCount]Ownership, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ownerships, s.nextOffset
}

// Next returns the offset after the last record applied.
func (s *State) Next() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.nextOffset
}

// Malformed returns the number of records that DecodeRecord rejected.
func (s *State) Malformed() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.malformed
}

// Invalid returns the number of records that the validity rules rejected.
func (s *State) Invalid() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.invalid
}
