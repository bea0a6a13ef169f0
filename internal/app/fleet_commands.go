package app

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"rampspread/internal/admin"
	"rampspread/internal/cli"
)

// fleetCommand groups the commands that query or act on the fleet by a call to one of its members.
func fleetCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Ask a member about the fleet"}
	c.AddCommand(
		statusCommand(out, "members", "Show who is in the fleet, as one member sees it", printMembers),
		statusCommand(out, "duties", "Show who does what for the fleet, as one member sees it", printTasks),
		statusCommand(out, "shares", "Show a member's part of what the fleet may do together", printQuota),
		statusCommand(out, "subset", "Show which replicas a member keeps to", printSubset),
		statusCommand(out, "versions", "Show who acts on which list, settings and program, and who is behind", printVersions),
		actionCommand(out, "shut-out", "Shut a member out by hand"),
		actionCommand(out, "let-in", "Hold a member in by hand"),
		actionCommand(out, "judge", "Give a member back to the judgement"),
		actionCommand(out, "freeze", "Let a member change nothing by its judgement"),
		statusCommand(out, "lists", "Show what others' newer lists hold a member back from", printEndpointFilter),
		statusCommand(out, "filings", "Show a member's part in who may run filings", printIdempotency))
	return c
}

// statusCommand is a command that makes an operator's call and prints the answer's JSON, as it is or as a table.
func statusCommand[T any](out io.Writer, call, short string, render func(io.Writer, T) error) *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{Use: call, Short: short, Args: cli.RejectArgs, RunE: func(*cobra.Command, []string) error {
		text, err := admin.Request(address, call, callTimeout)
		if err != nil {
			return err
		}
		if asJSON {
			fmt.Fprintln(out, text)
			return nil
		}
		var status T
		if err := json.Unmarshal([]byte(text), &status); err != nil {
			return fmt.Errorf("%s: %w", call, err)
		}
		return render(out, status)
	}}
	c.Flags().StringVar(&address, "at", defaultAdminAddress, "a member's ops `address`")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// actionCommand is a command that makes an operator's call which changes something at a member.
func actionCommand(out io.Writer, call, short string) *cobra.Command {
	var address string
	c := &cobra.Command{Use: call, Short: short, Args: cli.RejectArgs, RunE: func(*cobra.Command, []string) error {
		text, err := admin.Request(address, call, callTimeout)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, text)
		return nil
	}}
	c.Flags().StringVar(&address, "at", defaultAdminAddress, "the member's ops `address`")
	return c
}
