package app

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"rampspread/internal/admin"
	"rampspread/internal/cli"
)

// callTimeout bounds an operator's call. A process answers within 1 s.
const callTimeout = 2 * time.Second

// defaultAdminAddress is the address at which a deployment's processes serve operators' calls unless another one is
// configured.
const defaultAdminAddress = "127.0.0.1:9600"

// newRootCommand returns the program's root command. Without a sub-command it does the same as serve.
func newRootCommand(program Program, sigs signals, out io.Writer) *cobra.Command {
	root := cli.NewRootCommand("rampspread", "A control service for LLM traffic", out)
	serving := serveCommand(program, sigs, out)
	root.Args, root.RunE = func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("unknown sub-command %q: see rampspread -h", args[0])
		}
		return nil
	}, serving.RunE
	root.Flags().AddFlagSet(serving.Flags())
	root.AddCommand(serving, checkCommand(out), importCommand(out), callCommand(out), fleetCommand(out), stateCommand(out),
		versionCommand(out))
	return root
}

func serveCommand(program Program, sigs signals, out io.Writer) *cobra.Command {
	var files inputFiles
	var o options
	c := &cobra.Command{Use: "serve", Short: "Run one dispatcher", Args: cli.RejectArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.xdsAddress != "" && program.NewXDSServer == nil {
				return program.execXDSProgram()
			}
			in, err := files.load()
			if err != nil {
				return err
			}
			o.configPath = files.config
			return serve(c.Context(), program, in, o, sigs, out)
		}}
	files.addFlags(c)
	c.Flags().StringVar(&o.transferDir, "transfer-dir", "",
		"the `folder` in which processes of this name on this machine transfer their learned state and show each other "+
			"their open requests; none: they do not")
	cli.AcceptFormerName(c.Flags(), "transfer-dir", "handover")
	c.Flags().StringVar(&o.xdsAddress, "xds", "",
		"the `address` at which other proxies get the list by xDS; none: no xDS")
	c.Flags().BoolVar(&o.logEstimates, "log-estimates", false,
		"log what each prefill was estimated at and what it took (event=prefill_observed)")
	return c
}

func checkCommand(out io.Writer) *cobra.Command {
	var files inputFiles
	c := &cobra.Command{Use: "check", Short: "Check the files and end", Args: cli.RejectArgs,
		RunE: func(*cobra.Command, []string) error {
			in, err := files.load()
			if err != nil {
				return err
			}
			settings := in.config.Settings
			fmt.Fprintf(out, "%s: good: %d classes, %d kinds, listens on %s, chat %t, fleet %t\n", files.config,
				len(settings.Classes), len(settings.Kinds), in.config.Listen, in.chat != nil, in.fleet != nil)
			return nil
		}}
	files.addFlags(c)
	return c
}

func importCommand(out io.Writer) *cobra.Command {
	var o importOptions
	c := &cobra.Command{Use: "import", Short: "Turn an Apache balancer or mod_jk worker file into discovery's list",
		Args: cli.RejectArgs, RunE: func(*cobra.Command, []string) error { return importList(o, out) }}
	c.Flags().StringVar(&o.from, "from", "", "the Apache balancer or mod_jk worker `file`")
	c.Flags().StringVar(&o.zone, "zone", "", "the `zone` of all members")
	c.Flags().IntVar(&o.port, "port", 0, "the `port` of all members; 0: as in the file")
	return c
}

// callCommand returns the command that makes one operator's call (docs/ONCALL.md) and prints the answer. A FAILURE is
// an error.
func callCommand(out io.Writer) *cobra.Command {
	var address string
	c := &cobra.Command{Use: "call CALL", Short: "Make an operator's call, such as check, drain-on or drain-off",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			text, err := admin.Request(address, args[0], callTimeout)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, admin.Success, text)
			return nil
		}}
	addAddressFlag(c, &address, "the program's ops `address`")
	return c
}

// addAddressFlag adds the flag for the admin address of the process that a command calls.
func addAddressFlag(c *cobra.Command, address *string, usage string) {
	c.Flags().StringVar(address, "addr", defaultAdminAddress, usage)
	cli.AcceptFormerName(c.Flags(), "addr", "at")
}

func versionCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the program's version", Args: cli.RejectArgs,
		Run: func(*cobra.Command, []string) { fmt.Fprintln(out, "rampspread", version) }}
}
