// Command rampspread runs the dispatcher.
package main

import (
	"os"

	"rampspread/internal/app"
	"rampspread/internal/hostos"
)

func main() { os.Exit(app.Main(hostos.Real())) }
