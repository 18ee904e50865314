// Command gypsumtide-demo runs a small deployment under mixed load.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Demo())) }
