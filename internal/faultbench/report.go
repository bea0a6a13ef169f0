package faultbench

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/loadgen"
	"rampspread/internal/faultbench/process"
	"rampspread/internal/faultbench/scenario"
)

// Report is what came of a run. Shares are of worth: what was answered in time, over what was asked for.
type Report struct {
	Scenario    string             `json:"scenario"`
	Seed        uint64             `json:"seed"`
	Dispatchers int                `json:"dispatchers"`
	Asked       int                `json:"asked"` // first tries
	ServedShare float64            `json:"served_share"`
	Worst10S    float64            `json:"worst_10s"`
	RecoveryS   *float64           `json:"recovery_s"` // null: not reached
	RulesBroken int                `json:"rules_broken"`
	Crashes     int                `json:"crashes"`
	ByClass     map[string]float64 `json:"by_class"`
	ByStatus    map[string]int     `json:"by_status"` // of first tries with their repeats
	FirstMS     map[string]float64 `json:"first_token_ms"`
	Tries       int                `json:"tries"`
	Connections int                `json:"connections"` // that clients opened
	Probes      float64            `json:"probes_per_replica_s"`
	Overloaded  int                `json:"fell"` // cold replicas that were pushed over
	PerSecond   []float64          `json:"per_second"`
	// With a fleet: how long until the others' views showed a process that had ended or was paused, and how often
	// one showed another falsely as suspect or worse.
	DetectS          []float64 `json:"detect_s,omitempty"`
	FalselySuspected int       `json:"falsely_suspected"`
	// Probes on behalf of the fleet, as the replicas saw them: the longest gap at any, those of leases that another had
	// followed, and how many a replica got in a second.
	MaxLeasedPollGapS float64 `json:"gap_max_s"`
	StaleLeasePolls   int     `json:"probes_doubled"`
	LeasedPollRate    float64 `json:"duty_probes_per_replica_s"`
	// What the dispatchers that ran at the end took: the most of any in MB and descriptors, the mean share of a core, and
	// what a member sent to others in bytes a second, with the answers that it got.
	RSSMB      float64 `json:"rss_mb_most"`
	OwnMB      float64 `json:"own_mb_most"`
	FDs        int     `json:"fds_most"`
	ReadyS     float64 `json:"ready_s_most"`
	Goroutines float64 `json:"goroutines_most"`
	Core       float64 `json:"core_mean"`
	PeerBytes  float64 `json:"peer_bytes_s"`
	FleetTotals
	Idempotency *loadgen.IdempotencyReport `json:"filings,omitempty"`
	// BootstrapsApplied is how many gifts of what others know the lives that ran at the end took at their start.
	BootstrapsApplied float64 `json:"beliefs_taken"`

	VersionSkew *VersionSkewReport `json:"stragglers,omitempty"`
	// StaleActs is the work sent to replicas that a newer list, told to any dispatcher, had ended for longer than staleWithin.
	StaleActs int `json:"stale_acts"`

	violations []history.Violation
	events     []history.Event
	faultSpans [][2]float64 // of the faults, in seconds of the day
}

// Good tells whether no rule broke and nothing crashed.
func (r *Report) Good() bool { return r.RulesBroken == 0 && r.Crashes == 0 }

// leaseSettleTime is how long after a day's begin duties are held by all: voters that start wait for a term.
const leaseSettleTime = 3 * time.Second

const (
	window            = time.Second
	recoveredFraction = 0.95 // of the level before, for
	recoveredWindows  = 3    // windows
	warmUpWindows     = 3    // windows at a day's begin that do not count as its level
)

func (r *Run) report(results []loadgen.Result, base time.Duration, connections int) *Report {
	events := r.history.Events()
	out := &Report{Scenario: r.scenario.Name, Seed: r.options.Seed, Dispatchers: len(r.dispatchers), Asked: len(results), Connections: connections,
		ByClass: map[string]float64{}, ByStatus: map[string]int{}, FirstMS: map[string]float64{}, events: events}
	out.violations = history.Check(events, r.rules)
	if r.options.Strict {
		out.violations = append(out.violations, history.CheckStrict(events, r.rules)...)
	}
	out.RulesBroken = len(out.violations)
	for _, p := range r.dispatchers {
		out.Crashes += p.Crashes()
	}
	first := hdrhistogram.New(1, 60_000, 3) // ms
	n := int(r.scenario.Seconds)
	asked, earned := make([]float64, n), make([]float64, n)
	classAsked := map[string]float64{}
	for _, q := range results {
		w := min(int(q.Request.ArrivesAt/window), n-1)
		asked[w] += q.Request.Value()
		earned[w] += q.Earned
		classAsked[q.Request.Class.Name] += q.Request.Value()
		out.ByClass[q.Request.Class.Name] += q.Earned
		out.ByStatus[string(q.Status)]++
		out.Tries += q.Attempts
		if q.FirstToken > 0 {
			first.RecordValue(min(q.FirstToken.Milliseconds(), 60_000))
		}
	}
	for name, all := range classAsked {
		out.ByClass[name] /= all
	}
	for _, p := range []float64{50, 90, 99} {
		out.FirstMS[fmt.Sprintf("p%v", p)] = float64(first.ValueAtQuantile(p))
	}
	out.ServedShare = valueShare(earned, asked)
	out.Worst10S = 1
	for i := 0; i+10 <= n; i++ {
		out.Worst10S = min(out.Worst10S, valueShare(earned[i:i+10], asked[i:i+10]))
	}
	for i := range n {
		out.PerSecond = append(out.PerSecond, valueShare(earned[i:i+1], asked[i:i+1]))
	}
	if len(r.scenario.Faults) > 0 {
		out.RecoveryS = recovery(out.PerSecond, earned, asked, int(scenario.Seconds(r.scenario.Faults[0].At)/window), max(r.lastFaultEnd-base, 0))
	} else {
		out.RecoveryS = new(float64)
	}
	probes := 0
	for _, e := range events {
		switch e.Kind {
		case history.LoadPolled:
			probes++
		case history.ReplicaOverloaded:
			out.Overloaded++
		}
	}
	out.DetectS, out.FalselySuspected = detectionTimes(events, r.names)
	n = 0
	out.MaxLeasedPollGapS, out.StaleLeasePolls, n = leasedPolls(events, base+leaseSettleTime, base+scenario.Seconds(r.scenario.Seconds))
	out.LeasedPollRate = float64(n) / float64(len(r.cluster.Replicas)) / r.scenario.Seconds
	out.Probes = float64(probes) / float64(len(r.cluster.Replicas)) / r.scenario.Seconds
	out.FleetTotals = fleetTotals(events, r.rules, r.cluster.Replicas, base, scenario.Seconds(r.scenario.Seconds))
	if len(r.scenario.Faults) > 0 {
		var made []time.Duration
		for _, p := range r.cluster.Replicas {
			for _, at := range p.Connections.OpenTimes() {
				made = append(made, r.history.At(at)-base)
			}
		}
		slices.Sort(made)
		out.HandshakeSurge = handshakeSurge(made, scenario.Seconds(r.scenario.Faults[0].At))
	}
	if r.options.VersionSkew {
		s := versionSkewReport(events)
		out.VersionSkew = &s
	}
	out.StaleActs = len(history.StaleAttempts(events, staleWithin))
	out.faultSpans = r.faultSpans
	return out
}

// staleWithin is how long others' newer lists may take to bind: to hear that one is behind, to tell it, and what a drain may take.
const staleWithin = 1500 * time.Millisecond

// addUsage takes in what the processes took over so long.
func (r *Report) addUsage(used []process.Usage, run *Run, over time.Duration) {
	for _, u := range used {
		r.RSSMB, r.OwnMB, r.FDs = max(r.RSSMB, u.RSSMB), max(r.OwnMB, u.OwnMB), max(r.FDs, u.FDs)
		r.ReadyS = max(r.ReadyS, u.ReadyAfter.Seconds())
		r.Core += u.CPU.Seconds() / over.Seconds() / float64(len(used))
	}
	for _, p := range run.dispatchers {
		r.Goroutines = max(r.Goroutines, p.Counter("goroutines"))
	}
	if run.peers != nil {
		bytes := int64(0)
		for _, relay := range run.peers.relays {
			bytes += relay.Bytes()
		}
		r.PeerBytes = float64(bytes) / over.Seconds() / float64(len(used))
	}
}

func valueShare(earned, asked []float64) float64 {
	e, a := 0.0, 0.0
	for i := range asked {
		e, a = e+earned[i], a+asked[i]
	}
	if a == 0 {
		return 1
	}
	return e / a
}

// recovery is how long after the last fault's end windows hold 95% of the level before for 3 s; nil: never.
func recovery(perSecond, earned, asked []float64, from int, end time.Duration) *float64 {
	level := 1.0
	if from > warmUpWindows {
		level = valueShare(earned[warmUpWindows:from], asked[warmUpWindows:from])
	}
	run := 0
	for i := int((end + window - 1) / window); i < len(perSecond); i++ {
		if perSecond[i] < recoveredFraction*level {
			run = 0
			continue
		}
		if run++; run == recoveredWindows {
			s := max(float64(i+1-recoveredWindows)-end.Seconds(), 0)
			return &s
		}
	}
	return nil
}

// Print writes the report as a table, the breaches, and as its last line one JSON object.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\t%s\tseed\t%d\tdispatchers\t%d\n", r.Scenario, r.Seed, r.Dispatchers)
	fmt.Fprintf(t, "asked\t%d\ttries\t%d\tconnections\t%d\n", r.Asked, r.Tries, r.Connections)
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
	fmt.Fprintf(t, "first token\tp50 %.0f ms\tp90 %.0f ms\tp99 %.0f ms\n", r.FirstMS["p50"], r.FirstMS["p90"], r.FirstMS["p99"])
	fmt.Fprintf(t, "probes\t%.2f a replica and second\tfell\t%d\n", r.Probes, r.Overloaded)
	fmt.Fprintf(t, "a dispatcher\t%.0f MB\t%d descriptors\t%.3f of a core\n", r.RSSMB, r.FDs, r.Core)
	if s := r.VersionSkew; s != nil {
		fmt.Fprintf(t, "stragglers\tshut out after %.1f s\tback after %.1f s\t%d acts after\t%d wrongly\n", s.DetectionS, s.ReadmissionS, s.WorkAfterFence, s.FalselyFenced)
	}
	if r.StaleActs > 0 {
		fmt.Fprintf(t, "stale\t%d sent to replicas that a newer list had ended for %v\n", r.StaleActs, staleWithin)
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
	if n := len(r.DetectS); n > 0 {
		sorted := slices.Sorted(slices.Values(r.DetectS))
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
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Keep writes a run's figures behind those of others in figures.jsonl, its history and its chart.
func (r *Report) Keep(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	name := fmt.Sprintf("%s-%d-%d", r.Scenario, r.Dispatchers, r.Seed)
	f, err := os.OpenFile(filepath.Join(dir, "figures.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer f.Close()
	if err := json.NewEncoder(f).Encode(r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	h, err := os.Create(filepath.Join(dir, name+".history.jsonl"))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer h.Close()
	if err := history.Write(h, r.events); err != nil {
		return err
	}
	return r.chart(filepath.Join(dir, name+".svg"))
}

// chart draws the served share of each second, with the faults' times behind it.
func (r *Report) chart(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d dispatchers, seed %d", r.Scenario, r.Dispatchers, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "s", "served share of the second's worth"
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, 1.05, 0, float64(len(r.PerSecond))
	for _, s := range r.faultSpans {
		box, err := plotter.NewPolygon(plotter.XYs{{X: s[0]}, {X: s[0], Y: 1.05}, {X: max(s[1], s[0]+0.1), Y: 1.05}, {X: max(s[1], s[0]+0.1)}})
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		box.Color, box.LineStyle.Width = color.RGBA{255, 200, 200, 255}, 0
		p.Add(box)
	}
	var points plotter.XYs
	for i, y := range r.PerSecond {
		points = append(points, plotter.XY{X: float64(i), Y: y}, plotter.XY{X: float64(i + 1), Y: y})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	p.Add(line)
	if err := p.Save(16*vg.Centimeter, 8*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
