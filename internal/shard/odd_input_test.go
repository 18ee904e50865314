package shard

import (
	"bytes"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against a time that overflows when the retention is subtracted from it or added to
// it, so that departed members are discarded although recoveries still need them.
func TestOddRecordTime(t *testing.T) {
	for _, at := range []gypsumtide.Millis{math.MinInt64, -1, gypsumtide.MaxTime + 1, math.MaxInt64} {
		Convey("A record with a time out of range changes nothing", t, func() {
			odd := entryJoined("odd", "odd1")
			odd.Time = at
			s := replay(odd, entryJoined("a", "a1"), entryLeft("a1"), entryJoined("b", "b1"))
			_, ok := s.Entry("odd1")
			So(ok, ShouldBeFalse)
			So(s.Malformed(), ShouldEqual, 1)
			left, ok := s.Entry("a1")
			So(ok, ShouldBeTrue)
			So(left.Member.Departure, ShouldEqual, Left)
		})
	}
}

// Guards against a record of another writer that ends the process or hides the records
// after it.
func TestOddRecord(t *testing.T) {
	data := mustMarshal(claimShard7("a1", "a1", "", 1, 0))
	for name, odd := range map[string][]byte{
		"empty":            nil,
		"truncated":        data[:len(data)-1],
		"nested deeply":    bytes.Repeat([]byte{0x81}, 100_000),
		"length overflows": {0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"shard never used": mustMarshal(Record{Kind: Claim, Author: "a1", Home: "a1", Shards: []ShardRef{{Shard: math.MaxUint16, Epoch: 1}}}),
		"shard twice":      mustMarshal(Record{Kind: Claim, Author: "a1", Home: "a1", Shards: []ShardRef{{Epoch: 1}, {Epoch: 1}}}),
	} {
		Convey("A malformed record is counted and the next one is applied: "+name, t, func() {
			s := NewState()
			s.Apply(0, odd)
			s.Apply(1, mustMarshal(entryJoined("a", "a1")))
			So(s.Malformed(), ShouldEqual, 1)
			_, ok := s.Entry("a1")
			So(ok, ShouldBeTrue)
			So(s.Next(), ShouldEqual, 2)
		})
	}
}

// Guards against an agent whose join cannot be encoded, so that the joins of all other agents
// in the same record are never logged.
func TestOddAgent(t *testing.T) {
	for name, odd := range map[string]wire.AgentRecord{
		"no name":              {Incarnation: "odd1"},
		"no incarnation":       {Name: "odd"},
		"incarnation too long": {Name: "odd", Incarnation: strings.Repeat("a", maxIncarnationLength+1)},
	} {
		good := wire.AgentRecord{Name: "x", Incarnation: "x1"}
		joinedAgents := func(m *singleManager) []wire.AgentRecord {
			_, r := findRecord(m.advance(2000, "a1", "c1"), AgentJoined)
			So(r, ShouldNotBeNil)
			So(m.internalErrors, ShouldEqual, 0)
			return r.Agents
		}
		Convey("A session of an agent that cannot be recorded does not keep others out of the log: "+name, t, func() {
			m := newSingleManager("b1")
			m.AgentConnected(odd)
			m.AgentConnected(good)
			So(joinedAgents(m), ShouldResemble, []wire.AgentRecord{good})
		})
		Convey("A roster update about such an agent is not acknowledged: "+name, t, func() {
			m := newSingleManager("b1")
			So(m.HandleRosterUpdates("a1", []wire.AgentRecord{odd, good}), ShouldResemble, []wire.AgentRecord{good})
			So(joinedAgents(m), ShouldResemble, []wire.AgentRecord{good})
		})
	}
	Convey("The departure of such an agent does not keep others out of the log", t, func() {
		m := newSingleManager("b1")
		for _, incarnation := range []string{"", strings.Repeat("a", maxIncarnationLength+1), "x1"} {
			m.AgentLeft(incarnation)
		}
		_, r := findRecord(m.advance(2000, "a1", "c1"), AgentLeft)
		So(r, ShouldNotBeNil)
		So(r.Agents, ShouldHaveLength, 1)
	})
}

// Guards against a state that accepts no later snapshot, or that discards departed members.
func TestOddSnapshot(t *testing.T) {
	for name, change := range map[string]func(s *State){
		"offset never reached": func(s *State) { s.nextOffset = math.MaxUint64 },
		"negative time":        func(s *State) { s.recordTime = math.MinInt64 },
		"time never reached":   func(s *State) { s.recordTime = math.MaxInt64 },
	} {
		Convey("An odd snapshot is rejected and the state stays in use: "+name, t, func() {
			odd := replay(entryJoined("odd", "odd1"))
			change(odd)
			data, err := odd.Snapshot()
			So(err, ShouldBeNil)
			s := replay(entryJoined("a", "a1"))
			So(s.Restore(data), ShouldNotBeNil)
			_, ok := s.Entry("a1")
			So(ok, ShouldBeTrue)
			So(s.Next(), ShouldEqual, 1)
		})
	}
}
