// Package journal reads and appends to the streams of the platform's log by which
// the nodes share control state, such as the configuration. Each reader applies the
// records of a stream in order to a state machine, so that all readers arrive at the
// same state.
package journal

// StateMachine is a state computed from the records of one stream in offset
// order. It must depend on nothing else, so that all readers agree. The Follower
// guards it with a lock.
type StateMachine interface {
	// Apply applies the next record. An invalid record must change nothing.
	Apply(offset uint64, data []byte)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot encoded. On an error it
	// leaves the state unchanged.
	Restore(data []byte) error
}
