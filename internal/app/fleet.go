package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/cobra"

	"rampspread/internal/admin"
	"rampspread/internal/cli"
	"rampspread/internal/config"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/endpointfilter"
	"rampspread/internal/fleet/leasedtasks"
	"rampspread/internal/fleet/subsetter"
	"rampspread/routing"
)

// fingerprint is the same for the same settings at every process.
func fingerprint(s *config.Settings) uint64 {
	same := *s
	same.Az = 0 // each zone's own
	text, err := json.Marshal(same)
	if err != nil {
		return 0 // what was read from JSON always marshals
	}
	return xxhash.Sum64(text)
}

// share sets up what the fleet does in turn, before the first list comes.
func (p *program) share(cfg *config.Config) *leasedtasks.Tasks {
	var prober leasedtasks.LoadPoller
	if cfg.Settings.Limits.Probing {
		prober = p.pool
	}
	return leasedtasks.New(prober, listOf{p}, p.core.ApplyPeerLoads, time.Now)
}

// listOf is the program's watcher, which comes to be after its tasks.
type listOf struct{ p *program }

func (l listOf) Version() uint64                          { return l.p.watch.Version() }
func (l listOf) Peek(ctx context.Context) (uint64, error) { return l.p.watch.Peek(ctx) }
func (l listOf) Refresh()                                 { l.p.watch.Refresh() }

// shown answers an operators' call with one line of JSON.
func shown(v any) admin.Answer {
	text, err := json.Marshal(v)
	if err != nil {
		return admin.Fail(err.Error())
	}
	return admin.OK(string(text))
}

// dutiesCall is the operators' call that shows who does what, as one line of JSON.
func (p *program) dutiesCall() admin.Answer {
	if p.fleet == nil {
		return admin.Fail("no fleet: the program was started without -fleet")
	}
	s, ok := p.fleet.TasksStatus()
	if !ok {
		return admin.Fail("nothing is done in turn: the fleet's file names no voters")
	}
	return shown(s)
}

// budgets are the module's limits on what the whole fleet does; none without a fleet's file that has them.
func budgets(file *fleet.Config) (b routing.Budgets) {
	if file != nil && file.Budgets != nil {
		b = routing.Budgets{Fraction: file.MinFraction(), PollsPerReplica: file.Budgets.PollsPerReplica, RetriesPerRequest: file.Budgets.RetriesPerRequest, RetriesPerSecond: file.Budgets.RetriesPerSecond}
	}
	return b
}

// alike is how many dispatchers there are with a part like this one's of what discovery bears: the fleet's word where there
// is one, else the settings'.
func (p *program) alike(file *fleet.Config, cfg *config.Config) func() float64 {
	return func() float64 {
		if file == nil || file.Budgets == nil {
			return float64(cfg.Settings.Balancers)
		}
		part := file.MinFraction()
		if n := p.member.Load(); n != nil {
			part, _ = n.QuotaFraction()
		}
		return 1 / max(part, 1e-9)
	}
}

// keepTo sets up what keeps the core to its subset of the replicas; nil where the fleet's file asks for none.
func (p *program) keepTo(file *fleet.Config, cfg *config.Config, router routing.Config) *subsetter.Controller {
	if file == nil || file.SubsetReaders == 0 {
		return nil
	}
	var roles []routing.Role
	for _, k := range router.Kinds {
		roles = append(roles, k.Role)
	}
	return subsetter.New(file.Subset(), cfg.Name, cfg.Settings.Zone, roles, func() (f subsetter.FleetView) {
		n := p.member.Load()
		if n == nil {
			return f
		}
		f.View, f.Now = n.View(), n.Now()
		f.TrafficFraction, _ = n.QuotaFraction()
		f.Usable = f.View.Fresh(f.Now, fleet.MaxViewAge)
		return f
	}, p.core.SetSubset)
}

// subsetCall is the operators' call that shows what this member keeps to, as one line of JSON.
func (p *program) subsetCall() admin.Answer {
	if p.keeper == nil {
		return admin.Fail("no subset: the fleet's file has no subset_readers")
	}
	return shown(p.keeper.Status())
}

// sharesCall is the operators' call that shows this member's part of the budgets, as one line of JSON.
func (p *program) sharesCall() admin.Answer {
	if p.fleet == nil {
		return admin.Fail("no fleet: the program was started without -fleet")
	}
	s, ok := p.fleet.QuotaStatus()
	if !ok {
		return admin.Fail("nothing is shared: the fleet's file has no budgets")
	}
	return shown(s)
}

// stands acts by how the program stands in its fleet. Being shut out is a drain; one that an operator began is his to end.
type stands struct{ p *program }

func (s stands) Refresh() { s.p.watch.Refresh() }

func (s stands) Out(out bool) {
	if out {
		s.p.shutOut.Store(!s.p.state.Drain.Active())
		s.p.drainOn()
	} else if s.p.shutOut.Swap(false) {
		s.p.drainOff()
	}
}

// versionsCall is the operators' call that shows who acts on what, as one line of JSON.
func (p *program) versionsCall() admin.Answer {
	if p.fleet == nil {
		return admin.Fail("no fleet: the program was started without -fleet")
	}
	return shown(p.fleet.VersionSkewStatus())
}

// handCall is an operators' call that says by hand how this member stands.
func (p *program) handCall(call string) func() admin.Answer {
	return func() admin.Answer {
		if p.fleet == nil {
			return admin.Fail("no fleet: the program was started without -fleet")
		}
		if err := p.fleet.OverrideVersionSkew(call); err != nil {
			return admin.Fail(err.Error())
		}
		return admin.OK(call)
	}
}

// listsCall is the operators' call that shows what others' newer lists hold this member back from, as one line of JSON.
func (p *program) listsCall() admin.Answer {
	if p.lists == nil {
		return admin.Fail("its own list is all: the fleet's file has no ends")
	}
	return shown(p.lists.Status())
}

// join makes the program a member of the fleet that the file tells of; nil without one.
func (p *program) join(file *fleet.Config, cfg *config.Config, seed uint64, failed chan<- error) error {
	if file == nil {
		return nil
	}
	zone := cfg.Settings.ZoneName(cfg.Settings.Az)
	var take func([]byte)
	if p.claims != nil {
		take = p.claims.HandleMessage
	}
	var ends fleet.EndpointFilter
	if p.lists != nil {
		ends = p.lists
	}
	self := fleet.Self{Machine: p.machine, Name: cfg.Name, Zone: zone, Version: version, Seed: seed, Tasks: p.tasks, Quota: p.core, HandleIdempotency: take, EndpointFilter: ends, VersionSkew: stands{p},
		LearnedState: peers{p, file.Fleet}, Facts: func() fleet.Facts {
			return fleet.Facts{Settings: p.settings.Load(), List: p.watch.Version(), Serving: p.ready.Load() && !p.state.Stopping.Load()}
		}}
	if p.numbers != nil {
		self.TokenFloor, self.ObserveToken = p.numbers.Floor(), p.numbers.Observe
	}
	node, err := fleet.Start(file, self, func(err error) { failed <- err })
	if err != nil {
		return err
	}
	p.fleet = node
	p.member.Store(node)
	return nil
}

// members is the operators' call that shows who is in the fleet, as one line of JSON.
func (p *program) members() admin.Answer {
	if p.fleet == nil {
		return admin.Fail("no fleet: the program was started without -fleet")
	}
	return shown(p.fleet.Status())
}

// fleetCounters are the fleet's figures in the counters' line.
func (p *program) fleetCounters() string {
	if p.fleet == nil {
		return ""
	}
	s := p.fleet.Status()
	states := map[string]int{}
	for _, m := range s.Members {
		states[m.State]++
	}
	duties := ""
	if d, ok := p.fleet.TasksStatus(); ok {
		held := 0
		for _, one := range d.Tasks {
			if one.Held {
				held++
			}
		}
		duties = fmt.Sprintf(" duties=%d duties_held=%d duty_acts=%d duty_late=%d duty_bytes=%d lists_renewed=%d", len(d.Tasks), held,
			d.Executions, d.LateResults, d.Bytes, p.tasks.Refreshed())
	}
	if s, ok := p.fleet.QuotaStatus(); ok {
		duties += fmt.Sprintf(" share_part=%.6f share_demand=%.2f share_lent=%.6f share_offers=%d share_dropped=%d", s.Fraction, s.Demand, s.Outstanding, s.Shares, s.Dropped)
	}
	if p.keeper != nil {
		s := p.keeper.Status()
		duties += fmt.Sprintf(" subset=%d subset_times=%d", len(s.Subset), s.Updates)
	}
	if b, ok := p.fleet.BootstrapStatus(); ok {
		duties += fmt.Sprintf(" beliefs_taken=%d beliefs_given=%d beliefs_busy=%d beliefs_bad=%d", b.Received, b.Sent, b.Declined, b.Malformed)
	}
	if p.lists != nil {
		s := p.lists.Status()
		duties += fmt.Sprintf(" lists_told=%d lists_held_back=%d lists_refused=%d", s.PeerLists, s.Suppressed, s.Rejected)
	}
	return duties + fmt.Sprintf(" fleet_view=%d fleet_alive=%d fleet_suspect=%d fleet_unreachable=%d fleet_left=%d fleet_conflicts=%d "+
		"fleet_bad=%d fleet_stale=%d", s.ViewVersion, states["alive"], states["suspect"], states["unreachable"], states["left"],
		len(s.Conflicts), s.Malformed, s.Stale)
}

// fleetCommand holds what is asked of a fleet by way of one of its members.
func fleetCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Ask a member about the fleet"}
	c.AddCommand(asked(out, "members", "Show who is in the fleet, as one member sees it", printMembers),
		asked(out, "duties", "Show who does what for the fleet, as one member sees it", printDuties),
		asked(out, "shares", "Show a member's part of what the fleet may do together", printShares),
		asked(out, "subset", "Show which replicas a member keeps to", printSubset),
		asked(out, "versions", "Show who acts on which list, settings and program, and who is behind", printVersions),
		told(out, "shut-out", "Shut a member out by hand"), told(out, "let-in", "Hold a member in by hand"),
		told(out, "judge", "Give a member back to the judgement"), told(out, "freeze", "Let a member change nothing by its judgement"),
		asked(out, "lists", "Show what others' newer lists hold a member back from", printLists),
		asked(out, "filings", "Show a member's part in who may run filings", printFilings))
	return c
}

// asked is a command that makes an operator's call and prints its JSON, as it is or as a table.
func asked[T any](out io.Writer, call, short string, render func(io.Writer, T) error) *cobra.Command {
	var at string
	var asJSON bool
	c := &cobra.Command{Use: call, Short: short, Args: cli.NoWords, RunE: func(*cobra.Command, []string) error {
		text, err := admin.Request(at, call, callWait)
		if err != nil {
			return err
		}
		if asJSON {
			fmt.Fprintln(out, text)
			return nil
		}
		var s T
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			return fmt.Errorf("%s: %w", call, err)
		}
		return render(out, s)
	}}
	c.Flags().StringVar(&at, "at", "127.0.0.1:9600", "a member's ops `address`")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// told is a command that makes an operator's call which does something at a member.
func told(out io.Writer, call, short string) *cobra.Command {
	var at string
	c := &cobra.Command{Use: call, Short: short, Args: cli.NoWords, RunE: func(*cobra.Command, []string) error {
		text, err := admin.Request(at, call, callWait)
		if err == nil {
			fmt.Fprintln(out, text)
		}
		return err
	}}
	c.Flags().StringVar(&at, "at", "127.0.0.1:9600", "the member's ops `address`")
	return c
}

func printVersions(out io.Writer, s fleet.VersionSkewStatus) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tHEARD\tPROGRAM\tSETTINGS\tLIST\tLEASE\tSTEP\tFOR\tBEHIND\tWHY")
	for _, m := range s.Members {
		behind, why := "-", "-"
		if m.Reason != "" {
			behind, why = fmt.Sprintf("%.1fs", m.LaggingS), m.Reason
		}
		fmt.Fprintf(t, "%s\t%s\t%.1fs\t%s\t%s\t%d\t%d\t%s\t%.1fs\t%s\t%s\n", m.Name, m.State, m.LastHeartbeatS, m.Program, m.Settings, m.ListVersion, m.HighestToken, m.SkewState, m.SkewStateForS, behind, why)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	switch {
	case !s.Enabled:
		fmt.Fprintln(out, "as", s.Self, "sees it; nobody is judged: the fleet's file has no stragglers")
	case s.InsufficientView:
		fmt.Fprintln(out, "as", s.Self, "sees it, which sees too few members to judge")
	default:
		fmt.Fprintf(out, "as %s sees it; most have list %d and settings %s; frozen %t\n", s.Self, s.List, s.Settings, s.Frozen)
	}
	if s.Fault != "" {
		fmt.Fprintln(out, "nobody more is shut out:", s.Fault)
	}
	return nil
}

func printDuties(out io.Writer, s fleet.TasksStatus) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DUTY\tOWNER\tSTANDBY\tHELD HERE\tLEASE\tFOR\tLEFT\tLAST RESULT")
	for _, d := range s.Tasks {
		lease, since, left := "-", "-", "-"
		if d.Held {
			lease, since, left = fmt.Sprint(d.Token), fmt.Sprintf("%.1fs", d.HeldForS), fmt.Sprintf("%.2fs", d.RemainingS)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\t%s\t%s\t%.1fs\n", d.Task, d.Owner, d.Standby, d.Held, lease, since, left, d.LastResultS)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	fmt.Fprintf(out, "as %s sees it; voters %s; %d acts, %d results of ended leases, %d bytes sent\n", s.Self, strings.Join(s.Voters, " "), s.Executions, s.LateResults, s.Bytes)
	if s.Recovering {
		fmt.Fprintln(out, "this voter does not vote yet: an earlier life of it may have granted what still runs")
	}
	if s.LastExpired != "" {
		fmt.Fprintln(out, "ended last here:", s.LastExpired)
	}
	return nil
}

func printShares(out io.Writer, s fleet.QuotaStatus) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tPART\tAT LEAST\tLEFT\tREQUESTS/S\tLENDS\tLENT\tTO\tDROPPED")
	lends, lent, to := "no", "-", "-"
	if s.IsVoter {
		lends, lent, to = "yes", fmt.Sprintf("%.4f", s.Outstanding), fmt.Sprint(s.Borrowers)
		if s.Recovering {
			lends = "not yet"
		}
	}
	fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%.2fs\t%.1f\t%s\t%s\t%s\t%d\n", s.Self, s.Fraction, s.MinFraction, s.RemainingS, s.Demand, lends, lent, to, s.Dropped)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("shares: %w", err)
	}
	return nil
}

func printSubset(out io.Writer, s subsetter.Status) error {
	kept := "all"
	if len(s.Subset) > 0 {
		kept = fmt.Sprintf("%d: %s", len(s.Subset), strings.Join(s.Subset, " "))
	}
	fmt.Fprintf(out, "%s keeps to %s\nof %d replicas, shared among %d members; handed out %d times, the last took %.1f ms\n", s.Self, kept, s.Endpoints, s.Members, s.Updates, s.TookMS)
	return nil
}

func printLists(out io.Writer, s endpointfilter.Status) error {
	fmt.Fprintf(out, "list %d; %d replicas held back by newer lists of others, %d such lists came, %d times they would have ended too much\n", s.List, s.Suppressed, s.PeerLists, s.Rejected)
	return nil
}

func printMembers(out io.Writer, s fleet.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tFOR\tHEARD\tZONE\tLIVES\tINCARNATION\tVERSION\tSETTINGS\tLIST\tSKEW")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%.1fs\t%.1fs\t%s\t%d\t%d\t%s\t%s\t%d\t%dms\n", m.Name, m.State, m.StateForS, m.LastHeartbeatS, m.Zone, m.Incarnations, m.Incarnation,
			m.Version, m.Settings, m.ListVersion, m.SkewMS)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	fmt.Fprintf(out, "fleet %s as %s sees it: view %d, fresh %t, %d messages made no sense, %d were late\n", s.Fleet, s.Self, s.ViewVersion, s.Fresh, s.Malformed, s.Stale)
	for _, c := range s.Conflicts {
		fmt.Fprintln(out, "name claimed twice:", c)
	}
	return nil
}
