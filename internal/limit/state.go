package limit

import (
	"math"
	"slices"

	"gypsumtide"
)

// fill adds the tokens of the time passed.
func (s *state) fill(now gypsumtide.Millis) {
	if now <= s.filled {
		return
	}
	s.tokens = min(s.tokens+s.rate()*float64(now-s.filled)/1000, s.bucket())
	s.filled = now
}

// rate returns this home's part of the rate in tasks per second.
func (s *state) rate() float64 { return s.share.value * s.limit.Rate }

// bucket returns the most tokens that this home may hold. One token lets a
// home without demand start at once.
func (s *state) bucket() float64 { return max(1, s.share.value*s.limit.Burst) }

// places returns the tasks that this home may have open.
func (s *state) places() int {
	return max(1, int(s.share.value*float64(s.limit.Concurrency)))
}

// refusal returns why n tasks may not enter, and the time to wait. The time 0
// means that waiting does not help.
func (s *state) refusal(n int) (reason string, wait gypsumtide.Millis) {
	if c := s.limit.Concurrency; c > 0 {
		switch {
		case n > c:
			return "the job has more tasks than the limit allows at once", 0
		case s.peerOpen+s.open+n > c:
			return "the limit's open tasks are at their bound", concurrencyWait
		// A job larger than the home's part may use the whole limit while it is free.
		case s.open+n > s.places() && (s.open > 0 || s.peerOpen > 0):
			return "the home's part of the limit's open tasks is at its bound", concurrencyWait
		}
	}
	if s.limit.Rate > 0 {
		// A job larger than the bucket enters when the bucket is full and leaves a debt.
		need := min(float64(n), s.bucket())
		if s.tokens < need {
			return "the rate is at its bound", gypsumtide.Millis(math.Ceil((need - s.tokens) * 1000 / s.rate()))
		}
	}
	return "", 0
}

// share is the part of a limit that this home may use: the least part that was
// due in the last raiseDelay report intervals. So it falls at once and rises late.
type share struct {
	value float64
	// least holds the least part due in each interval, the present one at index at.
	least [raiseDelay + 1]float64
	at    int
}

func newShare(value float64) share {
	s := share{value: value}
	for i := range s.least {
		s.least[i] = value
	}
	return s
}

// set takes the part due now.
func (s *share) set(due float64) {
	s.least[s.at] = min(s.least[s.at], due)
	s.value = min(s.value, due)
}

// next starts a report interval in which due is the part so far.
func (s *share) next(due float64) {
	s.at = (s.at + 1) % len(s.least)
	s.least[s.at] = due
	s.value = slices.Min(s.least[:])
}

// meter averages a rate in events per second over demandTime.
type meter struct {
	rate float64
	at   gypsumtide.Millis
}

func (m *meter) decay(now gypsumtide.Millis) {
	if now > m.at {
		m.rate *= math.Exp(-float64(now-m.at) / float64(demandTime))
		m.at = now
	}
}

func (m *meter) add(n int, now gypsumtide.Millis) {
	m.decay(now)
	m.rate += float64(n) * 1000 / float64(demandTime)
}
