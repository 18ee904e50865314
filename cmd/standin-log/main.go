// Command standin-log is a stand-in for the platform's append-only log, for tests.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.StandinLog())) }
