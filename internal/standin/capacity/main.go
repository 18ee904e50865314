// The capacity program measures how the resource usage of each role (entry or
// agent) grows with the size of the deployment. For most measurements it runs entries and
// agents as child processes on the loopback interface, so that the processor time of each
// role is measured separately. The measurements spread, memory and bytes run in the
// program itself. docs/CAPACITY.md is based on its output.
//
// An entry accepts jobs from callers and dispatches their tasks to the agents that
// are connected to it. An agent runs on each worker and passes tasks on to upstreams.
package main

import (
	"errors"
	"fmt"
	"os"
)

// designAgents is the number of agents that the system is designed for.
const designAgents = 3000

// measurements maps the arguments of the program to their measurements.
var measurements = map[string]func() error{
	"sessions": measureSessions,
	"entries":  measureEntries,
	"starts":   measureStarts,
	"frames":   measureFrames,
	"spread":   measureSpread,
	"takeover": measureTakeover,
	"memory":   measureMemory,
	"bytes":    measureBytes,
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) > 0 && args[0] == "child" {
		return runChild(args[1:])
	}
	if len(args) == 0 {
		return errors.New("expected one or more of sessions, entries, frames, starts, takeover, spread, memory, bytes")
	}
	for _, name := range args {
		measure, ok := measurements[name]
		if !ok {
			return fmt.Errorf("unknown measurement %q", name)
		}
		if err := measure(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
