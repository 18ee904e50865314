// Command gypsumtide-agent starts tasks at the upstreams beside it.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() {
	os.Exit(program.Main(cli.Agent()))
}
