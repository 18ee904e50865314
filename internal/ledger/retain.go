package ledger

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// retained is a result that is kept for a home that lost it.
type retained struct {
	entry  *entry
	result wire.Result
	until  gypsumtide.Millis
	bytes  int
}

// retainedOverhead is added to the size of a body, so that many empty results
// stay within the bound as well.
const retainedOverhead = 256

func (l *Ledger) retain(e *entry, r wire.Result) {
	k := &retained{entry: e, result: r, until: l.clock.Now() + l.limits.ResultRetention, bytes: len(r.Body) + retainedOverhead}
	e.kept = k
	l.retained = append(l.retained, k)
	l.bytes += k.bytes
	l.dropResults()
}

// dropResults drops the oldest results until the rest is within its time and bytes.
func (l *Ledger) dropResults() {
	now := l.clock.Now()
	n := 0
	for _, k := range l.retained {
		if now < k.until && l.bytes <= l.limits.ResultBytes {
			break
		}
		l.bytes -= k.bytes
		k.entry.kept = nil
		l.move(k.entry, stateUnknown)
		k.entry.reason = ReasonResultDropped
		n++
	}
	clear(l.retained[:n])
	l.retained = l.retained[n:]
}

// Expire drops results and forgets ids whose retention has ended. The owner calls it every few seconds.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropResults()
	l.advanceHorizon()
	for bucket, subs := range l.buckets {
		if gypsumtide.Millis(bucket+1)*bucketMillis > l.horizon {
			continue
		}
		l.forget(subs)
		if len(subs) == 0 {
			delete(l.buckets, bucket)
		}
	}
}

// forget removes the submissions without queued or running tasks.
func (l *Ledger) forget(subs map[gypsumtide.SubmissionID]*submission) {
	for id, sub := range subs {
		if sub.open > 0 || sub.keepsResult() {
			continue
		}
		l.entries -= len(sub.entries)
		delete(subs, id)
	}
}

func (s *submission) keepsResult() bool {
	for _, e := range s.entries {
		if e.kept != nil {
			return true
		}
	}
	return false
}

// advanceHorizon moves the horizon to a bucket boundary, so that a bucket is
// either wholly refused or wholly remembered. The wall clock counts at most at
// twice the speed of the monotonic one: after a jump ahead that is corrected
// soon, the ledger would otherwise refuse all new ids for the length of the jump.
func (l *Ledger) advanceHorizon() {
	now := l.clock.Now()
	l.wall = max(l.wall, min(l.clock.Wall(), l.wall+2*(now-l.wallAt)))
	l.wallAt = now
	h := gypsumtide.Millis(bucketOf(l.wall-l.limits.IDRetention)) * bucketMillis
	l.horizon = max(l.horizon, h)
}

func bucketOf(stamp gypsumtide.Millis) int64 { return int64(stamp) / bucketMillis }
