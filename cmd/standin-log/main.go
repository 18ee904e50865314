// Command standin-log is a test-only stand-in of the platform's append-only log.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() { os.Exit(cli.Main(cli.StandinLog())) }
