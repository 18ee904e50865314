package stored

import (
	"slices"

	"gypsumtide"
)

// membership is this entry's share of the partitions, as far as the log has
// confirmed it. It performs no I/O.
type membership struct {
	ttl gypsumtide.Millis
	// generation is the last distribution seen, acknowledged the last one whose
	// losses have been carried out.
	generation   uint64
	acknowledged uint64
	// validUntil is the time from which the log may have given the partitions away.
	validUntil gypsumtide.Millis
	assigned   []int
}

// ttlSafetyFactor is the part of the time to live for which a confirmation counts, since
// the clocks of two hosts differ.
const ttlSafetyFactor = 0.9

// applyJoinResult takes an answer to a join that was sent at sentAt.
func (m *membership) applyJoinResult(sentAt gypsumtide.Millis, a gypsumtide.Assignment) {
	if a.Generation < m.generation {
		return // An answer that was overtaken.
	}
	m.generation, m.assigned = a.Generation, a.Partitions
	m.validUntil = max(m.validUntil, sentAt+gypsumtide.Millis(ttlSafetyFactor*float64(m.ttl)))
}

// valid reports whether no other entry can hold the partitions that are assigned here,
// unless the log has dealt all of them anew.
func (m *membership) valid(now gypsumtide.Millis) bool { return now < m.validUntil }

// isAssigned reports whether a partition is assigned to this entry.
func (m *membership) isAssigned(partition int) bool { return slices.Contains(m.assigned, partition) }

// epochShift leaves room for the openings of partitions within a generation.
const epochShift = 20

// epoch returns the epoch of the given opening, higher than those of earlier
// generations and openings.
func (m *membership) epoch(openCount uint64) uint64 {
	return m.generation<<epochShift | openCount&(1<<epochShift-1)
}
