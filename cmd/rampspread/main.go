// Command rampspread is the dispatcher.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"rampspread/internal/cli"
)

const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	on := signals{print: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(on.print, syscall.SIGUSR1)
	signal.Notify(on.reload, syscall.SIGHUP) // caught until the program ends: by default it would end it
	slog.SetDefault(slog.New(cli.LogHandler(os.Stderr)))
	if err := run(ctx, os.Args[1:], on, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rampspread:", err)
		os.Exit(1)
	}
}

// signals are what a running program can be asked for.
type signals struct{ print, reload chan os.Signal }

// run carries out one sub-command; without one it serves.
func run(ctx context.Context, args []string, on signals, out io.Writer) error {
	root := commands(on, out)
	root.SetArgs(cli.Words(args))
	return root.ExecuteContext(ctx)
}
