package link

import (
	"sort"
	"sync"

	"gypsumtide"
)

// Retention of addresses. Hosts are replaced many times a day, and a process keeps
// dialling the address of an entry that no longer exists until the address is removed.
const (
	// addressTTL is the time after the last contact, or after an address was added, at
	// which it is removed. It is longer than a network partition between regions usually
	// lasts.
	addressTTL gypsumtide.Millis = 600_000
	// shareWindow is the time after the last contact, or after an address was
	// added, for which it is shared with other processes. It is much shorter than
	// addressTTL, so that two processes cannot keep an address alive by sharing it
	// with each other.
	shareWindow gypsumtide.Millis = 60_000
	// maxRecordAge is the age from which the address in a directory record is ignored. An
	// entry renews its record every 30 s (announceInterval in package routing).
	maxRecordAge gypsumtide.Millis = 300_000
	// maxAddresses limits the addresses that are known at the same time, since each is
	// dialled. It is well above the number of entries of a deployment.
	maxAddresses = 4096
)

// Addresses is the set of the addresses of entries that a process knows. It is safe
// for concurrent use.
type Addresses struct {
	clock gypsumtide.Clock

	mu    sync.Mutex
	known map[string]*addressInfo
}

// addressInfo describes a known address.
type addressInfo struct {
	// lastContact is the time of the last contact, or the time at which the address
	// was added if there was no contact yet.
	lastContact gypsumtide.Millis
	// seed is set for an address that was passed to NewAddresses. Such an address is never
	// removed and always shared.
	seed bool
}

// NewAddresses returns a set that contains the seeds.
func NewAddresses(seeds []string, clock gypsumtide.Clock) *Addresses {
	a := &Addresses{clock: clock, known: make(map[string]*addressInfo)}
	for _, s := range seeds {
		a.known[s] = &addressInfo{lastContact: clock.Now(), seed: true}
	}
	return a
}

// Add adds an address received from another process or read from the directory. It has no
// effect on an address that is known already, and ignores one that is invalid or beyond
// the limit of known addresses.
func (a *Addresses) Add(address string) {
	if gypsumtide.ValidateAddress(address) != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.known[address]; !ok && len(a.known) < maxAddresses {
		a.known[address] = &addressInfo{lastContact: a.clock.Now()}
	}
}

// AddRecords adds the addresses of directory records. It ignores records that
// their entries no longer renew, and records that are as far in the future, since these
// would never expire.
func (a *Addresses) AddRecords(records []gypsumtide.DirectoryRecord) {
	now := a.clock.Wall()
	for _, r := range records {
		if r.Announced > now-maxRecordAge && r.Announced < now+maxRecordAge {
			a.Add(r.Address)
		}
	}
}

// Confirm records a contact with the entry at the address, which it adds if needed.
func (a *Addresses) Confirm(address string) {
	a.Add(address)
	a.mu.Lock()
	defer a.mu.Unlock()
	if info, ok := a.known[address]; ok {
		info.lastContact = a.clock.Now()
	}
}

// Has reports whether the address is known.
func (a *Addresses) Has(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeExpired()
	_, ok := a.known[address]
	return ok
}

// List returns the known addresses in ascending order.
func (a *Addresses) List() []string { return a.list(addressTTL) }

// Shareable returns the addresses to share with other processes, in ascending
// order.
func (a *Addresses) Shareable() []string { return a.list(shareWindow) }

// list returns the seeds and the addresses that were added or had a contact within the
// given time, in ascending order.
func (a *Addresses) list(within gypsumtide.Millis) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeExpired()
	now := a.clock.Now()
	out := make([]string, 0, len(a.known))
	for address, info := range a.known {
		if info.seed || now-info.lastContact < within {
			out = append(out, address)
		}
	}
	sort.Strings(out)
	return out
}

// removeExpired removes addresses without a recent contact. The mutex must be held.
func (a *Addresses) removeExpired() {
	now := a.clock.Now()
	for address, info := range a.known {
		if !info.seed && now-info.lastContact >= addressTTL {
			delete(a.known, address)
		}
	}
}
