// Command gypsumtide-platform runs gypsumtide on the platform of its users. The first
// argument selects the role of the process, such as entry or agent.
package main

import (
	"os"

	"gypsumtide/internal/program"
	"gypsumtide/platform"
)

func main() { os.Exit(program.Main(platform.Command(program.Version))) }
