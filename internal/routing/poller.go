package routing

import (
	"context"
	"errors"
	"strings"

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
	// rereadInterval is the time after which the newest table and the evacuations are read
	// again, in case records were skipped.
	rereadInterval gypsumtide.Millis = 10_000
)

// Poller reads the published tables and the evacuations from the store.
type Poller struct {
	source gypsumtide.TableSource
	holder *TableHolder
	clock  gypsumtide.Clock
	log    gypsumtide.DecisionLogger
	// unavailable is set while reads fail. Only the goroutine of Run accesses it.
	unavailable bool
	// evacuations is the set at the position from which the next read continues, and
	// skipped the last logged text about records that name no valid zone. Only the goroutine
	// of Run accesses them.
	evacuations gypsumtide.Evacuations
	skipped     string
}

// NewPoller returns a Poller that offers tables and evacuations to holder.
func NewPoller(source gypsumtide.TableSource, holder *TableHolder, clock gypsumtide.Clock, log gypsumtide.DecisionLogger) *Poller {
	return &Poller{source: source, holder: holder, clock: clock, log: log}
}

// Run reads new records until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := p.readNewest(ctx)
		if err == nil {
			err = p.follow(ctx)
		}
		p.logAvailability(err)
		if err != nil {
			gypsumtide.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (p *Poller) readNewest(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	read, err := p.source.Newest(callCtx)
	if err != nil {
		return err
	}
	p.evacuations = gypsumtide.Evacuations{}.Apply(read.Evacuations, read.Next)
	p.holder.correctEvacuations(p.evacuations, "store")
	p.offerTable(read)
	return nil
}

// follow reads the records after those already read, until a read fails or rereadInterval has
// passed. If they are no longer retained, it returns nil, so that Run reads the newest ones.
func (p *Poller) follow(ctx context.Context) error {
	begin := p.clock.Now()
	for ctx.Err() == nil && p.clock.Now()-begin < rereadInterval {
		callCtx, cancel := context.WithTimeout(ctx, (longPollTimeout + transferTimeout).Duration())
		position := p.evacuations.Version
		read, err := p.source.Next(callCtx, position, longPollTimeout)
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
		p.offerChanges(read)
	}
	return nil
}

// offerChanges offers the records of a read to the holder.
func (p *Poller) offerChanges(read gypsumtide.OperatorRead) {
	p.evacuations = p.evacuations.Apply(read.Evacuations, read.Next)
	p.holder.OfferEvacuations(p.evacuations, "store")
	p.offerTable(read)
}

// offerTable offers the table of a read to the holder. The evacuations of the same read have
// been offered before, so that no table is used without them.
func (p *Poller) offerTable(read gypsumtide.OperatorRead) {
	p.logSkipped(read.Skipped)
	if read.Table == nil {
		return
	}
	t, err := p.source.Decode(read.Table)
	if err != nil {
		p.log.Decision("routes-rejected", "error", err.Error(), "bytes", len(read.Table))
		return
	}
	p.holder.Offer(t, read.Table, "store")
}

// logSkipped logs records about evacuations that name no valid zone. Since the newest
// records are read again and again, the same text is logged once.
func (p *Poller) logSkipped(skipped []string) {
	text := strings.Join(skipped, ", ")
	if text == "" || text == p.skipped {
		return
	}
	p.skipped = text
	p.log.Decision("evacuation-skipped", "records", text)
}

// logAvailability logs when the store becomes unavailable and when it becomes available
// again. err is the result of the last read.
func (p *Poller) logAvailability(err error) {
	if (err != nil) == p.unavailable {
		return
	}
	p.unavailable = err != nil
	p.holder.setStoreUnavailable(p.unavailable)
	if p.unavailable {
		p.log.Decision("store-lost", "error", err.Error(), "version", p.holder.Version())
		return
	}
	p.log.Decision("store-regained", "version", p.holder.Version())
}
