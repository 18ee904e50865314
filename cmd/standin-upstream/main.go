// Command standin-upstream is a stand-in for a worker with one upstream.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() {
	os.Exit(cli.Main(cli.StandinUpstream()))
}
