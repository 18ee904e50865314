// Package program runs the command line of a program. It is separate from package
// cli, which imports the test tools, so that gypsumtide-platform does not link
// them.
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

// Version is the version of the program. Release builds set it by a linker flag.
var Version = "development"

// Main runs cmd and returns the exit status. SIGTERM and SIGINT cancel the context
// of cmd; the resulting context.Canceled counts as success.
func Main(cmd *cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
