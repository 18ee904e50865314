package measure

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"gypsumtide/internal/standin/load"
)

// table collects the rows of an experiment for an organisation.
type table struct {
	experiment   *experiment
	organisation organisation
	cfg          *Config
	rows         []string
	// failures holds the errors and violations of the repetitions.
	failures     []string
	loadAverages []float64
	// plots holds, for each row, the first repetition that did not fail. The rows take the
	// place of the classes, so that WritePlot draws one curve for each.
	plots *load.Report
}

func (t *table) plotName() string {
	return fmt.Sprintf("%s-%s.svg", t.experiment.name, t.organisation.name)
}

// sampleLoadAverage records the host's load average over the last minute, if it can be
// read.
func (t *table) sampleLoadAverage() {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	first, _, _ := strings.Cut(string(data), " ")
	if v, err := strconv.ParseFloat(first, 64); err == nil {
		t.loadAverages = append(t.loadAverages, v)
	}
}

// noteViolations adds violations to the failures, since not every table has a
// column for them.
func (t *table) noteViolations(row string, seed uint64, r *result) {
	if len(r.violations) > 0 {
		t.failures = append(t.failures, fmt.Sprintf("%s, seed %d: %d violations, the first: %s", row, seed, len(r.violations), r.violations[0]))
	}
}

// addRow adds a row. repetitions holds the values of the repetitions that did not fail,
// in the order of the columns.
func (t *table) addRow(name string, repetitions [][]float64) {
	cells := []string{name}
	for i := range t.experiment.columns {
		var values []float64
		for _, r := range repetitions {
			values = append(values, r[i])
		}
		cells = append(cells, formatRange(values))
	}
	t.rows = append(t.rows, "| "+strings.Join(cells, " | ")+" |")
}

// formatRange formats the median, the lowest and the highest value. Without values it
// returns "failed". It sorts values.
func formatRange(values []float64) string {
	if len(values) == 0 {
		return "failed"
	}
	slices.Sort(values)
	n := len(values)
	median := (values[(n-1)/2] + values[n/2]) / 2
	return fmt.Sprintf("%s (%s-%s)", formatNumber(median), formatNumber(values[0]), formatNumber(values[n-1]))
}

// formatNumber formats v with three decimals, or with none if its absolute value
// is at least 100.
func formatNumber(v float64) string {
	if v >= 100 || v <= -100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

// write writes the table as Markdown.
func (t *table) write(w io.Writer) error {
	var b strings.Builder
	e, org, c := t.experiment, t.organisation, t.cfg
	fmt.Fprintf(&b, "\n## %s, %s\n%s\n\n", e.name, org.name, e.note)
	fmt.Fprintf(&b, "%d entries, %d availability zones %s apart, callers %s away. Command `%s`, seeds %d to %d",
		org.entries, org.zones, org.zoneDelay, org.callerDelay, c.Command, c.Seed, c.Seed+uint64(c.Repetitions)-1)
	if len(t.loadAverages) > 0 {
		fmt.Fprintf(&b, ", load average %.1f to %.1f", slices.Min(t.loadAverages), slices.Max(t.loadAverages))
	}
	fmt.Fprintf(&b, ".\n\n| row | %s |\n|---|%s\n%s\n", strings.Join(e.columns, " | "), strings.Repeat("---|", len(e.columns)), strings.Join(t.rows, "\n"))
	for i, f := range t.failures {
		if i == 0 {
			b.WriteString("\nFailures:\n")
		}
		fmt.Fprintf(&b, "- %s\n", f)
	}
	fmt.Fprintf(&b, "\n![response ratio by quantile, computed from the requested run times, first repetition](%s)\n", t.plotName())
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("measure: output: %w", err)
	}
	return nil
}
