package main

import (
	"math"
	"testing"
)

// Guards against a wrong slope, base or spread, which docs/CAPACITY.md would quote.
func TestFit(t *testing.T) {
	l := fit([]point{{1, 6}, {2, 7}, {3, 10}, {4, 11}})
	if math.Abs(l.slope-1.8) > 1e-9 || math.Abs(l.base-4) > 1e-9 || math.Abs(l.rmse-math.Sqrt(0.2)) > 1e-9 {
		t.Errorf("got %+v, want slope 1.8, base 4, spread %f", l, math.Sqrt(0.2))
	}
}
