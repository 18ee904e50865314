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
	// unpacksSpecs is set if the agent understands shortened specs.
	unpacksSpecs bool

	sent   agentNotice
	sentAt gypsumtide.Millis
	// sentEvacuations is the last set of evacuated zones that was sent. reportedEvacuations is
	// the version of the agent's own set if that names any zone, and otherwise 0.
	sentEvacuations     gypsumtide.Evacuations
	reportedEvacuations uint64
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

// sendEvacuations sends the agent the set of evacuated zones, unless it can do without: no
// zone is evacuated as far as this entry and the agent know, or the set was sent before. A
// newer version of the same zones is sent too, since an agent that knows only the old version
// would believe an entry that has missed the evacuation.
func (s *agentSession) sendEvacuations(e gypsumtide.Evacuations) {
	outdated := s.reportedEvacuations > 0 && e.Version > s.reportedEvacuations
	if !e.Newer(s.sentEvacuations) || len(e.Zones) == 0 && len(s.sentEvacuations.Zones) == 0 && !outdated {
		return
	}
	s.sentEvacuations = e
	s.Update(func(f *wire.Frame) { f.Evacuations = &e })
}

// similar reports whether the notices have the same entries and nearly the same numbers.
func (n *agentNotice) similar(o *agentNotice) bool {
	return slices.Equal(n.entries, o.entries) && similarNumbers(float64(n.reportInterval), float64(o.reportInterval)) &&
		similarNumbers(float64(n.workers), float64(o.workers))
}

func similarNumbers(a, b float64) bool {
	return math.Abs(a-b) <= noticeTolerance*math.Min(a, b)
}
