package link

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

type testClock struct{ now gypsumtide.Millis }

func (c *testClock) Now() gypsumtide.Millis  { return c.now }
func (c *testClock) Wall() gypsumtide.Millis { return c.now }

// Guards against addresses of replaced hosts that every process dials for the
// rest of its life.
func TestAddresses(t *testing.T) {
	Convey("Given a seed, an entry in contact and one that is only mentioned", t, func() {
		clock := &testClock{now: 1}
		a := NewAddresses([]string{"seed"}, clock)
		a.Add("alive")
		a.Add("gone")
		a.Add("")
		So(a.List(), ShouldResemble, []string{"alive", "gone", "seed"})
		So(a.Shareable(), ShouldResemble, []string{"alive", "gone", "seed"})

		Convey("A mention is told to others for a while only", func() {
			clock.now += vouchFor
			a.Confirm("alive")
			a.Add("gone")
			So(a.Shareable(), ShouldResemble, []string{"alive", "seed"})
			So(a.List(), ShouldResemble, []string{"alive", "gone", "seed"})
		})
		Convey("It is forgotten in the end, the seed and the entry in contact are not", func() {
			clock.now += forgetAfter - 1
			a.Confirm("alive")
			clock.now++
			So(a.List(), ShouldResemble, []string{"alive", "seed"})
			So(a.Has("gone"), ShouldBeFalse)
			So(a.Has("seed"), ShouldBeTrue)
		})
		Convey("A directory record that is no longer renewed adds nothing", func() {
			clock.now = 2 * recordTrust
			a.AddRecords([]gypsumtide.DirectoryRecord{
				{Name: "a", Address: "renewed", Announced: clock.now - recordTrust + 1},
				{Name: "b", Address: "stale", Announced: clock.now - recordTrust},
			})
			So(a.Has("renewed"), ShouldBeTrue)
			So(a.Has("stale"), ShouldBeFalse)
		})
	})
	Convey("Two processes that tell each other an address forget it all the same", t, func() {
		clock := &testClock{now: 1}
		a, b := NewAddresses(nil, clock), NewAddresses(nil, clock)
		a.Add("gone")
		for ; clock.now < 3*forgetAfter; clock.now += 500 {
			for _, s := range a.Shareable() {
				b.Add(s)
			}
			for _, s := range b.Shareable() {
				a.Add(s)
			}
		}
		So(a.List(), ShouldBeEmpty)
		So(b.List(), ShouldBeEmpty)
	})
}
