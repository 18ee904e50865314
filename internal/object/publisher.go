package object

import (
	"context"
	"errors"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/journal"
)

// ErrConflict means that the base of a publish is not the revision in force.
var ErrConflict = errors.New("configuration conflict")

// ErrNoResult means that the record was read, but its result has left the history.
var ErrNoResult = errors.New("result of the publish has left the history")

// Publisher publishes to, and reads from, the configuration stream.
type Publisher struct {
	follower    *journal.Follower
	publication *ConfigurationState
	clock       gypsumtide.Clock
}

// NewPublisher returns a Publisher. The follower must fold into the publication.
func NewPublisher(follower *journal.Follower, publication *ConfigurationState, clock gypsumtide.Clock) *Publisher {
	return &Publisher{follower: follower, publication: publication, clock: clock}
}

// Ready reports whether the revision in force is known.
func (p *Publisher) Ready() bool { return p.follower.Ready() }

// Current returns the revision in force at this node.
func (p *Publisher) Current() Revision {
	var r Revision
	p.follower.View(func() { r = p.publication.Current() })
	return r
}

// History returns the newest publishes, the oldest first.
func (p *Publisher) History() []HistoryEntry {
	var h []HistoryEntry
	p.follower.View(func() { h = p.publication.History() })
	return h
}

// Publish checks the text, publishes it over the base revision and returns the
// new revision. The error is of type Errors if the text is invalid, or wraps ErrConflict, or
// gypsumtide.ErrAppendOutcomeUnknown if the publish may still take effect.
func (p *Publisher) Publish(ctx context.Context, base uint64, objects []byte, author string) (revision uint64, err error) {
	if _, err := Parse(File{Name: "objects", Data: objects}); err != nil {
		return 0, err
	}
	// A base below the revision in force can never become valid. One above it
	// may be: this node may lag behind the node that the publisher read from.
	if current := p.Current().Number(); base < current {
		return 0, conflict(base, current)
	}
	id := journal.NewID()
	record, err := PublishRecord{ID: id, Base: base, Objects: objects, Author: author, Time: p.clock.Wall()}.Encode()
	if err != nil {
		return 0, fmt.Errorf("object: publish: %w", err)
	}
	if err := p.follower.Append(ctx, id, record); err != nil {
		return 0, fmt.Errorf("object: publish: %w", err)
	}
	return p.result(id, base)
}

func (p *Publisher) result(id journal.ID, base uint64) (uint64, error) {
	var entry HistoryEntry
	var found bool
	p.follower.View(func() { entry, found = p.publication.Result(id) })
	if !found {
		return 0, fmt.Errorf("object: publish: %w", ErrNoResult)
	}
	if !entry.Accepted {
		return 0, conflict(base, entry.Revision)
	}
	return entry.Revision, nil
}

func conflict(base, current uint64) error {
	return fmt.Errorf("object: publish: %w: base revision is %d, revision %d is in force", ErrConflict, base, current)
}
