// Package cli holds what the project's command lines share: the conventions of their flags and commands, the format of
// their log, and the strict decoding of operators' files. It has no state; its functions may be called from any
// goroutine.
package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"
)

// NormalizeArgs rewrites arguments so that a long flag may follow a single dash, as it did before the command lines used
// cobra: deploy files and operators' scripts say -config. So -h is the only flag of one letter.
func NormalizeArgs(args []string) []string {
	rewritten := []string{} // not nil, for which cobra would take the process's own arguments
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

// NewRootCommand returns a program's root command. Its caller prints an error in one line, without the usage text after
// it.
func NewRootCommand(name, short string, out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	root.SetOut(out)
	root.SetErr(out)
	return root
}

// RejectArgs is a cobra.PositionalArgs that rejects positional arguments.
func RejectArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected %q", args[0])
	}
	return nil
}

// LogHandler writes one line of key=value for each event; the value of the key event is the event's name.
func LogHandler(out io.Writer) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: renameMessageKey})
}

func renameMessageKey(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = "event"
	}
	return attr
}
