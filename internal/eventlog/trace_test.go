package eventlog

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testLines = `{"time":"2026-01-01T00:00:00.002Z","msg":"run-sent","node":"side-1","run":"ab/0/0#1","waited-ms":0}
37.1 edge-1 {"time":"2026-01-01T00:00:00.001Z","msg":"task-placed","node":"edge-1","run":"ab/0/0#1","worker":"side-1"}
not a line
{"time":"2026-01-01T00:00:00.003Z","msg":"job-answered","node":"edge-1","job":"cd","outcome":"complete"}
{"time":"2026-01-01T00:00:00.090Z","msg":"job-answered","node":"edge-1","job":"ab","request":"r1","outcome":"not-run","reason":"not started in time"}
{"time":"2026-01-01T00:00:00.0`

// Guards against traces that lack lines or show them in the wrong order, and against a
// log that cannot be read because a line is truncated or is no decision line.
func TestTrace(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(testLines))

	Convey("Lines of several processes are merged, truncated lines and other output are counted", t, func() {
		So(err, ShouldBeNil)
		So(len(lines), ShouldEqual, 4)
		So(skipped, ShouldEqual, 2)
		var out strings.Builder
		n, err := WriteTrace(&out, lines, "ab")
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 3)
		byRequest, err := WriteTrace(&strings.Builder{}, lines, "r1")
		So(err, ShouldBeNil)
		So(byRequest, ShouldEqual, 3)
		text := out.String()
		So(strings.Index(text, "task-placed"), ShouldBeLessThan, strings.Index(text, "run-sent"))
		So(text, ShouldContainSubstring, "89 ms")
		So(text, ShouldContainSubstring, "reason=not started in time")
	})

	Convey("Outcomes are counted per second", t, func() {
		var out strings.Builder
		So(WriteSummary(&out, lines), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "1  not-run: not started in time")
		So(out.String(), ShouldContainSubstring, "1  complete")
	})
}

func ExampleWriteSummary() {
	lines, _, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:07Z","msg":"job-answered","outcome":"complete"}`))
	if err != nil {
		panic(err)
	}
	if err := WriteSummary(os.Stdout, lines); err != nil {
		panic(err)
	}
	// Output: 00:00:07      1  complete
}
