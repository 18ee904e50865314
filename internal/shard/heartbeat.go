package shard

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// reportsKept is the time for which the offsets of a peer's heartbeats are
// kept. It exceeds id-retention (10 min).
const reportsKept gypsumtide.Millis = 11 * 60 * 1000

// Heartbeat returns the heartbeat to send to every other entry now. It asks
// for the acknowledgement of all shards that this entry is home for.
func (m *Manager) Heartbeat() wire.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	m.sequence++
	hb := wire.Heartbeat{Sequence: m.sequence, Wall: m.clock.Wall(), Ready: m.eligible(), Offset: m.next}
	for i := range m.shards {
		sh := &m.shards[i]
		if sh.home.Home == m.cfg.Self.Incarnation && sh.op == nil && !m.departed && !m.leaving {
			hb.Shards = append(hb.Shards, wire.ShardEpoch{Shard: gypsumtide.ShardID(i), Epoch: sh.home.Epoch})
			if sh.tookOver == 0 {
				hb.TakeoverPending = append(hb.TakeoverPending, gypsumtide.ShardID(i))
			}
		}
	}
	m.sent[hb.Sequence%sentWindow] = sentHeartbeat{sequence: hb.Sequence, at: m.clock.Now(), wall: hb.Wall, shards: hb.Shards}
	return hb
}

// HandleHeartbeat returns the acknowledgement of a peer's heartbeat. It refuses
// the shards that this entry takes over or is not the successor of.
func (m *Manager) HandleHeartbeat(from string, hb *wire.Heartbeat) wire.HeartbeatAck {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	p := m.heard(from)
	p.ready = hb.Ready
	p.offset = max(p.offset, hb.Offset)
	p.report(hb.Wall, hb.Offset)
	ack := wire.HeartbeatAck{Sequence: hb.Sequence, Wall: m.clock.Wall(), Ready: m.eligible()}
	for _, s := range hb.Shards {
		if s.Shard < gypsumtide.ShardCount && m.shards[s.Shard].home.Home == from && m.shards[s.Shard].home.Epoch == s.Epoch {
			m.shards[s.Shard].listedAt = m.clock.Now()
		}
		if s.Shard >= gypsumtide.ShardCount || !m.acknowledges(from, s) {
			ack.Refused = append(ack.Refused, s.Shard)
			continue
		}
		if !slices.Contains(hb.TakeoverPending, s.Shard) {
			m.shards[s.Shard].settledEpoch = s.Epoch
		}
	}
	return ack
}

func (m *Manager) acknowledges(from string, s wire.ShardEpoch) bool {
	sh := &m.shards[s.Shard]
	if m.departed || m.leaving || sh.home.Home != from || sh.home.Epoch != s.Epoch || sh.home.Successor != m.cfg.Self.Incarnation {
		return false
	}
	return sh.op == nil
}

// HandleAck takes the acknowledgement of one of the last heartbeats. The lease
// counts from the time at which Heartbeat returned it.
func (m *Manager) HandleAck(from string, ack *wire.HeartbeatAck) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync()
	p := m.heard(from)
	p.ready = ack.Ready
	sent := m.sent[ack.Sequence%sentWindow]
	if sent.sequence != ack.Sequence {
		return
	}
	now := m.clock.Now()
	// A slow round trip says little about the clocks.
	if trip := now - sent.at; trip <= m.cfg.MaxSkew/2 {
		p.skew, p.skewKnown = sent.wall+trip/2-ack.Wall, true
	}
	var refused [gypsumtide.ShardCount]bool
	for _, s := range ack.Refused {
		if s < gypsumtide.ShardCount {
			refused[s] = true
		}
	}
	for _, s := range sent.shards {
		sh := &m.shards[s.Shard]
		if refused[s.Shard] || sh.home.Epoch != s.Epoch || sh.home.Successor != from || sh.op != nil {
			continue
		}
		if sh.home.Home == m.cfg.Self.Incarnation {
			// A successor that drains cannot take over, so the home looks
			// for another one, but its acknowledgement is good for a lease.
			if ack.Ready {
				sh.lastAck = now
			}
			m.extend(int(s.Shard), sent.at+m.cfg.LeaseDuration)
		}
	}
}

// report keeps the offset of a heartbeat if it is new.
func (p *peer) report(wall gypsumtide.Millis, offset uint64) {
	n := len(p.reports)
	if n > 0 && p.reports[n-1].offset >= offset {
		return
	}
	for len(p.reports) > 1 && p.reports[1].wall < wall-reportsKept {
		p.reports = p.reports[1:]
	}
	p.reports = append(p.reports, report{wall: wall, offset: offset})
}

// offsetAt returns an offset that the peer had read by its Unix time wall.
func (p *peer) offsetAt(wall gypsumtide.Millis) uint64 {
	for i := len(p.reports) - 1; i >= 0; i-- {
		if p.reports[i].wall <= wall {
			return p.reports[i].offset
		}
	}
	return 0
}
