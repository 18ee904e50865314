// Command gypsumtide-measure writes tables of the measures of the design page.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Measure())) }
