package link

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

type testClock struct{ now gypsumtide.Millis }

func (c *testClock) Now() gypsumtide.Millis  { return c.now }
func (c *testClock) Wall() gypsumtide.Millis { return c.now }

// Guards against a process that never stops dialling the addresses of replaced hosts.
func TestAddresses(t *testing.T) {
	Convey("Given a seed, an entry in contact and an address that was only received", t, func() {
		clock := &testClock{now: 1}
		a := NewAddresses([]string{"seed"}, clock)
		a.Add("alive")
		a.Add("gone")
		a.Add("")
		So(a.List(), ShouldResemble, []string{"alive", "gone", "seed"})
		So(a.Shareable(), ShouldResemble, []string{"alive", "gone", "seed"})

		Convey("An address without a contact is shared for a limited time", func() {
			clock.now += shareWindow
			a.Confirm("alive")
			a.Add("gone")
			So(a.Shareable(), ShouldResemble, []string{"alive", "seed"})
			So(a.List(), ShouldResemble, []string{"alive", "gone", "seed"})
		})
		Convey("An address without a contact is removed later, the seed and the entry in contact are not", func() {
			clock.now += addressTTL - 1
			a.Confirm("alive")
			clock.now++
			So(a.List(), ShouldResemble, []string{"alive", "seed"})
			So(a.Has("gone"), ShouldBeFalse)
			So(a.Has("seed"), ShouldBeTrue)
		})
		Convey("A directory record that is no longer renewed adds nothing", func() {
			clock.now = 2 * maxRecordAge
			a.AddRecords([]gypsumtide.DirectoryRecord{
				{Name: "a", Address: "renewed", Announced: clock.now - maxRecordAge + 1},
				{Name: "b", Address: "stale", Announced: clock.now - maxRecordAge},
			})
			So(a.Has("renewed"), ShouldBeTrue)
			So(a.Has("stale"), ShouldBeFalse)
		})
	})
	Convey("Two processes that share an address with each other still remove it", t, func() {
		clock := &testClock{now: 1}
		a, b := NewAddresses(nil, clock), NewAddresses(nil, clock)
		a.Add("gone")
		for ; clock.now < 3*addressTTL; clock.now += 500 {
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
