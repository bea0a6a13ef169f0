// Command rampspread is the dispatcher.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	on := signals{print: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(on.print, syscall.SIGUSR1)
	signal.Notify(on.reload, syscall.SIGHUP) // caught until the program ends: by default it would end it
	if err := run(ctx, os.Args[1:], on, os.Stdout); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "rampspread:", err)
		os.Exit(1)
	}
}

// signals are what a running program can be asked for.
type signals struct{ print, reload chan os.Signal }

// run carries out one sub-command; without one it serves.
func run(ctx context.Context, args []string, on signals, out io.Writer) error {
	name := "serve"
	if len(args) > 0 && args[0] != "" && args[0][0] != '-' {
		name, args = args[0], args[1:]
	}
	flags := flag.NewFlagSet("rampspread "+name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	switch name {
	case "serve", "check":
		config := flags.String("config", os.Getenv("LB_CONFIG"), "the configuration `file`")
		chatFile := flags.String("chat", "", "the chat front's `file`, such as deploy/chat.json; none: no chat front")
		xdsAddr := flags.String("xds", "", "the `address` at which other proxies get the list by xDS; none: no xDS")
		if err := parse(flags, args, out); err != nil {
			return err
		}
		cfg, err := load(*config)
		if err != nil {
			return err
		}
		chatCfg, err := loadChat(*chatFile, &cfg.Settings)
		if err != nil {
			return err
		}
		if name == "serve" {
			return serve(ctx, cfg, chatCfg, options{*config, *xdsAddr}, on, out)
		}
		fmt.Fprintf(out, "%s: good: %d classes, %d kinds, listens on %s, chat %t\n", *config,
			len(cfg.Settings.Classes), len(cfg.Settings.Kinds), cfg.Listen, chatCfg != nil)
		return nil
	case "import":
		var o importOptions
		flags.StringVar(&o.from, "from", "", "the Apache balancer or mod_jk worker `file`")
		flags.StringVar(&o.zone, "zone", "", "the `zone` of all members")
		flags.IntVar(&o.port, "port", 0, "the `port` of all members; 0: as in the file")
		if err := parse(flags, args, out); err != nil {
			return err
		}
		return importList(o, out)
	case "version":
		if err := parse(flags, args, out); err != nil {
			return err
		}
		fmt.Fprintln(out, "rampspread", version)
		return nil
	}
	return fmt.Errorf("unknown sub-command %q: there are serve, check, import and version", name)
}

// parse reads a sub-command's flags; no words may follow them.
func parse(flags *flag.FlagSet, args []string, out io.Writer) error {
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			flags.SetOutput(out)
			flags.Usage()
		}
		return fmt.Errorf("%s: %w", flags.Name(), err)
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("%s: unexpected %q", flags.Name(), flags.Arg(0))
	}
	return nil
}
