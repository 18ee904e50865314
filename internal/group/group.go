// Package group runs goroutines that start and stop together.
package group

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"golang.org/x/sync/errgroup"
)

// ErrPanic marks the end of a goroutine by a panic.
var ErrPanic = errors.New("panic")

// Go starts fn and returns a channel that receives its result once. The owner
// must read the channel before it ends.
func Go(ctx context.Context, fn func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- fmt.Errorf("%w: %v\n%s", ErrPanic, p, debug.Stack())
			}
		}()
		done <- fn(ctx)
	}()
	return done
}

// Group stops all its members when one of them ends with an error.
type Group struct {
	eg  *errgroup.Group
	ctx context.Context
}

// New returns a Group whose members run until ctx is done.
func New(ctx context.Context) *Group {
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{eg: eg, ctx: ctx}
}

// Context is done when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Add starts a member. Its end is reported to the group with its name as the step.
func (g *Group) Add(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := <-Go(g.ctx, fn)
		if err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("%s: %w", name, err)
		}
		return err
	})
}

// Wait returns the first error after all members have ended. A stop by the
// context is no error.
func (g *Group) Wait() error {
	err := g.eg.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
