// Command standin-upstream is a stand-in for a worker with one upstream, for tests.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() {
	os.Exit(program.Main(cli.StandinUpstream()))
}
