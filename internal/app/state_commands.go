package app

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"rampspread/internal/cli"
	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/state"
)

// stateCommand returns the command whose sub-commands act on a state folder that no dispatcher has open.
func stateCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Make, check or show what outlives a dispatcher"}
	var owner state.Identity
	add := func(use, short string, action func(out io.Writer, dir string, owner state.Identity) error) {
		sub := &cobra.Command{Use: use + " FOLDER", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return action(out, args[0], owner) }}
		sub.Flags().StringVar(&owner.Name, "name", "", "the dispatcher's `name`")
		sub.Flags().StringVar(&owner.Fleet, "fleet-name", "", "the `fleet` that it is a member of; none: of no fleet")
		cli.AcceptFormerName(sub.Flags(), "fleet-name", "of")
		c.AddCommand(sub)
	}
	add("init", "Make the state of a dispatcher that never had one", initState)
	add("check", "Read a whole state", checkState)
	add("show", "Show the filings of a state", showState)
	return c
}

func initState(out io.Writer, dir string, owner state.Identity) error {
	if owner.Name == "" {
		return errors.New("state: -name is missing")
	}
	if err := state.Init(dir, owner); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: the state of %s, with no filing\n", dir, owner.Name)
	return nil
}

func checkState(out io.Writer, dir string, owner state.Identity) error {
	counts, err := readRecords(dir, owner, func(idempotency.Key, idempotency.Record) {})
	if err != nil {
		return err
	}
	if counts.corrupt > 0 {
		return fmt.Errorf("state: %s: %d of %d filings cannot be read", dir, counts.corrupt, counts.total)
	}
	fmt.Fprintf(out, "%s: good: %d filings\n", dir, counts.total)
	return nil
}

func showState(out io.Writer, dir string, owner state.Identity) error {
	table := newTable(out)
	fmt.Fprintln(table, "KEY\tSTATE\tBY\tAT\tANSWER")
	counts, err := readRecords(dir, owner, func(key idempotency.Key, record idempotency.Record) {
		fmt.Fprintf(table, "%x\t%s\t%s\t%s\t%d bytes\n", key[:], record.State, record.Attempt.Member,
			record.WrittenAt.Round(time.Second), len(record.Answer))
	})
	if err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	fmt.Fprintf(out, "%d filings, %d of them cannot be read\n", counts.total, counts.corrupt)
	return nil
}

// recordCounts holds the number of records in a state and how many of them cannot be read.
type recordCounts struct{ total, corrupt int }

// readRecords reads a state that no process has open and calls visit with each readable record.
func readRecords(dir string, owner state.Identity,
	visit func(idempotency.Key, idempotency.Record)) (counts recordCounts, err error) {
	store, err := state.OpenReadOnly(dir, owner)
	if err != nil {
		return counts, err
	}
	defer store.Close()
	err = store.Each(func(key idempotency.Key, record idempotency.Record, err error) {
		counts.total++
		if err != nil {
			counts.corrupt++
			return
		}
		visit(key, record)
	})
	return counts, err
}

// newTable returns a writer that aligns columns. Cells are separated by tabs.
func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}
