// Package app is the dispatcher process: its command line, how its parts are wired, started and stopped, configuration
// reloads, the graceful shutdown and the operators' calls.
//
// application owns the parts; its components method is the one list of what is started in which order, and the shutdown
// is that list read backwards. Each part guards its own state: dispatch.Dispatcher runs in one goroutine, and the rest
// of this package shares only atomics and what the start has set before any other goroutine reads it.
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
	"rampspread/internal/hostos"
)

const version = "0.1.0"

// Main carries out the process's command line on a machine and returns its exit code: 0, or 1 after an error, which is
// one line on stderr.
func Main(machine hostos.System) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sigs := signals{print: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(sigs.print, syscall.SIGUSR1)
	signal.Notify(sigs.reload, syscall.SIGHUP) // caught until the process ends: by default it would end it
	slog.SetDefault(slog.New(cli.LogHandler(os.Stderr)))
	if err := run(ctx, machine, os.Args[1:], sigs, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rampspread:", err)
		return 1
	}
	return 0
}

// signals are the signals that a running process acts on besides those that end it: print its counters, reload its
// configuration.
type signals struct{ print, reload chan os.Signal }

// run carries out one sub-command; without one it serves.
func run(ctx context.Context, machine hostos.System, args []string, sigs signals, out io.Writer) error {
	root := newRootCommand(machine, sigs, out)
	root.SetArgs(cli.NormalizeArgs(args))
	return root.ExecuteContext(ctx)
}
