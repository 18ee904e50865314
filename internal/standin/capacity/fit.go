package main

import (
	"fmt"
	"math"
	"slices"
)

// point is one measured value at one size. The size is the number that a measurement
// varies, for example the number of agents or shards.
type point struct{ size, value float64 }

// line is the result of a least-squares fit value = base + slope * size.
type line struct {
	base, slope float64
	// rmse is the root mean square of the residuals. It is printed as spread.
	rmse float64
}

// fit returns the least-squares line through the points. If all have the same size,
// it is the mean with a slope of 0.
func fit(points []point) line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	l := line{}
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.base = (sy - l.slope*sx) / n
	var sum float64
	for _, p := range points {
		r := p.value - l.base - l.slope*p.size
		sum += r * r
	}
	l.rmse = math.Sqrt(sum / n)
	return l
}

// series collects the points of several quantities by name. names holds the names
// in the order in which they were first added.
type series struct {
	names  []string
	points map[string][]point
}

func newSeries() *series { return &series{points: make(map[string][]point)} }

func (s *series) add(name string, size int, value float64) {
	if !slices.Contains(s.names, name) {
		s.names = append(s.names, name)
	}
	s.points[name] = append(s.points[name], point{size: float64(size), value: value})
}

// formatRanges formats the lowest and the highest value of each size, or one value if
// they are equal.
func formatRanges(points []point) []string {
	var out []string
	seen := map[float64]bool{}
	for _, p := range points {
		if seen[p.size] {
			continue
		}
		seen[p.size] = true
		lo, hi := p.value, p.value
		for _, q := range points {
			if q.size == p.size {
				lo, hi = min(lo, q.value), max(hi, q.value)
			}
		}
		r := fmt.Sprintf("%.0f:%.4g", p.size, lo)
		if hi != lo {
			r += fmt.Sprintf("..%.4g", hi)
		}
		out = append(out, r)
	}
	return out
}

// print writes the ranges and the fit of each quantity to stdout, with the value
// that the fit predicts at designSize, the size that the system is designed for.
func (s *series) print(title string, designSize int) {
	fmt.Printf("\n## %s\n", title)
	for _, name := range s.names {
		l := fit(s.points[name])
		fmt.Printf("%-44s", name)
		for _, r := range formatRanges(s.points[name]) {
			fmt.Printf(" %s", r)
		}
		fmt.Printf("\n%-44s slope %.4g base %.4g spread %.3g; at %d: %.4g\n", "", l.slope, l.base, l.rmse, designSize, l.base+l.slope*float64(designSize))
	}
}
