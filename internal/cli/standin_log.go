package cli

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"gypsumtide/internal/standin/platformlog"
)

// StandinLog returns the command line of standin-log.
func StandinLog() *cli.Command {
	cfg := platformlog.DefaultSettings()
	return daemon("standin-log", "stand-in for the platform's append-only log", &cfg, &cfg.Log,
		func(ctx context.Context, log logr.Logger) error { return platformlog.Run(ctx, cfg, log) })
}
