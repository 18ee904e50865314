package placement

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against a slow start that never ends, or uses the workers fully at once.
func TestSlowStartShare(t *testing.T) {
	Convey("The share grows from a quarter to all within a second", t, func() {
		for elapsed, share := range map[gypsumtide.Millis]float64{-5: 0.25, 0: 0.25, 400: 0.55, 800: 0.85, 1000: 1, 5000: 1} {
			So(SlowStartShare(elapsed), ShouldAlmostEqual, share)
		}
	})
}
