package app

import (
	"context"
	"fmt"
	"io"
	"os"
)

// options holds the command line options of a dispatcher, apart from the content of its files.
type options struct {
	configPath  string // path of the configuration file, which a reload reads again
	transferDir string // folder shared with other processes of this name; empty: none
	xdsAddress  string // empty: no xDS server
	// logEstimates enables a log line for each prefill attempt.
	logEstimates bool
}

// serve runs one dispatcher from its start to its graceful shutdown, which begins when ctx ends.
func serve(ctx context.Context, program Program, in inputs, o options, sigs signals, out io.Writer) error {
	plan := planOf(in.config, program)
	limitRuntime(plan)
	a, err := newApplication(program, in, o, plan)
	if err != nil {
		return err
	}
	started, err := startAll(a.components(ctx, sigs.reload))
	defer stopAll(started)
	if err != nil {
		return err
	}
	a.logServing(in.config)
	if err := a.awaitStop(ctx, sigs.print, out); err != nil {
		return err
	}
	return a.shutDown(out)
}

// awaitStop prints the counters on each signal from printRequests until ctx ends. It returns an error if a component
// that the process needs in order to serve fails.
func (a *application) awaitStop(ctx context.Context, printRequests <-chan os.Signal, out io.Writer) error {
	for {
		select {
		case err := <-a.failures:
			return fmt.Errorf("serve: %w", err)
		case <-printRequests:
			fmt.Fprintln(out, a.countersLine())
		case <-ctx.Done():
			return nil
		}
	}
}
