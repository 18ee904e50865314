package link

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

type testClock struct{ now gypsumtide.Millis }

func (c *testClock) Now() gypsumtide.Millis  { return c.now }
func (c *testClock) Wall() gypsumtide.Millis { return c.now }

// Guards against an odd record or message that adds addresses which can never be dialled,
// that never expire, or that exhaust memory.
func TestOddAddresses(t *testing.T) {
	Convey("Invalid addresses and records of the far past or future are ignored", t, func() {
		clock := &testClock{now: 2 * maxRecordAge}
		a := NewAddresses(nil, clock)
		for _, address := range []string{"", "h", "h:", ":1", "h:0", "h:65536", "h:99999", "h:-1", "h:1e3", "h/x:1", "u@h:1", "h h:1", "h:1:1", "\x00:1"} {
			a.Confirm(address)
			a.AddRecords([]gypsumtide.DirectoryRecord{{Address: address, Announced: clock.now}})
		}
		for _, announced := range []gypsumtide.Millis{math.MinInt64, -1, 0, clock.now + maxRecordAge, math.MaxInt64} {
			a.AddRecords([]gypsumtide.DirectoryRecord{{Address: "h:1", Announced: announced}})
		}
		So(a.List(), ShouldBeEmpty)
		a.AddRecords([]gypsumtide.DirectoryRecord{{Address: "h:65535", Announced: clock.now + 1}, {Address: "[::1]:1", Announced: clock.now}})
		So(a.List(), ShouldResemble, []string{"[::1]:1", "h:65535"})
	})
	Convey("The number of addresses is limited", t, func() {
		a := NewAddresses([]string{"seed:1"}, &testClock{now: 1})
		for i := range 2 * maxAddresses {
			a.Add(fmt.Sprintf("h%d:1", i))
		}
		So(a.List(), ShouldHaveLength, maxAddresses)
		So(a.Has("seed:1"), ShouldBeTrue)
	})
}

// Guards against a process that never stops dialling the addresses of replaced hosts.
func TestAddresses(t *testing.T) {
	Convey("Given a seed, an entry in contact and an address that was only received", t, func() {
		clock := &testClock{now: 1}
		a := NewAddresses([]string{"seed:1"}, clock)
		a.Add("alive:1")
		a.Add("gone:1")
		a.Add("")
		So(a.List(), ShouldResemble, []string{"alive:1", "gone:1", "seed:1"})
		So(a.Shareable(), ShouldResemble, []string{"alive:1", "gone:1", "seed:1"})

		Convey("An address without a contact is shared for a limited time", func() {
			clock.now += shareWindow
			a.Confirm("alive:1")
			a.Add("gone:1")
			So(a.Shareable(), ShouldResemble, []string{"alive:1", "seed:1"})
			So(a.List(), ShouldResemble, []string{"alive:1", "gone:1", "seed:1"})
		})
		Convey("An address without a contact is removed later, the seed and the entry in contact are not", func() {
			clock.now += addressTTL - 1
			a.Confirm("alive:1")
			clock.now++
			So(a.List(), ShouldResemble, []string{"alive:1", "seed:1"})
			So(a.Has("gone:1"), ShouldBeFalse)
			So(a.Has("seed:1"), ShouldBeTrue)
		})
		Convey("A directory record that is no longer renewed adds nothing", func() {
			clock.now = 2 * maxRecordAge
			a.AddRecords([]gypsumtide.DirectoryRecord{
				{Name: "a", Address: "renewed:1", Announced: clock.now - maxRecordAge + 1},
				{Name: "b", Address: "stale:1", Announced: clock.now - maxRecordAge},
			})
			So(a.Has("renewed:1"), ShouldBeTrue)
			So(a.Has("stale:1"), ShouldBeFalse)
		})
	})
	Convey("Two processes that share an address with each other still remove it", t, func() {
		clock := &testClock{now: 1}
		a, b := NewAddresses(nil, clock), NewAddresses(nil, clock)
		a.Add("gone:1")
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
