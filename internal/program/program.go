// Package program runs the command line of a program. It is apart from package
// cli so that a daemon does not link the tools of the tests.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
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
