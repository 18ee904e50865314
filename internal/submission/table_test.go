package submission

import (
	"errors"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// idWithTimestamp returns an id with the timestamp at; n distinguishes ids with the same
// timestamp.
func idWithTimestamp(at gypsumtide.Millis, n uint32) gypsumtide.SubmissionID {
	id := gypsumtide.SubmissionID{6: 0x70, 8: 0x80, 12: byte(n >> 24), 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}
	for i := range 6 {
		id[i] = byte(at >> (40 - 8*i))
	}
	return id
}

// Guards against wrong limits for the admission of ids by their timestamp.
func TestRules(t *testing.T) {
	const now = gypsumtide.Millis(1_000_000)
	r := NewRules(500, 600_000)
	for _, c := range []struct {
		age  gypsumtide.Millis
		want error
	}{
		{0, nil}, {-500, nil}, {-501, ErrAhead}, {600_000, nil}, {600_001, ErrExpired}, {-1_000_000_000, ErrAhead}, {now, ErrExpired},
	} {
		Convey(fmt.Sprintf("An id with a timestamp %d ms old", c.age), t, func() {
			So(errors.Is(r.Check(idWithTimestamp(now-c.age, 1), now), c.want), ShouldBeTrue)
		})
	}
}

// Guards against a lost or overwritten first answer, answers kept too long or
// discarded too early, ids discarded without raising the floor, and a memory bound
// that is exceeded.
func TestTable(t *testing.T) {
	Convey("a table", t, func() {
		answer := func(outcome gypsumtide.Outcome, bytes int) *wire.Answer {
			return &wire.Answer{Outcome: outcome, Results: []wire.TaskResult{{Status: 200, Body: make([]byte, bytes)}}}
		}
		table := NewTable(100, 1<<20)
		firstID, secondID := idWithTimestamp(1000, 1), idWithTimestamp(2000, 1)
		table.Add(firstID, 7, answer(gypsumtide.OutcomeComplete, 10), 50)
		Convey("keeps the first answer", func() {
			table.Add(firstID, 8, answer(gypsumtide.OutcomeFailed, 10), 60)
			r, ok := table.Find(firstID)
			So(ok, ShouldBeTrue)
			So(r.Digest(), ShouldEqual, 7)
			So(r.Outcome(), ShouldEqual, gypsumtide.OutcomeComplete)
			So(r.Answer(), ShouldNotBeNil)
			So(table.Len(), ShouldEqual, 1)
			_, ok = table.Find(secondID)
			So(ok, ShouldBeFalse)
		})
		Convey("discards answers after their retention and keeps the outcome", func() {
			table.Expire(150, 0)
			r, _ := table.Find(firstID)
			So(r.Answer(), ShouldNotBeNil)
			table.Expire(151, 0)
			r, ok := table.Find(firstID)
			So(ok, ShouldBeTrue)
			So(r.Answer(), ShouldBeNil)
			So(r.Outcome(), ShouldEqual, gypsumtide.OutcomeComplete)
			So(r.Digest(), ShouldEqual, 7)
		})
		Convey("discards old ids and raises the floor to the newest of them", func() {
			table.Add(secondID, 9, answer(gypsumtide.OutcomeFailed, 10), 60)
			So(table.Floor(), ShouldEqual, 0)
			table.Expire(60, 1001)
			So(table.Floor(), ShouldEqual, 1000)
			_, ok := table.Find(firstID)
			So(ok, ShouldBeFalse)
			_, ok = table.Find(secondID)
			So(ok, ShouldBeTrue)
			table.Expire(10_000, 5000)
			So(table.Len(), ShouldEqual, 0)
			So(table.Bytes(), ShouldEqual, 0)
		})
		Convey("discards an answer above its bound, but no ids and no other answers", func() {
			table.Add(secondID, 9, answer(gypsumtide.OutcomeComplete, 1<<20), 60)
			r, ok := table.Find(firstID)
			So(ok, ShouldBeTrue)
			So(r.Answer(), ShouldNotBeNil)
			r, ok = table.Find(secondID)
			So(ok, ShouldBeTrue)
			So(r.Answer(), ShouldBeNil)
			So(table.Floor(), ShouldEqual, 0)
		})
		Convey("stays within its bound and discards answers first", func() {
			smallTable := NewTable(1_000_000, 4*idOverhead)
			for i := range uint32(3) {
				smallTable.Add(idWithTimestamp(1000, i), 1, answer(gypsumtide.OutcomeComplete, 10_000), 1)
			}
			So(smallTable.Len(), ShouldEqual, 3)
			So(smallTable.Floor(), ShouldEqual, 0)
			r, _ := smallTable.Find(idWithTimestamp(1000, 0))
			So(r.Answer(), ShouldBeNil)
			for i := range uint32(100) {
				smallTable.Add(idWithTimestamp(gypsumtide.Millis(2000+i), 0), 1, answer(gypsumtide.OutcomeComplete, 0), 1)
				So(smallTable.Bytes(), ShouldBeLessThanOrEqualTo, 4*idOverhead)
			}
			So(smallTable.Len(), ShouldBeLessThanOrEqualTo, 4)
			So(smallTable.Floor(), ShouldBeGreaterThan, 2000)
		})
	})
}

// Guards against an added id that later counts as new, so that its job would run again:
// every added id must be found, or have a timestamp at or below the floor.
func TestDiscardedIDIsNeverNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(rapid.Custom(func(t *rapid.T) gypsumtide.Millis {
			return gypsumtide.Millis(rapid.IntRange(0, 50).Draw(t, "ms"))
		}).Draw(t, "retention"), int64(rapid.IntRange(0, 5_000).Draw(t, "bytes")))
		var added []gypsumtide.SubmissionID
		var now, floor gypsumtide.Millis
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += gypsumtide.Millis(rapid.IntRange(0, 20).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "expire") {
				table.Expire(now, gypsumtide.Millis(rapid.IntRange(0, 100).Draw(t, "oldest")))
			} else {
				id := idWithTimestamp(gypsumtide.Millis(rapid.IntRange(1, 100).Draw(t, "timestamp")), rapid.Uint32Range(0, 3).Draw(t, "n"))
				body := make([]byte, rapid.IntRange(0, 1_000).Draw(t, "body"))
				table.Add(id, 1, &wire.Answer{Outcome: gypsumtide.OutcomeComplete, Results: []wire.TaskResult{{Body: body}}}, now)
				added = append(added, id)
			}
			if table.Floor() < floor {
				t.Fatalf("floor fell from %d to %d", floor, table.Floor())
			}
			floor = table.Floor()
			for _, id := range added {
				if _, ok := table.Find(id); !ok && id.Timestamp() > floor {
					t.Fatalf("id %s was discarded although its timestamp is above the floor %d", id, floor)
				}
			}
			if table.Bytes() < 0 || table.Len() == 0 && table.Bytes() != 0 {
				t.Fatalf("Bytes is %d for %d ids", table.Bytes(), table.Len())
			}
		}
	})
}

// BenchmarkTableBytes measures the memory of an id with an empty answer and of one whose
// answer has been discarded, on which answerOverhead and idOverhead are based.
func BenchmarkTableBytes(b *testing.B) {
	const ids = 200_000
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heapBytes()
		table := NewTable(10_000, 1<<40)
		for i := range ids {
			table.Add(gypsumtide.SubmissionID(uuid.Must(uuid.NewV7())), 1, &wire.Answer{}, gypsumtide.Millis(i))
		}
		b.ReportMetric(float64(heapBytes()-before)/ids, "bytes/id-with-empty-answer")
		table.Expire(1<<40, 0)
		b.ReportMetric(float64(heapBytes()-before)/ids, "bytes/id")
		if table.Len() != ids {
			b.Fatal("ids are missing")
		}
	}
}
