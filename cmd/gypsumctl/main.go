// Command gypsumctl is the operators' client. It publishes and inspects the
// configuration, drains and retires nodes, and reads decision logs.
package main

import (
	"os"

	"gypsumtide/internal/cli"
	"gypsumtide/internal/program"
)

func main() { os.Exit(program.Main(cli.Gypsumctl())) }
