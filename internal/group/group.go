// Package group runs goroutines with a common lifetime and turns their panics
// into errors.
package group

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"golang.org/x/sync/errgroup"
)

// ErrPanic is wrapped by the error of a goroutine that panicked.
var ErrPanic = errors.New("panic")

// Go runs fn in a goroutine and returns a channel that receives its result once.
// The component that starts the goroutine must receive the result before it stops,
// so that the goroutine does not outlive it.
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

// Group is a set of goroutines, its members. An error of one member cancels the
// context of all.
type Group struct {
	eg  *errgroup.Group
	ctx context.Context
}

// New returns a Group whose members run until ctx is done.
func New(ctx context.Context) *Group {
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{eg: eg, ctx: ctx}
}

// Context returns the context of the members, which is done when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Add starts a member. An error of the member, other than the cancellation of the
// context, is prefixed with the name.
func (g *Group) Add(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := <-Go(g.ctx, fn)
		if err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("%s: %w", name, err)
		}
		return err
	})
}

// AddRequest starts a member that serves one request. A panic ends only this member: failed
// receives it as an error, and the group continues.
func (g *Group) AddRequest(failed func(err error), fn func(ctx context.Context)) {
	g.eg.Go(func() error {
		err := <-Go(g.ctx, func(ctx context.Context) error {
			fn(ctx)
			return nil
		})
		if err != nil {
			failed(err)
		}
		return nil
	})
}

// Wait waits for all members to end and returns the first error. Cancellation of
// the context is not an error.
func (g *Group) Wait() error {
	err := g.eg.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
