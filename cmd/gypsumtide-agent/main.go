// Command gypsumtide-agent starts tasks at the upstreams beside it.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() {
	os.Exit(cli.Main(cli.Agent()))
}
