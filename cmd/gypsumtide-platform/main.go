// Command gypsumtide-platform runs gypsumtide's roles on the users' platform.
package main

import (
	"os"

	"gypsumtide/internal/program"
	"gypsumtide/platform"
)

func main() { os.Exit(program.Main(platform.Command(program.Version))) }
