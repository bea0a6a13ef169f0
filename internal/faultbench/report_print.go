package faultbench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Print writes the report as a table, the first 20 violations, and as its last line one JSON object.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\t%s\tseed\t%d\tdispatchers\t%d\n", r.Scenario, r.Seed, r.Dispatchers)
	fmt.Fprintf(t, "asked\t%d\ttries\t%d\tconnections\t%d\n", r.Requests, r.Attempts, r.Connections)
	recovered := "not reached"
	if r.RecoveryS != nil {
		recovered = fmt.Sprintf("%.1f s", *r.RecoveryS)
	}
	fmt.Fprintf(t, "served\t%.3f\tworst 10 s\t%.3f\trecovery\t%s\n", r.ServedShare, r.Worst10S, recovered)
	for _, name := range sortedKeys(r.ByClass) {
		fmt.Fprintf(t, "%s\t%.3f\n", name, r.ByClass[name])
	}
	for _, name := range sortedKeys(r.ByStatus) {
		fmt.Fprintf(t, "%s\t%d\n", name, r.ByStatus[name])
	}
	fmt.Fprintf(t, "first token\tp50 %.0f ms\tp90 %.0f ms\tp99 %.0f ms\n", r.FirstTokenMS["p50"], r.FirstTokenMS["p90"], r.FirstTokenMS["p99"])
	fmt.Fprintf(t, "probes\t%.2f a replica and second\tfell\t%d\n", r.PollRate, r.Overloaded)
	fmt.Fprintf(t, "a dispatcher\t%.0f MB\t%d descriptors\t%.3f of a core\n", r.RSSMB, r.FDs, r.CPUShare)
	if s := r.VersionSkew; s != nil {
		fmt.Fprintf(t, "stragglers\tshut out after %.1f s\tback after %.1f s\t%d acts after\t%d wrongly\n", s.DetectionS, s.ReadmissionS, s.WorkAfterFence, s.FalselyFenced)
	}
	if r.StaleAttempts > 0 {
		fmt.Fprintf(t, "stale\t%d sent to replicas that a newer list had ended for %v\n", r.StaleAttempts, staleWithin)
	}
	if r.PeerBytes > 0 {
		fmt.Fprintf(t, "between members\t%.0f bytes a second each\n", r.PeerBytes)
	}
	fmt.Fprintf(t, "all together\t%.3f repeats a request\t%.2f own probes a replica and second\tat most %.1f in 5 s\n", r.RepeatsPerRequest, r.OwnPollRate, r.MaxOwnPollRate)
	fmt.Fprintf(t, "at a replica\t%.2f handshakes a second\t%d connections at once at most\tload %.2f of the mean at most\n", r.HandshakeRate, r.MaxConnections, r.MaxLoadOverMean)
	if r.HandshakeSurge > 0 {
		fmt.Fprintf(t, "rush\t%.1f times the calm handshakes in 5 s\t%.0f calls at discovery\n", r.HandshakeSurge, r.MaxDiscoveryCalls)
	}
	if r.MaxSlowStartLoad > 0 {
		fmt.Fprintf(t, "cold replicas\tgot %.2f of what they may\tat most %.2f of what one bears\n", r.SlowStartUsed, r.MaxSlowStartLoad)
	}
	if r.MaxQuotaSum > 0 {
		fmt.Fprintf(t, "parts\t%.4f at most\t%.4f in the mean\t%.4f at least\n", r.MaxQuotaSum, r.MeanQuotaSum, r.MinQuotaSum)
	}
	if f := r.Idempotency; f != nil {
		fmt.Fprintf(t, "filings\t%d keys, %d ran\t%d twice\t%d tries\n", f.Keys, f.Executed, f.ExecutedTwice, f.Attempts)
		fmt.Fprintf(t, "\t%d answered\t%d again\t%d told\t%d without a majority\t%v\n", f.Answered, f.Replayed, f.InProgress, f.Unavailable, f.Other)
		fmt.Fprintf(t, "\tanswered in %v ms\tgranted in %.1f ms\trefused in %v ms\n", f.AnswerMS, f.GrantMS, f.UnavailableMS)
	}
	if n := len(r.DetectionS); n > 0 {
		sorted := slices.Sorted(slices.Values(r.DetectionS))
		fmt.Fprintf(t, "noticed\tp50 %.2f s\tmost %.2f s\tof %d\n", sorted[n/2], sorted[n-1], n)
	}
	if r.LeasedPollRate > 0 {
		fmt.Fprintf(t, "for the fleet\t%.2f probes a replica and second\tlongest gap\t%.2f s\tdoubled\t%d\n", r.LeasedPollRate, r.MaxLeasedPollGapS, r.StaleLeasePolls)
	}
	if r.FalselySuspected > 0 {
		fmt.Fprintf(t, "falsely suspected\t%d\n", r.FalselySuspected)
	}
	fmt.Fprintf(t, "rules broken\t%d\tcrashes\t%d\n", r.RulesBroken, r.Crashes)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for i, b := range r.violations {
		if i == 20 {
			fmt.Fprintf(w, "and %d more\n", len(r.violations)-i)
			break
		}
		fmt.Fprintln(w, b)
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
