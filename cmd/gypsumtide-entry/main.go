// Command gypsumtide-entry is the daemon on an entry host.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Entry())) }
