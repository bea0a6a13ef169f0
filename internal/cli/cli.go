// Package cli is what the project's command lines share.
package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"
)

// Words lets a long flag stand behind one dash, as it did before the command lines had cobra: deploy files and
// operators' scripts say -config. So there are no flags of one letter but -h.
func Words(args []string) []string {
	out := []string{} // not nil, for which cobra would take the process's own
	for i, a := range args {
		if a == "--" {
			return append(out, args[i:]...)
		}
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		out = append(out, a)
	}
	return out
}

// Root is a program's command: errors are printed by its caller, in one line, and there is no help behind them.
func Root(name, short string, out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	root.SetOut(out)
	root.SetErr(out)
	return root
}

// NoWords refuses words behind a sub-command's flags.
func NoWords(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected %q", args[0])
	}
	return nil
}

// LogHandler writes one line of key=value for each event; the event's name stands under the key event.
func LogHandler(out io.Writer) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}})
}
