package load

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
)

// WritePlot writes an SVG plot of the response ratio of each class by quantile.
func (r *Report) WritePlot(w io.Writer) error {
	quantiles := []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9}
	graph := chart.Chart{
		Title: "response ratio by quantile",
		XAxis: chart.XAxis{Name: "quantile"},
		YAxis: chart.YAxis{Name: "response ratio"},
		// All series use the primary axis. The secondary one would only show zeros.
		YAxisSecondary: chart.YAxis{Style: chart.Hidden()},
	}
	// The quantiles are spaced evenly on the x axis to keep the tail readable.
	var ticks []chart.Tick
	for i, q := range quantiles {
		ticks = append(ticks, chart.Tick{Value: float64(i), Label: fmt.Sprintf("p%g", q)})
	}
	graph.XAxis.Ticks = ticks
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		if c.ratios == nil || c.ratios.TotalCount() == 0 {
			continue
		}
		s := chart.ContinuousSeries{Name: name}
		for i, q := range quantiles {
			s.XValues = append(s.XValues, float64(i))
			s.YValues = append(s.YValues, float64(c.ratios.ValueAtQuantile(q))/ratioUnit)
		}
		graph.Series = append(graph.Series, s)
	}
	if len(graph.Series) == 0 {
		return fmt.Errorf("load: plot: no job was completed")
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	if err := graph.Render(chart.SVG, w); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	return nil
}
