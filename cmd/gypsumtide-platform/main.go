// Command gypsumtide-platform runs gypsumtide's roles on the users' platform.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/platform"
)

func main() { os.Exit(cli.Main(platform.Command(cli.Version))) }
