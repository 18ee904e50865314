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
	// pollWait is the duration of a long poll. A read of the log extends the lease by
	// which an entry serves as the home of a shard to 800 ms after the read was sent,
	// so a poll has to be much shorter.
	pollWait gypsumtide.Millis = 200
	// DefaultRetention is the retention of the log that is assumed unless
	// SetRetention is called.
	DefaultRetention gypsumtide.Millis = 60 * 60 * 1000
)

// ErrNotReady means that the follower has neither read the stream to its end nor
// adopted a state.
var ErrNotReady = errors.New("stream not read yet")

// Follower reads one stream and applies its records to a StateMachine.
type Follower struct {
	log          gypsumtide.Log
	stream       string
	stateMachine StateMachine
	clock        gypsumtide.Clock
	logger       logr.Logger
	retention    gypsumtide.Millis
	counters     *counters

	mu  sync.RWMutex
	ids *seenIDs
	// position is the offset after the last record that the state includes.
	position uint64
	ready    bool
	// caughtUpAt is the time at which the latest read that reached the end of the
	// stream was sent.
	caughtUpAt gypsumtide.Millis
	// changed is closed and replaced when the state or ready changes.
	changed chan struct{}
	// endReached is closed and replaced after each read that reached the end of the stream.
	endReached chan struct{}
	// search is set while the follower looks for a snapshot, after the log has
	// trimmed the offset that it had to read next.
	search *snapshotSearch
	// snapshotReadAt is when the last snapshot that counts was read. A snapshot counts if
	// it is read while ready and its as-of offset is at least minSnapshotAsOf.
	// recordsSinceSnapshot is the number of valid records read after it, or since the start.
	snapshotReadAt       gypsumtide.Millis
	recordsSinceSnapshot int
	// minSnapshotAsOf is the position when dueSnapshot last ran. A snapshot with
	// a lower as-of offset was written by a reader that lags behind. It does not
	// delay the next snapshot, because the records that have to follow it may be
	// trimmed too early.
	minSnapshotAsOf uint64
}

// snapshotSearch is a search from offset next for a snapshot whose as-of offset is
// at least first, the first offset available.
type snapshotSearch struct {
	first uint64
	next  uint64
}

// NewFollower returns a Follower of the stream. It reads nothing until Run is called.
func NewFollower(log gypsumtide.Log, stream string, stateMachine StateMachine, clock gypsumtide.Clock, logger logr.Logger) *Follower {
	return &Follower{
		log:          log,
		stream:       stream,
		stateMachine: stateMachine,
		clock:        clock,
		logger:       logger.WithValues("stream", stream),
		retention:    DefaultRetention,
		counters:     newCounters(stream),
		ids:          newSeenIDs(nil),
		changed:      make(chan struct{}),
		endReached:   make(chan struct{}),
	}
}

// SetRetention sets the retention of the log (setting log-retention). It must be
// called before Run.
func (f *Follower) SetRetention(retention gypsumtide.Millis) { f.retention = retention }

// Run reads the stream and writes snapshots until ctx is done. It keeps retrying
// during outages of the log.
func (f *Follower) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("read stream "+f.stream, f.tail)
	g.Add("write snapshots to stream "+f.stream, f.writeSnapshots)
	if err := g.Wait(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return ctx.Err()
}

// Stream returns the name of the stream.
func (f *Follower) Stream() string { return f.stream }

// CaughtUpAt returns the time on the monotonic clock at which the latest read that
// reached the end of the stream was sent; 0 means never. The records of that read
// have been applied, so a View after CaughtUpAt shows a state that is at least as
// new as the time returned.
func (f *Follower) CaughtUpAt() gypsumtide.Millis {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.caughtUpAt
}

// Ready reports whether the follower has ever reached the end of the stream or
// adopted the state of a peer.
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

// Position returns the offset after the last record that the state includes.
func (f *Follower) Position() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.position
}

// Changed returns a channel that is closed at the next change of the state or of
// Ready. A receiver that calls Changed before it reads the state cannot miss a
// change:
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

// View calls fn while the state cannot change. fn must neither change the state
// nor call methods of the Follower.
func (f *Follower) View(fn func()) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn()
}

// SnapshotState returns the encoded state to be sent to a peer, and its as-of
// offset, which is the first offset that the state does not include. It fails with
// ErrNotReady until the follower is ready.
func (f *Follower) SnapshotState() (asOf uint64, state []byte, err error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.ready {
		return 0, nil, fmt.Errorf("journal: snapshot %s: %w", f.stream, ErrNotReady)
	}
	state, err = encodeState(f.ids, f.stateMachine)
	return f.position, state, err
}

// Adopt replaces the state by the state of a peer if that is newer, and reports
// whether it did. A follower that is not ready also adopts a state with the same
// as-of offset, which makes it ready.
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

// restore replaces the state. The caller must hold the lock and must have checked
// that the new state is not older.
func (f *Follower) restore(asOf uint64, state []byte) error {
	if err := gypsumtide.ValidateCounter("as-of offset", asOf); err != nil {
		return err
	}
	s, err := decodeState(state)
	if err != nil {
		return err
	}
	if err := f.stateMachine.Restore(s.State); err != nil {
		return err
	}
	f.counters.restored.Inc()
	f.ids = newSeenIDs(s.IDs)
	f.position = asOf
	if f.search != nil && asOf >= f.search.first {
		f.search = nil
	}
	return nil
}

// notify closes the channel that Changed returned. The caller must hold the lock.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
