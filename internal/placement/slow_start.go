package placement

import "gypsumtide"

// Parameters of the slow start.
const (
	// SlowStartTime is how long the agents of a zone whose evacuation has ended are not
	// used fully. Otherwise all homes would send their waiting tasks to the same empty
	// agents at once, before the first reports show the load.
	SlowStartTime gypsumtide.Millis = 1000
	// initialShare is the share of an agent's capacity that is used at the beginning.
	initialShare = 0.25
)

// SlowStartShare returns the share of an agent's capacity that is used at the given time
// after the end of the evacuation of its zone.
func SlowStartShare(elapsed gypsumtide.Millis) float64 {
	if elapsed >= SlowStartTime {
		return 1
	}
	return initialShare + (1-initialShare)*float64(max(0, elapsed))/float64(SlowStartTime)
}
