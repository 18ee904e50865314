// Package queue orders the tasks that wait at a home, the entry that dispatches them,
// and estimates run times.
package queue

import (
	"fmt"

	"gypsumtide"
)

// The names of the queueing policies. Fair is the default, FIFO a baseline for
// comparison.
const (
	Fair = "fair"
	FIFO = "fifo"
)

// Cost returns the amount of service that a task takes, such as its expected run time.
// Only the ratio between tasks matters. It must be positive.
type Cost func(t *gypsumtide.Task) float64

// Option configures a queue.
type Option func(o *options)

type options struct {
	cost Cost
}

// WithCost divides the pool between teams by the cost of their tasks instead of by
// their number.
func WithCost(c Cost) Option { return func(o *options) { o.cost = c } }

// Names returns the names that New accepts.
func Names() []string { return []string{Fair, FIFO} }

// New returns an empty queue with the named policy. An empty name selects Fair. All
// tasks of a submission must have the same team. A deadline of 0 means none.
func New(name string, opts ...Option) (gypsumtide.Queue, error) {
	o := options{cost: func(*gypsumtide.Task) float64 { return 1 }}
	for _, set := range opts {
		set(&o)
	}
	switch name {
	case Fair, "":
		return newFair(o.cost), nil
	case FIFO:
		return newFIFO(), nil
	}
	return nil, fmt.Errorf("queue: unknown policy %q, known are %v", name, Names())
}
