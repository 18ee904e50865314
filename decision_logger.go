package gypsumtide

// DecisionLogger writes a structured log line for each decision that affects a
// request or changes the state of a process. It never waits for the reader of the
// log, and may drop lines instead.
type DecisionLogger interface {
	// Decision writes a line of the given kind with alternating keys and values.
	Decision(kind string, keysAndValues ...any)
}
