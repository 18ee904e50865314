package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against an older session or incarnation of an agent that takes the place of the
// newer one because its first frame is handled last.
func TestOlderSessionConnectsLast(t *testing.T) {
	cases := []struct {
		name                   string
		newer, older           string
		newerFirst, olderFirst gypsumtide.Millis
	}{
		{"an older session of the same incarnation", "a2", "a2", 20, 10},
		{"a session of an older incarnation", "a2", "a1", 20, 500},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			h, _, _, _ := newEligibleHome(t, 0, 1)
			newer, older := &wire.Session{}, &wire.Session{}
			record := func(incarnation string) wire.AgentRecord {
				return wire.AgentRecord{Name: "a", Incarnation: incarnation, Zone: "zone-1"}
			}
			conn := h.agentConnected(record(c.newer), newer, c.newerFirst, 0)
			So(h.agentConnected(record(c.older), older, c.olderFirst, 0), ShouldBeNil)
			So(h.agents[c.newer], ShouldEqual, conn)
			So(conn.lost, ShouldBeFalse)
			So(conn.session, ShouldEqual, newer)
			So(h.agentDisconnected(conn, older), ShouldBeFalse)
			So(conn.session, ShouldEqual, newer)
		})
	}
}
