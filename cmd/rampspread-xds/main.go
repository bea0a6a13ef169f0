// Command rampspread-xds runs the dispatcher with an xDS server. It is a program of its own since the libraries of the
// server take as much memory as the rest of the program.
package main

import (
	"os"

	"rampspread/internal/app"
	"rampspread/internal/config"
	"rampspread/internal/hostos"
	"rampspread/internal/xds"
)

func main() {
	os.Exit(app.Main(app.Program{Machine: hostos.Real(), NewXDSServer: newXDSServer}))
}

func newXDSServer(settings *config.Settings) app.XDSServer { return xds.NewServer(settings) }
