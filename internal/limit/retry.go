package limit

import "gypsumtide"

// RetryOptions configure a RetryBudget. The zero value of a field selects its default.
type RetryOptions struct {
	// Ratio is the number of redispatches allowed for each first dispatch.
	Ratio float64
	// MinPerSecond is the number of redispatches per second that are always allowed.
	MinPerSecond float64
}

const (
	// defaultRetryRatio limits the redispatches beyond MinPerSecond to a tenth of the
	// first dispatches.
	defaultRetryRatio = 0.1
	// defaultMinRetriesPerSecond lets a home with few dispatches repeat some of them.
	defaultMinRetriesPerSecond = 10
	// retryBudgetWindow bounds how many unused redispatches may accumulate in addition to
	// MinPerSecond: as many as the first dispatches allow in this period at their present
	// rate.
	retryBudgetWindow = gypsumtide.Millis(10_000)
)

// RetryBudget limits how many tasks are dispatched again because they did not
// start, so that agents that reject tasks do not multiply the number of messages.
// It is not safe for concurrent use.
type RetryBudget struct {
	opts RetryOptions
	// dispatches measures the rate of first dispatches.
	dispatches meter
	// tokens is the number of redispatches allowed now.
	tokens     float64
	refilledAt gypsumtide.Millis
}

// NewRetryBudget returns a budget that holds MinPerSecond redispatches.
func NewRetryBudget(o RetryOptions, now gypsumtide.Millis) *RetryBudget {
	if o.Ratio <= 0 {
		o.Ratio = defaultRetryRatio
	}
	if o.MinPerSecond <= 0 {
		o.MinPerSecond = defaultMinRetriesPerSecond
	}
	return &RetryBudget{opts: o, tokens: o.MinPerSecond, refilledAt: now, dispatches: meter{updatedAt: now}}
}

// RecordDispatches records n first dispatches.
func (b *RetryBudget) RecordDispatches(n int, now gypsumtide.Millis) {
	b.refill(now)
	b.dispatches.add(n, now)
	b.tokens = min(b.tokens+b.opts.Ratio*float64(n), b.maxTokens())
}

// Take reports whether one task may be dispatched again, and if so charges it.
func (b *RetryBudget) Take(now gypsumtide.Millis) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now gypsumtide.Millis) {
	if now <= b.refilledAt {
		return
	}
	b.dispatches.decay(now)
	b.tokens = min(b.tokens+b.opts.MinPerSecond*float64(now-b.refilledAt)/1000, b.maxTokens())
	b.refilledAt = now
}

// maxTokens returns the most redispatches that may accumulate at the present rate
// of first dispatches.
func (b *RetryBudget) maxTokens() float64 {
	return b.opts.MinPerSecond + b.opts.Ratio*b.dispatches.rate*float64(retryBudgetWindow)/1000
}
