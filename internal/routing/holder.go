// Package routing keeps the newest route table of an entry and spreads it.
package routing

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
)

// TableHolder holds the newest table seen in this life of the process. The version
// never goes back.
type TableHolder struct {
	clock gypsumtide.Clock
	log   gypsumtide.Recorder

	mu    sync.Mutex
	table *gypsumtide.RouteTable
	raw   []byte
	taken gypsumtide.Millis
	// onTable is called with each table taken.
	onTable func(t *gypsumtide.RouteTable)
}

// NewTableHolder returns a TableHolder without a table.
func NewTableHolder(clock gypsumtide.Clock, log gypsumtide.Recorder) *TableHolder {
	return &TableHolder{clock: clock, log: log, onTable: func(*gypsumtide.RouteTable) {}}
}

// OnUpdate sets what is called with each table taken. It must be called before
// the first Offer.
func (h *TableHolder) OnUpdate(fn func(t *gypsumtide.RouteTable)) { h.onTable = fn }

// Register adds the version of the table, and the time since it was taken, to set.
func (h *TableHolder) Register(set *metrics.Set) {
	set.NewGauge("gypsumtide_entry_table_version", func() float64 { return float64(h.Version()) })
	set.NewGauge("gypsumtide_entry_table_age_seconds", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return (h.clock.Now() - h.taken).Duration().Seconds()
	})
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

// Encoded returns the published form of the newest table.
func (h *TableHolder) Encoded() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.raw
}

// Offer takes a table if it is newer than the one held.
func (h *TableHolder) Offer(t *gypsumtide.RouteTable, raw []byte, source string) bool {
	if !h.take(t, raw, source) {
		return false
	}
	h.onTable(t)
	return true
}

func (h *TableHolder) take(t *gypsumtide.RouteTable, raw []byte, source string) bool {
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
	h.log.Decision("routes-taken", "version", t.Version(), "before", before, "before-age-ms", now-h.taken,
		"source", source, "routes", len(t.Routes()))
	h.table, h.raw, h.taken = t, raw, now
	return true
}
