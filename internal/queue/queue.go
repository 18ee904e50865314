// Package queue orders the tasks that wait at a home, and learns run times.
package queue

import (
	"fmt"

	"gypsumtide"
)

// The names of the policies. Fair is the default, FIFO the baseline.
const (
	Fair = "fair"
	FIFO = "fifo"
)

// Cost is the share of the pool that a task takes, such as its expected run
// time. Only the ratio between tasks counts. It must be positive.
type Cost func(t *gypsumtide.Task) float64

// Option changes a queue.
type Option func(o *options)

type options struct {
	cost Cost
}

// WithCost shares the pool between teams by the cost of their tasks and not
// by their number.
func WithCost(c Cost) Option { return func(o *options) { o.cost = c } }

// Names returns the names that New accepts.
func Names() []string { return []string{Fair, FIFO} }

// New returns an empty queue of that policy. An empty name selects Fair. All
// tasks of a submission have the same team. A deadline of 0 means none.
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
