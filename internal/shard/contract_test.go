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

// lone is one manager without a network. Entries a1, b1 and c1 joined, and a1
// is home of shard 7 with the successor b1 (the claim is at offset 3).
type lone struct {
	*Manager
	w     *world
	clock *simClock
}

func newLone(self string) *lone {
	w := newWorld(1)
	clock := &simClock{w: w, mono: 1}
	state := fold(entry("a", "a1"), entry("b", "b1"), entry("c", "c1"), claim("a1", "a1", "b1", 1, 0))
	l := &lone{Manager: New(DefaultConfig(wire.EntryInfo{Name: self[:1], Incarnation: self}), state, clock), w: w, clock: clock}
	l.pass(0, "a1", "b1", "c1")
	return l
}

// pass advances time in steps of 100 ms with a log that answers and heartbeats of the peers.
func (l *lone) pass(d gypsumtide.Millis, peers ...string) (out []Action) {
	for end := l.w.now + d; ; l.w.now += 100 {
		l.LogRead(l.clock.Now())
		for _, p := range peers {
			if p != l.Self().Incarnation {
				l.HandleHeartbeat(p, &wire.Heartbeat{Ready: true, Shards: []wire.ShardEpoch{{Shard: 7, Epoch: 1}}})
			}
		}
		out = append(out, l.Tick()...)
		if l.w.now >= end {
			return out
		}
	}
}

// record returns the first record of a kind for shard 7, or for agents, among the actions.
func record(actions []Action, kind RecordKind) (uint64, *Record) {
	for _, a := range actions {
		if r, err := DecodeRecord(a.Record); a.Kind == ActionAppend && err == nil && r.Kind == kind {
			if len(r.Agents) > 0 || slices.ContainsFunc(r.Shards, func(s ShardRef) bool { return s.Shard == 7 }) {
				return a.ID, r
			}
		}
	}
	return 0, nil
}

func (l *lone) read(r *Record) { l.state.Apply(l.state.Next(), must(*r)) }

// refuses reports whether the entry refuses to acknowledge shard 7 to a1.
func (l *lone) refuses() bool {
	ack := l.HandleHeartbeat("a1", &wire.Heartbeat{Shards: []wire.ShardEpoch{{Shard: 7, Epoch: 1}}})
	return slices.Contains(ack.Refused, 7)
}

// Guards against a successor that supports the home while it takes the shard
// over, forgets an agent that only it knows, or serves too early.
func TestTakeoverContract(t *testing.T) {
	note := []wire.AgentRecord{{Name: "x", Incarnation: "x1"}}
	Convey("acknowledgements stop before the claim and until it is settled", t, func() {
		l := newLone("b1")
		So(l.refuses(), ShouldBeFalse)
		So(l.HandleRosterUpdates("a1", note), ShouldHaveLength, 1)
		actions := l.pass(1000, "c1")
		_, r := record(actions, Claim)
		So(r, ShouldBeNil)
		_, r = record(actions, AgentJoined)
		l.read(r)
		id, r := record(l.pass(100, "c1"), Claim)
		So(r.Shards, ShouldContain, ShardRef{Shard: 7, Epoch: 2, BaseOffset: 3, Settled: true})
		So(l.refuses(), ShouldBeTrue)
		So(l.HandleRosterUpdates("a1", note), ShouldBeEmpty)
		l.HandleAppendResult(id, 0, gypsumtide.ErrAppendOutcomeUnknown)
		So(l.refuses(), ShouldBeTrue)
		id, again := record(l.pass(1200, "a1", "c1"), Claim)
		So(again.Shards, ShouldResemble, r.Shards)
		l.HandleAppendResult(id, 0, errors.New("refused"))
		So(l.refuses(), ShouldBeTrue)
		l.read(r)
		l.AgentUp(note[0])
		asks := l.pass(0, "c1")
		So(asks, ShouldContain, Action{Kind: ActionSendFenceRequests, Peer: "x1", FenceRequests: []wire.ShardEpoch{{Shard: 7, Epoch: 2}}})
		So(l.HandleRosterUpdates("a1", note), ShouldBeEmpty)
		l.pass(1700, "c1")
		_, ok := l.Serving(7)
		So(ok, ShouldBeFalse)
		l.pass(200, "c1")
		epoch, ok := l.Serving(7)
		So(ok, ShouldBeTrue)
		So(epoch, ShouldEqual, 2)
		So(l.HandleRosterUpdates("a1", note), ShouldHaveLength, 1)
	})
	Convey("a promise of every agent ends the wait", t, func() {
		l := newLone("b1")
		joined := agent(AgentJoined, "x", "x1")
		l.read(&joined)
		_, r := record(l.pass(900, "c1"), Claim)
		l.read(r)
		l.pass(100, "c1")
		l.FenceConfirmed("x1", wire.ShardEpoch{Shard: 7, Epoch: 1})
		l.pass(100, "c1")
		_, ok := l.Serving(7)
		So(ok, ShouldBeFalse)
		l.FenceConfirmed("x1", wire.ShardEpoch{Shard: 7, Epoch: 2})
		l.pass(100, "c1")
		_, ok = l.Serving(7)
		So(ok, ShouldBeTrue)
	})
	Convey("a home stops before it hands over", t, func() {
		l := newLone("a1")
		l.pass(0, "b1", "c1")
		_, ok := l.Serving(7)
		So(ok, ShouldBeTrue)
		l.Drain()
		id, r := record(l.Tick(), Claim)
		So(r.Home, ShouldEqual, "b1")
		l.LogRead(l.clock.Now())
		_, ok = l.Serving(7)
		So(ok, ShouldBeFalse)
		l.HandleAppendResult(id, 0, errors.New("refused"))
		l.w.now++
		l.LogRead(l.clock.Now())
		_, ok = l.Serving(7)
		So(ok, ShouldBeTrue)
	})
	Convey("after a claim that certainly failed acknowledgements resume", t, func() {
		l := newLone("b1")
		id, r := record(l.pass(900, "c1"), Claim)
		So(r, ShouldNotBeNil)
		l.HandleAppendResult(id, 0, errors.New("refused"))
		So(l.refuses(), ShouldBeFalse)
	})
}

// Guards against a home that counts acknowledgements of an old or a future
// successor while it names another one, or names one that does not know an agent.
func TestNamingContract(t *testing.T) {
	Convey("nothing counts from the decision until the record is read back", t, func() {
		l := newLone("a1")
		l.AgentUp(wire.AgentRecord{Name: "x", Incarnation: "x1"})
		l.HandleRosterAcks("b1", []wire.AgentRecord{{Name: "x", Incarnation: "x1"}})
		So(l.Usable("x1", 7), ShouldBeTrue)
		_, r := record(l.pass(1200, "c1"), SuccessorNamed)
		So(r, ShouldBeNil)
		joined := agent(AgentJoined, "x", "x1")
		l.read(&joined)
		l.w.now += 300
		hb := l.Heartbeat()
		l.HandleHeartbeat("c1", &wire.Heartbeat{Ready: true})
		_, r = record(l.Tick(), SuccessorNamed)
		So(r.Successor, ShouldEqual, "c1")
		l.w.now += 400
		l.HandleAck("b1", &wire.HeartbeatAck{Sequence: hb.Sequence})
		late := l.Heartbeat()
		So(late.Shards, ShouldNotContain, wire.ShardEpoch{Shard: 7, Epoch: 1})
		l.HandleAck("c1", &wire.HeartbeatAck{Sequence: late.Sequence})
		l.w.now += 200
		_, ok := l.Serving(7)
		So(ok, ShouldBeFalse)
		l.read(r)
		hb = l.Heartbeat()
		l.HandleAck("b1", &wire.HeartbeatAck{Sequence: hb.Sequence})
		_, ok = l.Serving(7)
		So(ok, ShouldBeFalse)
		l.HandleAck("c1", &wire.HeartbeatAck{Sequence: hb.Sequence, Refused: []gypsumtide.ShardID{7}})
		_, ok = l.Serving(7)
		So(ok, ShouldBeFalse)
		l.HandleAck("c1", &wire.HeartbeatAck{Sequence: hb.Sequence})
		_, ok = l.Serving(7)
		So(ok, ShouldBeTrue)
	})
}

// Guards against a recovery that relies on a roster which the earlier home may
// not have read, and against one that asks everybody without need.
func TestRecoveryContract(t *testing.T) {
	for _, tt := range []struct {
		name   string
		offset uint64
		want   int
	}{{"the home may not have read the joins", 0, 20}, {"the home had read the joins", 24, 16}} {
		Convey(tt.name, t, func() {
			l := newLone("b1")
			for i := range 20 {
				joined := agent(AgentJoined, fmt.Sprint("x", i), fmt.Sprintf("x%d-1", i))
				l.read(&joined)
			}
			if tt.offset > 0 {
				l.HandleHeartbeat("a1", &wire.Heartbeat{Wall: 1, Offset: tt.offset})
			}
			_, r := record(l.pass(900, "c1"), Claim)
			l.read(r)
			var id gypsumtide.SubmissionID
			for stamp := l.clock.Wall(); id.Shard() != 7; id[15]++ {
				binary.BigEndian.PutUint64(id[:], uint64(stamp)<<16)
			}
			got, complete := l.RecoveryCandidates(id, 1)
			So(complete, ShouldBeTrue)
			So(got, ShouldHaveLength, tt.want)
			l.read(&Record{Kind: AgentLeft, Time: l.clock.Wall(), Agents: []wire.AgentRecord{{Incarnation: got[0].Incarnation}}})
			got, _ = l.RecoveryCandidates(id, 1)
			So(got[0].CanAnswer, ShouldBeFalse)
			So(got[1].CanAnswer, ShouldBeTrue)
		})
	}
}
