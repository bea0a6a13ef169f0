// Command rampspread is the dispatcher.
package main

import (
	"os"

	"rampspread/internal/program"
	"rampspread/internal/system"
)

func main() { os.Exit(program.Main(system.Real())) }
