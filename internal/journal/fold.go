// Package journal reads and appends the control streams in the platform's log
// and folds them into states on which all readers agree.
package journal

// StateMachine is a state computed from the records of one stream in offset order. It
// must depend on the records only, so that all readers agree. The Follower
// guards it with a lock.
type StateMachine interface {
	// Apply takes the next record. An invalid record must change nothing.
	Apply(offset uint64, data []byte)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state, or leaves it as it is and returns an error.
	Restore(data []byte) error
}
