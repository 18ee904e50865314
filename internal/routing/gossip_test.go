package routing

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/link"
)

// Guards against exchanges whose number grows with the square of the number of entries, and
// against entries that hear of a new route table too late because the store rejects them.
func TestChoosePeers(t *testing.T) {
	const entries = 40
	clock := gypsumtide.NewSystemClock()
	var addresses []string
	for i := range entries {
		addresses = append(addresses, fmt.Sprintf("h%d:1", i))
	}
	newPeers := func(i int) *Peers {
		return NewPeers(addresses[i], addresses[i], link.NewAddresses(addresses, clock), NewTableHolder(clock, discardLogger{}), &testSource{}, unavailableDirectory{}, clock, discardLogger{})
	}
	Convey("An entry exchanges messages with a few others at a time, never with itself", t, func() {
		p := newPeers(0)
		for range 50 {
			peers := p.choosePeers()
			So(peers, ShouldHaveLength, exchangesPerInterval)
			So(peers, ShouldNotContain, p.ownAddress)
		}
	})
	Convey("It exchanges messages with all while stored jobs are in use", t, func() {
		p := newPeers(0)
		p.usage.activate()
		So(p.choosePeers(), ShouldHaveLength, entries-1)
	})
	Convey("News of one entry reaches all within four intervals", t, func() {
		for range 20 {
			informed := make(map[string]bool)
			var all []*Peers
			for i := range entries {
				all = append(all, newPeers(i))
			}
			informed[addresses[0]] = true
			for range 4 {
				for _, p := range all {
					for _, address := range p.choosePeers() {
						// Either side fetches the table of the other if it is newer.
						if informed[address] || informed[p.ownAddress] {
							informed[address], informed[p.ownAddress] = true, true
						}
					}
				}
			}
			So(len(informed), ShouldEqual, entries)
		}
	})
}

// Guards against an entry with an old table that waits for its own turn although another
// entry has just told it of a newer one.
func TestNewerTableOfCaller(t *testing.T) {
	Convey("An entry that is told of a newer table requests an exchange, with a valid address only", t, func() {
		clock := gypsumtide.NewSystemClock()
		p := NewPeers("a", "a:1", link.NewAddresses(nil, clock), NewTableHolder(clock, discardLogger{}), &testSource{}, unavailableDirectory{}, clock, discardLogger{})
		p.noteVersion(&peerMessage{Address: "b:1", Version: 0})
		p.noteVersion(&peerMessage{Address: "odd", Version: 7})
		So(p.ahead, ShouldHaveLength, 0)
		p.noteVersion(&peerMessage{Address: "b:1", Version: 7})
		p.noteVersion(&peerMessage{Address: "c:1", Version: 7})
		So(<-p.ahead, ShouldEqual, "b:1")
	})
}
