package object

import (
	"context"
	"errors"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/journal"
)

// ErrConflict means that the base of a publish is not the current revision.
var ErrConflict = errors.New("configuration conflict")

// ErrNoResult means that the record was read back from the stream, but its result is
// no longer in the history.
var ErrNoResult = errors.New("result of the publish has left the history")

// Publisher publishes to the configuration stream and returns its current state.
type Publisher struct {
	follower *journal.Follower
	state    *ConfigurationState
	clock    gypsumtide.Clock
}

// NewPublisher returns a Publisher. state must be the state machine of the follower.
func NewPublisher(follower *journal.Follower, state *ConfigurationState, clock gypsumtide.Clock) *Publisher {
	return &Publisher{follower: follower, state: state, clock: clock}
}

// Ready reports whether the current revision is known.
func (p *Publisher) Ready() bool { return p.follower.Ready() }

// Current returns the newest revision that this node has read.
func (p *Publisher) Current() Revision {
	var r Revision
	p.follower.View(func() { r = p.state.Current() })
	return r
}

// History returns the most recent publishes, oldest first.
func (p *Publisher) History() []HistoryEntry {
	var h []HistoryEntry
	p.follower.View(func() { h = p.state.History() })
	return h
}

// Publish validates the objects, publishes them as the successor of the base revision
// and returns the new revision. The error is of type Errors if the objects are
// invalid. It wraps
//   - ErrConflict if another revision is current,
//   - journal.ErrNotAppended if the publish has no effect because the log refused it or
//     could not be reached,
//   - gypsumtide.ErrAppendOutcomeUnknown if it may have taken effect or may still do so,
//   - ErrNoResult if it is not known whether it was accepted.
func (p *Publisher) Publish(ctx context.Context, base uint64, objects []byte, author string) (revision uint64, err error) {
	if _, err := Parse(File{Name: "objects", Data: objects}); err != nil {
		return 0, err
	}
	// A base below the current revision can never become valid again. A base above
	// it may be valid: this node may lag behind the node that the author read from.
	if current := p.Current().Number(); base < current {
		return 0, conflictError(base, current)
	}
	id := journal.NewID()
	record, err := PublishRecord{ID: id, Base: base, Objects: objects, Author: author, Time: p.clock.Wall()}.Encode()
	if err != nil {
		return 0, fmt.Errorf("object: publish: %w", err)
	}
	if err := p.follower.Append(ctx, id, record); err != nil {
		return 0, fmt.Errorf("object: publish: %w", err)
	}
	return p.publishResult(id, base)
}

// publishResult returns the new revision if the publish was accepted, or an error that
// wraps ErrConflict or ErrNoResult.
func (p *Publisher) publishResult(id journal.ID, base uint64) (uint64, error) {
	var entry HistoryEntry
	var found bool
	p.follower.View(func() { entry, found = p.state.Result(id) })
	if !found {
		return 0, fmt.Errorf("object: publish: %w", ErrNoResult)
	}
	if !entry.Accepted {
		return 0, conflictError(base, entry.Revision)
	}
	return entry.Revision, nil
}

func conflictError(base, current uint64) error {
	return fmt.Errorf("object: publish: %w: base revision is %d, revision %d is in force", ErrConflict, base, current)
}
