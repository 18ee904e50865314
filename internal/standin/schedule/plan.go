// Package schedule injects faults into a deployment under load, following a plan
// derived from a seed, and checks the histories for violations afterwards.
package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumtide/internal/standin/deployment"
)

// Kind is a kind of fault or additional load.
type Kind string

// The kinds that a plan can contain.
const (
	// Kill kinds end a process at once and restart it later, Pause kinds stop and
	// resume it, and Terminate kinds shut it down gracefully and restart it later.
	KillEntry         Kind = "kill-entry"
	PauseEntry        Kind = "pause-entry"
	TerminateEntry    Kind = "terminate-entry"
	KillAgent         Kind = "kill-agent"
	PauseAgent        Kind = "pause-agent"
	TerminateAgent    Kind = "terminate-agent"
	KillUpstream      Kind = "kill-upstream"
	PauseUpstream     Kind = "pause-upstream"
	TerminateUpstream Kind = "terminate-upstream"
	// CutLink resets the existing and new connections of a link. DropLink discards the data
	// of its existing connections, and HoldLink delays its data until the end of the fault.
	// Isolate does the same as DropLink to all links of an entry or agent.
	CutLink  Kind = "cut-link"
	DropLink Kind = "drop-link"
	HoldLink Kind = "hold-link"
	Isolate  Kind = "isolate"
	// LogDown makes the log unavailable and LogSlow delays its requests. With
	// LogLosesAnswers, records are written but the answers to most appends are lost.
	LogDown         Kind = "log-down"
	LogSlow         Kind = "log-slow"
	LogLosesAnswers Kind = "log-loses-answers"
	// Burst, CancelWave and Resubmission add load: at a higher rate, with jobs that
	// are cancelled, and with jobs that are submitted twice, unless they end before that.
	Burst        Kind = "burst"
	CancelWave   Kind = "cancel-wave"
	Resubmission Kind = "resubmission"
	// PublishRace publishes two configurations at once.
	PublishRace Kind = "publish-race"
)

// GracefulKinds lists the kinds that must not interrupt any request.
var GracefulKinds = []Kind{TerminateEntry, TerminateAgent, TerminateUpstream, Burst, CancelWave, Resubmission, PublishRace}

// AllKinds lists every kind.
var AllKinds = append([]Kind{KillEntry, PauseEntry, KillAgent, PauseAgent, KillUpstream, PauseUpstream,
	CutLink, DropLink, HoldLink, Isolate, LogDown, LogSlow, LogLosesAnswers}, GracefulKinds...)

func (k Kind) isGraceful() bool { return slices.Contains(GracefulKinds, k) }

// terminatesGracefully reports whether the kind terminates a process gracefully.
func (k Kind) terminatesGracefully() bool {
	return k == TerminateEntry || k == TerminateAgent || k == TerminateUpstream
}

// step is one planned fault or additional load.
type step struct {
	// at is the time from the start of the run to the start of the step.
	at     time.Duration
	length time.Duration
	kind   Kind
	// target is a random number that selects the process or link, seeds additional
	// load, and selects the entries and the team weights of a publish race.
	target int
}

// String describes the step in one line.
func (s step) String() string {
	return fmt.Sprintf("%6.2fs %-20s target %d for %s", s.at.Seconds(), s.kind, s.target, s.length.Round(time.Millisecond))
}

// recoveryTime is the period at the end of a run in which no fault is planned to begin.
// Faults are planned to end before its second half, so that the system can recover. They
// may end later, because two faults of one process wait for each other and a graceful
// shutdown adds to the length of its step.
const recoveryTime = 4 * time.Second

// plan generates the faults of a run from the seed. The gaps between them are
// exponentially distributed, so that some faults overlap or follow closely.
func plan(seed uint64, kinds []Kind, duration, meanGap time.Duration) []step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []step
	var remaining []Kind
	for at := time.Second; at < duration-recoveryTime; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		// Every kind occurs once before any is repeated, so that short runs contain most kinds.
		if len(remaining) == 0 {
			remaining = slices.Clone(kinds)
			rng.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		s := step{at: at, kind: remaining[0], target: rng.IntN(1 << 16)}
		remaining = remaining[1:]
		// Some faults are shorter and some longer than these timeouts: a peer counts as
		// lost after 800 ms without a frame, an entry may serve a shard for 800 ms after it
		// sent the request that renewed its lease, and an agent rejects a dispatch whose
		// echo of the agent's clock is older than 1 s.
		s.length = 200*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(1200*time.Millisecond))
		s.length = min(s.length, duration-recoveryTime/2-at)
		steps = append(steps, s)
	}
	return steps
}

// linksOf returns the links from or to the named process, or all links if name is empty. The
// order is fixed, so that a seed selects the same link in each run.
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
