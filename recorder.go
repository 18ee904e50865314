package gypsumtide

// Recorder writes one structured line for each decision that touches a request
// or changes what a process believes. It never blocks.
type Recorder interface {
	// Decision writes a line of a kind with alternating keys and values.
	Decision(kind string, keysAndValues ...any)
}
