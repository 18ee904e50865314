package runner

import (
	"testing"

	"gypsumtide"
)

// BenchmarkRun measures the processing of a run from its order to its final report.
func BenchmarkRun(b *testing.B) {
	s := newSyncedState()
	n := 0
	for b.Loop() {
		n++
		o := testOrder(n)
		s.Submit(gypsumtide.Millis(n), "entry", o, gypsumtide.Millis(n))
		e := s.TakeEffects()
		s.StartAnswered(gypsumtide.Millis(n), e.Starts[0], 5000, nil)
		c, _ := s.NextRenewal(gypsumtide.Millis(n), 60)
		s.RenewAnswered(gypsumtide.Millis(n), gypsumtide.Millis(n), c, gypsumtide.RenewResponse{
			StartTime: testIncarnation.StartTime, Clock: 5000, Ended: []gypsumtide.RunEnd{{Number: uint64(n), Ref: o.Ref, Kind: gypsumtide.EndDone}},
		}, nil)
		s.TakeEffects()
	}
}
