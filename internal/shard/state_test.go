package shard

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// must encodes a record without the checks of Encode, so that tests can write ill-formed ones.
func must(r Record) []byte {
	data, err := wire.Marshal(&r)
	if err != nil {
		panic(err)
	}
	return data
}

func entry(name, incarnation string) Record {
	return Record{Kind: EntryJoined, Time: 1, Entry: &wire.EntryInfo{Name: name, Incarnation: incarnation}}
}

func left(incarnation string) Record { return Record{Kind: EntryLeft, Time: 2, Author: incarnation} }

func agent(kind RecordKind, name, incarnation string) Record {
	return Record{Kind: kind, Time: 1, Agents: []wire.AgentRecord{{Name: name, Incarnation: incarnation}}}
}

func claim(author, home, successor string, epoch, base uint64) Record {
	return Record{Kind: Claim, Time: 1, Author: author, Home: home, Successor: successor, Shards: []ShardRef{{Shard: 7, Epoch: epoch, BaseOffset: base}}}
}

func naming(author, successor string, epoch, base uint64) Record {
	return Record{Kind: SuccessorNamed, Time: 1, Author: author, Successor: successor, Shards: []ShardRef{{Shard: 7, Epoch: epoch, BaseOffset: base}}}
}

// fold applies the records from offset 0 on.
func fold(rs ...Record) *State {
	s := NewState()
	for i, r := range rs {
		s.Apply(uint64(i), must(r))
	}
	return s
}

// Guards against folds that accept a record which the design page calls
// invalid, or that decide a race by anything else than the lowest offset.
func TestClaimValidity(t *testing.T) {
	// Offsets: a1 at 0, b1 at 1, c1 at 2, the claim of a1 at 3.
	start := []Record{entry("a", "a1"), entry("b", "b1"), entry("c", "c1"), claim("a1", "a1", "b1", 1, 0)}
	owned := Ownership{Home: "a1", Epoch: 1, Successor: "b1", Offset: 3}
	for _, tt := range []struct {
		name string
		more []Record
		want Ownership
	}{
		{"first claim", nil, owned},
		{"second first claim", []Record{claim("c1", "c1", "", 1, 0)}, owned},
		{"successor claims", []Record{claim("b1", "b1", "c1", 2, 3)}, Ownership{"b1", 2, "c1", 4}},
		{"lowest offset wins", []Record{claim("b1", "b1", "", 2, 3), claim("c1", "c1", "", 2, 3)}, Ownership{"b1", 2, "", 4}},
		{"home hands over", []Record{claim("a1", "c1", "a1", 2, 3)}, Ownership{"c1", 2, "a1", 4}},
		{"orphan claim", []Record{claim("c1", "c1", "", 2, 3)}, Ownership{"c1", 2, "", 4}},
		{"successor makes another one home", []Record{claim("b1", "c1", "", 2, 3)}, owned},
		{"home claims again", []Record{claim("a1", "a1", "", 2, 3)}, owned},
		{"epoch skipped", []Record{claim("b1", "b1", "", 3, 3)}, owned},
		{"claim based on an older record", []Record{claim("b1", "b1", "", 2, 2)}, owned},
		{"unknown claimer", []Record{claim("x1", "x1", "", 2, 3)}, owned},
		{"unknown home", []Record{claim("a1", "x1", "", 2, 3)}, owned},
		{"unknown successor", []Record{claim("b1", "b1", "x1", 2, 3)}, owned},
		{"home as its own successor", []Record{claim("b1", "b1", "b1", 2, 3)}, owned},
		{"claimer left", []Record{left("b1"), claim("b1", "b1", "", 2, 3)}, owned},
		{"new home left", []Record{left("c1"), claim("a1", "c1", "", 2, 3)}, owned},
		{"claimer was replaced", []Record{entry("b", "b2"), claim("b1", "b1", "", 2, 3)}, owned},
		{"naming", []Record{naming("a1", "c1", 1, 3)}, Ownership{"a1", 1, "c1", 4}},
		{"naming nobody", []Record{naming("a1", "", 1, 3)}, Ownership{"a1", 1, "", 4}},
		{"naming by another entry", []Record{naming("b1", "c1", 1, 3)}, owned},
		{"naming at another epoch", []Record{naming("a1", "c1", 2, 3)}, owned},
		{"late naming", []Record{naming("a1", "c1", 1, 3), naming("a1", "b1", 1, 3)}, Ownership{"a1", 1, "c1", 4}},
		{"old successor claims after naming", []Record{naming("a1", "c1", 1, 3), claim("b1", "b1", "", 2, 3)}, Ownership{"a1", 1, "c1", 4}},
		{"late handover after naming", []Record{naming("a1", "c1", 1, 3), claim("a1", "b1", "", 2, 3)}, Ownership{"a1", 1, "c1", 4}},
	} {
		Convey(tt.name, t, func() {
			s := fold(append(append([]Record{}, start...), tt.more...)...)
			So(s.Ownership(7), ShouldResemble, tt.want)
			So(s.Next(), ShouldEqual, len(start)+len(tt.more))
			So(s.Malformed(), ShouldEqual, 0)
		})
	}
}

// Guards against a time rule or a recovery that is allowed although an earlier
// home can still serve, or can have used agents that nobody names.
func TestTenures(t *testing.T) {
	start := []Record{entry("a", "a1"), entry("b", "b1"), entry("c", "c1"), entry("d", "d1"), claim("a1", "a1", "b1", 1, 0)}
	settled := claim("c1", "c1", "", 3, 5)
	settled.Shards[0].Settled = true
	gap := []OrphanedPair{{Home: "a1", Successor: "b1"}}
	for _, tt := range []struct {
		name  string
		more  []Record
		timed bool
		gaps  []OrphanedPair
	}{
		{"first claim", nil, true, nil},
		{"successor", []Record{claim("b1", "b1", "c1", 2, 4)}, true, nil},
		{"handover", []Record{claim("a1", "c1", "", 2, 4)}, true, nil},
		{"orphan claim", []Record{claim("c1", "c1", "", 2, 4)}, false, gap},
		{"orphan claim after the home left", []Record{left("a1"), claim("c1", "c1", "", 2, 4)}, false, nil},
		{"orphan claim after the home was replaced", []Record{entry("a", "a2"), claim("c1", "c1", "", 2, 4)}, false, gap},
		{"orphan claim of a home without successor", []Record{naming("a1", "", 1, 4), claim("c1", "c1", "", 2, 5)}, false, nil},
		{"successor of an unsettled orphan claim", []Record{claim("d1", "d1", "c1", 2, 4), claim("c1", "c1", "", 3, 5)}, false, gap},
		{"successor of a settled orphan claim", []Record{claim("d1", "d1", "c1", 2, 4), settled}, true, nil},
		{"two orphan claims", []Record{claim("d1", "d1", "a1", 2, 4), claim("c1", "c1", "", 3, 5)}, false, append(gap, OrphanedPair{"d1", "a1"})},
	} {
		Convey(tt.name, t, func() {
			ts := fold(append(append([]Record{}, start...), tt.more...)...).Epochs(7)
			last := ts[len(ts)-1]
			So(last.SettlesByTimeout, ShouldEqual, tt.timed)
			So(last.OrphanedPairs, ShouldResemble, tt.gaps)
		})
	}
}

// Guards against dead agents that count as present and live ones that count as
// dead, whatever the order in which late appends take effect.
func TestMembers(t *testing.T) {
	for _, tt := range []struct {
		name string
		rs   []Record
		want map[string]Departure
	}{
		{"joined", []Record{agent(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Present}},
		{"joined twice", []Record{agent(AgentJoined, "x", "x1"), agent(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Present}},
		{"replaced", []Record{agent(AgentJoined, "x", "x1"), agent(AgentJoined, "x", "x2")}, map[string]Departure{"x1": Replaced, "x2": Present}},
		{"late join of the older one", []Record{agent(AgentJoined, "x", "x2"), agent(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Replaced, "x2": Present}},
		{"left", []Record{agent(AgentJoined, "x", "x1"), agent(AgentLeft, "", "x1")}, map[string]Departure{"x1": Left}},
		{"left before a late join", []Record{agent(AgentLeft, "x", "x1"), agent(AgentJoined, "x", "x1")}, map[string]Departure{"x1": Left}},
		{"retired", []Record{agent(AgentJoined, "x", "x1"), agent(AgentRetired, "", "x1"), agent(AgentLeft, "", "x1")}, map[string]Departure{"x1": Retired}},
	} {
		Convey(tt.name, t, func() {
			got := map[string]Departure{}
			for _, a := range fold(tt.rs...).Agents() {
				got[a.Incarnation] = a.Member.Departure
			}
			So(got, ShouldResemble, tt.want)
		})
	}
	Convey("an old departure is forgotten, a home is not, and one wrong clock changes nothing", t, func() {
		s := fold(entry("a", "a1"), entry("b", "b1"), claim("a1", "a1", "", 1, 0), left("a1"), left("b1"),
			agent(AgentJoined, "x", "x1"), agent(AgentLeft, "", "x1"))
		for i, want := range []int{2, 3, 3} {
			r := agent(AgentJoined, "y", fmt.Sprint("y", i))
			r.Time = 100 * keepDeparted
			s.Apply(uint64(7+i), must(r))
			So(len(s.Agents()), ShouldEqual, want)
		}
		So(s.Entries(), ShouldHaveLength, 1)
		_, kept := s.Entry("a1")
		So(kept, ShouldBeTrue)
	})
}

// Guards against ill-formed records that change the state or stop the fold.
func TestIllFormedRecords(t *testing.T) {
	twice := claim("a1", "a1", "", 1, 0)
	twice.Shards = append(twice.Shards, twice.Shards[0])
	outside := claim("a1", "a1", "", 1, 0)
	outside.Shards[0].Shard = gypsumtide.ShardCount
	for name, data := range map[string][]byte{
		"empty":              nil,
		"no CBOR":            {0xff},
		"unknown kind":       must(Record{Kind: "claims"}),
		"entry missing":      must(Record{Kind: EntryJoined}),
		"agents missing":     must(Record{Kind: AgentJoined}),
		"agent without name": must(agent(AgentJoined, "", "x1")),
		"epoch 0":            must(claim("a1", "a1", "", 0, 0)),
		"shard twice":        must(twice),
		"shard outside":      must(outside),
		"no author":          must(claim("", "a1", "", 1, 0)),
		"long incarnation":   must(agent(AgentLeft, "", fmt.Sprintf("%0200d", 1))),
	} {
		Convey(name, t, func() {
			s := fold(entry("a", "a1"))
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

// Guards against a snapshot that loses state and a failed restore that changes it.
func TestSnapshot(t *testing.T) {
	Convey("a restored state equals the one that wrote the snapshot", t, func() {
		w := simulate(3, 3, []int{10, 12, 13, 14, 16}, nil)
		s := w.entries[0].state
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
		for _, bad := range [][]byte{nil, {0xff}, data[:len(data)/2], must(Record{})} {
			So(r.Restore(bad), ShouldNotBeNil)
			again, err := r.Snapshot()
			So(err, ShouldBeNil)
			So(bytes.Equal(again, data), ShouldBeTrue)
		}
	})
}

// Guards against a decoder that panics or that accepts what it does not encode.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(must(claim("a1", "a1", "b1", 1, 0)))
	f.Add(must(entry("a", "a1")))
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

// Guards against a fold that panics, that depends on more than its records, or
// whose snapshot does not continue like the original.
func FuzzFold(f *testing.F) {
	f.Add([]byte{0, 9, 1, 18, 40, 80, 41, 120})
	f.Add([]byte{8, 9, 16, 40, 41, 42, 43, 44, 45, 46, 47, 200, 201, 202})
	names := []string{"a", "b", "c"}
	f.Fuzz(func(t *testing.T, ops []byte) {
		s, restored := NewState(), NewState()
		for i, op := range ops {
			x, y, n := names[op%3], names[op/3%3], uint64(op)/64
			rs := []Record{
				entry(x, fmt.Sprint(x, n%2)), left(fmt.Sprint(x, n%2)), agent(AgentJoined, x, fmt.Sprint(x, n%2)), agent(AgentLeft, "", fmt.Sprint(x, n%2)),
				claim(fmt.Sprint(x, n%2), fmt.Sprint(y, n%2), fmt.Sprint(y, n/2), s.Ownership(7).Epoch+1, s.Ownership(7).Offset),
				naming(fmt.Sprint(x, n%2), fmt.Sprint(y, n%2), s.Ownership(7).Epoch, s.Ownership(7).Offset),
			}
			r := rs[op/9%6]
			r.Time = gypsumtide.Millis(i) * keepDeparted / 4
			before := s.Ownership(7)
			s.Apply(uint64(i), must(r))
			restored.Apply(uint64(i), must(r))
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
