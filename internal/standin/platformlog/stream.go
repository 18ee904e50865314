package platformlog

import (
	"gypsumtide"
)

// stream holds the retained records of one stream. The Server's mutex guards it.
type stream struct {
	first   uint64
	records []record
	// changed is closed and replaced when a record is appended or the faults change.
	changed chan struct{}
}

// record is a stored record with the time of its append.
type record struct {
	data []byte
	at   gypsumtide.Millis
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(data []byte, now gypsumtide.Millis) uint64 {
	s.records = append(s.records, record{data: data, at: now})
	s.notify()
	return s.end() - 1
}

// notify wakes all goroutines that wait for changed.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the records that exceed the maximum age or count.
func (s *stream) expire(now, age gypsumtide.Millis, count int) {
	n := 0
	if count > 0 {
		n = max(0, len(s.records)-count)
	}
	for age > 0 && n < len(s.records) && now-s.records[n].at > age {
		n++
	}
	s.drop(n)
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
