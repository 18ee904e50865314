package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"gypsumtide/internal/eventlog"
)

// readLogs reads the decision lines of files and says what it could not read.
func readLogs(cmd *cli.Command, paths []string) ([]eventlog.Line, error) {
	if len(paths) == 0 {
		return nil, errors.New("name at least one log file")
	}
	var all []eventlog.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines, foreign, err := eventlog.Read(f)
		_ = f.Close() // It was only read.
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if len(lines) == 0 {
			return nil, fmt.Errorf("%s: no decision lines", path)
		}
		if foreign > 0 {
			fmt.Fprintf(cmd.Root().ErrWriter, "%s: %d lines are cut or no decision lines\n", path, foreign)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func traceJob(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return errors.New("name a job and at least one log file")
	}
	lines, err := readLogs(cmd, args[1:])
	if err != nil {
		return err
	}
	n, err := eventlog.Trace(cmd.Root().Writer, lines, args[0])
	if err == nil && n == 0 {
		return fmt.Errorf("no line is about %s; lines of requests that went well may have been dropped, see dropped-so-far", args[0])
	}
	return err
}

func summarizeLogs(_ context.Context, cmd *cli.Command) error {
	lines, err := readLogs(cmd, cmd.Args().Slice())
	if err != nil {
		return err
	}
	return eventlog.Summary(cmd.Root().Writer, lines)
}
