// Command gypsumtide-demo runs a small deployment under mixed load and checks its
// history.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Demo())) }
