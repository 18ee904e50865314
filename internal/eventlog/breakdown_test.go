package eventlog

import (
	"os"
	"strings"
)

// Guards against a breakdown that counts a late answer as in time, or a refusal as a
// failure, and against jobs that are left out of a dimension.
func ExampleBreakdown() {
	lines, _, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:00Z","msg":"start","node":"edge-1","zone":"north"}
{"time":"2026-01-01T00:00:00Z","msg":"start","node":"side-1","zone":"south"}
{"time":"2026-01-01T00:00:01Z","msg":"task-placed","node":"edge-1","worker":"side-1"}
{"time":"2026-01-01T00:00:01Z","msg":"job-answered","node":"edge-1","route":"quotes","outcome":"complete","took-ms":100,"objective-ms":100,"tasks":2}
{"time":"2026-01-01T00:00:01Z","msg":"job-answered","node":"edge-1","route":"quotes","outcome":"complete","took-ms":300,"objective-ms":100,"tasks":3}
{"time":"2026-01-01T00:00:01Z","msg":"job-answered","node":"edge-1","route":"orders","outcome":"not-run","took-ms":1,"objective-ms":100,"tasks":16}
{"time":"2026-01-01T00:00:01Z","msg":"job-answered","node":"edge-1","route":"orders","outcome":"failed","took-ms":9,"objective-ms":100,"tasks":17}
`))
	if err != nil {
		panic(err)
	}
	if err := NewBreakdown(lines).Write(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// by     group      jobs  in time  late   refused  failed  unknown  p50 ms  p99 ms
	// route  orders     2     0.000    0.000  0.500    0.500   0.000    0       0
	// route  quotes     2     0.500    0.500  0.000    0.000   0.000    100     100
	// tasks  0002-0003  2     0.500    0.500  0.000    0.000   0.000    100     100
	// tasks  0016-0031  2     0.000    0.000  0.500    0.500   0.000    0       0
	// zone   north      4     0.250    0.250  0.250    0.250   0.000    100     100
	// entry  edge-1     4     0.250    0.250  0.250    0.250   0.000    100     100
	// orders to zone "south": 1
}
