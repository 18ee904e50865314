package link

import (
	"sort"
	"sync"

	"gypsumtide"
)

// Times that an address is kept. Hosts are replaced many times a day, and each
// address of an entry that is gone costs every other process a connection
// attempt per redial.
const (
	// forgetAfter is the time without a contact after which an address is
	// forgotten. It is longer than a partition between regions usually lasts.
	forgetAfter gypsumtide.Millis = 600_000
	// vouchFor is the time after a contact, or after an address became known, for
	// which it is told to others. It is much shorter than forgetAfter, so that
	// processes cannot keep an address alive by telling it to each other.
	vouchFor gypsumtide.Millis = 60_000
	// recordTrust is the age at which a record in the directory is ignored. Entries
	// renew theirs every announceInterval of package routing.
	recordTrust gypsumtide.Millis = 300_000
)

// Addresses is the set of known addresses of entries.
type Addresses struct {
	clock gypsumtide.Clock

	mu    sync.Mutex
	known map[string]*contact
}

// contact is what is known of an address.
type contact struct {
	// at is the time of the last contact, or of the first mention.
	at gypsumtide.Millis
	// seed marks addresses from the settings, which are never forgotten.
	seed bool
}

// NewAddresses returns a set with the seeds.
func NewAddresses(seeds []string, clock gypsumtide.Clock) *Addresses {
	a := &Addresses{clock: clock, known: make(map[string]*contact)}
	for _, s := range seeds {
		a.known[s] = &contact{at: clock.Now(), seed: true}
	}
	return a
}

// Add adds an address that another process has mentioned.
func (a *Addresses) Add(address string) {
	if address == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.known[address]; !ok {
		a.known[address] = &contact{at: a.clock.Now()}
	}
}

// AddRecords adds what the directory lists, without the records of entries that
// have stopped renewing them.
func (a *Addresses) AddRecords(records []gypsumtide.DirectoryRecord) {
	for _, r := range records {
		if a.clock.Wall()-r.Announced < recordTrust {
			a.Add(r.Address)
		}
	}
}

// Confirm notes a contact with the entry at the address.
func (a *Addresses) Confirm(address string) {
	a.Add(address)
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.known[address]; ok {
		c.at = a.clock.Now()
	}
}

// Has reports whether the address is known and not forgotten.
func (a *Addresses) Has(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget()
	_, ok := a.known[address]
	return ok
}

// List returns the known addresses in order.
func (a *Addresses) List() []string { return a.list(forgetAfter) }

// Shareable returns the addresses to tell others, in order.
func (a *Addresses) Shareable() []string { return a.list(vouchFor) }

func (a *Addresses) list(within gypsumtide.Millis) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget()
	now := a.clock.Now()
	out := make([]string, 0, len(a.known))
	for s, c := range a.known {
		if c.seed || now-c.at < within {
			out = append(out, s)
		}
	}
	sort.Strings(out)
	return out
}

// forget removes addresses without a recent contact. The caller holds the lock.
func (a *Addresses) forget() {
	now := a.clock.Now()
	for s, c := range a.known {
		if !c.seed && now-c.at >= forgetAfter {
			delete(a.known, s)
		}
	}
}
