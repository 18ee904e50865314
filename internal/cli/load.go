package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"gypsumtide"
	"gypsumtide/internal/program"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/load"
)

// Load returns the command line of gypsumtide-load.
func Load() *cli.Command {
	const name = "gypsumtide-load"
	cfg := load.Default()
	return &cli.Command{
		Name:    name,
		Usage:   "send open-loop load to entries and report response times and outcomes",
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "YAML settings `FILE` with the targets, the job classes and the peak of the rate (swing); without it, the defaults apply"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, list every error, and exit"},
			&cli.StringSliceFlag{Name: "target", Usage: "base `URL` of an entry (repeatable)"},
			&cli.Float64Flag{Name: "rate", Usage: "jobs per second, divided among the job classes that have a share"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrival times and of the random properties of jobs"},
			&cli.StringFlag{Name: "history", Usage: "write each request with its outcome to `FILE`, as JSON lines"},
			&cli.StringFlag{Name: "json", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "plot the ratio of response time to ideal response time as SVG to `FILE`"},
		},
		Commands: []*cli.Command{versionCommand(name)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := settings.Load(cmd.String("settings"), cfg); err != nil {
				return err
			}
			applyFlags(cmd, cfg)
			// The flags may have made the settings invalid.
			if err := settings.Load("", cfg); err != nil {
				return err
			}
			if cmd.Bool("check") {
				fmt.Println("settings are valid")
				return nil
			}
			report, err := load.RunFile(ctx, cfg)
			if err != nil {
				return err
			}
			return writeReport(cmd, report)
		},
	}
}

// applyFlags overrides the settings file with the flags that were given.
func applyFlags(cmd *cli.Command, cfg *load.Config) {
	if cmd.IsSet("target") {
		cfg.Targets = cmd.StringSlice("target")
	}
	if cmd.IsSet("rate") {
		cfg.Rate = cmd.Float64("rate")
	}
	if cmd.IsSet("duration") {
		cfg.Duration = gypsumtide.FromDuration(cmd.Duration("duration"))
	}
	if cmd.IsSet("seed") {
		cfg.Seed = cmd.Uint64("seed")
	}
	if cmd.IsSet("history") {
		cfg.History = cmd.String("history")
	}
}

func writeReport(cmd *cli.Command, report *load.Report) error {
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if path := cmd.String("json"); path != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	if path := cmd.String("plot"); path != "" {
		return writeFile(path, report.WritePlot)
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := write(f); err != nil {
		return err
	}
	return f.Close()
}
