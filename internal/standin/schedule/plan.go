// Package schedule disturbs a deployment under load by a seeded plan of
// faults and checks the promises afterwards.
package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumtide/internal/standin/deployment"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillEntry         Kind = "kill-entry"
	PauseEntry        Kind = "pause-entry"
	TerminateEntry    Kind = "terminate-entry"
	KillAgent         Kind = "kill-agent"
	PauseAgent        Kind = "pause-agent"
	TerminateAgent    Kind = "terminate-agent"
	KillUpstream      Kind = "kill-upstream"
	PauseUpstream     Kind = "pause-upstream"
	TerminateUpstream Kind = "terminate-upstream"
	CutLink           Kind = "cut-link"
	DropLink          Kind = "drop-link"
	HoldLink          Kind = "hold-link"
	Isolate           Kind = "isolate"
	LogDown           Kind = "log-down"
	LogSlow           Kind = "log-slow"
	LogLosesAnswers   Kind = "log-loses-answers"
	Burst             Kind = "burst"
	CancelWave        Kind = "cancel-wave"
	Resubmission      Kind = "resubmission"
	PublishRace       Kind = "publish-race"
)

// GracefulKinds may interrupt no request.
var GracefulKinds = []Kind{TerminateEntry, TerminateAgent, TerminateUpstream, Burst, CancelWave, Resubmission, PublishRace}

// AllKinds lists every kind.
var AllKinds = append([]Kind{KillEntry, PauseEntry, KillAgent, PauseAgent, KillUpstream, PauseUpstream,
	CutLink, DropLink, HoldLink, Isolate, LogDown, LogSlow, LogLosesAnswers}, GracefulKinds...)

func (k Kind) graceful() bool { return slices.Contains(GracefulKinds, k) }

// stop reports whether the kind stops a process gracefully.
func (k Kind) stop() bool {
	return k == TerminateEntry || k == TerminateAgent || k == TerminateUpstream
}

// step is one planned fault.
type step struct {
	at     time.Duration
	length time.Duration
	kind   Kind
	// target is a number that picks the process or link.
	target int
}

// String returns one line for reports.
func (s step) String() string {
	return fmt.Sprintf("%6.2fs %-20s target %d for %s", s.at.Seconds(), s.kind, s.target, s.length.Round(time.Millisecond))
}

// settle is the end of a run without new faults, in which everything recovers.
const settle = 4 * time.Second

// plan draws the faults of a run. The gaps are exponential, so faults meet or
// follow closely by chance.
func plan(seed uint64, kinds []Kind, duration, meanGap time.Duration) []step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []step
	var deck []Kind
	for at := time.Second; at < duration-settle; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		// Every kind occurs once before one repeats, so that a short run has most of them.
		if len(deck) == 0 {
			deck = slices.Clone(kinds)
			rng.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		s := step{at: at, kind: deck[0], target: rng.IntN(1 << 16)}
		deck = deck[1:]
		// Shorter and longer than suspicion (800 ms), lease and credit (1 s).
		s.length = 200*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(1200*time.Millisecond))
		s.length = min(s.length, duration-settle/2-at)
		steps = append(steps, s)
	}
	return steps
}

// linksOf returns the links in a fixed order, so that a seed picks the same one in each run.
func linksOf(d *deployment.Deployment, name string) []deployment.Link {
	var links []deployment.Link
	for l := range d.Links() {
		if name == "" || l.From == name || l.To == name {
			links = append(links, l)
		}
	}
	slices.SortFunc(links, func(a, b deployment.Link) int {
		if a.From != b.From {
			return cmp.Compare(a.From, b.From)
		}
		return cmp.Compare(a.To, b.To)
	})
	return links
}
