package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const logLines = `{"time":"2026-01-01T00:00:01Z","msg":"job-answered","job":"a","outcome":"complete"}
{"time":"2026-01-01T00:00:02Z","msg":"job-answered","job":"b","outcome":"not-run","reason":"no worker is free in time"}
`

// Guards against an empty plot, and against a summary that silently ignores a
// file without decision lines.
func TestLogSummary(t *testing.T) {
	Convey("Given a log of two seconds", t, func() {
		dir := t.TempDir()
		log, plot := filepath.Join(dir, "a.log"), filepath.Join(dir, "a.svg")
		So(os.WriteFile(log, []byte(logLines), 0o600), ShouldBeNil)
		var out bytes.Buffer
		cmd := Gypsumctl()
		cmd.Writer = &out

		Convey("Outcomes are counted and drawn", func() {
			So(cmd.Run(context.Background(), []string{"gypsumctl", "log-summary", "--plot", plot, log}), ShouldBeNil)
			So(out.String(), ShouldContainSubstring, "1  not-run: no worker is free in time")
			data, err := os.ReadFile(plot)
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, "<svg")
			So(string(data), ShouldContainSubstring, "not-run: no worker is free in time")
		})
		Convey("A file without decision lines is an error", func() {
			So(os.WriteFile(log, []byte("nothing\n"), 0o600), ShouldBeNil)
			err := cmd.Run(context.Background(), []string{"gypsumctl", "log-summary", log})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "no decision lines")
		})
	})
}
