package wire

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

func orderOf(job string, index int, spec string) Order {
	return Order{Ref: gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: job, Index: index}, Number: 1}, Spec: spec}
}

// testSpec returns a text of the length that is as compressible as encoded random bytes.
func testSpec(n int) string {
	const letters = "abcdefghijklmnop"
	random := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	for range n {
		b.WriteByte(letters[random.IntN(len(letters))])
	}
	return b.String()
}

// encodedSize returns the size of a frame with the orders.
func encodedSize(orders []Order) int {
	data, err := Marshal(&Frame{Orders: orders})
	So(err, ShouldBeNil)
	return len(data)
}

// Guards against a task that is started with another spec than its caller's, and against
// entries whose link is filled by copies of the spec of wide jobs: at 25 Mbit/s, jobs of 8
// tasks with 2,400 bytes each filled it at 130 jobs a second.
func TestSpecPacker(t *testing.T) {
	Convey("Given orders of two jobs to two agents", t, func() {
		a, b, short := testSpec(2400), testSpec(4000), "short"
		first := []Order{orderOf("a", 0, a), orderOf("b", 0, b), orderOf("a", 1, a), orderOf("c", 0, short), orderOf("c", 1, short), {Ref: orderOf("d", 0, "").Ref, Update: true}}
		second := []Order{orderOf("a", 2, a)}
		var p SpecPacker
		packedFirst, packedSecond := p.Pack(first), p.Pack(second)

		Convey("The agents restore every spec", func() {
			So(UnpackSpecs(packedFirst), ShouldBeNil)
			So(UnpackSpecs(packedSecond), ShouldBeNil)
			So(packedFirst, ShouldResemble, first)
			So(packedSecond, ShouldResemble, second)
		})
		Convey("A spec is sent once to an agent, and compressed", func() {
			So(encodedSize(packedFirst), ShouldBeLessThan, encodedSize(first)*4/10)
			So(encodedSize(packedSecond), ShouldBeLessThan, encodedSize(second)*6/10)
		})
		Convey("A frame that joins two updates is restored as well", func() {
			joined := append(packedFirst, packedSecond...)
			So(UnpackSpecs(joined), ShouldBeNil)
			So(joined, ShouldResemble, append(first, second...))
		})
	})
	Convey("Specs that cannot be restored are errors", t, func() {
		repeats := orderOf("a", 0, "")
		repeats.RepeatsSpec = true
		So(UnpackSpecs([]Order{orderOf("b", 0, "x"), repeats}), ShouldNotBeNil)
		odd := orderOf("a", 0, "")
		odd.CompressedSpec = []byte("odd")
		So(UnpackSpecs([]Order{odd}), ShouldNotBeNil)
		odd.CompressedSpec = specEncoder.EncodeAll(make([]byte, 2*maxSpecBytes), nil)
		So(UnpackSpecs([]Order{odd}), ShouldNotBeNil)
	})
}

func BenchmarkSpecPacker(b *testing.B) {
	orders := []Order{orderOf("a", 0, testSpec(2400))}
	for b.Loop() {
		var p SpecPacker
		if err := UnpackSpecs(p.Pack(orders)); err != nil {
			b.Fatal(err)
		}
	}
}
