package runner

import (
	"cmp"
	"context"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
)

const (
	// sessionsPerAgent is the number of entries to which an agent keeps sessions. If each
	// agent had a session to every entry, the cost of a fleet without work would grow with the
	// product of the numbers of entries and agents. An entry that sees a part of the workers
	// places about as well as one that sees all of them, as long as the part is not tiny.
	sessionsPerAgent = 8
	// workersPerEntry is the number of workers of a service that an entry should see. The
	// agents of a service with few workers keep more sessions for that.
	workersPerEntry = 16
	// resizeInterval is the time between two changes of the number of sessions. The entries
	// count the sessions of the last change by then.
	resizeInterval gypsumtide.Millis = 5000
	// unreachableAfter is the time without a session from which another entry takes the
	// place of one that does not answer.
	unreachableAfter gypsumtide.Millis = 400
	// surplusAfter is how long an agent keeps a session that it needs no longer, so that
	// a restarting entry does not move sessions twice.
	surplusAfter gypsumtide.Millis = 3000
	// retireTime is the time between the report that the worker takes no more orders
	// over a session, and its end. Orders on their way arrive meanwhile.
	retireTime gypsumtide.Millis = 1000
)

// entryLink is the state of the connection to the entry at one address.
type entryLink struct {
	// owner is the connected entry, or empty.
	owner Owner
	// failed is set from the end of a session, or of the first attempt to open one, to the
	// start of the next session. failedAt is when it was set.
	failed   bool
	failedAt gypsumtide.Millis
	// surplusAt is the time since which the session is not selected, or 0.
	surplusAt gypsumtide.Millis
	// stop ends the goroutine that maintains the session.
	stop context.CancelFunc
}

// connected reports whether there is a session.
func (l *entryLink) connected() bool { return l.owner != "" }

// unreachable reports whether the entry has had no session for long enough to be replaced.
func (l *entryLink) unreachable(now gypsumtide.Millis) bool {
	return l.failed && now-l.failedAt >= unreachableAfter
}

// fail notes that a session or an attempt to open one has ended.
func (l *entryLink) fail(now gypsumtide.Millis) {
	l.owner = ""
	if !l.failed {
		l.failed, l.failedAt = true, now
	}
}

// retiring reports whether the entry must send no more orders over the session.
func (l *entryLink) retiring(now gypsumtide.Millis) bool {
	return l.surplusAt > 0 && now-l.surplusAt >= surplusAfter
}

// retired reports whether the session may end, if no work depends on it.
func (l *entryLink) retired(now gypsumtide.Millis) bool {
	return l.surplusAt > 0 && now-l.surplusAt >= surplusAfter+retireTime
}

// rankEntries sorts the addresses of entries by a hash of the agent's name and the address.
// Each agent has its own order, so that every entry is among the first of about equally
// many agents, and the sessions of an entry that is lost are spread over all others.
func rankEntries(agent string, addresses []string) []string {
	rank := func(address string) uint64 { return xxhash.Sum64String(agent + "\x00" + address) }
	ranked := slices.Clone(addresses)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return ranked
}

// neededSessions returns the number of sessions that lets each of the entries see enough
// workers of the agent's service. workers has the numbers that connected entries see while the
// agents of the service keep n sessions each.
func neededSessions(entries, n int, workers []int) int {
	if len(workers) == 0 {
		return n
	}
	slices.Sort(workers)
	// A restarted entry sees few workers for a while.
	seen := workers[len(workers)/2]
	all := float64(seen) * float64(entries) / float64(min(n, entries))
	needed := int(math.Ceil(workersPerEntry * float64(entries) / max(all, 1)))
	return min(max(needed, sessionsPerAgent), max(entries, sessionsPerAgent))
}

// resizeSelection changes the number of sessions to keep, if it is time to. The caller holds
// a.mu.
func (a *Agent) resizeSelection(now gypsumtide.Millis) {
	if now-a.resizedAt < resizeInterval {
		return
	}
	var workers []int
	for owner := range a.sessions {
		if o := a.outbox(owner); o.workers > 0 {
			workers = append(workers, o.workers)
		}
	}
	a.resizedAt = now
	if n := neededSessions(len(a.rankedEntries), a.sessionsWanted, workers); n != a.sessionsWanted {
		a.log.Decision("sessions-resized", "before", a.sessionsWanted, "after", n, "entries", len(a.rankedEntries))
		a.sessionsWanted = n
	}
}

// selectEntries returns the addresses to which the agent keeps sessions: the shortest
// beginning of the ranked ones with n that are not unreachable. The unreachable ones among
// them are dialled as well, and take their place again once they answer.
func selectEntries(ranked []string, n int, unreachable func(address string) bool) []string {
	for i, address := range ranked {
		if n == 0 {
			return ranked[:i]
		}
		if !unreachable(address) {
			n--
		}
	}
	return ranked
}

// selectSessions decides to which entries the agent keeps sessions. It returns the
// addresses to which none is maintained yet. Sessions that are not selected any more end
// once no work depends on them. The caller holds a.mu.
func (a *Agent) selectSessions(now gypsumtide.Millis) []string {
	if known := a.entries.List(); !slices.Equal(known, a.knownEntries) {
		a.knownEntries, a.rankedEntries = known, rankEntries(a.cfg.Name, known)
	}
	a.resizeSelection(now)
	selected := selectEntries(a.rankedEntries, a.sessionsWanted, func(address string) bool {
		l, ok := a.links[address]
		return ok && l.unreachable(now)
	})
	for address, l := range a.links {
		if slices.Contains(selected, address) {
			a.keepSession(l)
		} else {
			a.retireSession(now, l)
		}
	}
	var unlinked []string
	for _, address := range selected {
		if _, ok := a.links[address]; !ok {
			unlinked = append(unlinked, address)
		}
	}
	return unlinked
}

// keepSession keeps a session, which may have been about to end.
func (a *Agent) keepSession(l *entryLink) {
	l.surplusAt = 0
	a.setRetiring(l, false)
}

// retireSession ends a session that is not selected, or the attempts to open it.
func (a *Agent) retireSession(now gypsumtide.Millis, l *entryLink) {
	switch {
	case !l.connected():
		l.stop()
	case l.surplusAt == 0:
		l.surplusAt = now
	case l.retired(now) && a.state.Unused(l.owner):
		a.log.Decision("session-retired", "entry", l.owner)
		l.stop()
	case l.retiring(now):
		a.setRetiring(l, true)
	}
}

// setRetiring sets whether the entry of a session is told that the worker takes no orders.
func (a *Agent) setRetiring(l *entryLink, retiring bool) {
	if !l.connected() {
		return
	}
	if o := a.outbox(l.owner); o.retiring != retiring {
		o.retiring = retiring
		a.loadChanged = true
	}
}
