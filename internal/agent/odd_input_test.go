package agent

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against a task that starts although the sender may have lost its lease, because the
// echo overflows or was never sent.
func TestOddEcho(t *testing.T) {
	Convey("An agent refuses tasks with an echo that it cannot have sent", t, func() {
		f := newFixture(t, 1, nil)
		for i, echo := range []gypsumtide.Millis{math.MinInt64, -1, f.agent.clock.Now() + 60_000, math.MaxInt64} {
			d := dispatch(f.ref(uint32(i), 5), `{}`)
			f.entry.send(func(fr *wire.Frame) {
				fr.Dispatches = append(fr.Dispatches, d)
				fr.Echo = echo
			})
			r := f.entry.awaitResult(d.TaskRef, 1)
			So(r.State.String()+" "+r.Reason, ShouldEqual, "not-started "+wire.ReasonCreditExpired)
		}
		So(f.worker.Starts(), ShouldEqual, 0)
	})
}

// Guards against frames of an entry that end the agent, or after which it takes no newer
// configuration.
func TestOddFrame(t *testing.T) {
	Convey("An agent ignores or refuses odd messages", t, func() {
		f := newFixture(t, 1, nil)
		s := &entrySession{number: 1, sender: &wire.Session{}}
		ref := wire.TaskRef{Submission: gypsumtide.SubmissionID{1}, Task: math.MaxUint32, Epoch: math.MaxUint64}
		So(f.agent.handle(s, &wire.Frame{
			FenceRequests: []wire.ShardEpoch{{Shard: math.MaxUint16, Epoch: math.MaxUint64}}, Queries: []wire.TaskRef{ref},
			Recalls: []wire.TaskRef{ref}, Cancels: []wire.TaskRef{ref}, RecoveryRequests: []wire.RecoveryRequest{{Shard: math.MaxUint16}},
		}), ShouldBeNil)
		for _, odd := range []wire.Config{
			{Revision: math.MaxUint64}, {Revision: math.MaxInt64},
			{Revision: 1, Base: 1}, {Revision: 1, Base: 7, Prefix: -1}, {Revision: 1, Base: 7, Prefix: math.MaxInt, Suffix: math.MaxInt},
			{Revision: 1, Deflated: true, Objects: []byte{0xff}},
		} {
			So(f.agent.handle(s, &wire.Frame{Config: &odd}), ShouldNotBeNil)
		}
		So(f.agent.handle(s, &wire.Frame{Config: &wire.Config{Revision: 1}}), ShouldBeNil)
		So(f.agent.revision(), ShouldEqual, 1)
	})
}
