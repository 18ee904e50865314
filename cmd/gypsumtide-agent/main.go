// Command gypsumtide-agent is the daemon that starts tasks on the upstreams of a worker.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() {
	os.Exit(program.Main(cli.Agent()))
}
