package routing

import (
	"context"
	"errors"

	"gypsumtide"
)

// Time limits and intervals of the poller.
const (
	// longPollTimeout is how long the store may delay its answer to a read if there is
	// no new table.
	longPollTimeout gypsumtide.Millis = 800
	// transferTimeout limits the transfer of a table. The source notices earlier that no
	// data arrives any more.
	transferTimeout gypsumtide.Millis = 10_000
	// readTimeout is the time limit of a write to the directory, and of a read of the
	// directory together with the write that follows it.
	readTimeout gypsumtide.Millis = 900
	// retryDelay is the delay after a failed read.
	retryDelay gypsumtide.Millis = 150
	// rereadInterval is the time after which the newest table is read again, in case
	// records were skipped.
	rereadInterval gypsumtide.Millis = 10_000
)

// Poller reads the published tables from the store.
type Poller struct {
	source gypsumtide.TableSource
	holder *TableHolder
	clock  gypsumtide.Clock
	log    gypsumtide.DecisionLogger
	// unavailable is set while reads fail. Only the goroutine of Run accesses it.
	unavailable bool
}

// NewPoller returns a Poller that offers tables to holder.
func NewPoller(source gypsumtide.TableSource, holder *TableHolder, clock gypsumtide.Clock, log gypsumtide.DecisionLogger) *Poller {
	return &Poller{source: source, holder: holder, clock: clock, log: log}
}

// Run reads new tables until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		position, err := p.readNewest(ctx)
		if err == nil {
			err = p.follow(ctx, position)
		}
		p.logAvailability(err)
		if err != nil {
			gypsumtide.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (p *Poller) readNewest(ctx context.Context) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	raw, position, err := p.source.Newest(callCtx)
	if err != nil {
		return 0, err
	}
	p.offer(raw)
	return position, nil
}

// follow reads the tables from position on, until a read fails or rereadInterval has passed.
// If the position is no longer retained, it returns nil, so that Run reads the newest table.
func (p *Poller) follow(ctx context.Context, position uint64) error {
	begin := p.clock.Now()
	for ctx.Err() == nil && p.clock.Now()-begin < rereadInterval {
		callCtx, cancel := context.WithTimeout(ctx, (longPollTimeout + transferTimeout).Duration())
		raw, next, err := p.source.Next(callCtx, position, longPollTimeout)
		cancel()
		var trimmed *gypsumtide.TrimmedError
		if errors.As(err, &trimmed) {
			p.log.Decision("store-trimmed", "position", position, "first", trimmed.First)
			return nil
		}
		if err != nil {
			return err
		}
		p.logAvailability(nil)
		p.offer(raw)
		position = next
	}
	return nil
}

func (p *Poller) offer(raw []byte) {
	if raw == nil {
		return
	}
	t, err := p.source.Decode(raw)
	if err != nil {
		p.log.Decision("routes-rejected", "error", err.Error(), "bytes", len(raw))
		return
	}
	p.holder.Offer(t, raw, "store")
}

// logAvailability logs when the store becomes unavailable and when it becomes available
// again. err is the result of the last read.
func (p *Poller) logAvailability(err error) {
	if (err != nil) == p.unavailable {
		return
	}
	p.unavailable = err != nil
	if p.unavailable {
		p.log.Decision("store-lost", "error", err.Error(), "version", p.holder.Version())
		return
	}
	p.log.Decision("store-regained", "version", p.holder.Version())
}
