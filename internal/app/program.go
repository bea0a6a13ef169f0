package app

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
)

// Program describes the program that runs.
type Program struct {
	Machine hostos.System
	// NewXDSServer returns a new xDS server. It is nil in a program without one, which needs half as much memory for its
	// code.
	NewXDSServer func(*config.Settings) XDSServer
	// XDSProgram is the name of the program with an xDS server. It lies in the same folder as this one, which executes it
	// if an xDS address is given and NewXDSServer is nil. If it is empty, an xDS address is an error.
	XDSProgram string
}

// XDSServer serves the dispatcher's endpoint list to other proxies.
type XDSServer interface {
	// Publish applies an update of the endpoint list, as dispatch.ApplyUpdate does.
	Publish(full bool, endpoints []dispatch.Endpoint)
	// Serve serves proxies until Stop is called or the listener fails.
	Serve(listener net.Listener) error
	Stop()
}

// errNoXDS reports an xDS address for a program that cannot serve it.
var errNoXDS = errors.New("xds: this program has no xDS server")

// execXDSProgram replaces the process's program by the one with an xDS server, with the same arguments and environment.
// It returns only after an error.
func (p Program) execXDSProgram() error {
	if p.XDSProgram == "" {
		return errNoXDS
	}
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	path := filepath.Join(filepath.Dir(executable), p.XDSProgram)
	if err := syscall.Exec(path, os.Args, os.Environ()); err != nil {
		return fmt.Errorf("xds: execute %s: %w", path, err)
	}
	return nil
}
