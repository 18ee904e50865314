// Command gypsumtide-load sends open-loop load to entries.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Load())) }
