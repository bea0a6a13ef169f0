package app

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"rampspread/internal/admin"
	"rampspread/internal/chatapi"
	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/fleet/idempotencyquorum"
	"rampspread/internal/state"
)

// identity says whose the state of a dispatcher is.
func (c checked) identity() state.Identity {
	who := state.Identity{Name: c.config.Name}
	if c.fleet != nil {
		who.Fleet = c.fleet.Fleet
	}
	return who
}

// ledger sets up who may run a filing: the fleet's keepers where its file says so, this process alone where it has a state; nil
// where the chat front's own table is all.
func (p *program) ledger(files checked, now time.Time) (*idempotencyquorum.Coordinator, error) {
	cfg := idempotencyquorum.Config{Name: files.config.Name, Incarnation: uint64(now.UnixNano()), Send: func(to string, message []byte, large bool) {
		if n := p.member.Load(); n != nil {
			n.SendIdempotency(to, message, large)
		}
	}}
	cfg.Limits.MaxAnswerBytes = chatapi.MaxStoredAnswer
	switch {
	case files.fleet != nil && files.fleet.Idempotency != nil:
		f := files.fleet.Idempotency
		cfg.Replicas, cfg.Secret, cfg.Limits.Retention, cfg.Limits.Entries = files.fleet.Voters, files.fleet.Secret(), f.Keep(), f.Entries
		if !files.fleet.IsVoter(cfg.Name) {
			return idempotencyquorum.New(cfg), nil
		}
	case files.state != "" && files.chat != nil:
		cfg.Replicas, cfg.Secret = []string{cfg.Name}, []byte(cfg.Name)
		cfg.Limits.Retention, cfg.Limits.Entries = files.chat.Retention(), files.chat.Idempotency.Entries
	default:
		return nil, nil
	}
	// It is opened here for what only a start may say; one that another process has is waited for.
	open := func() (*state.Store, error) { return state.Open(files.state, files.identity()) }
	first, err := open()
	if errors.Is(err, state.ErrCorrupt) {
		to, aside := state.SetAside(files.state, now)
		if aside != nil {
			return nil, errors.Join(err, aside)
		}
		slog.Warn("state_refused", "err", err, "set_aside", to)
		first, err = open()
	}
	if err != nil && !errors.Is(err, state.ErrLocked) {
		return nil, err
	}
	cfg.Open = func() (*state.Store, error) {
		if s := first; s != nil {
			first = nil
			return s, nil
		}
		return open()
	}
	return idempotencyquorum.New(cfg), nil
}

// filingsCall is the operators' call that shows who may run filings, as one line of JSON.
func (p *program) filingsCall() admin.Answer {
	if p.claims == nil {
		return admin.Fail("no ledger: the fleet's file has no filings, and the program was started without -state")
	}
	return shown(p.claims.Status())
}

func printFilings(out io.Writer, s idempotencyquorum.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tKEEPS\tKEYS\tGRANTED\tIN\tREFUSED\tNO MAJORITY\tDROPPED\tERRORS\tBAD")
	keeps := "no"
	switch {
	case s.IsReplica && s.RecoveringS > 0:
		keeps = fmt.Sprintf("in %.0fs", s.RecoveringS)
	case s.IsReplica:
		keeps = "yes"
	}
	fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1fms\t%d\t%d\t%d\t%d\t%d\n", s.Self, keeps, s.Keys, s.Granted, s.GrantMS, s.Rejected, s.NoMajority, s.Dropped, s.Errors, s.Bad)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("filings: %w", err)
	}
	fmt.Fprintln(out, "kept by", s.Replicas)
	return nil
}

// stateCommand holds what is done with a stored state while no dispatcher has it.
func stateCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Make, check or show what outlives a dispatcher"}
	var who state.Identity
	of := func(use, short string, do func(dir string) error) *cobra.Command {
		sub := &cobra.Command{Use: use + " FOLDER", Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error { return do(args[0]) }}
		sub.Flags().StringVar(&who.Name, "name", "", "the dispatcher's `name`")
		sub.Flags().StringVar(&who.Fleet, "of", "", "the `fleet` that it is of; none: alone")
		return sub
	}
	c.AddCommand(of("init", "Make the state of a dispatcher that never had one", func(dir string) error {
		if who.Name == "" {
			return errors.New("state: -name is missing")
		}
		if err := state.Init(dir, who); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: the state of %s, with no filing\n", dir, who.Name)
		return nil
	}), of("check", "Read a whole state", func(dir string) error {
		n, bad, err := look(dir, who, func(idempotency.Key, idempotency.Record) {})
		if err != nil {
			return err
		}
		if bad > 0 {
			return fmt.Errorf("state: %s: %d of %d filings cannot be read", dir, bad, n)
		}
		fmt.Fprintf(out, "%s: good: %d filings\n", dir, n)
		return nil
	}), of("show", "Show the filings of a state", func(dir string) error {
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "KEY\tSTATE\tBY\tAT\tANSWER")
		n, bad, err := look(dir, who, func(k idempotency.Key, r idempotency.Record) {
			fmt.Fprintf(t, "%x\t%s\t%s\t%s\t%d bytes\n", k[:], r.State, r.Attempt.Name, r.WrittenAt.Round(time.Second), len(r.Answer))
		})
		if err != nil {
			return err
		}
		if err := t.Flush(); err != nil {
			return fmt.Errorf("state: %w", err)
		}
		fmt.Fprintf(out, "%d filings, %d of them cannot be read\n", n, bad)
		return nil
	}))
	return c
}

// look reads a state that no process has, and calls f with each filing that can be read.
func look(dir string, who state.Identity, f func(idempotency.Key, idempotency.Record)) (n, bad int, err error) {
	s, err := state.OpenReadOnly(dir, who)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	err = s.Each(func(k idempotency.Key, r idempotency.Record, err error) {
		if n++; err != nil {
			bad++
			return
		}
		f(k, r)
	})
	return n, bad, err
}
