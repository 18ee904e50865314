// Package operator holds the HTTP interface for operators and its client.
package operator

import (
	"context"
	"errors"

	"gypsumtide"
	"gypsumtide/internal/object"
)

// Configuration reads and publishes the configuration. *object.Publisher
// implements it.
type Configuration interface {
	// Ready reports whether the revision in force is known.
	Ready() bool
	Current() object.Revision
	History() []object.HistoryEntry
	Publish(ctx context.Context, base uint64, objects []byte, author string) (revision uint64, err error)
}

var _ Configuration = (*object.Publisher)(nil)

// Backend is the part of the entry that knows the nodes.
type Backend interface {
	// Nodes lists the entries and agents that this entry knows.
	Nodes(ctx context.Context) ([]Node, error)
	// Drain tells a node to finish its work and take no more. It returns when
	// the node has been told.
	Drain(ctx context.Context, name string) error
	// Retire records that the host of an agent is gone. It returns when the
	// record is in the log.
	Retire(ctx context.Context, name string) error
}

// Errors that a Backend wraps. Errors that wrap gypsumtide.ErrAppendOutcomeUnknown
// or context.DeadlineExceeded are told as time-outs.
var (
	// ErrUnknownNode means that no node has the name.
	ErrUnknownNode = errors.New("unknown node")
	// ErrRefused means that the node's state does not permit the action, such
	// as the retirement of an agent that is alive.
	ErrRefused = errors.New("refused")
	// ErrUnavailable means that the action is not possible at the moment.
	ErrUnavailable = errors.New("unavailable")
)

// Node is an entry or an agent.
type Node struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Rack        string `json:"rack,omitempty"`
	URL         string `json:"url,omitempty"`
	// State is a word such as live, missing, draining, left or retired.
	State string `json:"state"`
	// Revision is the configuration in force at the node, as far as known.
	Revision uint64 `json:"revision"`
	// Shards counts the shards that an entry is home for.
	Shards int `json:"shards,omitempty"`
	// Slots, Running and Queued are those of an agent.
	Slots   int `json:"slots,omitempty"`
	Running int `json:"running,omitempty"`
	Queued  int `json:"queued,omitempty"`
	// LastMessageAge is the time since the last message in milliseconds.
	LastMessageAge gypsumtide.Millis `json:"heard-ago-ms"`
	Upstreams      []string          `json:"upstreams,omitempty"`
}
