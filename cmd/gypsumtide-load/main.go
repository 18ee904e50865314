// Command gypsumtide-load sends jobs to entries on a fixed schedule, no matter how long
// the responses take, and reports response times and outcomes.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Load())) }
