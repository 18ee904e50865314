package gypsumtide_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

func ExampleQueueRoute_Objective() {
	r := gypsumtide.QueueRoute{SlackFactor: 1.6, Allowance: 60}
	fmt.Println(r.Objective(100))
	// Output: 220
}

// Guards against a job that is routed to the service of another route.
func TestMatch(t *testing.T) {
	Convey("The host and the longest prefix select the route", t, func() {
		table := gypsumtide.NewRouteTable(1, []gypsumtide.QueueRoute{
			{Name: "a", Host: "h", Prefix: "/q/"}, {Name: "b", Host: "h", Prefix: "/q/x/"}, {Name: "c", Host: "i", Prefix: "/"},
		}, 1)
		So(table.Match("h", "/q/1").Name, ShouldEqual, "a")
		So(table.Match("h", "/q/x/1").Name, ShouldEqual, "b")
		So(table.Match("i", "/q/x/1").Name, ShouldEqual, "c")
		So(table.Match("h", "/other"), ShouldBeNil)
		So(table.Match("j", "/q/1"), ShouldBeNil)
	})
}
