package main

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"rampspread/internal/cli"
	"rampspread/internal/faultbench"
)

// faultsProgramPath returns the path of the binary rampspread-faults, which is built into the folder of this binary.
func faultsProgramPath() string {
	return filepath.Join(filepath.Dir(programPath()), "rampspread-faults")
}

func soakCommand(out, logs io.Writer) *cobra.Command {
	var o faultbench.SoakOptions
	var faults string
	c := &cobra.Command{Use: "soak", Short: "Play overlapping faults drawn from a seed; the last line printed is one JSON object",
		Args: cli.RejectArgs, RunE: func(c *cobra.Command, _ []string) error {
			if faults != "" {
				o.Faults = strings.Split(faults, ",")
			}
			o.Log = newLogger(logs)
			report, err := faultbench.Soak(c.Context(), o)
			if err != nil {
				return err
			}
			return printVerdict(out, report)
		}}
	c.Flags().StringVar(&o.Program, "program", faultsProgramPath(), "the `binary` of rampspread-faults")
	c.Flags().IntVar(&o.Dispatchers, "dispatchers", 10, "how many `dispatchers`")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "draws the plan of faults, arrivals and how the dispatchers are run")
	c.Flags().Float64Var(&o.Seconds, "seconds", 30, "how long the traffic lasts")
	c.Flags().Float64Var(&o.QuietSeconds, "quiet", 0, "seconds without a fault at the begin; 0: 2.5")
	c.Flags().StringVar(&faults, "faults", "", fmt.Sprintf("the `kinds` of fault to draw from, separated by commas; none: all of %s", strings.Join(faultbench.SoakKinds(), ",")))
	c.Flags().BoolVar(&o.Pressure, "pressure", false, "add clients that hold memory and descriptors or send at full speed, and check the limits")
	c.Flags().IntVar(&o.MemoryMB, "memory", 0, "memory limit of a dispatcher in `MB`; 0: drawn from the seed with -pressure, 192 without")
	c.Flags().StringVar(&o.Dir, "out", "", "keep the dispatchers' files and logs in this `folder`")
	return c
}
