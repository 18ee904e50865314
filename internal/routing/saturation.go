package routing

import "gypsumtide"

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

// OthersHaveRoom reports whether most of the entries that this one has heard from lately are
// not saturated, so that callers are better off there.
func (p *Peers) OthersHaveRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, saturated := 0, 0
	now := p.clock.Now()
	for address, s := range p.peerStates {
		if now-s.receivedAt > maxStateAge {
			delete(p.peerStates, address)
			continue
		}
		heard++
		if s.saturated {
			saturated++
		}
	}
	return 2*saturated < heard
}
