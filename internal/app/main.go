// Package app runs the dispatcher process: its command line, the wiring, start and stop of its components,
// configuration reloads, the graceful shutdown and the operators' calls.
//
// An application owns the components. Its components method lists what is started, in order, and the shutdown goes
// through that list backwards. Each component guards its own state: dispatch.Dispatcher runs in one goroutine, and the
// rest of this package shares only atomics and values that are set before any other goroutine reads them.
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
	"rampspread/internal/lograte"
)

const version = "0.1.0"

// Main carries out the command line of the process and returns the exit code: 0, or 1 after an error, which is printed
// as one line on stderr.
func Main(program Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sigs := signals{print: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(sigs.print, syscall.SIGUSR1)
	signal.Notify(sigs.reload, syscall.SIGHUP) // caught until the process ends, since an uncaught SIGHUP ends it
	slog.SetDefault(slog.New(lograte.NewHandler(cli.LogHandler(os.Stderr))))
	if err := run(ctx, program, os.Args[1:], sigs, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rampspread:", err)
		return 1
	}
	return 0
}

// signals holds the channels of the signals that a running process acts on, besides the signals that end it. A signal
// on print makes it print its counters, a signal on reload makes it reload its configuration.
type signals struct{ print, reload chan os.Signal }

// run carries out one sub-command. Without a sub-command it serves.
func run(ctx context.Context, program Program, args []string, sigs signals, out io.Writer) error {
	root := newRootCommand(program, sigs, out)
	root.SetArgs(cli.NormalizeArgs(args))
	return root.ExecuteContext(ctx)
}
