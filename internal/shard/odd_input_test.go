package shard

import (
	"bytes"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
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
