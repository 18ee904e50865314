package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

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
