package journal

import (
	"bytes"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// oddRecords are records of another writer that are neither a record nor a snapshot.
var oddRecords = map[string][]byte{
	"empty":              nil,
	"bytes of no record": {0xff, 0xfe},
	"nested deeply":      bytes.Repeat([]byte{0x81}, 100_000),
	"endless array":      {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	"length overflows":   {0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	"kind overflows":     {0xa1, 0x02, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
}

// Guards against a record of another writer that stops the follower or hides the records
// after it.
func TestOddRecord(t *testing.T) {
	good, err := encodeEnvelope(envelope{ID: NewID(), Kind: kindRecord, Body: []byte("good")})
	if err != nil {
		t.Fatal(err)
	}
	Convey("A record that cannot be read is skipped and the next one is applied", t, func() {
		for name, odd := range oddRecords {
			Convey(name, func() {
				f := newTestFollower("http://127.0.0.1:1", 100)
				f.applyBatch(0, []gypsumtide.Record{{Offset: 0, Data: odd}, {Offset: 1, Data: good}}, 2, 1, true)
				So(f.bodies(), ShouldResemble, []string{"good"})
				So(f.Position(), ShouldEqual, 2)
			})
		}
	})

	// Guards against a follower that reads beyond the end of the stream for ever.
	Convey("A snapshot that claims to include later records is ignored", t, func() {
		for _, asOf := range []uint64{9, math.MaxInt64, math.MaxUint64} {
			odd, err := EncodeSnapshot(asOf, mustEncodeState(nil))
			So(err, ShouldBeNil)
			valid, err := EncodeSnapshot(7, mustEncodeState([]string{"a"}))
			So(err, ShouldBeNil)
			f := newTestFollower("http://127.0.0.1:1", 100)
			f.startSearch(7)
			f.applyBatch(7, []gypsumtide.Record{{Offset: 8, Data: odd}, {Offset: 9, Data: valid}}, 10, 1, true)
			So(f.readFrom(), ShouldEqual, 7)
			So(f.bodies(), ShouldResemble, []string{"a"})

			// Guards against a stream whose snapshots are never due.
			f.ready, f.recordsSinceSnapshot = true, 3
			f.applyBatch(7, []gypsumtide.Record{{Offset: 8, Data: odd}}, 9, 1, true)
			So(f.recordsSinceSnapshot, ShouldEqual, 3)
		}
	})
}

// Guards against a follower that reads beyond the end of the stream for ever.
func TestOddPeerState(t *testing.T) {
	Convey("The state of a peer with an offset that is never reached is not adopted", t, func() {
		for _, asOf := range []uint64{math.MaxInt64, math.MaxUint64} {
			f := newTestFollower("http://127.0.0.1:1", 100)
			adopted, err := f.Adopt(asOf, mustEncodeState([]string{"odd"}))
			So(err, ShouldNotBeNil)
			So(adopted, ShouldBeFalse)
			So(f.Position(), ShouldEqual, 0)
			So(f.bodies(), ShouldBeEmpty)
		}
	})
}

func mustEncodeState(bodies []string) []byte {
	state, err := encodeState(newSeenIDs(nil), &bodyList{bodies: bodies})
	if err != nil {
		panic(err)
	}
	return state
}
