// Command gypsumtide-measure writes tables of the measures of the design page.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Measure())) }
