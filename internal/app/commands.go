package app

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"rampspread/internal/admin"
	"rampspread/internal/chatapi"
	"rampspread/internal/cli"
	"rampspread/internal/config"
	"rampspread/internal/fleet"
	"rampspread/internal/system"
)

// commands is the command line. The bare program is the same as its sub-command serve.
func commands(machine system.System, on signals, out io.Writer) *cobra.Command {
	root := cli.Root("rampspread", "A control service for LLM traffic", out)
	serving := serveCommand(machine, on, out)
	root.Args, root.RunE = func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("unknown sub-command %q: see rampspread -h", args[0])
		}
		return nil
	}, serving.RunE
	root.Flags().AddFlagSet(serving.Flags())
	root.AddCommand(serving, checkCommand(out), importCommand(out), callCommand(out), fleetCommand(out), stateCommand(out),
		&cobra.Command{Use: "version", Short: "Print the program's version", Args: cli.NoWords, Run: func(*cobra.Command, []string) {
			fmt.Fprintln(out, "rampspread", version)
		}})
	return root
}

// files are the paths of the files that a dispatcher starts with.
type files struct{ config, chat, fleet, state string }

// checked is what those files say.
type checked struct {
	config *config.Config
	chat   *chatapi.Config // nil: no chat front
	fleet  *fleet.Config   // nil: alone
	state  string          // folder; none: nothing is kept
}

func (f *files) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.config, "config", os.Getenv("LB_CONFIG"), "the configuration `file`")
	c.Flags().StringVar(&f.chat, "chat", "", "the chat front's `file`, such as deploy/chat.json; none: no chat front")
	c.Flags().StringVar(&f.state, "state", "", "the `folder` of what must outlive the process, made by state init; none: nothing does")
	c.Flags().StringVar(&f.fleet, "fleet", "", "the fleet's `file`, such as deploy/fleet.json; none: the program knows of no others")
}

// read reads and checks them all.
func (f *files) read() (c checked, err error) {
	if c.config, err = load(f.config); err != nil {
		return c, err
	}
	if c.chat, err = loadChat(f.chat, &c.config.Settings); err != nil {
		return c, err
	}
	if f.fleet != "" {
		if c.fleet, err = fleet.Load(f.fleet, c.config.Name); err != nil {
			return c, err
		}
	}
	if c.state = f.state; c.fleet != nil && c.fleet.Idempotency != nil && c.fleet.IsVoter(c.config.Name) && c.state == "" {
		return c, fmt.Errorf("%s: filings: %s is one that keeps them and has no -state", f.fleet, c.config.Name)
	}
	return c, nil
}

func serveCommand(machine system.System, on signals, out io.Writer) *cobra.Command {
	var f files
	var o options
	c := &cobra.Command{Use: "serve", Short: "Run one dispatcher", Args: cli.NoWords, RunE: func(c *cobra.Command, _ []string) error {
		files, err := f.read()
		if err != nil {
			return err
		}
		o.config = f.config
		return serve(c.Context(), machine, files, o, on, out)
	}}
	f.flags(c)
	c.Flags().StringVar(&o.handover, "handover", "", "the `folder` in which processes of this name on this machine hand over what they learnt; none: they do not")
	c.Flags().StringVar(&o.xdsAddr, "xds", "", "the `address` at which other proxies get the list by xDS; none: no xDS")
	return c
}

func checkCommand(out io.Writer) *cobra.Command {
	var f files
	c := &cobra.Command{Use: "check", Short: "Check the files and end", Args: cli.NoWords, RunE: func(*cobra.Command, []string) error {
		good, err := f.read()
		if err != nil {
			return err
		}
		settings := good.config.Settings
		fmt.Fprintf(out, "%s: good: %d classes, %d kinds, listens on %s, chat %t, fleet %t\n", f.config,
			len(settings.Classes), len(settings.Kinds), good.config.Listen, good.chat != nil, good.fleet != nil)
		return nil
	}}
	f.flags(c)
	return c
}

func importCommand(out io.Writer) *cobra.Command {
	var o importOptions
	c := &cobra.Command{Use: "import", Short: "Turn an Apache balancer or mod_jk worker file into discovery's list",
		Args: cli.NoWords, RunE: func(*cobra.Command, []string) error { return importList(o, out) }}
	c.Flags().StringVar(&o.from, "from", "", "the Apache balancer or mod_jk worker `file`")
	c.Flags().StringVar(&o.zone, "zone", "", "the `zone` of all members")
	c.Flags().IntVar(&o.port, "port", 0, "the `port` of all members; 0: as in the file")
	return c
}

// callWait is how long an operator's call may take; the answer is owed within 1 s.
const callWait = 2 * time.Second

// callCommand makes one operator's call (docs/ONCALL.md) and prints its answer; FAILURE is an error.
func callCommand(out io.Writer) *cobra.Command {
	var at string
	c := &cobra.Command{Use: "call CALL", Short: "Make an operator's call, such as check, drain-on or drain-off",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			text, err := admin.Request(at, args[0], callWait)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, "SUCCESS", text)
			return nil
		}}
	c.Flags().StringVar(&at, "at", "127.0.0.1:9600", "the program's ops `address`")
	return c
}
