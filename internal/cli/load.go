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
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "YAML `FILE` with classes, swing and targets"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, list every error, and exit"},
			&cli.StringSliceFlag{Name: "target", Usage: "base `URL` of an entry (repeatable)"},
			&cli.Float64Flag{Name: "rate", Usage: "jobs per second of the classes with a share"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the schedule"},
			&cli.StringFlag{Name: "history", Usage: "write the callers' history to `FILE`"},
			&cli.StringFlag{Name: "json", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "write the response ratios as SVG to `FILE`"},
		},
		Commands: []*cli.Command{versionCommand(name)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := settings.Load(cmd.String("settings"), cfg); err != nil {
				return err
			}
			applyFlags(cmd, cfg)
			if err := settings.Load("", cfg); err != nil {
				return err
			}
			if cmd.Bool("check") {
				fmt.Println("settings are valid")
				return nil
			}
			rep, err := load.RunFile(ctx, cfg)
			if err != nil {
				return err
			}
			return writeReport(cmd, rep)
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

func writeReport(cmd *cli.Command, rep *load.Report) error {
	if err := rep.WriteText(os.Stdout); err != nil {
		return err
	}
	if path := cmd.String("json"); path != "" {
		data, err := json.MarshalIndent(rep, "", "  ")
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	if path := cmd.String("plot"); path != "" {
		return writeFile(path, rep.WritePlot)
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
