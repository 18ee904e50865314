package routing

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
)

// registerEvacuations adds the gauges of the set of evacuated zones to set.
func (h *TableHolder) registerEvacuations(set *metrics.Set) {
	set.NewGauge("gypsumtide_entry_evacuations_version", func() float64 { return float64(h.Evacuations().Version) })
	set.NewGauge("gypsumtide_entry_evacuated_zones", func() float64 { return float64(len(h.Evacuations().Zones)) })
}

// Evacuations returns the newest set of evacuated zones. Its version is 0 until one has been
// received.
func (h *TableHolder) Evacuations() gypsumtide.Evacuations {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuations
}

// OnEvacuations adds a function that is called with each set that OfferEvacuations or
// correctEvacuations accepts, before these return. It must be called before the first of
// them. The calls of fn do not overlap, and fn must not call them.
func (h *TableHolder) OnEvacuations(fn func(e gypsumtide.Evacuations)) {
	h.onEvacuations = append(h.onEvacuations, fn)
}

// OfferEvacuations replaces the set of evacuated zones if e is newer, and reports whether it
// did. source is logged as the origin of the set. In either case the functions of
// OnEvacuations have returned for the set that is held on return or a newer one, so that a
// table that is offered afterwards is not used without it.
func (h *TableHolder) OfferEvacuations(e gypsumtide.Evacuations, source string) bool {
	h.notifying.Lock()
	defer h.notifying.Unlock()
	if !e.Newer(h.Evacuations()) {
		return false
	}
	// A peer may send the zones in any order.
	zones := slices.Clone(e.Zones)
	slices.Sort(zones)
	e.Zones = slices.Compact(zones)
	h.replaceEvacuations(e, source)
	return true
}

// correctEvacuations is OfferEvacuations for a list of the newest records of the store. The
// list also replaces a set of the same version with other zones, which results if a read has
// skipped a record.
func (h *TableHolder) correctEvacuations(e gypsumtide.Evacuations, source string) {
	h.notifying.Lock()
	defer h.notifying.Unlock()
	before := h.Evacuations()
	if before.Newer(e) || !e.Newer(before) && e.SameZones(before) {
		return
	}
	if !e.Newer(before) {
		h.log.Decision("evacuations-corrected", "version", e.Version, "zones", len(e.Zones), "before", len(before.Zones), "source", source)
	}
	h.replaceEvacuations(e, source)
}

// replaceEvacuations replaces the set and calls the functions of OnEvacuations. The caller
// holds h.notifying.
func (h *TableHolder) replaceEvacuations(e gypsumtide.Evacuations, source string) {
	h.logEvacuations(h.Evacuations(), e, source)
	h.mu.Lock()
	h.evacuations = e
	h.mu.Unlock()
	for _, fn := range h.onEvacuations {
		fn(e)
	}
}

// logEvacuations logs the zones by which two sets differ.
func (h *TableHolder) logEvacuations(before, after gypsumtide.Evacuations, source string) {
	for _, zone := range after.Zones {
		if !before.Contains(zone) {
			h.log.Decision("evacuation", "zone", zone, "version", after.Version, "source", source)
		}
	}
	for _, zone := range before.Zones {
		if !after.Contains(zone) {
			h.log.Decision("evacuation-ended", "zone", zone, "version", after.Version, "source", source)
		}
	}
}
