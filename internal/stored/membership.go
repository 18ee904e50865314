package stored

import (
	"slices"

	"gypsumtide"
)

// membership is the entry's membership in the log's group, with the partitions
// that the log assigned to it. It performs no I/O.
type membership struct {
	ttl gypsumtide.Millis
	// generation is that of the newest assignment received. acknowledged is the last
	// generation whose revoked partitions this entry has released.
	generation   uint64
	acknowledged uint64
	// validUntil is the time until which this entry acts as the owner of its partitions. It
	// is before the time from which the log may assign them to others.
	validUntil gypsumtide.Millis
	assigned   []int
}

// ttlSafetyFactor is the fraction of the TTL for which this entry considers a join valid.
// It is below 1 since the log measures the TTL by its own clock, and the clocks of two hosts
// differ.
const ttlSafetyFactor = 0.9

// applyJoinResult updates the membership with the answer to a join sent at sentAt.
func (m *membership) applyJoinResult(sentAt gypsumtide.Millis, a gypsumtide.Assignment) {
	if a.Generation < m.generation {
		return // The answer is older than one that was applied before.
	}
	m.generation, m.assigned = a.Generation, a.Partitions
	m.validUntil = max(m.validUntil, sentAt+gypsumtide.Millis(ttlSafetyFactor*float64(m.ttl)))
}

// valid reports whether the membership has not expired. As long as it is valid, no other
// entry owns the assigned partitions, unless the log has reassigned all partitions at once
// without waiting for their owners to release them.
func (m *membership) valid(now gypsumtide.Millis) bool { return now < m.validUntil }

// isAssigned reports whether the partition is assigned to this entry.
func (m *membership) isAssigned(partition int) bool { return slices.Contains(m.assigned, partition) }

// epochShift is the number of low bits of an epoch that hold the open count.
const epochShift = 20

// epoch returns the epoch of a partition that this process opens. openCount is how many
// times the process has opened any partition, including this time; the epoch contains its
// lowest epochShift bits. The epoch is higher than every epoch of an earlier generation, and
// higher than those of the same generation with a lower openCount.
func (m *membership) epoch(openCount uint64) uint64 {
	return m.generation<<epochShift | openCount&(1<<epochShift-1)
}
