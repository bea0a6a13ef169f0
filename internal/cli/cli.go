// Package cli holds what the project's command lines share: the conventions for flags and commands, the log format, and
// the strict decoding of configuration and scenario files. It has no state; its functions may be called from any
// goroutine.
package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"
)

// NormalizeArgs returns the arguments with a second dash added to each long flag that has a single one. Deploy files
// and operators' scripts use the single dash, as in -config, which cobra does not accept. Because of this, -h is the
// only one-letter flag.
func NormalizeArgs(args []string) []string {
	rewritten := []string{} // not nil: for nil, cobra reads the arguments of the process itself
	for i, arg := range args {
		if arg == "--" {
			return append(rewritten, args[i:]...)
		}
		if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' {
			arg = "-" + arg
		}
		rewritten = append(rewritten, arg)
	}
	return rewritten
}

// NewRootCommand returns a program's root command. The command prints neither errors nor a usage text after them; the
// caller prints an error in one line.
func NewRootCommand(name, short string, out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	root.SetOut(out)
	root.SetErr(out)
	return root
}

// RejectArgs rejects positional arguments. Its type is cobra.PositionalArgs.
func RejectArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected %q", args[0])
	}
	return nil
}

// LogHandler returns a handler that writes each event as one line of key=value pairs. The key "event" holds the name of
// the event.
func LogHandler(out io.Writer) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: renameMessageKey})
}

func renameMessageKey(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = "event"
	}
	return attr
}
