// Package operator implements the HTTP interface for operators and its client.
package operator

import (
	"context"
	"errors"

	"gypsumtide"
	"gypsumtide/internal/object"
)

// Configuration reads and publishes the configuration. It is implemented by
// *object.Publisher.
type Configuration interface {
	// Ready reports whether the current revision is known.
	Ready() bool
	Current() object.Revision
	History() []object.HistoryEntry
	Publish(ctx context.Context, base uint64, objects []byte, author string) (revision uint64, err error)
}

var _ Configuration = (*object.Publisher)(nil)

// Backend gives access to the nodes that an entry knows.
type Backend interface {
	// Nodes lists the entries and agents that this entry knows, without those that have
	// departed.
	Nodes(ctx context.Context) ([]Node, error)
	// Drain makes a node accept no new tasks and finish those it has. It returns once the
	// request has been added to the session with the node, without waiting for an answer
	// or for the tasks.
	Drain(ctx context.Context, name string) error
	// Retire records in the log that the host of an agent is permanently removed. It
	// returns once the record has been read back from the log.
	Retire(ctx context.Context, name string) error
}

// Errors that a Backend returns, usually wrapped. An error that wraps
// journal.ErrNotAppended is reported as ProblemUnavailable, and any other that wraps
// gypsumtide.ErrAppendOutcomeUnknown or context.DeadlineExceeded as
// ProblemOutcomeUnknown.
var (
	// ErrUnknownNode means that there is no node with the name.
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
	// State is ready, draining, unreachable or evacuated. An agent is evacuated if it
	// reports that it starts no tasks because its availability zone is evacuated.
	State string `json:"state"`
	// Revision is the configuration revision that the node last reported; 0 if
	// unknown.
	Revision uint64 `json:"revision"`
	// Shards is the number of shards that an entry owns.
	Shards int `json:"shards,omitempty"`
	// Slots, Running and Queued describe agents only. Running is the number of open tasks
	// of this entry at the agent, whether they run or wait there.
	Slots   int `json:"slots,omitempty"`
	Running int `json:"running,omitempty"`
	Queued  int `json:"queued,omitempty"`
	// LoadReportAge is the time since the last load report of an agent, in milliseconds.
	LoadReportAge gypsumtide.Millis `json:"heard-ago-ms"`
	Upstreams     []string          `json:"upstreams,omitempty"`
}
