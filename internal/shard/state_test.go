package shard

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// mustMarshal encodes a record without the validation of Encode, so that tests can
// create malformed ones.
func mustMarshal(r Record) []byte {
	data, err := wire.Marshal(&r)
	if err != nil {
		panic(err)
	}
	return data
}

func entryJoined(name, incarnation string) Record {
	return Record{Kind: EntryJoined, Time: 1, Entry: &wire.EntryInfo{Name: name, Incarnation: incarnation}}
}

func entryLeft(incarnation string) Record {
	return Record{Kind: EntryLeft, Time: 2, Author: incarnation}
}

func agentChange(kind RecordKind, name, incarnation string) Record {
	return Record{Kind: kind, Time: 1, Agents: []wire.AgentRecord{{Name: name, Incarnation: incarnation}}}
}

func claimShard7(author, home, successor string, epoch, base uint64) Record {
	return Record{Kind: Claim, Time: 1, Author: author, Home: home, Successor: successor, Shards: []ShardRef{{Shard: 7, Epoch: epoch, BaseOffset: base}}}
}

func successorNamed(author, successor string, epoch, base uint64) Record {
	return Record{Kind: SuccessorNamed, Time: 1, Author: author, Successor: successor, Shards: []ShardRef{{Shard: 7, Epoch: epoch, BaseOffset: base}}}
}

// replay applies the records to a new state, from offset 0 on.
func replay(rs ...Record) *State {
	s := NewState()
	for i, r := range rs {
		s.Apply(uint64(i), mustMarshal(r))
	}
	return s
}

// Guards against a state that accepts a record which docs/design.md calls invalid,
// or that decides a race by anything but the lowest offset.
func TestClaimValidity(t *testing.T) {
	// Offsets: the joins of a1, b1 and c1 are at 0, 1 and 2, the claim of a1 is at 3.
	start := []Record{entryJoined("a", "a1"), entryJoined("b", "b1"), entryJoined("c", "c1"), claimShard7("a1", "a1", "b1", 1, 0)}
	owned := Ownership{Home: "a1", Epoch: 1, Successor: "b1", Offset: 3}
	for _, tt := range []struct {
		name string
		more []Record
		want Ownership
	}{
		{"first claim", nil, owned},
		{"second claim of epoch 1", []Record{claimShard7("c1", "c1", "", 1, 0)}, owned},
		{"successor claims", []Record{claimShard7("b1", "b1", "c1", 2, 3)}, Ownership{"b1", 2, "c1", 4}},
		{"lowest offset wins", []Record{claimShard7("b1", "b1", "", 2, 3), claimShard7("c1", "c1", "", 2, 3)}, Ownership{"b1", 2, "", 4}},
		{"home hands over", []Record{claimShard7("a1", "c1", "a1", 2, 3)}, Ownership{"c1", 2, "a1", 4}},
		{"orphan claim", []Record{claimShard7("c1", "c1", "", 2, 3)}, Ownership{"c1", 2, "", 4}},
		{"successor makes another one home", []Record{claimShard7("b1", "c1", "", 2, 3)}, owned},
		{"home claims again", []Record{claimShard7("a1", "a1", "", 2, 3)}, owned},
		{"epoch skipped", []Record{claimShard7("b1", "b1", "", 3, 3)}, owned},
		{"claim based on an older record", []Record{claimShard7("b1", "b1", "", 2, 2)}, owned},
		{"unknown claimer", []Record{claimShard7("x1", "x1", "", 2, 3)}, owned},
		{"unknown home", []Record{claimShard7("a1", "x1", "", 2, 3)}, owned},
		{"unknown successor", []Record{claimShard7("b1", "b1", "x1", 2, 3)}, owned},
		{"home as its own successor", []Record{claimShard7("b1", "b1", "b1", 2, 3)}, owned},
		{"claimer left", []Record{entryLeft("b1"), claimShard7("b1", "b1", "", 2, 3)}, owned},
		{"new home left", []Record{entryLeft("c1"), claimShard7("a1", "c1", "", 2, 3)}, owned},
		{"claimer was replaced", []Record{entryJoined("b", "b2"), claimShard7("b1", "b1", "", 2, 3)}, owned},
		{"successor change", []Record{successorNamed("a1", "c1", 1, 3)}, Ownership{"a1", 1, "c1", 4}},
		{"successor removed", []Record{successorNamed("a1", "", 1, 3)}, Ownership{"a1", 1, "", 4}},
		{"successor change by another entry", []Record{successorNamed("b1", "c1", 1, 3)}, owned},
		{"successor change at another epoch", []Record{successorNamed("a1", "c1", 2, 3)}, owned},
		{"late successor change", []Record{successorNamed("a1", "c1", 1, 3), successorNamed("a1", "b1", 1, 3)}, Ownership{"a1", 1, "c1", 4}},
		{"old successor claims after a successor change", []Record{successorNamed("a1", "c1", 1, 3), claimShard7("b1", "b1", "", 2, 3)}, Ownership{"a1", 1, "c1", 4}},
		{"late handover after a successor change", []Record{successorNamed("a1", "c1", 1, 3), claimShard7("a1", "b1", "", 2, 3)}, Ownership{"a1", 1, "c1", 4}},
	} {
		Convey(tt.name, t, func() {
			s := replay(append(append([]Record{}, start...), tt.more...)...)
			So(s.Ownership(7), ShouldResemble, tt.want)
			So(s.Next(), ShouldEqual, len(start)+len(tt.more))
			So(s.Malformed(), ShouldEqual, 0)
		})
	}
}

// Guards against settlement by timeout although an earlier home can still serve,
// and against a recovery that ignores homes which may have used unknown agents.
func TestEpochs(t *testing.T) {
	start := []Record{entryJoined("a", "a1"), entryJoined("b", "b1"), entryJoined("c", "c1"), entryJoined("d", "d1"), claimShard7("a1", "a1", "b1", 1, 0)}
	settled := claimShard7("c1", "c1", "", 3, 5)
	settled.Shards[0].Settled = true
	pair := []OrphanedPair{{Home: "a1", Successor: "b1"}}
	for _, tt := range []struct {
		name             string
		more             []Record
		settlesByTimeout bool
		orphanedPairs    []OrphanedPair
	}{
		{"first claim", nil, true, nil},
		{"successor", []Record{claimShard7("b1", "b1", "c1", 2, 4)}, true, nil},
		{"handover", []Record{claimShard7("a1", "c1", "", 2, 4)}, true, nil},
		{"orphan claim", []Record{claimShard7("c1", "c1", "", 2, 4)}, false, pair},
		{"orphan claim after the home left", []Record{entryLeft("a1"), claimShard7("c1", "c1", "", 2, 4)}, false, nil},
		{"orphan claim after the home was replaced", []Record{entryJoined("a", "a2"), claimShard7("c1", "c1", "", 2, 4)}, false, pair},
		{"orphan claim of a home without successor", []Record{successorNamed("a1", "", 1, 4), claimShard7("c1", "c1", "", 2, 5)}, false, nil},
		{"successor of an unsettled orphan claim", []Record{claimShard7("d1", "d1", "c1", 2, 4), claimShard7("c1", "c1", "", 3, 5)}, false, pair},
		{"successor of a settled orphan claim", []Record{claimShard7("d1", "d1", "c1", 2, 4), settled}, true, nil},
		{"two orphan claims", []Record{claimShard7("d1", "d1", "a1", 2, 4), claimShard7("c1", "c1", "", 3, 5)}, false, append(pair, OrphanedPair{"d1", "a1"})},
	} {
		Convey(tt.name, t, func() {
			epochs := replay(append(append([]Record{}, start...), tt.more...)...).Epochs(7)
			last := epochs[len(epochs)-1]
			So(last.SettlesByTimeout, ShouldEqual, tt.settlesByTimeout)
			So(last.OrphanedPairs, ShouldResemble, tt.orphanedPairs)
		})
	}
}

// Guards against ended agents that count as present and running ones that count as
// departed, whatever the order in which late appends take effect.
func TestMembers(t *testing.T) {
	for _, tt := range []struct {
		name string
		rs   []Record
		want map[string]Departure
	}{
		{"joined", []Record{agentChange(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Present}},
		{"joined twice", []Record{agentChange(AgentJoined, "x", "x1"), agentChange(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Present}},
		{"replaced", []Record{agentChange(AgentJoined, "x", "x1"), agentChange(AgentJoined, "x", "x2")}, map[string]Departure{"x1": Replaced, "x2": Present}},
		{"late join of the older one", []Record{agentChange(AgentJoined, "x", "x2"), agentChange(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Replaced, "x2": Present}},
		{"left", []Record{agentChange(AgentJoined, "x", "x1"), agentChange(AgentLeft, "", "x1")}, map[string]Departure{"x1": Left}},
		{"left before a late join", []Record{agentChange(AgentLeft, "x", "x1"), agentChange(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Left}},
		{"retired", []Record{agentChange(AgentJoined, "x", "x1"), agentChange(AgentRetired, "", "x1"), agentChange(AgentLeft, "", "x1")}, map[string]Departure{"x1": Retired}},
	} {
		Convey(tt.name, t, func() {
			got := map[string]Departure{}
			for _, a := range replay(tt.rs...).Agents() {
				got[a.Incarnation] = a.Member.Departure
			}
			So(got, ShouldResemble, tt.want)
		})
	}
	Convey("members that departed long ago are discarded, unless they are homes, and one record with a wrong time discards nothing", t, func() {
		s := replay(entryJoined("a", "a1"), entryJoined("b", "b1"), claimShard7("a1", "a1", "", 1, 0), entryLeft("a1"), entryLeft("b1"),
			agentChange(AgentJoined, "x", "x1"), agentChange(AgentLeft, "", "x1"))
		for i, want := range []int{2, 3, 3} {
			r := agentChange(AgentJoined, "y", fmt.Sprint("y", i))
			r.Time = 100 * departedRetention
			s.Apply(uint64(7+i), mustMarshal(r))
			So(len(s.Agents()), ShouldEqual, want)
		}
		So(s.Entries(), ShouldHaveLength, 1)
		_, kept := s.Entry("a1")
		So(kept, ShouldBeTrue)
	})
}

// Guards against malformed records that change the state or stop the replay.
func TestMalformedRecords(t *testing.T) {
	twice := claimShard7("a1", "a1", "", 1, 0)
	twice.Shards = append(twice.Shards, twice.Shards[0])
	outside := claimShard7("a1", "a1", "", 1, 0)
	outside.Shards[0].Shard = gypsumtide.ShardCount
	for name, data := range map[string][]byte{
		"empty":              nil,
		"not CBOR":           {0xff},
		"unknown kind":       mustMarshal(Record{Kind: "claims"}),
		"entry missing":      mustMarshal(Record{Kind: EntryJoined}),
		"agents missing":     mustMarshal(Record{Kind: AgentJoined}),
		"agent without name": mustMarshal(agentChange(AgentJoined, "", "x1")),
		"epoch 0":            mustMarshal(claimShard7("a1", "a1", "", 0, 0)),
		"shard listed twice": mustMarshal(twice),
		"shard out of range": mustMarshal(outside),
		"no author":          mustMarshal(claimShard7("", "a1", "", 1, 0)),
		"long incarnation":   mustMarshal(agentChange(AgentLeft, "", fmt.Sprintf("%0200d", 1))),
	} {
		Convey(name, t, func() {
			s := replay(entryJoined("a", "a1"))
			before, err := s.Snapshot()
			So(err, ShouldBeNil)
			s.Apply(0, data)
			after, err := s.Snapshot()
			So(err, ShouldBeNil)
			So(after, ShouldResemble, before)
			So(s.Malformed(), ShouldEqual, 1)
		})
	}
}

// Guards against a snapshot that loses state, and a failed restore that changes it.
func TestSnapshot(t *testing.T) {
	Convey("a restored state equals the one that wrote the snapshot", t, func() {
		// The faults are pause, restart entry, restart agent, new agent and drain entry.
		sim := simulate(3, 3, []int{10, 12, 13, 14, 16}, nil)
		s := sim.entries[0].state
		data, err := s.Snapshot()
		So(err, ShouldBeNil)
		r := NewState()
		So(r.Restore(data), ShouldBeNil)
		So(r.Agents(), ShouldResemble, s.Agents())
		So(r.Entries(), ShouldResemble, s.Entries())
		for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
			So(r.Ownership(i), ShouldResemble, s.Ownership(i))
			So(r.Epochs(i), ShouldResemble, s.Epochs(i))
		}
		So(r.newestEntry, ShouldResemble, s.newestEntry)
		So(r.newestAgent, ShouldResemble, s.newestAgent)
		for _, bad := range [][]byte{nil, {0xff}, data[:len(data)/2], mustMarshal(Record{})} {
			So(r.Restore(bad), ShouldNotBeNil)
			again, err := r.Snapshot()
			So(err, ShouldBeNil)
			So(bytes.Equal(again, data), ShouldBeTrue)
		}
	})
}

// Guards against a decoder that panics, or that accepts a record that cannot be
// encoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(mustMarshal(claimShard7("a1", "a1", "b1", 1, 0)))
	f.Add(mustMarshal(entryJoined("a", "a1")))
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatalf("accepted record does not encode: %v", err)
		}
		if _, err := DecodeRecord(again); err != nil {
			t.Fatalf("encoded record does not decode: %v", err)
		}
	})
}

// Guards against a replay that panics or depends on more than its records, and
// against a restored snapshot that continues differently from the original.
func FuzzReplay(f *testing.F) {
	f.Add([]byte{0, 9, 1, 18, 40, 80, 41, 120})
	f.Add([]byte{8, 9, 16, 40, 41, 42, 43, 44, 45, 46, 47, 200, 201, 202})
	names := []string{"a", "b", "c"}
	f.Fuzz(func(t *testing.T, ops []byte) {
		s, restored := NewState(), NewState()
		for i, op := range ops {
			x, y, n := names[op%3], names[op/3%3], uint64(op)/64
			rs := []Record{
				entryJoined(x, fmt.Sprint(x, n%2)), entryLeft(fmt.Sprint(x, n%2)), agentChange(AgentJoined, x, fmt.Sprint(x, n%2)), agentChange(AgentLeft, "", fmt.Sprint(x, n%2)),
				claimShard7(fmt.Sprint(x, n%2), fmt.Sprint(y, n%2), fmt.Sprint(y, n/2), s.Ownership(7).Epoch+1, s.Ownership(7).Offset),
				successorNamed(fmt.Sprint(x, n%2), fmt.Sprint(y, n%2), s.Ownership(7).Epoch, s.Ownership(7).Offset),
			}
			r := rs[op/9%6]
			r.Time = gypsumtide.Millis(i) * departedRetention / 4
			before := s.Ownership(7)
			s.Apply(uint64(i), mustMarshal(r))
			restored.Apply(uint64(i), mustMarshal(r))
			if h := s.Ownership(7); h.Epoch < before.Epoch || h.Epoch > before.Epoch+1 || h.Epoch > before.Epoch && h.Home == before.Home {
				t.Fatalf("%+v became %+v", before, h)
			}
			data, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			other, _ := restored.Snapshot()
			if !bytes.Equal(data, other) {
				t.Fatal("states differ")
			}
			if err := restored.Restore(data); err != nil {
				t.Fatal(err)
			}
		}
		s.Apply(uint64(len(ops)), ops)
	})
}

func ExampleState() {
	s := NewState()
	for i, r := range []Record{
		{Kind: EntryJoined, Entry: &wire.EntryInfo{Name: "entry-1", Incarnation: "0190-a"}},
		{Kind: Claim, Author: "0190-a", Home: "0190-a", Shards: []ShardRef{{Shard: 7, Epoch: 1}}},
	} {
		data, err := r.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		s.Apply(uint64(i), data)
	}
	h := s.Ownership(7)
	fmt.Println(h.Home, h.Epoch)
	// Output: 0190-a 1
}
