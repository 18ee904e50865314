package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against lists of entries that fill the links of a large fleet, since every entry
// sent its list to every agent twice a second.
func TestSendEntries(t *testing.T) {
	s := &agentSession{Session: &wire.Session{}}
	sent := func(now gypsumtide.Millis, entries []string, interval gypsumtide.Millis) bool {
		s.sendEntries(now, entries, interval)
		written := false
		s.Update(func(f *wire.Frame) {
			written = f.Entries != nil
			f.Entries, f.ReportInterval = nil, 0
		})
		return written
	}
	Convey("The entries and the report interval are sent when they change, and seldom otherwise", t, func() {
		So(sent(0, []string{"a"}, 10), ShouldBeTrue)
		So(sent(500, []string{"a"}, 10), ShouldBeFalse)
		So(sent(1000, []string{"a", "b"}, 10), ShouldBeTrue)
		So(sent(1500, []string{"a", "b"}, 11), ShouldBeFalse)
		So(sent(2000, []string{"a", "b"}, 20), ShouldBeTrue)
		So(sent(2000+resendEntriesInterval, []string{"a", "b"}, 20), ShouldBeTrue)
	})
}
