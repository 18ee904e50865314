// Package cli holds the command lines of the programs.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"gypsumtide/internal/settings"
)

// Version is set by the linker for releases.
var Version = "development"

// Main runs cmd until it ends or the process receives SIGTERM or SIGINT, and
// returns the exit status.
func Main(cmd *cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// daemon returns the command of a daemon: it loads the settings, and either
// checks them or runs.
func daemon(name, usage string, cfg settings.Checked, log *settings.Log, run func(ctx context.Context, log logr.Logger) error) *cli.Command {
	return &cli.Command{
		Name:    name,
		Usage:   usage,
		Version: Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "YAML settings `FILE`; the defaults run as they are"},
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
			fmt.Println(name, Version)
			return nil
		},
	}
}

// NewLogger returns a logger that writes JSON lines to w up to the verbosity level.
func NewLogger(w io.Writer, level int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-level), ReplaceAttr: nameLevel})
	return logr.FromSlogHandler(handler)
}

// nameLevel names the verbosity levels of logr, which slog prints as DEBUG+3 and DEBUG+2.
func nameLevel(_ []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level < slog.LevelInfo {
		return slog.String(a.Key, "DEBUG")
	}
	return a
}
