// Command rampspread is the dispatcher.
package main

import (
	"os"

	"rampspread/internal/app"
	"rampspread/internal/system"
)

func main() { os.Exit(app.Main(system.Real())) }
