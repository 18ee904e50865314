package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	"gypsumtide"
	"gypsumtide/internal/group"
)

const (
	// pollWait keeps the sending time of a long poll well below the home lease of 800 ms.
	pollWait gypsumtide.Millis = 200
	// DefaultRetention is assumed for the log's retention unless SetRetention is called.
	DefaultRetention gypsumtide.Millis = 60 * 60 * 1000
)

// ErrNotReady means that the follower has no state to hand out yet.
var ErrNotReady = errors.New("stream not read yet")

// Follower tails one stream into a Fold.
type Follower struct {
	log       gypsumtide.Log
	stream    string
	fold      StateMachine
	clock     gypsumtide.Clock
	logger    logr.Logger
	retention gypsumtide.Millis
	counters  *counters

	mu       sync.RWMutex
	ids      *seenIDs
	position uint64
	ready    bool
	readAt   gypsumtide.Millis
	changed  chan struct{}
	// read is closed and replaced after each read that reached the end.
	read chan struct{}
	// seek is set while the reader looks for a snapshot behind a trimmed offset.
	seek *seek
	// snapshotAt is the time at which the newest snapshot in the stream was
	// read, and sinceSnapshot counts the records after it.
	snapshotAt    gypsumtide.Millis
	sinceSnapshot int
	// snapshotFloor is the position at the last check. A snapshot below it was
	// taken by a reader that lags, and may become useless too early.
	snapshotFloor uint64
}

// seek is the search for a snapshot whose as-of offset is not below first.
type seek struct {
	first uint64
	next  uint64
}

// New returns a Follower of the stream. Run must be called to read it.
func New(log gypsumtide.Log, stream string, fold StateMachine, clock gypsumtide.Clock, logger logr.Logger) *Follower {
	return &Follower{
		log:       log,
		stream:    stream,
		fold:      fold,
		clock:     clock,
		logger:    logger.WithValues("stream", stream),
		retention: DefaultRetention,
		counters:  newCounters(stream),
		ids:       newSeenIDs(nil),
		changed:   make(chan struct{}),
		read:      make(chan struct{}),
	}
}

// SetRetention sets the log's retention (setting log-retention). It must be
// called before Run.
func (f *Follower) SetRetention(retention gypsumtide.Millis) { f.retention = retention }

// Run reads the stream until ctx is done. It keeps running through outages of the log.
func (f *Follower) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("read stream "+f.stream, f.tail)
	g.Add("snapshot stream "+f.stream, f.writeSnapshots)
	if err := g.Wait(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return ctx.Err()
}

// Stream returns the name of the stream.
func (f *Follower) Stream() string { return f.stream }

// CaughtUpAt returns the sending time, on the monotonic clock, of the newest
// successful read that reached the end of the stream; 0 means never. The
// records of that read have been applied, so a View after CaughtUpAt shows a fold
// that is at least as new as the time returned.
func (f *Follower) CaughtUpAt() gypsumtide.Millis {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.readAt
}

// Ready reports whether the follower has reached the end of the stream once or
// has adopted a peer's state.
func (f *Follower) Ready() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.ready
}

// AwaitReady waits until the follower is ready or ctx is done.
func (f *Follower) AwaitReady(ctx context.Context) error {
	for {
		changed := f.Changed()
		if f.Ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("journal: await %s: %w: %w", f.stream, ErrNotReady, ctx.Err())
		case <-changed:
		}
	}
}

// Position returns the offset after the last record that the fold contains.
func (f *Follower) Position() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.position
}

// Changed returns a channel that is closed at the next change of the fold or
// of Ready. A receiver that calls Changed before it reads the fold cannot miss
// a change:
//
//	for {
//		changed := follower.Changed()
//		follower.View(func() { ... })
//		<-changed
//	}
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// View calls fn while the fold cannot change. fn must neither change the fold
// nor call methods of the Follower.
func (f *Follower) View(fn func()) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn()
}

// SnapshotState returns the state and its as-of offset for a peer.
func (f *Follower) SnapshotState() (asOf uint64, state []byte, err error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.ready {
		return 0, nil, fmt.Errorf("journal: snapshot %s: %w", f.stream, ErrNotReady)
	}
	state, err = encodeState(f.ids, f.fold)
	return f.position, state, err
}

// Adopt takes a peer's state if it is newer than the own one, and reports
// whether it did. A follower that is not ready also takes a state of the same
// age, which makes it ready.
func (f *Follower) Adopt(asOf uint64, state []byte) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf < f.position || asOf == f.position && f.ready {
		return false, nil
	}
	if err := f.restore(asOf, state); err != nil {
		return false, fmt.Errorf("journal: adopt state of %s: %w", f.stream, err)
	}
	f.ready = true
	f.logger.Info("adopted state of a peer", "as-of", asOf)
	f.notify()
	return true, nil
}

// restore replaces the state. The caller holds the lock and has checked that
// the state is not older.
func (f *Follower) restore(asOf uint64, state []byte) error {
	s, err := decodeState(state)
	if err != nil {
		return err
	}
	if err := f.fold.Restore(s.Fold); err != nil {
		return err
	}
	f.counters.restored.Inc()
	f.ids = newSeenIDs(s.IDs)
	f.position = asOf
	if f.seek != nil && asOf >= f.seek.first {
		f.seek = nil
	}
	return nil
}

func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
