package cli

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"gypsumtide"
	"gypsumtide/internal/entry"
	"gypsumtide/internal/settings"
)

// Entry returns the command line of gypsumtide-entry.
func Entry() *cli.Command {
	cfg := settings.DefaultEntry()
	return daemon("gypsumtide-entry", "serve callers and operators on an entry host", cfg, &cfg.Log, func(ctx context.Context, log logr.Logger) error {
		cfg.Limits().SetMemoryLimit()
		e, err := entry.New(cfg, gypsumtide.NewSystemClock(), log)
		if err != nil {
			return err
		}
		return e.Run(ctx)
	})
}
