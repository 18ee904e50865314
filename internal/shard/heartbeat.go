package shard

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// reportRetention is how long the offsets of a peer's heartbeats are kept. It
// exceeds id-retention (10 min), so that they cover every unexpired id.
const reportRetention gypsumtide.Millis = 11 * 60 * 1000

// Heartbeat returns the heartbeat to send to every other entry now. It requests
// an acknowledgement for each shard whose home is this entry, unless an operation
// for the shard is pending or this entry is leaving or has departed.
func (m *Manager) Heartbeat() wire.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	m.heartbeatSequence++
	hb := wire.Heartbeat{Sequence: m.heartbeatSequence, Wall: m.clock.Wall(), Ready: m.eligible(), Offset: m.nextOffset}
	for i := range m.shards {
		sh := &m.shards[i]
		if sh.ownership.Home == m.cfg.Self.Incarnation && sh.op == nil && !m.departed && !m.leaving {
			hb.Shards = append(hb.Shards, wire.ShardEpoch{Shard: gypsumtide.ShardID(i), Epoch: sh.ownership.Epoch})
			if sh.tookOverAt == 0 {
				hb.TakeoverPending = append(hb.TakeoverPending, gypsumtide.ShardID(i))
			}
		}
	}
	m.sentHeartbeats[hb.Sequence%ackWindow] = sentHeartbeat{sequence: hb.Sequence, at: m.clock.Now(), wall: hb.Wall, shards: hb.Shards}
	return hb
}

// HandleHeartbeat returns the acknowledgement of a peer's heartbeat. It refuses the
// shards that do not exist or that this entry may not acknowledge (see canAcknowledge).
func (m *Manager) HandleHeartbeat(from string, hb *wire.Heartbeat) wire.HeartbeatAck {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	p := m.touchPeer(from)
	p.ready = hb.Ready
	p.highestOffset = max(p.highestOffset, hb.Offset)
	p.addReport(hb.Wall, hb.Offset)
	ack := wire.HeartbeatAck{Sequence: hb.Sequence, Wall: m.clock.Wall(), Ready: m.eligible()}
	for _, s := range hb.Shards {
		if s.Shard < gypsumtide.ShardCount && m.shards[s.Shard].ownership.Home == from && m.shards[s.Shard].ownership.Epoch == s.Epoch {
			m.shards[s.Shard].lastListedAt = m.clock.Now()
		}
		if s.Shard >= gypsumtide.ShardCount || !m.canAcknowledge(from, s) {
			ack.Refused = append(ack.Refused, s.Shard)
			continue
		}
		if !slices.Contains(hb.TakeoverPending, s.Shard) {
			m.shards[s.Shard].settledEpoch = s.Epoch
		}
	}
	return ack
}

// canAcknowledge reports whether this entry may acknowledge a shard in a heartbeat. The
// sender must be the shard's home in that epoch, and this entry its successor. This
// entry must not be claiming the shard, be leaving or have departed.
func (m *Manager) canAcknowledge(from string, s wire.ShardEpoch) bool {
	sh := &m.shards[s.Shard]
	if m.departed || m.leaving || sh.ownership.Home != from || sh.ownership.Epoch != s.Epoch || sh.ownership.Successor != m.cfg.Self.Incarnation {
		return false
	}
	return sh.op == nil
}

// HandleAck takes the acknowledgement of a recent heartbeat. It extends the leases of
// the shards that their successor acknowledged to LeaseDuration after the time at which
// Heartbeat returned that heartbeat.
func (m *Manager) HandleAck(from string, ack *wire.HeartbeatAck) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncState()
	p := m.touchPeer(from)
	p.ready = ack.Ready
	sent := m.sentHeartbeats[ack.Sequence%ackWindow]
	if sent.sequence != ack.Sequence {
		return
	}
	now := m.clock.Now()
	// A slow round trip says little about the clock difference.
	if roundTrip := now - sent.at; roundTrip <= m.cfg.MaxSkew/2 {
		p.skew, p.skewKnown = sent.wall+roundTrip/2-ack.Wall, true
	}
	var refused [gypsumtide.ShardCount]bool
	for _, s := range ack.Refused {
		if s < gypsumtide.ShardCount {
			refused[s] = true
		}
	}
	for _, s := range sent.shards {
		sh := &m.shards[s.Shard]
		if refused[s.Shard] || sh.ownership.Epoch != s.Epoch || sh.ownership.Successor != from || sh.op != nil {
			continue
		}
		if sh.ownership.Home == m.cfg.Self.Incarnation {
			// A successor that is not ready, for example because it drains, cannot
			// take over, so the home will name another one, but its acknowledgement
			// still extends the lease.
			if ack.Ready {
				sh.lastAckAt = now
			}
			m.extendLease(int(s.Shard), sent.at+m.cfg.LeaseDuration)
		}
	}
}

// addReport keeps the offset of a heartbeat if it is higher than the last one, and
// discards the offsets that are not needed for any time within reportRetention.
func (p *peer) addReport(wall gypsumtide.Millis, offset uint64) {
	n := len(p.reports)
	if n > 0 && p.reports[n-1].offset >= offset {
		return
	}
	for len(p.reports) > 1 && p.reports[1].wall < wall-reportRetention {
		p.reports = p.reports[1:]
	}
	p.reports = append(p.reports, offsetReport{wall: wall, offset: offset})
}

// offsetAt returns an offset below which the peer had read all records when its
// clock showed the Unix time wall.
func (p *peer) offsetAt(wall gypsumtide.Millis) uint64 {
	for i := len(p.reports) - 1; i >= 0; i-- {
		if p.reports[i].wall <= wall {
			return p.reports[i].offset
		}
	}
	return 0
}
