package platformlog

import (
	"gypsumtide"
)

// stream holds the records that the retention has left. The Server's lock guards it.
type stream struct {
	first   uint64
	records []stored
	// grown is closed and replaced when a record arrives.
	grown chan struct{}
}

type stored struct {
	data []byte
	at   gypsumtide.Millis
}

func newStream() *stream { return &stream{grown: make(chan struct{})} }

func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(data []byte, now gypsumtide.Millis) uint64 {
	s.records = append(s.records, stored{data: data, at: now})
	s.wake()
	return s.end() - 1
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// expire drops the records that exceed the retention.
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

// trim drops the records before the offset.
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
