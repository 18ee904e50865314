// Package routing keeps the newest route table of an entry, and the newest set of evacuated
// availability zones. It reads both from the store in which they are published, and newer
// ones from other entries, so that an entry that cannot reach the store receives them too.
// The entries also tell each other whether stored jobs are in use, and how many of them are
// queued.
package routing

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
)

// TableHolder holds the newest route table and the newest set of evacuated zones received
// since the start of the process. Their versions never decrease.
type TableHolder struct {
	clock gypsumtide.Clock
	log   gypsumtide.DecisionLogger

	mu         sync.Mutex
	table      *gypsumtide.RouteTable
	encoded    []byte
	replacedAt gypsumtide.Millis
	// evacuations is written with both notifying and mu locked.
	evacuations gypsumtide.Evacuations
	// storeUnavailable is set while reads of the store fail.
	storeUnavailable bool
	// onUpdate is called with each table that Offer accepts, after mu has been unlocked.
	onUpdate func(t *gypsumtide.RouteTable)

	// notifying is locked while a set is replaced and the functions of OnEvacuations are
	// called, so that they see the sets in the order of their versions.
	notifying     sync.Mutex
	onEvacuations []func(e gypsumtide.Evacuations)
}

// NewTableHolder returns a TableHolder without a table.
func NewTableHolder(clock gypsumtide.Clock, log gypsumtide.DecisionLogger) *TableHolder {
	return &TableHolder{clock: clock, log: log, onUpdate: func(*gypsumtide.RouteTable) {}}
}

// OnUpdate sets a function that is called with each table that Offer accepts. OnUpdate must
// be called before the first Offer. If Offer is called concurrently, the calls of fn may
// overlap, and a call with an older table may come last.
func (h *TableHolder) OnUpdate(fn func(t *gypsumtide.RouteTable)) { h.onUpdate = fn }

// Register adds gauges to set: the version of the table, the time since the table was
// received, the version of the set of evacuated zones and their number. Until there is a
// table, the second is the reading of the monotonic clock.
func (h *TableHolder) Register(set *metrics.Set) {
	set.NewGauge("gypsumtide_entry_table_version", func() float64 { return float64(h.Version()) })
	set.NewGauge("gypsumtide_entry_table_age_seconds", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return (h.clock.Now() - h.replacedAt).Duration().Seconds()
	})
	h.registerEvacuations(set)
}

// setStoreUnavailable records whether reads of the store fail.
func (h *TableHolder) setStoreUnavailable(unavailable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeUnavailable = unavailable
}

// awaitsPeerTable reports whether there is no table and the store does not provide one.
func (h *TableHolder) awaitsPeerTable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table == nil && h.storeUnavailable
}

// Table returns the newest table, or nil.
func (h *TableHolder) Table() *gypsumtide.RouteTable {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

// Version returns the version of the newest table, or 0.
func (h *TableHolder) Version() uint64 {
	if t := h.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// Encoded returns the newest table in the encoded form in which it was published, and its
// version, or nil and 0.
func (h *TableHolder) Encoded() ([]byte, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil, 0
	}
	return h.encoded, h.table.Version()
}

// Offer replaces the table if t is newer or the first one, and reports whether it did. raw
// is the encoded form of t. source is logged as the origin of the table.
func (h *TableHolder) Offer(t *gypsumtide.RouteTable, raw []byte, source string) bool {
	if !h.replace(t, raw, source) {
		return false
	}
	h.onUpdate(t)
	return true
}

func (h *TableHolder) replace(t *gypsumtide.RouteTable, raw []byte, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Version() <= h.table.Version() {
		return false
	}
	before := uint64(0)
	if h.table != nil {
		before = h.table.Version()
	}
	now := h.clock.Now()
	h.log.Decision("routes-taken", "version", t.Version(), "before", before, "before-age-ms", now-h.replacedAt,
		"source", source, "routes", len(t.Routes()))
	h.table, h.encoded, h.replacedAt = t, raw, now
	return true
}
