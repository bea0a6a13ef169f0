// Command fleetrig runs many processes of the program on one machine, injects faults, and checks the rules against the
// history of what the simulated parties around the processes saw.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"rampspread/internal/cli"
	"rampspread/internal/faultbench"
	"rampspread/internal/faultbench/scenario"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := commands(os.Stdout, os.Stderr)
	root.SetArgs(cli.NormalizeArgs(os.Args[1:]))
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fleetrig:", err)
		os.Exit(1)
	}
}

// errFailed is returned after a run in which a rule was broken or a process crashed. The report has been printed by
// then.
var errFailed = errors.New("a rule broke or a process crashed")

func commands(out, logs io.Writer) *cobra.Command {
	root := cli.NewRootCommand("fleetrig", "Run a fleet of the program with faults between its processes", out)
	root.AddCommand(runCommand(out, logs), soakCommand(out, logs), listCommand(out), demoCommand(out, logs))
	return root
}

// programPath returns the path of the program's binary, which is built into the folder of this binary.
func programPath() string {
	self, err := os.Executable()
	if err != nil {
		return "bin/rampspread"
	}
	return filepath.Join(filepath.Dir(self), "rampspread")
}

func addRunFlags(c *cobra.Command, o *faultbench.Options) {
	c.Flags().StringVar(&o.Program, "program", programPath(), "the program's `binary`")
	c.Flags().IntVar(&o.Dispatchers, "dispatchers", 3, "how many `dispatchers`")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "draws arrivals, sizes and what faults befall")
}

func newLogger(logs io.Writer) *slog.Logger { return slog.New(cli.LogHandler(logs)) }

// printVerdict prints a report, and returns errFailed if the report is not good.
func printVerdict(out io.Writer, report interface {
	Print(io.Writer) error
	Good() bool
}) error {
	if err := report.Print(out); err != nil {
		return err
	}
	if !report.Good() {
		return errFailed
	}
	return nil
}

func runCommand(out, logs io.Writer) *cobra.Command {
	var o faultbench.Options
	var outDir string
	c := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario, built in or a file; the last line printed is one JSON object",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if outDir != "" {
				o.Dir = filepath.Join(outDir, fmt.Sprintf("%s-%d-%d.files", s.Name, o.Dispatchers, o.Seed))
			}
			o.Log = newLogger(logs)
			report, err := faultbench.Play(c.Context(), s, o)
			if err != nil {
				return err
			}
			if outDir != "" {
				if err := report.WriteFiles(outDir); err != nil {
					return err
				}
			}
			return printVerdict(out, report)
		}}
	addRunFlags(c, &o)
	c.Flags().BoolVar(&o.Fleet, "fleet", false, "let the dispatchers know of each other")
	c.Flags().BoolVar(&o.NoLeasedTasks, "no-duties", false, "with -fleet: do nothing in turn")
	c.Flags().BoolVar(&o.Budgets, "budgets", false, "with -fleet: let them share what they may do together")
	c.Flags().IntVar(&o.Subsets, "subsets", 0, "with -fleet: let each keep to at least so many `readers`, 0: to all")
	c.Flags().BoolVar(&o.IdempotentRequests, "filings", false, "with -fleet: filings run once in the whole fleet; clients send some to several dispatchers")
	c.Flags().BoolVar(&o.LocalIdempotency, "own-filings", false, "clients send such filings, and each dispatcher knows its own only")
	c.Flags().BoolVar(&o.Handover, "handover", false, "let a dispatcher begin with what its earlier life learnt")
	c.Flags().BoolVar(&o.VersionSkew, "stragglers", false, "with -fleet: a dispatcher that is behind most is restricted and shut out")
	c.Flags().BoolVar(&o.EndpointFilter, "ends", false, "with -fleet: a dispatcher sends nothing to what a newer list than its own has ended")
	c.Flags().BoolVar(&o.Bootstrap, "beliefs", false, "with -fleet: let a dispatcher that starts learn from the others")
	c.Flags().BoolVar(&o.SkipViews, "unwatched", false, "with -fleet: ask nobody for views, so that no detection is measured")
	c.Flags().StringVar(&outDir, "out", "", "keep figures, history, chart and logs in this `folder`")
	c.Flags().Float64Var(&o.RateFactor, "rate", 1, "a `factor` on the scenario's rate of requests")
	return c
}

func listCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Name the built-in scenarios", Args: cli.RejectArgs, RunE: func(*cobra.Command, []string) error {
		all, err := scenario.All()
		if err != nil {
			return err
		}
		for _, s := range all {
			fmt.Fprintf(out, "%-18s %s\n", s.Name, s.About)
		}
		return nil
	}}
}

func demoCommand(out, logs io.Writer) *cobra.Command {
	var o faultbench.Options
	c := &cobra.Command{Use: "demo", Short: "Start a whole fleet with the chat front and print how to ask it; SIGINT or SIGTERM ends it",
		Args: cli.RejectArgs, RunE: func(c *cobra.Command, _ []string) error {
			o.Log = newLogger(logs)
			d, err := faultbench.StartDemo(c.Context(), o)
			if err != nil {
				return err
			}
			defer d.Close()
			fmt.Fprintln(out, "A fleet is running. Ask it:")
			for _, line := range d.Commands() {
				fmt.Fprintln(out, "   ", line)
			}
			<-c.Context().Done()
			return nil
		}}
	addRunFlags(c, &o)
	return c
}
