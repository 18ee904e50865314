package dispatch

import (
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// agentSession is a session to an agent, with what the agent was last told about the
// entries. The lists grow with the number of entries, so an unchanged one is not repeated
// to every agent each time.
type agentSession struct {
	*wire.Session
	sent   agentNotice
	sentAt gypsumtide.Millis
}

// agentNotice is what an agent is told about the entries.
type agentNotice struct {
	// entries are the addresses of all entries.
	entries []string
	// reportInterval is the minimum interval of the agent's load broadcasts, or 0 if the
	// agent decides.
	reportInterval gypsumtide.Millis
	// workers is the number of workers of the agent's service that take orders from this
	// entry, or 0 if it is not known yet.
	workers int
}

const (
	// resendNoticeInterval is the time after which an unchanged notice is sent again, since
	// an agent forgets addresses that it does not use.
	resendNoticeInterval gypsumtide.Millis = 60_000
	// noticeTolerance is the relative change of a number that agents need not be told.
	noticeTolerance = 0.2
)

// notify sends the agent a notice if it differs from the last one, or that one was sent long
// ago.
func (s *agentSession) notify(now gypsumtide.Millis, n agentNotice) {
	if n.similar(&s.sent) && now-s.sentAt < resendNoticeInterval {
		return
	}
	s.sent, s.sentAt = n, now
	s.Update(func(f *wire.Frame) {
		f.Entries = n.entries
		f.ReportInterval = n.reportInterval
		f.Workers = n.workers
	})
}

// similar reports whether the notices have the same entries and nearly the same numbers.
func (n *agentNotice) similar(o *agentNotice) bool {
	return slices.Equal(n.entries, o.entries) && similarNumbers(float64(n.reportInterval), float64(o.reportInterval)) &&
		similarNumbers(float64(n.workers), float64(o.workers))
}

func similarNumbers(a, b float64) bool {
	return math.Abs(a-b) <= noticeTolerance*math.Min(a, b)
}
