package shard

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// singleManager is one manager without a network. The entries a1, b1 and c1 have
// joined, and a1 is home of shard 7 with the successor b1 (the claim is at offset 3).
type singleManager struct {
	*Manager
	sim   *simulation
	clock *simClock
}

func newSingleManager(self string) *singleManager {
	sim := newSimulation(1)
	clock := &simClock{sim: sim, mono: 1}
	state := replay(entryJoined("a", "a1"), entryJoined("b", "b1"), entryJoined("c", "c1"), claimShard7("a1", "a1", "b1", 1, 0))
	m := &singleManager{Manager: New(DefaultConfig(wire.EntryInfo{Name: self[:1], Incarnation: self}), state, clock), sim: sim, clock: clock}
	m.advance(0, "a1", "b1", "c1")
	return m
}

// advance advances time in steps of 100 ms, while the log answers and the given
// peers send heartbeats.
func (m *singleManager) advance(d gypsumtide.Millis, peers ...string) (out []Action) {
	for end := m.sim.now + d; ; m.sim.now += 100 {
		m.HandleLogRead(m.clock.Now())
		for _, p := range peers {
			if p != m.Self().Incarnation {
				m.HandleHeartbeat(p, &wire.Heartbeat{Ready: true, Shards: []wire.ShardEpoch{{Shard: 7, Epoch: 1}}})
			}
		}
		out = append(out, m.Tick()...)
		if m.sim.now >= end {
			return out
		}
	}
}

// findRecord returns the first appended record of a kind that contains shard 7 or
// agents, with the ID of its action, or nil if there is none.
func findRecord(actions []Action, kind RecordKind) (uint64, *Record) {
	for _, a := range actions {
		if r, err := DecodeRecord(a.Record); a.Kind == ActionAppend && err == nil && r.Kind == kind {
			if len(r.Agents) > 0 || slices.ContainsFunc(r.Shards, func(s ShardRef) bool { return s.Shard == 7 }) {
				return a.ID, r
			}
		}
	}
	return 0, nil
}

func (m *singleManager) applyRecord(r *Record) { m.state.Apply(m.state.Next(), mustMarshal(*r)) }

// refusesAck reports whether the entry refuses to acknowledge shard 7 to a1.
func (m *singleManager) refusesAck() bool {
	ack := m.HandleHeartbeat("a1", &wire.Heartbeat{Shards: []wire.ShardEpoch{{Shard: 7, Epoch: 1}}})
	return slices.Contains(ack.Refused, 7)
}

// Guards against a successor that still acknowledges the home while it takes the
// shard over, claims the shard before an agent that only it and the home know is
// recorded in the log, or serves too early.
func TestTakeoverContract(t *testing.T) {
	rosterUpdate := []wire.AgentRecord{{Name: "x", Incarnation: "x1"}}
	Convey("acknowledgements stop before the claim and resume only after the takeover", t, func() {
		m := newSingleManager("b1")
		So(m.refusesAck(), ShouldBeFalse)
		So(m.HandleRosterUpdates("a1", rosterUpdate), ShouldHaveLength, 1)
		actions := m.advance(1000, "c1")
		_, r := findRecord(actions, Claim)
		So(r, ShouldBeNil)
		_, r = findRecord(actions, AgentJoined)
		m.applyRecord(r)
		id, r := findRecord(m.advance(100, "c1"), Claim)
		So(r.Shards, ShouldContain, ShardRef{Shard: 7, Epoch: 2, BaseOffset: 3, Settled: true})
		So(m.refusesAck(), ShouldBeTrue)
		So(m.HandleRosterUpdates("a1", rosterUpdate), ShouldBeEmpty)
		m.HandleAppendResult(id, 0, gypsumtide.ErrAppendOutcomeUnknown)
		So(m.refusesAck(), ShouldBeTrue)
		id, retried := findRecord(m.advance(1200, "a1", "c1"), Claim)
		So(retried.Shards, ShouldResemble, r.Shards)
		m.HandleAppendResult(id, 0, errors.New("refused"))
		So(m.refusesAck(), ShouldBeTrue)
		m.applyRecord(r)
		m.AgentConnected(rosterUpdate[0])
		requests := m.advance(0, "c1")
		So(requests, ShouldContain, Action{Kind: ActionSendFenceRequests, Peer: "x1", FenceRequests: []wire.ShardEpoch{{Shard: 7, Epoch: 2}}})
		So(m.HandleRosterUpdates("a1", rosterUpdate), ShouldBeEmpty)
		m.advance(1700, "c1")
		_, ok := m.Serving(7)
		So(ok, ShouldBeFalse)
		m.advance(200, "c1")
		epoch, ok := m.Serving(7)
		So(ok, ShouldBeTrue)
		So(epoch, ShouldEqual, 2)
		So(m.HandleRosterUpdates("a1", rosterUpdate), ShouldHaveLength, 1)
	})
	Convey("fence confirmations of all agents end the wait", t, func() {
		m := newSingleManager("b1")
		joined := agentChange(AgentJoined, "x", "x1")
		m.applyRecord(&joined)
		_, r := findRecord(m.advance(900, "c1"), Claim)
		m.applyRecord(r)
		m.advance(100, "c1")
		m.FenceConfirmed("x1", wire.ShardEpoch{Shard: 7, Epoch: 1})
		m.advance(100, "c1")
		_, ok := m.Serving(7)
		So(ok, ShouldBeFalse)
		m.FenceConfirmed("x1", wire.ShardEpoch{Shard: 7, Epoch: 2})
		m.advance(100, "c1")
		_, ok = m.Serving(7)
		So(ok, ShouldBeTrue)
	})
	Convey("a home stops serving before it hands over", t, func() {
		m := newSingleManager("a1")
		m.advance(0, "b1", "c1")
		_, ok := m.Serving(7)
		So(ok, ShouldBeTrue)
		m.Drain()
		id, r := findRecord(m.Tick(), Claim)
		So(r.Home, ShouldEqual, "b1")
		m.HandleLogRead(m.clock.Now())
		_, ok = m.Serving(7)
		So(ok, ShouldBeFalse)
		m.HandleAppendResult(id, 0, errors.New("refused"))
		m.sim.now++
		m.HandleLogRead(m.clock.Now())
		_, ok = m.Serving(7)
		So(ok, ShouldBeTrue)
	})
	Convey("acknowledgements resume after a claim that certainly failed", t, func() {
		m := newSingleManager("b1")
		id, r := findRecord(m.advance(900, "c1"), Claim)
		So(r, ShouldNotBeNil)
		m.HandleAppendResult(id, 0, errors.New("refused"))
		So(m.refusesAck(), ShouldBeFalse)
	})
}

// Guards against a home that counts acknowledgements of the old or the new
// successor while it replaces the successor, and against a new successor that does
// not know an agent in use.
func TestSuccessorChangeContract(t *testing.T) {
	Convey("no acknowledgement counts from the decision until the record is read back", t, func() {
		m := newSingleManager("a1")
		m.AgentConnected(wire.AgentRecord{Name: "x", Incarnation: "x1"})
		m.HandleRosterAcks("b1", []wire.AgentRecord{{Name: "x", Incarnation: "x1"}})
		So(m.Usable("x1", 7), ShouldBeTrue)
		_, r := findRecord(m.advance(1200, "c1"), SuccessorNamed)
		So(r, ShouldBeNil)
		joined := agentChange(AgentJoined, "x", "x1")
		m.applyRecord(&joined)
		m.sim.now += 300
		hb := m.Heartbeat()
		m.HandleHeartbeat("c1", &wire.Heartbeat{Ready: true})
		_, r = findRecord(m.Tick(), SuccessorNamed)
		So(r.Successor, ShouldEqual, "c1")
		m.sim.now += 400
		m.HandleAck("b1", &wire.HeartbeatAck{Sequence: hb.Sequence})
		whilePending := m.Heartbeat()
		So(whilePending.Shards, ShouldNotContain, wire.ShardEpoch{Shard: 7, Epoch: 1})
		m.HandleAck("c1", &wire.HeartbeatAck{Sequence: whilePending.Sequence})
		m.sim.now += 200
		_, ok := m.Serving(7)
		So(ok, ShouldBeFalse)
		m.applyRecord(r)
		hb = m.Heartbeat()
		m.HandleAck("b1", &wire.HeartbeatAck{Sequence: hb.Sequence})
		_, ok = m.Serving(7)
		So(ok, ShouldBeFalse)
		m.HandleAck("c1", &wire.HeartbeatAck{Sequence: hb.Sequence, Refused: []gypsumtide.ShardID{7}})
		_, ok = m.Serving(7)
		So(ok, ShouldBeFalse)
		m.HandleAck("c1", &wire.HeartbeatAck{Sequence: hb.Sequence})
		_, ok = m.Serving(7)
		So(ok, ShouldBeTrue)
	})
}

// Guards against a recovery that relies on agent joins that the earlier home may not
// have read, and against one that asks more agents than necessary.
func TestRecoveryContract(t *testing.T) {
	for _, tt := range []struct {
		name string
		// offset is the offset in the heartbeat of a1, or 0 for no heartbeat. The
		// agents join at the offsets 4 to 23.
		offset uint64
		want   int
	}{{"the home may not have read the joins", 0, 20}, {"the home had read the joins", 24, 16}} {
		Convey(tt.name, t, func() {
			m := newSingleManager("b1")
			for i := range 20 {
				joined := agentChange(AgentJoined, fmt.Sprint("x", i), fmt.Sprintf("x%d-1", i))
				m.applyRecord(&joined)
			}
			if tt.offset > 0 {
				m.HandleHeartbeat("a1", &wire.Heartbeat{Wall: 1, Offset: tt.offset})
			}
			_, r := findRecord(m.advance(900, "c1"), Claim)
			m.applyRecord(r)
			var id gypsumtide.SubmissionID
			for timestamp := m.clock.Wall(); id.Shard() != 7; id[15]++ {
				binary.BigEndian.PutUint64(id[:], uint64(timestamp)<<16)
			}
			got, complete := m.RecoveryCandidates(id, 1)
			So(complete, ShouldBeTrue)
			So(got, ShouldHaveLength, tt.want)
			m.applyRecord(&Record{Kind: AgentLeft, Time: m.clock.Wall(), Agents: []wire.AgentRecord{{Incarnation: got[0].Incarnation}}})
			got, _ = m.RecoveryCandidates(id, 1)
			So(got[0].CanAnswer, ShouldBeFalse)
			So(got[1].CanAnswer, ShouldBeTrue)
		})
	}
}
