package routing

import (
	"context"
	"fmt"
	"sync"

	"gypsumtide"
)

// storedUsage tells whether stored jobs are in use. Entries of a deployment
// without any take no part in the distribution of partitions.
type storedUsage struct {
	mu sync.Mutex
	// known is set once the directory has been read.
	known  bool
	active bool
	begun  chan struct{}
}

func newStoredUsage() *storedUsage { return &storedUsage{begun: make(chan struct{})} }

// Active reports whether stored jobs are in use, and whether this entry can tell.
func (u *storedUsage) Active() (active, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.active, u.active || u.known
}

func (u *storedUsage) set() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.active {
		u.active = true
		close(u.begun)
	}
}

// take learns from the directory whether stored jobs are in use.
func (u *storedUsage) take(records []gypsumtide.DirectoryRecord) {
	for _, r := range records {
		if r.Stored {
			u.set()
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.known = true
}

// Active reports whether stored jobs are in use, and whether this entry can tell.
func (p *Peers) Active() (active, known bool) { return p.usage.Active() }

// StoredJobsInUse returns a channel that is closed once stored jobs are in use.
func (p *Peers) StoredJobsInUse() <-chan struct{} { return p.usage.begun }

// Activate writes to the directory that stored jobs are in use, so that entries
// that start later know it. It has no effect unless the record is written.
func (p *Peers) Activate(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if err := p.announce(cctx, true); err != nil {
		return fmt.Errorf("announce stored jobs: %w", err)
	}
	p.usage.set()
	return nil
}

// peerCounts is what another entry told of its queues.
type peerCounts struct {
	at     gypsumtide.Millis
	queued map[string]int
}

// countsAge is the age from which the counts of another entry are ignored.
const countsAge = 4 * exchangeInterval

// SetQueuedCounter sets what counts this entry's stored jobs by route of which no task
// has started. It must be called before Run.
func (p *Peers) SetQueuedCounter(queued func() map[string]int) { p.queued = queued }

// QueuedJobs returns the number of the stored jobs of a route, all entries together,
// of which no task has started.
func (p *Peers) QueuedJobs(route string) int {
	n := p.queued()[route]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, c := range p.counts {
		if now-c.at <= countsAge {
			n += c.queued[route]
		}
	}
	return n
}
