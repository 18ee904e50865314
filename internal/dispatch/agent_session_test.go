package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against notices that fill the links of a large fleet, since every entry sent its
// list of entries to every agent twice a second.
func TestNotify(t *testing.T) {
	s := &agentSession{Session: &wire.Session{}}
	sent := func(now gypsumtide.Millis, n agentNotice) bool {
		s.notify(now, n)
		written := false
		s.Update(func(f *wire.Frame) {
			written = f.Entries != nil
			f.Entries, f.ReportInterval, f.Workers = nil, 0, 0
		})
		return written
	}
	Convey("A notice is sent when it changes, and seldom otherwise", t, func() {
		So(sent(0, agentNotice{[]string{"a"}, 10, 50}), ShouldBeTrue)
		So(sent(500, agentNotice{[]string{"a"}, 10, 50}), ShouldBeFalse)
		So(sent(1000, agentNotice{[]string{"a", "b"}, 10, 50}), ShouldBeTrue)
		So(sent(1500, agentNotice{[]string{"a", "b"}, 11, 55}), ShouldBeFalse)
		So(sent(2000, agentNotice{[]string{"a", "b"}, 20, 55}), ShouldBeTrue)
		So(sent(2500, agentNotice{[]string{"a", "b"}, 20, 1}), ShouldBeTrue)
		So(sent(2500+resendNoticeInterval, agentNotice{[]string{"a", "b"}, 20, 1}), ShouldBeTrue)
	})
}
