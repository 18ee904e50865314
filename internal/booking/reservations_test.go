package booking

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
)

// Guards against reservations that are never released, which would permanently
// reduce the usable capacity of a worker.
func TestReservationsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reservations := New()
		capacity := gypsumtide.Size{Processors: 16000, Memory: 4096, Accelerators: 2}
		reservations.SetCapacity(capacity)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			ref := gypsumtide.RunRef{Task: gypsumtide.TaskName{Index: rapid.IntRange(0, 20).Draw(t, "task")}, Number: 1}
			size := gypsumtide.Size{Processors: rapid.Int64Range(0, 9000).Draw(t, "processors"), Memory: rapid.Int64Range(0, 2000).Draw(t, "memory")}
			if rapid.Bool().Draw(t, "reserve") {
				reservations.Reserve(ref, size)
			} else {
				reservations.Release(ref)
			}
			if !reservations.Used().AtMost(capacity) {
				t.Fatalf("reservations of %+v exceed the capacity of %+v", reservations.Used(), capacity)
			}
		}
		for i := range 21 {
			reservations.Release(gypsumtide.RunRef{Task: gypsumtide.TaskName{Index: i}, Number: 1})
		}
		if reservations.Used() != (gypsumtide.Size{}) || reservations.Len() != 0 {
			t.Fatalf("%d reservations of %+v are left", reservations.Len(), reservations.Used())
		}
	})
}

// Guards against a second reservation for the same run, since a release would free
// only one of them.
func TestReserveTwice(t *testing.T) {
	Convey("A run can have only one reservation", t, func() {
		reservations := New()
		reservations.SetCapacity(gypsumtide.Size{Processors: 4000, Memory: 100})
		ref := gypsumtide.RunRef{Number: 1}
		So(reservations.Reserve(ref, gypsumtide.Size{Processors: 1000}), ShouldBeTrue)
		So(reservations.Reserve(ref, gypsumtide.Size{Processors: 1000}), ShouldBeFalse)
		reservations.Release(ref)
		So(reservations.Used(), ShouldResemble, gypsumtide.Size{})
	})
}
