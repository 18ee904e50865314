// Command gypsumctl is the operators' client.
package main

import (
	"os"

	"gypsumtide/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Gypsumctl())) }
