package routing

import (
	"maps"

	"gypsumtide"
)

// peerState is what another entry last said about its load.
type peerState struct {
	receivedAt gypsumtide.Millis
	saturated  bool
}

// maxStateAge is the age above which the state of another entry is ignored. In that time an
// entry has exchanged messages with nearly all others.
const maxStateAge = 6 * exchangeInterval

// SetSaturated sets the function that reports whether this entry is saturated. It must be
// called before Run.
func (p *Peers) SetSaturated(saturated func() bool) { p.saturated = saturated }

// noteState records what another entry has said about its load, and removes old states. The
// mutex must be held.
func (p *Peers) noteState(address string, saturated bool) {
	now := p.clock.Now()
	maps.DeleteFunc(p.peerStates, func(_ string, s peerState) bool { return now-s.receivedAt > maxStateAge })
	p.peerStates[address] = peerState{receivedAt: now, saturated: saturated}
}

// OthersHaveRoom reports whether most of the entries that this one has heard from lately are
// not saturated, so that callers are better off there.
func (p *Peers) OthersHaveRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, saturated := 0, 0
	now := p.clock.Now()
	for _, s := range p.peerStates {
		switch {
		case now-s.receivedAt > maxStateAge:
		case s.saturated:
			heard++
			saturated++
		default:
			heard++
		}
	}
	return 2*saturated < heard
}
