// Command rampspread-faults is the dispatcher on a machine whose clock steps and whose system calls fail, as the file says
// that RAMPSPREAD_FAULTS names. The bench's soaks run it; it serves nobody else.
package main

import (
	"os"

	"rampspread/internal/app"
	"rampspread/internal/hostos"
)

func main() { os.Exit(app.Main(hostos.NewFaulty(os.Getenv("RAMPSPREAD_FAULTS")))) }
