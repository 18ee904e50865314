package booking

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
)

// Guards against reservations that are never released, which would permanently
// reduce the usable capacity of a worker.
func TestBookReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		capacity := gypsumtide.Size{Processors: 16000, Memory: 4096, Accelerators: 2}
		b.SetCapacity(capacity)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			ref := gypsumtide.RunRef{Task: gypsumtide.TaskName{Index: rapid.IntRange(0, 20).Draw(t, "task")}, Number: 1}
			size := gypsumtide.Size{Processors: rapid.Int64Range(0, 9000).Draw(t, "processors"), Memory: rapid.Int64Range(0, 2000).Draw(t, "memory")}
			if rapid.Bool().Draw(t, "reserve") {
				b.Reserve(ref, size)
			} else {
				b.Release(ref)
			}
			if !b.Used().AtMost(capacity) {
				t.Fatalf("reserved %+v of %+v", b.Used(), capacity)
			}
		}
		for i := range 21 {
			b.Release(gypsumtide.RunRef{Task: gypsumtide.TaskName{Index: i}, Number: 1})
		}
		if b.Used() != (gypsumtide.Size{}) || b.Len() != 0 {
			t.Fatalf("%d reservations of %+v are left", b.Len(), b.Used())
		}
	})
}

// Guards against a second reservation for the same run, since a release would free
// only one of them.
func TestReserveTwice(t *testing.T) {
	Convey("A run can be reserved only once", t, func() {
		b := New()
		b.SetCapacity(gypsumtide.Size{Processors: 4000, Memory: 100})
		ref := gypsumtide.RunRef{Number: 1}
		So(b.Reserve(ref, gypsumtide.Size{Processors: 1000}), ShouldBeTrue)
		So(b.Reserve(ref, gypsumtide.Size{Processors: 1000}), ShouldBeFalse)
		b.Release(ref)
		So(b.Used(), ShouldResemble, gypsumtide.Size{})
	})
}
