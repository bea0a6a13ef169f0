// Package app is the dispatcher's program: its command line, and how its parts are put together and taken apart.
package app

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"rampspread/internal/cli"
	"rampspread/internal/system"
)

const version = "0.1.0"

// Main carries out the process's command line on a machine and returns its exit code.
func Main(machine system.System) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	on := signals{print: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(on.print, syscall.SIGUSR1)
	signal.Notify(on.reload, syscall.SIGHUP) // caught until the program ends: by default it would end it
	slog.SetDefault(slog.New(cli.LogHandler(os.Stderr)))
	if err := run(ctx, machine, os.Args[1:], on, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rampspread:", err)
		return 1
	}
	return 0
}

// signals are what a running program can be asked for.
type signals struct{ print, reload chan os.Signal }

// run carries out one sub-command; without one it serves.
func run(ctx context.Context, machine system.System, args []string, on signals, out io.Writer) error {
	root := commands(machine, on, out)
	root.SetArgs(cli.Words(args))
	return root.ExecuteContext(ctx)
}
