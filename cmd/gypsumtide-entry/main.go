// Command gypsumtide-entry is the daemon on an entry host that serves callers and
// operators.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Entry())) }
