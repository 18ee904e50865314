package cli

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"gypsumtide/internal/standin/platformlog"
)

// StandinLog is the command of the platform log's stand-in.
func StandinLog() *cli.Command {
	cfg := platformlog.DefaultSettings()
	return daemon("standin-log", "stand-in of the platform's append-only log", &cfg, &cfg.Log,
		func(ctx context.Context, log logr.Logger) error { return platformlog.Run(ctx, cfg, log) })
}
