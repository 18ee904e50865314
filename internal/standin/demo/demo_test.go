package demo

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/standin/load"
)

// Guards against demo loads that the settings check of the load tool rejects.
func TestLoads(t *testing.T) {
	Convey("Both loads are valid once they have targets", t, func() {
		for _, l := range []*load.Config{quietLoad(Default()), mixedLoad(Default())} {
			l.Targets = []string{"http://127.0.0.1:7001"}
			So(l.Check(), ShouldBeEmpty)
		}
	})
}

func Example_writeOverhead() {
	rep := &load.Report{
		Classes: map[string]*load.ClassReport{"stock-check": {Response: load.Quantiles{P50: 52.5, P99: 55}}},
		Direct:  &load.DirectReport{Response: load.Quantiles{P50: 51, P99: 52}},
	}
	if err := writeOverhead(os.Stdout, "without other load", rep); err != nil {
		panic(err)
	}
	// Output: overhead of the dispatcher for a task of 50 ms, without other load: median +1.50 ms (52.50, direct 51.00), p99 +3.00 ms (55.00, direct 52.00)
}
