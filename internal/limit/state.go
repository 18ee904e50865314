package limit

import (
	"math"
	"slices"

	"gypsumtide"
)

// refill adds the tokens for the time since the last refill.
func (s *limitState) refill(now gypsumtide.Millis) {
	if now <= s.refilledAt {
		return
	}
	s.tokens = min(s.tokens+s.homeRate()*float64(now-s.refilledAt)/1000, s.bucketSize())
	s.refilledAt = now
}

// homeRate returns this home's share of the rate in tasks per second.
func (s *limitState) homeRate() float64 { return s.share.value * s.limit.Rate }

// bucketSize returns the most tokens that this home may hold. It is at least one,
// so that a home without earlier demand can admit a task at once.
func (s *limitState) bucketSize() float64 { return max(1, s.share.value*s.limit.Burst) }

// maxOpen returns the number of tasks that this home may have open.
func (s *limitState) maxOpen() int {
	return max(1, int(s.share.value*float64(s.limit.Concurrency)))
}

// refusal returns why n tasks may not be admitted, or an empty reason, and the
// time to wait before a retry. A wait of 0 means that a retry cannot succeed.
func (s *limitState) refusal(n int) (reason string, wait gypsumtide.Millis) {
	if c := s.limit.Concurrency; c > 0 {
		switch {
		case n > c:
			return "the job has more tasks than the limit allows at once", 0
		case s.peerOpen+s.open+n > c:
			return "the limit's open tasks are at their bound", concurrencyRetryAfter
		// A job larger than the home's share may use the whole limit while no task is open.
		case s.open+n > s.maxOpen() && (s.open > 0 || s.peerOpen > 0):
			return "the home's part of the limit's open tasks is at its bound", concurrencyRetryAfter
		}
	}
	if s.limit.Rate > 0 {
		// A job larger than the bucket is admitted when the bucket is full, which
		// leaves a negative number of tokens.
		need := min(float64(n), s.bucketSize())
		if s.tokens < need {
			return "the rate is at its bound", gypsumtide.Millis(math.Ceil((need - s.tokens) * 1000 / s.homeRate()))
		}
	}
	return "", 0
}

// share computes the fraction of a limit that this home may use. A target is the
// fraction that follows from the reported demand. The value is the smallest target of the
// present and the last raiseDelay report intervals, so that it falls at once and rises
// with a delay.
type share struct {
	value float64
	// minTargets holds the smallest target of each interval; current is the index
	// of the present one.
	minTargets [raiseDelay + 1]float64
	current    int
}

func newShare(initial float64) share {
	s := share{value: initial}
	for i := range s.minTargets {
		s.minTargets[i] = initial
	}
	return s
}

// lowerTo adds a target to the present report interval, which can only lower the
// share.
func (s *share) lowerTo(target float64) {
	s.minTargets[s.current] = min(s.minTargets[s.current], target)
	s.value = min(s.value, target)
}

// startInterval starts a report interval with its first target, and drops the targets
// of the oldest interval.
func (s *share) startInterval(target float64) {
	s.current = (s.current + 1) % len(s.minTargets)
	s.minTargets[s.current] = target
	s.value = slices.Min(s.minTargets[:])
}

// meter averages a rate in events per second over demandTimeConstant.
type meter struct {
	rate      float64
	updatedAt gypsumtide.Millis
}

// decay reduces the average for the time since the last update.
func (m *meter) decay(now gypsumtide.Millis) {
	if now > m.updatedAt {
		m.rate *= math.Exp(-float64(now-m.updatedAt) / float64(demandTimeConstant))
		m.updatedAt = now
	}
}

// add records n events.
func (m *meter) add(n int, now gypsumtide.Millis) {
	m.decay(now)
	m.rate += float64(n) * 1000 / float64(demandTimeConstant)
}
