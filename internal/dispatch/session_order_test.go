package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against a second run of a task: the run list of an older session, handled after that
// of a newer one, made an order sent in between count as never arrived.
func TestOlderSessionHandledLast(t *testing.T) {
	Convey("Given a task ordered on an agent's second session", t, func() {
		s := newTestState(1)
		So(s.BeginResume(workerID(0), wire.Resume{Complete: true, Session: 2}), ShouldBeTrue)
		s.Connected(0, workerID(0), wire.Resume{Complete: true, Session: 2})
		s.Submit(0, submission("a", 1, 50, 0))
		So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 1)

		Convey("The start of the first session is rejected", func() {
			So(s.BeginResume(workerID(0), wire.Resume{Complete: true, Session: 1}), ShouldBeFalse)
		})
		Convey("That of the third one is not", func() {
			So(s.BeginResume(workerID(0), wire.Resume{Complete: true, Session: 3}), ShouldBeTrue)
		})
	})
}

// Guards against a second order for a task whose first one was sent in the same frame in which the
// agent's list of runs was compared, and counted as never arrived.
func TestOrderDuringResume(t *testing.T) {
	Convey("A report that comes with the start of a session causes no order on that worker before the runs are compared", t, func() {
		s := newTestState(1)
		s.Submit(0, submission("a", 1, 50, 0))
		first := orderedRuns(s.TakeEffects())[workerID(0)]
		So(first, ShouldHaveLength, 1)
		resume := wire.Resume{Complete: false, Session: 2}
		So(s.BeginResume(workerID(0), resume), ShouldBeTrue)
		s.HandleReport(10, workerID(0), wire.RunReport{Ref: first[0], End: gypsumtide.EndFailed, Number: 1})
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.Connected(10, workerID(0), resume)
		s.Tick(20)
		So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 1)
	})
}
