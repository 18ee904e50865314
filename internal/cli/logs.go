package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
	"github.com/wcharczuk/go-chart/v2"

	"gypsumtide/internal/eventlog"
)

// readLogs reads the decision lines of the files. It prints the number of lines
// that it skipped in a file, if any, to the error output. A file without decision lines
// is an error.
func readLogs(cmd *cli.Command, paths []string) ([]eventlog.Line, error) {
	if len(paths) == 0 {
		return nil, errors.New("give at least one log file")
	}
	var all []eventlog.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines, skipped, err := eventlog.Read(f)
		_ = f.Close() // Nothing was written, so no data can be lost.
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if len(lines) == 0 {
			return nil, fmt.Errorf("%s: no decision lines", path)
		}
		if skipped > 0 {
			fmt.Fprintf(cmd.Root().ErrWriter, "%s: skipped %d lines that are truncated or not decision lines\n", path, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func traceJob(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return errors.New("give the ID of a job or request and at least one log file")
	}
	lines, err := readLogs(cmd, args[1:])
	if err != nil {
		return err
	}
	n, err := eventlog.WriteTrace(cmd.Root().Writer, lines, args[0])
	if err == nil && n == 0 {
		return fmt.Errorf("no decision line for ID %s; lines of successful requests may have been dropped, see dropped-so-far in the logs", args[0])
	}
	return err
}

func summarizeLogs(_ context.Context, cmd *cli.Command) error {
	lines, err := readLogs(cmd, cmd.Args().Slice())
	if err != nil {
		return err
	}
	if path := cmd.String("plot"); path != "" {
		if err := writeOutcomePlot(path, lines); err != nil {
			return err
		}
	}
	if cmd.Bool("breakdown") {
		return eventlog.NewBreakdown(lines).Write(cmd.Root().Writer)
	}
	return eventlog.WriteSummary(cmd.Root().Writer, lines)
}

func writeOutcomePlot(path string, lines []eventlog.Line) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return errors.Join(plotOutcomes(f, eventlog.CountOutcomes(lines)), f.Close())
}

// plotOutcomes draws the number of jobs per second, by outcome and reason, as SVG.
func plotOutcomes(w io.Writer, seconds []eventlog.OutcomeCounts) error {
	outcomes := make(map[string]bool)
	for _, s := range seconds {
		for outcome := range s.Counts {
			outcomes[outcome] = true
		}
	}
	graph := chart.Chart{
		Title: "jobs by outcome", XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "jobs per second"},
		YAxisSecondary: chart.YAxis{Style: chart.Hidden()},
	}
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		series := chart.ContinuousSeries{Name: outcome}
		for _, s := range seconds {
			series.XValues = append(series.XValues, s.At.Sub(seconds[0].At).Seconds())
			series.YValues = append(series.YValues, float64(s.Counts[outcome]))
		}
		graph.Series = append(graph.Series, series)
	}
	if len(seconds) < 2 {
		return errors.New("plot: the logs must contain ends of jobs in at least two different seconds")
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	if err := graph.Render(chart.SVG, w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
