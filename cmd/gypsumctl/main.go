// Command gypsumctl is the operators' client.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Gypsumctl())) }
