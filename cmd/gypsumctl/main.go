// Command gypsumctl publishes and inspects the configuration, drains nodes and reads
// decision logs. Operators use it.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Gypsumctl())) }
