package agent

import (
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/upstream"
	"gypsumtide/internal/wire"
)

// TestReserveFollowsPools guards against an agent that reserves more slots for short
// tasks than the pool of its availability zone, so that long tasks wait in the agent's
// queue for a slot that the home counts as free.
func TestReserveFollowsPools(t *testing.T) {
	cases := []struct {
		name    string
		objects string
		// maxLong is the number of the 4 slots that long tasks can use.
		maxLong int
	}{
		{"no configuration", "", 3},
		{"default pool without reserve", "kind: pool\nname: default\nreserve-short-percent: 0\n", 4},
		{"larger reserve of another zone's pool", "kind: pool\nname: far\navailability-zones: [elsewhere]\nreserve-short-percent: 75\n", 3},
		{"default pool with half of the slots reserved", "kind: pool\nname: default\nreserve-short-percent: 50\n", 2},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			a, err := New(settings.DefaultAgent(), logr.Discard(), gypsumtide.NewSystemClock())
			So(err, ShouldBeNil)
			_, err = a.registry.Announce(upstream.Announcement{Name: "u", URL: "http://127.0.0.1:1", Services: []string{"s"}, Slots: 4})
			So(err, ShouldBeNil)
			if c.objects != "" {
				So(a.applyConfig(&wire.Config{Revision: 1, Objects: []byte(c.objects)}), ShouldBeNil)
			}
			// Slots are reserved only after a recent short task.
			a.registry.Acquire("s", gypsumtide.ClassShort).Cancel()
			n := 0
			for a.registry.Acquire("s", gypsumtide.ClassLong) != nil {
				n++
			}
			So(n, ShouldEqual, c.maxLong)
		})
	}
}
