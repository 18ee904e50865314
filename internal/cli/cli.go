// Package cli holds the command lines of the programs.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"gypsumtide/internal/program"
	"gypsumtide/internal/settings"
)

// daemon returns the command line of a daemon. Its action loads the settings into cfg,
// which contains log, and then calls run unless --check is set.
func daemon(name, usage string, cfg settings.Checker, log *settings.Log, run func(ctx context.Context, log logr.Logger) error) *cli.Command {
	return &cli.Command{
		Name:    name,
		Usage:   usage,
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "YAML settings `FILE`; without it, the defaults apply"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, list every error, and exit"},
		},
		Commands: []*cli.Command{versionCommand(name)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := settings.Load(cmd.String("settings"), cfg); err != nil {
				return err
			}
			if cmd.Bool("check") {
				fmt.Println("settings are valid")
				return nil
			}
			return run(ctx, NewLogger(os.Stderr, log.Level))
		},
	}
}

func versionCommand(name string) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println(name, program.Version)
			return nil
		},
	}
}

// NewLogger returns a logger that writes JSON lines to w and drops those above
// the verbosity level.
func NewLogger(w io.Writer, level int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-level), ReplaceAttr: nameLevel})
	return logr.FromSlogHandler(handler)
}

// nameLevel prints every verbosity level of logr above 0 as DEBUG. By default,
// slog prints them as offsets, such as DEBUG+3 and DEBUG+2.
func nameLevel(_ []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level < slog.LevelInfo {
		return slog.String(a.Key, "DEBUG")
	}
	return a
}
