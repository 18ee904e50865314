package dispatch

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// agentSession is a session to an agent, with what the agent was last told about the
// entries. The lists grow with the number of entries, so an unchanged one is not repeated
// to every agent each time.
type agentSession struct {
	*wire.Session
	entries        []string
	reportInterval gypsumtide.Millis
	sentAt         gypsumtide.Millis
}

const (
	// resendEntriesInterval is the time after which an unchanged list of entries is sent
	// again, since an agent forgets addresses that it does not use.
	resendEntriesInterval gypsumtide.Millis = 60_000
	// reportIntervalTolerance is the relative change of the report interval that agents
	// need not be told.
	reportIntervalTolerance = 0.2
)

// sendEntries sends the agent the addresses of the entries and the minimum interval of its
// load broadcasts, if they have changed or were sent long ago. An interval of 0 means that
// the agent decides.
func (s *agentSession) sendEntries(now gypsumtide.Millis, entries []string, reportInterval gypsumtide.Millis) {
	unchanged := slices.Equal(entries, s.entries) && !s.differs(reportInterval)
	if unchanged && now-s.sentAt < resendEntriesInterval {
		return
	}
	s.entries, s.reportInterval, s.sentAt = entries, reportInterval, now
	s.Update(func(f *wire.Frame) {
		f.Entries = entries
		f.ReportInterval = reportInterval
	})
}

// differs reports whether the interval differs noticeably from the last one sent.
func (s *agentSession) differs(interval gypsumtide.Millis) bool {
	change := float64(interval - s.reportInterval)
	return max(change, -change) > reportIntervalTolerance*float64(s.reportInterval)
}
