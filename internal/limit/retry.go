package limit

import "gypsumtide"

// RetryOptions configure a RetryBudget. The zero value of a field selects its default.
type RetryOptions struct {
	// Ratio is the number of redispatches allowed for each fresh dispatch.
	Ratio float64
	// MinPerSecond is the number of redispatches allowed in any case.
	MinPerSecond float64
}

const (
	defaultRetryShare     = 0.1
	defaultRetryPerSecond = 10
	// retryHold is the time over which unused allowance is kept.
	retryHold = gypsumtide.Millis(10_000)
)

// RetryBudget bounds the dispatches that repeat one that did not start, so
// that agents that reject tasks do not multiply the messages. It is not safe
// for concurrent use.
type RetryBudget struct {
	o      RetryOptions
	fresh  meter
	tokens float64
	filled gypsumtide.Millis
}

// NewRetryBudget returns a budget with the minimum of one second.
func NewRetryBudget(o RetryOptions, now gypsumtide.Millis) *RetryBudget {
	if o.Ratio <= 0 {
		o.Ratio = defaultRetryShare
	}
	if o.MinPerSecond <= 0 {
		o.MinPerSecond = defaultRetryPerSecond
	}
	return &RetryBudget{o: o, tokens: o.MinPerSecond, filled: now, fresh: meter{at: now}}
}

// RecordDispatches records n first dispatches.
func (b *RetryBudget) RecordDispatches(n int, now gypsumtide.Millis) {
	b.fill(now)
	b.fresh.add(n, now)
	b.tokens = min(b.tokens+b.o.Ratio*float64(n), b.bound())
}

// Take reports whether one task may be dispatched again, and charges it.
func (b *RetryBudget) Take(now gypsumtide.Millis) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) fill(now gypsumtide.Millis) {
	if now <= b.filled {
		return
	}
	b.fresh.decay(now)
	b.tokens = min(b.tokens+b.o.MinPerSecond*float64(now-b.filled)/1000, b.bound())
	b.filled = now
}

// bound is the largest allowance: that of retryHold at the present rate.
func (b *RetryBudget) bound() float64 {
	return b.o.MinPerSecond + b.o.Ratio*b.fresh.rate*float64(retryHold)/1000
}
