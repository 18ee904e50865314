package routing

import (
	"context"
	"errors"

	"gypsumtide"
)

// Intervals of the poller.
const (
	// pollWait is how long the store may keep a read without news. A connection
	// that goes silent is noticed after pollWait and pollMargin.
	pollWait   gypsumtide.Millis = 800
	pollMargin gypsumtide.Millis = 400
	// readTimeout bounds a read of the newest table.
	readTimeout gypsumtide.Millis = 900
	// retryPause is the pause after a failed read.
	retryPause gypsumtide.Millis = 150
	// rereadInterval is the time after which the newest table is read again,
	// in case records were skipped.
	rereadInterval gypsumtide.Millis = 10_000
)

// Poller follows the published tables.
type Poller struct {
	source gypsumtide.TableSource
	holder *TableHolder
	clock  gypsumtide.Clock
	log    gypsumtide.Recorder
	lost   bool
}

// NewPoller returns a Poller that offers tables to holder.
func NewPoller(source gypsumtide.TableSource, holder *TableHolder, clock gypsumtide.Clock, log gypsumtide.Recorder) *Poller {
	return &Poller{source: source, holder: holder, clock: clock, log: log}
}

// Run follows the tables until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		position, err := p.newest(ctx)
		if err == nil {
			err = p.follow(ctx, position)
		}
		p.note(err)
		if err != nil {
			gypsumtide.Sleep(ctx, retryPause)
		}
	}
	return ctx.Err()
}

func (p *Poller) newest(ctx context.Context) (uint64, error) {
	cctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	raw, position, err := p.source.Newest(cctx)
	if err != nil {
		return 0, err
	}
	p.offer(raw)
	return position, nil
}

// follow reads new tables until a read fails or the newest is due to be read again.
func (p *Poller) follow(ctx context.Context, position uint64) error {
	begin := p.clock.Now()
	for ctx.Err() == nil && p.clock.Now()-begin < rereadInterval {
		cctx, cancel := context.WithTimeout(ctx, (pollWait + pollMargin).Duration())
		raw, next, err := p.source.Next(cctx, position, pollWait)
		cancel()
		var trimmed *gypsumtide.TrimmedError
		if errors.As(err, &trimmed) {
			p.log.Decision("store-trimmed", "position", position, "first", trimmed.First)
			return nil
		}
		if err != nil {
			return err
		}
		p.note(nil)
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

// note logs the loss and the return of the store.
func (p *Poller) note(err error) {
	if (err != nil) == p.lost {
		return
	}
	p.lost = err != nil
	if p.lost {
		p.log.Decision("store-lost", "error", err.Error(), "version", p.holder.Version())
		return
	}
	p.log.Decision("store-regained", "version", p.holder.Version())
}
