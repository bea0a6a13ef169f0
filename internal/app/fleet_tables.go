package app

// This file prints the tables of the fleet sub-commands, which show a member's status. Operators and scripts read them,
// and the member may run another version, so the columns and words must not change (testdata/fleet.golden).

import (
	"fmt"
	"io"
	"strings"

	"rampspread/internal/fleet"
	"rampspread/internal/fleet/endpointfilter"
	"rampspread/internal/fleet/idempotencyquorum"
	"rampspread/internal/fleet/subsetter"
)

// printVersions prints the versions that each member uses and how far it lags behind.
func printVersions(out io.Writer, status fleet.VersionSkewStatus) error {
	table := newTable(out)
	fmt.Fprintln(table, "NAME\tSTATE\tHEARD\tPROGRAM\tSETTINGS\tLIST\tLEASE\tSTEP\tFOR\tBEHIND\tWHY")
	for _, member := range status.Members {
		lagging, reason := "-", "-"
		if member.Reason != "" {
			lagging, reason = fmt.Sprintf("%.1fs", member.LaggingS), member.Reason
		}
		fmt.Fprintf(table, "%s\t%s\t%.1fs\t%s\t%s\t%d\t%d\t%s\t%.1fs\t%s\t%s\n",
			member.Name, member.State, member.LastHeartbeatS, member.Program, member.Settings, member.ListVersion, member.HighestToken,
			member.SkewState, member.SkewStateForS, lagging, reason)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	switch {
	case !status.Enabled:
		fmt.Fprintln(out, "as", status.Self, "sees it; nobody is judged: the fleet's file has no stragglers")
	case status.InsufficientView:
		fmt.Fprintln(out, "as", status.Self, "sees it, which sees too few members to judge")
	default:
		fmt.Fprintf(out, "as %s sees it; most have list %d and settings %s; frozen %t\n",
			status.Self, status.MajorityListVersion, status.MajoritySettings, status.Frozen)
	}
	if status.Fault != "" {
		fmt.Fprintln(out, "nobody more is shut out:", status.Fault)
	}
	return nil
}

// printTasks prints the holder of the lease of each task.
func printTasks(out io.Writer, status fleet.TasksStatus) error {
	table := newTable(out)
	fmt.Fprintln(table, "DUTY\tOWNER\tSTANDBY\tHELD HERE\tLEASE\tFOR\tLEFT\tLAST RESULT")
	for _, task := range status.Tasks {
		lease, heldFor, remaining := "-", "-", "-"
		if task.Held {
			lease = fmt.Sprint(task.Token)
			heldFor = fmt.Sprintf("%.1fs", task.HeldForS)
			remaining = fmt.Sprintf("%.2fs", task.RemainingS)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%s\t%s\t%.1fs\n", task.Task, task.Owner, task.Standby, task.Held,
			lease, heldFor, remaining, task.LastResultS)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	fmt.Fprintf(out, "as %s sees it; voters %s; %d acts, %d results of ended leases, %d bytes sent\n",
		status.Self, strings.Join(status.Voters, " "), status.Executions, status.LateResults, status.BytesSent)
	if status.Recovering {
		fmt.Fprintln(out, "this voter does not vote yet: an earlier life of it may have granted what still runs")
	}
	if status.LastExpired != "" {
		fmt.Fprintln(out, "ended last here:", status.LastExpired)
	}
	return nil
}

// printQuota prints a member's share of the fleet's budgets and what it has granted as a voter.
func printQuota(out io.Writer, status fleet.QuotaStatus) error {
	table := newTable(out)
	fmt.Fprintln(table, "MEMBER\tPART\tAT LEAST\tLEFT\tREQUESTS/S\tLENDS\tLENT\tTO\tDROPPED")
	lends, outstanding, borrowers := "no", "-", "-"
	if status.IsVoter {
		lends, outstanding, borrowers = "yes", fmt.Sprintf("%.4f", status.Outstanding), fmt.Sprint(status.Borrowers)
		if status.Recovering {
			lends = "not yet"
		}
	}
	fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%.2fs\t%.1f\t%s\t%s\t%s\t%d\n",
		status.Self, status.Fraction, status.MinFraction, status.RemainingS, status.Demand, lends, outstanding, borrowers, status.Dropped)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("shares: %w", err)
	}
	return nil
}

// printSubset prints the replicas that a member routes to.
func printSubset(out io.Writer, status subsetter.Status) error {
	subset := "all"
	if len(status.Subset) > 0 {
		subset = fmt.Sprintf("%d: %s", len(status.Subset), strings.Join(status.Subset, " "))
	}
	fmt.Fprintf(out, "%s keeps to %s\nof %d replicas, shared among %d members; handed out %d times, the last took %.1f ms\n",
		status.Self, subset, status.Endpoints, status.Members, status.Updates, status.TookMS)
	return nil
}

// printEndpointFilter prints how many replicas the newer endpoint lists of other members suppress.
func printEndpointFilter(out io.Writer, status endpointfilter.Status) error {
	fmt.Fprintf(out, "list %d; %d replicas held back by newer lists of others, %d such lists came, "+
		"%d times they would have ended too much\n",
		status.ListVersion, status.Suppressed, status.PeerLists, status.Rejected)
	return nil
}

// printMembers prints the membership as one member sees it.
func printMembers(out io.Writer, status fleet.Status) error {
	table := newTable(out)
	fmt.Fprintln(table, "NAME\tSTATE\tFOR\tHEARD\tZONE\tLIVES\tINCARNATION\tVERSION\tSETTINGS\tLIST\tSKEW")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%.1fs\t%.1fs\t%s\t%d\t%d\t%s\t%s\t%d\t%dms\n",
			member.Name, member.State, member.StateForS, member.LastHeartbeatS, member.Zone, member.Incarnations,
			member.Incarnation, member.Version, member.Settings, member.ListVersion, member.SkewMS)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	fmt.Fprintf(out, "fleet %s as %s sees it: view %d, fresh %t, %d messages made no sense, %d were late\n",
		status.Fleet, status.Self, status.ViewVersion, status.Fresh, status.Malformed, status.Stale)
	for _, conflict := range status.Conflicts {
		fmt.Fprintln(out, "name claimed twice:", conflict)
	}
	return nil
}

// printIdempotency prints a member's status in the quorum of idempotency records.
func printIdempotency(out io.Writer, status idempotencyquorum.Status) error {
	table := newTable(out)
	fmt.Fprintln(table, "MEMBER\tKEEPS\tKEYS\tGRANTED\tIN\tREFUSED\tNO MAJORITY\tDROPPED\tERRORS\tBAD")
	stores := "no"
	switch {
	case status.IsReplica && status.RecoveringS > 0:
		stores = fmt.Sprintf("in %.0fs", status.RecoveringS)
	case status.IsReplica:
		stores = "yes"
	}
	fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1fms\t%d\t%d\t%d\t%d\t%d\n", status.Self, stores, status.Keys, status.Granted,
		status.GrantMS, status.Rejected, status.NoQuorum, status.Dropped, status.StoreErrors, status.Malformed)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("filings: %w", err)
	}
	fmt.Fprintln(out, "kept by", status.Replicas)
	return nil
}
