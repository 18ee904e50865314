package cli

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"gypsumtide"
	"gypsumtide/internal/agent"
	"gypsumtide/internal/settings"
)

// Agent returns the command line of gypsumtide-agent.
func Agent() *cli.Command {
	cfg := settings.DefaultAgent()
	return daemon("gypsumtide-agent", "start tasks on the upstreams of a worker", cfg, &cfg.Log, func(ctx context.Context, log logr.Logger) error {
		cfg.Limits().SetMemoryLimit()
		a, err := agent.New(cfg, log, gypsumtide.NewSystemClock())
		if err != nil {
			return err
		}
		return a.Run(ctx)
	})
}
