package app

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"rampspread/internal/admin"
	"rampspread/internal/cli"
)

// fleetCommand returns the command whose sub-commands query the fleet or act on it, by a call to one of its members.
func fleetCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Query a member about the fleet, or fence it"}
	c.AddCommand(slices.Concat(
		statusCommand(out, printMembers, memberCall{name: "members", call: "members",
			short: "Show who is in the fleet, as one member sees it"}),
		statusCommand(out, printTasks, memberCall{name: "tasks", call: "duties",
			short: "Show who holds the leases of the fleet's tasks, as one member sees it"}),
		statusCommand(out, printQuota, memberCall{name: "quota", call: "shares",
			short: "Show a member's share of the fleet's quota"}),
		statusCommand(out, printSubset, memberCall{name: "subset", call: "subset",
			short: "Show which replicas a member routes to"}),
		statusCommand(out, printVersions, memberCall{name: "version-skew", call: "versions",
			short: "Show who acts on which endpoint list, settings and program, and who lags behind"}),
		statusCommand(out, printEndpointFilter, memberCall{name: "endpoint-filter", call: "lists",
			short: "Show what peers' newer endpoint lists suppress at a member"}),
		statusCommand(out, printIdempotency, memberCall{name: "idempotency", call: "filings",
			short: "Show a member's part in the quorum of idempotency records"}),
		actionCommand(out, memberCall{name: "fence", call: "shut-out", short: "Fence a member by manual override"}),
		actionCommand(out, memberCall{name: "unfence", call: "let-in", short: "Hold a member unfenced by manual override"}),
		actionCommand(out, memberCall{name: "automatic", call: "judge", short: "End a member's manual override"}),
		actionCommand(out, memberCall{name: "freeze", call: "freeze",
			short: "Stop all automatic changes of a member's version skew state"}))...)
	return c
}

// memberCall describes a command of `fleet` that sends one operators' call to a member.
type memberCall struct {
	name  string // name of the command
	call  string // name of the call on the wire (adminCalls.handlers), and former name of the command, still accepted
	short string // line of help
}

// commands returns the command. If its name differs from the name of the call, it also returns an equal command under
// its former name, hidden from help. newCommand must create a new command without name and help each time.
func (m memberCall) commands(newCommand func() *cobra.Command) []*cobra.Command {
	current := newCommand()
	current.Use, current.Short = m.name, m.short
	if m.name == m.call {
		return []*cobra.Command{current}
	}
	former := newCommand()
	former.Use, former.Short, former.Hidden = m.call, m.short, true
	return []*cobra.Command{current, former}
}

// statusCommand returns the commands of a call whose answer is JSON. They print a table, or the JSON unchanged.
func statusCommand[T any](out io.Writer, render func(io.Writer, T) error, m memberCall) []*cobra.Command {
	return m.commands(func() *cobra.Command {
		var address string
		var asJSON bool
		c := &cobra.Command{Args: cli.RejectArgs, RunE: func(*cobra.Command, []string) error {
			text, err := admin.Request(address, m.call, callTimeout)
			if err != nil {
				return err
			}
			if asJSON {
				fmt.Fprintln(out, text)
				return nil
			}
			var status T
			if err := json.Unmarshal([]byte(text), &status); err != nil {
				return fmt.Errorf("%s: %w", m.call, err)
			}
			return render(out, status)
		}}
		addAddressFlag(c, &address, "a member's ops `address`")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		return c
	})
}

// actionCommand returns the commands of a call that changes the state of a member. They print the answer unchanged.
func actionCommand(out io.Writer, m memberCall) []*cobra.Command {
	return m.commands(func() *cobra.Command {
		var address string
		c := &cobra.Command{Args: cli.RejectArgs, RunE: func(*cobra.Command, []string) error {
			text, err := admin.Request(address, m.call, callTimeout)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, text)
			return nil
		}}
		addAddressFlag(c, &address, "the member's ops `address`")
		return c
	})
}
