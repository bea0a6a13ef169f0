// Command rampspread-faults runs the dispatcher with simulated faults of its machine: a clock that steps and system
// calls that fail. The environment variable RAMPSPREAD_FAULTS names the file with the faults. Only the bench's soaks
// run this command.
package main

import (
	"os"

	"rampspread/internal/app"
	"rampspread/internal/hostos"
)

func main() {
	os.Exit(app.Main(app.Program{Machine: hostos.NewFaulty(os.Getenv("RAMPSPREAD_FAULTS"))}))
}
