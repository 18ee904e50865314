package platformlog

import (
	"gypsumtide"
)

// stream holds the retained records of one stream. The Server's mutex guards it.
type stream struct {
	// first is the offset of the first record in records.
	first   uint64
	records []record
	// changed is closed and replaced when a record is appended or the faults change.
	changed chan struct{}
}

// record is a stored record with the time at which it was appended.
type record struct {
	data       []byte
	appendedAt gypsumtide.Millis
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(data []byte, now gypsumtide.Millis) uint64 {
	s.records = append(s.records, record{data: data, appendedAt: now})
	s.notify()
	return s.end() - 1
}

// notify wakes all goroutines that wait for changed.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes records that are older than maxAge, and the oldest ones beyond maxCount.
// A limit of 0 means no limit.
func (s *stream) expire(now, maxAge gypsumtide.Millis, maxCount int) {
	expired := 0
	if maxCount > 0 {
		expired = max(0, len(s.records)-maxCount)
	}
	for maxAge > 0 && expired < len(s.records) && now-s.records[expired].appendedAt > maxAge {
		expired++
	}
	s.drop(expired)
}

// trim removes the records before the offset.
func (s *stream) trim(before uint64) {
	if before > s.first {
		s.drop(int(min(before, s.end()) - s.first))
	}
}

func (s *stream) drop(n int) {
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first += uint64(n)
}
