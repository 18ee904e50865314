package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/wire"
)

// Guards against messages that gypsumtide_messages_total misses or counts twice.
func TestMessageCounters(t *testing.T) {
	Convey("each message in a frame is counted, and an empty frame counts as a heartbeat", t, func() {
		m := newEntryMetrics()
		m.countFrame(&wire.Frame{Dispatches: make([]wire.Dispatch, 3), Recalls: make([]wire.TaskRef, 2)})
		m.countFrame(&wire.Frame{Results: []wire.Result{{State: wire.TaskDone}, {State: wire.TaskNotStarted}}})
		m.countFrame(&wire.Frame{})
		want := map[string]uint64{"dispatch": 3, "recall": 2, "result": 1, "not-started": 1, "heartbeat": 1}
		for _, kind := range messageKinds {
			So(m.messages[kind].Get(), ShouldEqual, want[kind])
		}
	})
}
