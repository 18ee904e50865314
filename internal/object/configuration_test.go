package object

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/standin/platformlog"
)

const poolP = "kind: pool\nname: p\n"

func mustEncode(p PublishRecord) []byte {
	data, err := p.Encode()
	So(err, ShouldBeNil)
	return data
}

// TestConfigurationState guards against nodes that derive different revisions from the
// same stream, also after a restored snapshot.
func TestConfigurationState(t *testing.T) {
	first := PublishRecord{ID: journal.ID{1}, Base: 0, Objects: []byte(poolP), Author: "ann", Time: 7}
	for _, c := range []struct {
		name       string
		record     PublishRecord
		revision   uint64
		accepted   bool
		unreadable bool
		pools      int
	}{
		{"next revision", PublishRecord{ID: journal.ID{2}, Base: 1}, 2, true, false, 1},
		{"same base", PublishRecord{ID: journal.ID{2}, Base: 0}, 1, false, false, 2},
		{"base ahead", PublishRecord{ID: journal.ID{2}, Base: 2}, 1, false, false, 2},
		{"repeated record", PublishRecord{ID: journal.ID{1}, Base: 1}, 1, true, false, 2},
		{"text that this version cannot parse", PublishRecord{ID: journal.ID{2}, Base: 1, Objects: []byte("kind: new\n")}, 2, true, true, 2},
	} {
		Convey("Publish: "+c.name, t, func() {
			p := NewConfigurationState()
			p.Apply(0, mustEncode(first))
			p.Apply(1, mustEncode(c.record))
			So(p.Current().Number(), ShouldEqual, c.revision)
			So(p.Current().Err() != nil, ShouldEqual, c.unreadable)
			So(p.Current().Set().Pools(), ShouldHaveLength, c.pools)
			result, ok := p.Result(c.record.ID)
			So(ok, ShouldBeTrue)
			So(result.Accepted, ShouldEqual, c.accepted)
			So(result.Revision, ShouldEqual, c.revision)
		})
	}
	Convey("Given a state with a full history", t, func() {
		p := NewConfigurationState()
		for i := range historyLength + 10 {
			p.Apply(uint64(i), mustEncode(PublishRecord{ID: journal.ID{byte(i), 1}, Base: uint64(i), Objects: fmt.Appendf(nil, "# %d\n", i)}))
		}
		Convey("it keeps the most recent publishes", func() {
			h := p.History()
			So(h, ShouldHaveLength, historyLength)
			So(h[len(h)-1].Revision, ShouldEqual, historyLength+10)
			_, ok := p.Result(journal.ID{0, 1})
			So(ok, ShouldBeFalse)
		})
		Convey("restoring its snapshot yields the same state", func() {
			data, err := p.Snapshot()
			So(err, ShouldBeNil)
			q := NewConfigurationState()
			So(q.Restore(data), ShouldBeNil)
			So(q.History(), ShouldResemble, p.History())
			So(q.Current().Number(), ShouldEqual, p.Current().Number())
			So(string(q.Current().Objects()), ShouldEqual, "# 109\n")
		})
		Convey("it rejects", func() {
			older, err := NewConfigurationState().Snapshot()
			So(err, ShouldBeNil)
			other := NewConfigurationState()
			other.current = Revision{number: p.Current().Number(), objects: []byte("# other\n"), set: Default()}
			sameNumber, err := other.Snapshot()
			So(err, ShouldBeNil)
			for name, data := range map[string][]byte{"an older snapshot": older, "different objects for the same revision": sameNumber, "garbage": []byte("garbage")} {
				Convey(name, func() {
					So(p.Restore(data), ShouldNotBeNil)
					So(p.Current().Number(), ShouldEqual, historyLength+10)
					So(p.History(), ShouldHaveLength, historyLength)
				})
			}
		})
	})
}

// FuzzConfigurationState guards against records that crash a node, and against state
// that is not the same after a snapshot is restored.
func FuzzConfigurationState(f *testing.F) {
	for i, base := range []uint64{0, 0, 1} {
		data, err := PublishRecord{ID: journal.ID{byte(i + 1)}, Base: base, Objects: []byte(poolP)}.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		p := NewConfigurationState()
		p.Apply(0, a)
		before := p.Current().Number()
		p.Apply(1, b)
		if n := p.Current().Number(); n < before || n > before+1 || p.Current().Set() == nil {
			t.Fatalf("revision changed from %d to %d", before, n)
		}
		data, err := p.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		q := NewConfigurationState()
		if err := q.Restore(data); err != nil {
			t.Fatal(err)
		}
		again, err := q.Snapshot()
		if err != nil || string(again) != string(data) {
			t.Fatalf("snapshot of the restored state differs: %x, then %x, error %v", data, again, err)
		}
		_ = NewConfigurationState().Restore(a)
	})
}

// newTestPublisher returns a publisher whose follower has not been started.
func newTestPublisher(log *platformlog.LocalServer) *Publisher {
	p, clock := NewConfigurationState(), gypsumtide.NewSystemClock()
	follower := journal.New(journal.NewClient(log.URL(), &http.Client{}, 100), "configuration", p, clock, logr.Discard())
	return NewPublisher(follower, p, clock)
}

// TestPublisher guards against a wrong result of a publish while the log, reached over
// HTTP, is faulty.
func TestPublisher(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platformlog.Faults
		base   uint64
		text   string
		// race makes another node publish over the same base first, before the
		// publisher has read that record.
		race     bool
		revision uint64
		want     error
	}{
		{name: "accepted", text: poolP, revision: 1},
		{name: "accepted, response lost", text: poolP, faults: platformlog.Faults{LoseAnswers: 1}, revision: 1},
		{name: "lost the race", text: poolP, race: true, want: ErrConflict},
		{name: "base ahead", text: poolP, base: 4, want: ErrConflict},
		{name: "log hangs", text: poolP, faults: platformlog.Faults{Hang: true}, want: gypsumtide.ErrAppendOutcomeUnknown},
		{name: "invalid", text: "kind: x\n", want: Errors{}},
	} {
		Convey("Publisher: "+c.name, t, func() {
			log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 1 << 20})
			So(err, ShouldBeNil)
			defer func() { So(log.Stop(), ShouldBeNil) }()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			publisher := newTestPublisher(log)
			if c.race {
				// The follower of the publisher is started afterwards, so it has not
				// read this publish yet.
				other := newTestPublisher(log)
				done := group.Go(ctx, other.follower.Run)
				_, err := other.Publish(ctx, 0, nil, "first")
				So(err, ShouldBeNil)
				defer func() { <-done }()
			}
			done := group.Go(ctx, publisher.follower.Run)
			defer func() { cancel(); <-done }()
			So(log.SetFaults(c.faults), ShouldBeNil)
			pctx, pcancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer pcancel()
			revision, err := publisher.Publish(pctx, c.base, []byte(c.text), "ann")
			So(revision, ShouldEqual, c.revision)
			var errs Errors
			if errors.As(c.want, &errs) {
				So(errors.As(err, &errs), ShouldBeTrue)
				return
			}
			So(errors.Is(err, c.want), ShouldBeTrue)
			So(publisher.Current().Number() == c.revision, ShouldEqual, !c.race)
		})
	}
}
