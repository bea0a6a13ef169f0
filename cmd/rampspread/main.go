// Command rampspread runs the dispatcher. With the flag -xds it executes rampspread-xds, which lies in the same folder.
package main

import (
	"os"

	"rampspread/internal/app"
	"rampspread/internal/hostos"
)

func main() { os.Exit(app.Main(app.Program{Machine: hostos.Real(), XDSProgram: "rampspread-xds"})) }
