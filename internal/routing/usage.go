package routing

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"gypsumtide"
)

// storedUsage records whether stored jobs are in use. Package stored keeps these jobs in a
// partitioned log. Until they are in use, the entries do not join the group to which the
// log assigns its partitions.
type storedUsage struct {
	mu            sync.Mutex
	directoryRead bool
	active        bool
	// activated is closed when active is set.
	activated chan struct{}
}

func newStoredUsage() *storedUsage { return &storedUsage{activated: make(chan struct{})} }

// Active reports whether stored jobs are in use, and whether this is known.
func (u *storedUsage) Active() (active, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.active, u.active || u.directoryRead
}

func (u *storedUsage) activate() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.active {
		u.active = true
		close(u.activated)
	}
}

// updateFromDirectory records that the directory has been read, and whether a record in it
// says that stored jobs are in use.
func (u *storedUsage) updateFromDirectory(records []gypsumtide.DirectoryRecord) {
	for _, r := range records {
		if r.Stored {
			u.activate()
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.directoryRead = true
}

// StoredJobsActive reports whether stored jobs are in use, and whether this is known. It
// is known once the directory has been read, or earlier if stored jobs are found to be in
// use. If another entry activates them later, active is false until the next exchange of
// messages or read of the directory.
func (p *Peers) StoredJobsActive() (active, known bool) { return p.usage.Active() }

// CheckStoredJobs reads the directory, unless stored jobs are known to be in use, and reports
// whether they are. Concurrent calls share a read that began after them.
func (p *Peers) CheckStoredJobs(ctx context.Context) (bool, error) {
	if active, _ := p.usage.Active(); active {
		return true, nil
	}
	calledAt := p.clock.Now()
	p.check.mu.Lock()
	defer p.check.mu.Unlock()
	if p.check.beganAt <= calledAt {
		p.check.beganAt = p.clock.Now()
		p.check.err = p.readUsage(ctx)
	}
	active, _ := p.usage.Active()
	return active, p.check.err
}

// usageCheck is the last read of the directory by CheckStoredJobs.
type usageCheck struct {
	mu      sync.Mutex
	beganAt gypsumtide.Millis
	err     error
}

// readUsage reads from the directory whether stored jobs are in use.
func (p *Peers) readUsage(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout.Duration())
	defer cancel()
	records, err := p.directory.Records(callCtx)
	var unreadable *gypsumtide.UnreadableRecordsError
	if err != nil && !errors.As(err, &unreadable) {
		return fmt.Errorf("check stored jobs: %w", err)
	}
	p.usage.updateFromDirectory(records)
	return nil
}

// StoredJobsActivated returns a channel that is closed once this entry knows that stored
// jobs are in use.
func (p *Peers) StoredJobsActivated() <-chan struct{} { return p.usage.activated }

// ActivateStoredJobs writes to the directory that stored jobs are in use, so that entries
// that start later know it. If the write fails, it returns an error and this entry does
// not yet consider stored jobs in use.
func (p *Peers) ActivateStoredJobs(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if err := p.announce(callCtx, true); err != nil {
		return fmt.Errorf("announce stored jobs: %w", err)
	}
	p.usage.activate()
	return nil
}

// peerCounts holds the numbers of queued jobs by route that another entry last sent.
type peerCounts struct {
	receivedAt gypsumtide.Millis
	queued     map[string]int
}

// maxCountsAge is the age above which the counts of another entry are ignored.
const maxCountsAge = 4 * exchangeInterval

// SetQueuedCounter sets the function that returns, by route, the number of this entry's
// stored jobs of which no task has started. It must be called before Run.
func (p *Peers) SetQueuedCounter(queued func() map[string]int) { p.queued = queued }

// maxQueuedJobs limits the count of one entry that is taken into a sum.
const maxQueuedJobs = 1 << 32

// QueuedJobs returns the number of stored jobs of a route of which no task has started. It
// adds up the count of this entry and those that other entries sent within maxCountsAge.
func (p *Peers) QueuedJobs(route string) int {
	n := p.queued()[route]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, c := range p.queueCounts {
		if now-c.receivedAt <= maxCountsAge {
			n += min(max(0, c.queued[route]), maxQueuedJobs)
		}
	}
	return n
}
