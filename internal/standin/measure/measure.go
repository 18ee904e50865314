// Package measure runs deployments of real processes under loads like those of
// the user organisations and writes Markdown tables of the measures that
// docs/design.md defines.
package measure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gypsumtide/internal/standin/load"
)

// Config describes a run.
type Config struct {
	// Bin is the directory of the programs that the deployments run.
	Bin string
	// Dir is an existing directory in which every repetition creates a directory for its
	// settings, logs and histories. If it is empty, they go to a temporary directory that
	// is deleted after a repetition without errors and violations.
	Dir string
	// Output is the Markdown file. The plots are written to the same directory.
	Output string
	// Seed is the seed of the first repetition; each further one uses the next seed.
	Seed uint64
	// Repetitions is the number of repetitions of each row.
	Repetitions int
	// Experiments, Organisations and Rows select what runs by name; empty means all. A
	// row runs if its name contains one of Rows. An unknown experiment is an error, while
	// unknown organisations and rows select nothing.
	Experiments, Organisations, Rows []string
	// Command is the command line that is printed with each table.
	Command string
	// Progress receives the values and errors of each repetition, and errors of plots.
	Progress io.Writer
}

// Default returns the settings of the measure command before flags override them.
func Default() *Config {
	return &Config{Bin: "./bin", Output: "measurements.md", Seed: 1, Repetitions: 5, Progress: os.Stderr}
}

// ExperimentNames returns the names of the experiments.
func ExperimentNames() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs the selected experiments and writes each table as soon as it is complete.
func Run(ctx context.Context, cfg *Config) error {
	for _, name := range cfg.Experiments {
		if !slices.Contains(ExperimentNames(), name) {
			return fmt.Errorf("measure: unknown experiment %q, want one of %s", name, strings.Join(ExperimentNames(), ", "))
		}
	}
	out, err := os.Create(cfg.Output)
	if err != nil {
		return fmt.Errorf("measure: output: %w", err)
	}
	err = cfg.run(ctx, out)
	return errors.Join(err, out.Close())
}

func (c *Config) run(ctx context.Context, out io.Writer) error {
	if _, err := fmt.Fprint(out, preamble); err != nil {
		return fmt.Errorf("measure: output: %w", err)
	}
	for _, e := range experiments() {
		if !isSelected(c.Experiments, e.name) {
			continue
		}
		for _, org := range e.organisations {
			if !isSelected(c.Organisations, org.name) {
				continue
			}
			if err := c.runTable(ctx, out, &e, org); err != nil {
				return err
			}
		}
	}
	return nil
}

// isSelected reports whether name is in names or names is empty.
func isSelected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (c *Config) isSelectedRow(name string) bool {
	return len(c.Rows) == 0 || slices.ContainsFunc(c.Rows, func(part string) bool { return strings.Contains(name, part) })
}

const preamble = `# Measurements

Each cell is the median of the repetitions with the lowest and the highest in parentheses. Each repetition runs on a
fresh deployment of 11 workers of 8 slots in racks of up to 3; fault proxies add the one-way delays between availability
zones and between callers and entries. Load is open-loop with Poisson arrivals unless stated.

Response ratio = (answer received - request sent) / (longest run time of the job's tasks, start to end as the upstream
recorded it + 2 x one-way delay between caller and entry), of complete jobs, without the first second of load on a fresh
deployment. The hop between entry and worker is not part of the ideal. Wasted messages per task = messages between
entries and agents (gypsumtide_messages_total: dispatches, results, not-started, recalls, cancels, queries, heartbeat
frames and others) / completed tasks - 2.
`

// runTable runs the selected rows of an experiment for an organisation and writes
// the table and its plot. Repetitions that fail or have violations are listed below the
// table. If ctx is done, it returns without writing either.
func (c *Config) runTable(ctx context.Context, out io.Writer, e *experiment, org organisation) error {
	t := table{experiment: e, organisation: org, cfg: c, plots: &load.Report{Classes: map[string]*load.ClassReport{}}}
	for i := range e.trials {
		tr := &e.trials[i]
		if !c.isSelectedRow(tr.name) {
			continue
		}
		var repetitions [][]float64
		for n := range c.Repetitions {
			seed := c.Seed + uint64(n)
			t.sampleLoadAverage()
			r, err := c.runTrial(ctx, org, tr, seed)
			if err != nil {
				fmt.Fprintf(c.Progress, "%s %s, %s, seed %d: %v\n", e.name, org.name, tr.name, seed, err)
				t.failures = append(t.failures, fmt.Sprintf("%s, seed %d: %v", tr.name, seed, err))
				if ctx.Err() != nil {
					return ctx.Err()
				}
				continue
			}
			values := e.values(r)
			t.noteViolations(tr.name, seed, r)
			fmt.Fprintf(c.Progress, "%s %s, %s, seed %d: %.3f\n", e.name, org.name, tr.name, seed, values)
			repetitions = append(repetitions, values)
			if len(repetitions) == 1 {
				t.plots.Classes[tr.name] = firstClass(r.measuredLoad().report)
			}
		}
		t.addRow(tr.name, repetitions)
	}
	t.sampleLoadAverage()
	if err := t.write(out); err != nil {
		return err
	}
	return c.writePlot(&t)
}

// firstClass returns the report of the class whose name sorts first.
func firstClass(r *load.Report) *load.ClassReport {
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	return r.Classes[slices.Min(names)]
}

func (c *Config) writePlot(t *table) error {
	if len(t.plots.Classes) == 0 {
		return nil
	}
	var svg bytes.Buffer
	if err := t.plots.WritePlot(&svg); err != nil {
		// A plot that cannot be drawn, for example because no job was completed, must not
		// prevent the remaining tables.
		fmt.Fprintf(c.Progress, "%s: %v\n", t.plotName(), err)
		return nil
	}
	if err := os.WriteFile(filepath.Join(filepath.Dir(c.Output), t.plotName()), svg.Bytes(), 0o600); err != nil {
		return fmt.Errorf("measure: plot: %w", err)
	}
	return nil
}
