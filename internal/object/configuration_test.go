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

const poolText = "kind: pool\nname: p\n"

func mustEncode(p PublishRecord) []byte {
	data, err := p.Encode()
	So(err, ShouldBeNil)
	return data
}

// TestConfigurationState guards against nodes that derive different revisions from the
// same stream, also after a restored snapshot.
func TestConfigurationState(t *testing.T) {
	first := PublishRecord{ID: journal.ID{1}, Base: 0, Objects: []byte(poolText), Author: "ann", Time: 7}
	for _, c := range []struct {
		name       string
		record     PublishRecord
		revision   uint64
		accepted   bool
		parseError bool
		pools      int
	}{
		{"next revision", PublishRecord{ID: journal.ID{2}, Base: 1}, 2, true, false, 1},
		{"base already replaced", PublishRecord{ID: journal.ID{2}, Base: 0}, 1, false, false, 2},
		{"base not published yet", PublishRecord{ID: journal.ID{2}, Base: 2}, 1, false, false, 2},
		{"repeated record", PublishRecord{ID: journal.ID{1}, Base: 1}, 1, true, false, 2},
		{"text that this version cannot parse", PublishRecord{ID: journal.ID{2}, Base: 1, Objects: []byte("kind: new\n")}, 2, true, true, 2},
	} {
		Convey("Publish: "+c.name, t, func() {
			state := NewConfigurationState()
			state.Apply(0, mustEncode(first))
			state.Apply(1, mustEncode(c.record))
			So(state.Current().Number(), ShouldEqual, c.revision)
			So(state.Current().Err() != nil, ShouldEqual, c.parseError)
			So(state.Current().Set().Pools(), ShouldHaveLength, c.pools)
			result, ok := state.Result(c.record.ID)
			So(ok, ShouldBeTrue)
			So(result.Accepted, ShouldEqual, c.accepted)
			So(result.Revision, ShouldEqual, c.revision)
		})
	}
	Convey("Given a state with a full history", t, func() {
		state := NewConfigurationState()
		for i := range historyLength + 10 {
			state.Apply(uint64(i), mustEncode(PublishRecord{ID: journal.ID{byte(i), 1}, Base: uint64(i), Objects: fmt.Appendf(nil, "# %d\n", i)}))
		}
		Convey("it keeps the most recent publishes", func() {
			h := state.History()
			So(h, ShouldHaveLength, historyLength)
			So(h[len(h)-1].Revision, ShouldEqual, historyLength+10)
			_, ok := state.Result(journal.ID{0, 1})
			So(ok, ShouldBeFalse)
		})
		Convey("restoring its snapshot yields the same state", func() {
			data, err := state.Snapshot()
			So(err, ShouldBeNil)
			restored := NewConfigurationState()
			So(restored.Restore(data), ShouldBeNil)
			So(restored.History(), ShouldResemble, state.History())
			So(restored.Current().Number(), ShouldEqual, state.Current().Number())
			So(string(restored.Current().Objects()), ShouldEqual, "# 109\n")
		})
		Convey("it rejects", func() {
			older, err := NewConfigurationState().Snapshot()
			So(err, ShouldBeNil)
			other := NewConfigurationState()
			other.current = Revision{number: state.Current().Number(), objects: []byte("# other\n"), set: Default()}
			sameNumber, err := other.Snapshot()
			So(err, ShouldBeNil)
			for name, data := range map[string][]byte{"an older snapshot": older, "different objects for the same revision": sameNumber, "garbage": []byte("garbage")} {
				Convey(name, func() {
					So(state.Restore(data), ShouldNotBeNil)
					So(state.Current().Number(), ShouldEqual, historyLength+10)
					So(state.History(), ShouldHaveLength, historyLength)
				})
			}
		})
	})
}

// FuzzConfigurationState guards against records that crash a node, and against state
// that is not the same after a snapshot is restored.
func FuzzConfigurationState(f *testing.F) {
	for i, base := range []uint64{0, 0, 1} {
		data, err := PublishRecord{ID: journal.ID{byte(i + 1)}, Base: base, Objects: []byte(poolText)}.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		state := NewConfigurationState()
		state.Apply(0, a)
		before := state.Current().Number()
		state.Apply(1, b)
		if n := state.Current().Number(); n < before || n > before+1 || state.Current().Set() == nil {
			t.Fatalf("revision changed from %d to %d", before, n)
		}
		data, err := state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewConfigurationState()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		again, err := restored.Snapshot()
		if err != nil || string(again) != string(data) {
			t.Fatalf("snapshot of the restored state differs: %x, then %x, error %v", data, again, err)
		}
		_ = NewConfigurationState().Restore(a)
	})
}

// newTestPublisher returns a publisher whose follower has not been started.
func newTestPublisher(log *platformlog.LocalServer) *Publisher {
	state, clock := NewConfigurationState(), gypsumtide.NewSystemClock()
	follower := journal.NewFollower(journal.NewClient(log.URL(), &http.Client{}, 100), "configuration", state, clock, logr.Discard())
	return NewPublisher(follower, state, clock)
}

// TestPublisher guards against a publish that is reported with the wrong result, also
// while the log is faulty. The publisher reaches the log over HTTP.
func TestPublisher(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platformlog.Faults
		base   uint64
		text   string
		// race makes another node publish with the same base first. The publisher
		// may not have read that record yet.
		race     bool
		revision uint64
		want     error
	}{
		{name: "accepted", text: poolText, revision: 1},
		{name: "accepted, response lost", text: poolText, faults: platformlog.Faults{LoseAnswers: 1}, revision: 1},
		{name: "another publish with the same base came first", text: poolText, race: true, want: ErrConflict},
		{name: "base not published yet", text: poolText, base: 4, want: ErrConflict},
		{name: "log hangs", text: poolText, faults: platformlog.Faults{Hang: true}, want: gypsumtide.ErrAppendOutcomeUnknown},
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
				// The follower of the publisher is started afterwards, so it may not
				// have read this publish yet when Publish is called below.
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
