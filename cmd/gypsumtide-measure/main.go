// Command gypsumtide-measure runs deployments under load and writes tables of the
// measurements that docs/design.md defines.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Measure())) }
