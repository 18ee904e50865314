package cli

import (
	"context"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"gypsumtide/internal/program"
	"gypsumtide/internal/standin/measure"
)

// Measure returns the command line of gypsumtide-measure.
func Measure() *cli.Command {
	const name = "gypsumtide-measure"
	cfg := measure.Default()
	return &cli.Command{
		Name:    name,
		Usage:   "run deployments under the loads of the organisations and write tables of the measurements",
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: cfg.Bin, Destination: &cfg.Bin, Usage: "`DIRECTORY` of the programs"},
			&cli.StringFlag{Name: "dir", Destination: &cfg.Dir, Usage: "`DIRECTORY` for logs and histories; if empty, they are temporary and kept only after errors or violations"},
			&cli.StringFlag{Name: "output", Value: cfg.Output, Destination: &cfg.Output, Usage: "Markdown `FILE`; plots are written beside it"},
			&cli.Uint64Flag{Name: "seed", Value: cfg.Seed, Destination: &cfg.Seed, Usage: "seed of the first repetition"},
			&cli.IntFlag{Name: "repetitions", Value: cfg.Repetitions, Destination: &cfg.Repetitions, Usage: "repetitions of each row"},
			&cli.StringSliceFlag{Name: "experiment", Destination: &cfg.Experiments, Usage: "experiment to run: " + strings.Join(measure.ExperimentNames(), ", ") + "; all if absent"},
			&cli.StringSliceFlag{Name: "site", Destination: &cfg.Organisations, Usage: "organisation whose load to run: consortium or ristikko; all if absent"},
			&cli.StringSliceFlag{Name: "row", Destination: &cfg.Rows, Usage: "run only rows whose name contains the text"},
		},
		Commands: []*cli.Command{versionCommand(name)},
		Action: func(ctx context.Context, _ *cli.Command) error {
			cfg.Command = strings.Join(os.Args, " ")
			return measure.Run(ctx, cfg)
		},
	}
}
