package settings

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAgent guards against defaults that are rejected, and against invalid settings of
// the agent that are accepted or of which only the first is reported.
func TestAgent(t *testing.T) {
	load := func(text string) error {
		path := filepath.Join(t.TempDir(), "agent.yaml")
		So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
		return Load(path, DefaultAgent())
	}
	Convey("the defaults are valid", t, func() {
		So(Load("", DefaultAgent()), ShouldBeNil)
		So(load(""), ShouldBeNil)
		So(load("name: a\nqueue-length: 0\nejection: {probes: 1}\n"), ShouldBeNil)
	})
	cases := []struct {
		text string
		want []string
	}{
		{"entries: []", []string{"entries: must name"}},
		{"entries: [\"tcp://a\", \":\"]", []string{`"tcp://a" is not`, `":" is not`}},
		{"slots: 0\nreserve-short-percent: 91", []string{"slots: 0 is outside", "reserve-short-percent: 91 is outside"}},
		{"credit-ms: 1001", []string{"credit-ms: 1001 ms is outside"}},
		{"heartbeat-ms: 800", []string{"silence-ms: 1500 ms is outside", "credit-ms: 1000 ms is outside"}},
		{"result-retention-ms: 700000", []string{"result-retention-ms: 700000 ms is outside"}},
		{"ejection: {min-results: 65, back-off-ms: 5, failure-percent: 0}", []string{"ejection.min-results", "ejection.back-off", "ejection.failure-percent"}},
		{"listen: 192.0.2.1:1", []string{"listen: 192.0.2.1 is not loopback"}},
		{"queue_length: 3", []string{"queue_length"}},
	}
	for _, c := range cases {
		Convey("rejected: "+c.text, t, func() {
			err := load(c.text)
			So(err, ShouldNotBeNil)
			for _, want := range c.want {
				So(err.Error(), ShouldContainSubstring, want)
			}
		})
	}
}
