// Command standin-log is a test-only stand-in of the platform's append-only log.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.StandinLog())) }
