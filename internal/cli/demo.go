package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"gypsumtide/internal/program"
	"gypsumtide/internal/standin/demo"
)

// Demo returns the command line of gypsumtide-demo.
func Demo() *cli.Command {
	const name = "gypsumtide-demo"
	cfg := demo.Default()
	return &cli.Command{
		Name:    name,
		Usage:   "run a small deployment under mixed load and check its history",
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: cfg.Bin, Destination: &cfg.Bin, Usage: "`DIRECTORY` of the programs"},
			&cli.StringFlag{Name: "dir", Destination: &cfg.Dir, Usage: "`DIRECTORY` for logs and histories; a new temporary one if empty"},
			&cli.Uint64Flag{Name: "seed", Value: cfg.Seed, Destination: &cfg.Seed, Usage: "seed of the load"},
		},
		Commands: []*cli.Command{versionCommand(name)},
		Action:   func(ctx context.Context, _ *cli.Command) error { return demo.Run(ctx, cfg) },
	}
}
