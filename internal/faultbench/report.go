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
)

// Report is what came of a run. Shares are of worth: what was answered in time, over what was asked for.
type Report struct {
	Scenario    string             `json:"scenario"`
	Seed        uint64             `json:"seed"`
	Dispatchers int                `json:"dispatchers"`
	Asked       int                `json:"asked"` // first tries
	Served      float64            `json:"served_share"`
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
	Fell        int                `json:"fell"` // cold replicas that were pushed over
	PerSecond   []float64          `json:"per_second"`
	// With a fleet: how long until the others' views showed a process that had ended or was paused, and how often
	// one showed another falsely as suspect or worse.
	DetectS   []float64 `json:"detect_s,omitempty"`
	Suspected int       `json:"falsely_suspected"`
	// Probes on behalf of the fleet, as the replicas saw them: the longest gap at any, those of leases that another had
	// followed, and how many a replica got in a second.
	GapS    float64 `json:"gap_max_s"`
	Doubled int     `json:"probes_doubled"`
	Duty    float64 `json:"duty_probes_per_replica_s"`
	// What the dispatchers that ran at the end took: the most of any in MB and descriptors, the mean share of a core, and
	// what a member sent to others in bytes a second, with the answers that it got.
	RSSMB     float64 `json:"rss_mb_most"`
	OwnMB     float64 `json:"own_mb_most"`
	FDs       int     `json:"fds_most"`
	ReadyS    float64 `json:"ready_s_most"`
	Routines  float64 `json:"goroutines_most"`
	Core      float64 `json:"core_mean"`
	PeerBytes float64 `json:"peer_bytes_s"`
	Sums
	Filings *Filings `json:"filings,omitempty"`
	// Taken is how many gifts of what others know the lives that ran at the end took at their start.
	Taken float64 `json:"beliefs_taken"`

	Straggling *Straggling `json:"stragglers,omitempty"`
	// StaleActs is the work sent to replicas that a newer list, told to any dispatcher, had ended for longer than staleWithin.
	StaleActs int `json:"stale_acts"`

	breaches []history.Violation
	events   []history.Event
	spans    [][2]float64 // of the faults, in seconds of the day
}

// Good tells whether no rule broke and nothing crashed.
func (r *Report) Good() bool { return r.RulesBroken == 0 && r.Crashes == 0 }

// dutySettle is how long after a day's begin duties are held by all: voters that start wait for a term.
const dutySettle = 3 * time.Second

const (
	window   = time.Second
	recovers = 0.95 // of the level before, for
	holds    = 3    // windows
	warmUp   = 3    // windows at a day's begin that do not count as its level
)

func (r *Run) report(results []result, base time.Duration, connections int) *Report {
	events := r.history.Events()
	out := &Report{Scenario: r.scenario.Name, Seed: r.options.Seed, Dispatchers: len(r.procs), Asked: len(results), Connections: connections,
		ByClass: map[string]float64{}, ByStatus: map[string]int{}, FirstMS: map[string]float64{}, events: events}
	out.breaches = history.Check(events, r.rules)
	if r.options.Strict {
		out.breaches = append(out.breaches, history.CheckStrict(events, r.rules)...)
	}
	out.RulesBroken = len(out.breaches)
	for _, p := range r.procs {
		out.Crashes += p.crashes
	}
	first := hdrhistogram.New(1, 60_000, 3) // ms
	n := int(r.scenario.Seconds)
	asked, earned := make([]float64, n), make([]float64, n)
	classAsked := map[string]float64{}
	for _, q := range results {
		w := min(int(q.spec.at/window), n-1)
		asked[w] += q.spec.worth()
		earned[w] += q.earned
		classAsked[q.spec.class.name] += q.spec.worth()
		out.ByClass[q.spec.class.name] += q.earned
		out.ByStatus[q.status]++
		out.Tries += q.tries
		if q.first > 0 {
			first.RecordValue(min(q.first.Milliseconds(), 60_000))
		}
	}
	for name, all := range classAsked {
		out.ByClass[name] /= all
	}
	for _, p := range []float64{50, 90, 99} {
		out.FirstMS[fmt.Sprintf("p%v", p)] = float64(first.ValueAtQuantile(p))
	}
	out.Served = share(earned, asked)
	out.Worst10S = 1
	for i := 0; i+10 <= n; i++ {
		out.Worst10S = min(out.Worst10S, share(earned[i:i+10], asked[i:i+10]))
	}
	for i := range n {
		out.PerSecond = append(out.PerSecond, share(earned[i:i+1], asked[i:i+1]))
	}
	if len(r.scenario.Faults) > 0 {
		out.RecoveryS = recovery(out.PerSecond, earned, asked, int(seconds(r.scenario.Faults[0].At)/window), max(r.healed-base, 0))
	} else {
		out.RecoveryS = new(float64)
	}
	probes := 0
	for _, e := range events {
		switch e.Kind {
		case history.LoadPolled:
			probes++
		case history.ReplicaOverloaded:
			out.Fell++
		}
	}
	out.DetectS, out.Suspected = detection(events, r.names)
	n = 0
	out.GapS, out.Doubled, n = duties(events, base+dutySettle, base+seconds(r.scenario.Seconds))
	out.Duty = float64(n) / float64(len(r.cluster.replicas)) / r.scenario.Seconds
	out.Probes = float64(probes) / float64(len(r.cluster.replicas)) / r.scenario.Seconds
	out.Sums = sum(events, r.rules, r.cluster.replicas, base, seconds(r.scenario.Seconds))
	if len(r.scenario.Faults) > 0 {
		var made []time.Duration
		for _, p := range r.cluster.replicas {
			for _, at := range p.calls.times() {
				made = append(made, r.history.At(at)-base)
			}
		}
		slices.Sort(made)
		out.Rush = rush(made, seconds(r.scenario.Faults[0].At))
	}
	if r.options.Stragglers {
		s := straggling(events)
		out.Straggling = &s
	}
	out.StaleActs = len(history.StaleAttempts(events, staleWithin))
	out.spans = r.spans
	return out
}

// staleWithin is how long others' newer lists may take to bind: to hear that one is behind, to tell it, and what a drain may take.
const staleWithin = 1500 * time.Millisecond

// use takes in what the processes took over so long.
func (r *Report) use(used []usage, run *Run, over time.Duration) {
	for _, u := range used {
		r.RSSMB, r.OwnMB, r.FDs = max(r.RSSMB, u.rssMB), max(r.OwnMB, u.ownMB), max(r.FDs, u.fds)
		r.ReadyS = max(r.ReadyS, u.ready.Seconds())
		r.Core += u.cpu.Seconds() / over.Seconds() / float64(len(used))
	}
	for _, p := range run.procs {
		r.Routines = max(r.Routines, p.counts["goroutines"])
	}
	if run.peers != nil {
		bytes := int64(0)
		for _, relay := range run.peers.relays {
			bytes += relay.Bytes()
		}
		r.PeerBytes = float64(bytes) / over.Seconds() / float64(len(used))
	}
}

func share(earned, asked []float64) float64 {
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
	if from > warmUp {
		level = share(earned[warmUp:from], asked[warmUp:from])
	}
	run := 0
	for i := int((end + window - 1) / window); i < len(perSecond); i++ {
		if perSecond[i] < recovers*level {
			run = 0
			continue
		}
		if run++; run == holds {
			s := max(float64(i+1-holds)-end.Seconds(), 0)
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
	fmt.Fprintf(t, "served\t%.3f\tworst 10 s\t%.3f\trecovery\t%s\n", r.Served, r.Worst10S, recovered)
	for _, name := range sortedKeys(r.ByClass) {
		fmt.Fprintf(t, "%s\t%.3f\n", name, r.ByClass[name])
	}
	for _, name := range sortedKeys(r.ByStatus) {
		fmt.Fprintf(t, "%s\t%d\n", name, r.ByStatus[name])
	}
	fmt.Fprintf(t, "first token\tp50 %.0f ms\tp90 %.0f ms\tp99 %.0f ms\n", r.FirstMS["p50"], r.FirstMS["p90"], r.FirstMS["p99"])
	fmt.Fprintf(t, "probes\t%.2f a replica and second\tfell\t%d\n", r.Probes, r.Fell)
	fmt.Fprintf(t, "a dispatcher\t%.0f MB\t%d descriptors\t%.3f of a core\n", r.RSSMB, r.FDs, r.Core)
	if s := r.Straggling; s != nil {
		fmt.Fprintf(t, "stragglers\tshut out after %.1f s\tback after %.1f s\t%d acts after\t%d wrongly\n", s.SeenS, s.LevelS, s.Acts, s.Wrong)
	}
	if r.StaleActs > 0 {
		fmt.Fprintf(t, "stale\t%d sent to replicas that a newer list had ended for %v\n", r.StaleActs, staleWithin)
	}
	if r.PeerBytes > 0 {
		fmt.Fprintf(t, "between members\t%.0f bytes a second each\n", r.PeerBytes)
	}
	fmt.Fprintf(t, "all together\t%.3f repeats a request\t%.2f own probes a replica and second\tat most %.1f in 5 s\n", r.Repeats, r.OwnProbes, r.OwnMost)
	fmt.Fprintf(t, "at a replica\t%.2f handshakes a second\t%d connections at once at most\tload %.2f of the mean at most\n", r.Handshakes, r.Open, r.LoadSpread)
	if r.Rush > 0 {
		fmt.Fprintf(t, "rush\t%.1f times the calm handshakes in 5 s\t%.0f calls at discovery\n", r.Rush, r.Lists)
	}
	if r.ColdMost > 0 {
		fmt.Fprintf(t, "cold replicas\tgot %.2f of what they may\tat most %.2f of what one bears\n", r.ColdUsed, r.ColdMost)
	}
	if r.ShareSum > 0 {
		fmt.Fprintf(t, "parts\t%.4f at most\t%.4f in the mean\t%.4f at least\n", r.ShareSum, r.ShareMean, r.ShareLow)
	}
	if f := r.Filings; f != nil {
		fmt.Fprintf(t, "filings\t%d keys, %d ran\t%d twice\t%d tries\n", f.Keys, f.Ran, f.Twice, f.Tries)
		fmt.Fprintf(t, "\t%d answered\t%d again\t%d told\t%d without a majority\t%v\n", f.Answered, f.Again, f.Told, f.Unavailable, f.Other)
		fmt.Fprintf(t, "\tanswered in %v ms\tgranted in %.1f ms\trefused in %v ms\n", f.MS, f.ClaimMS, f.RefusedMS)
	}
	if n := len(r.DetectS); n > 0 {
		sorted := slices.Sorted(slices.Values(r.DetectS))
		fmt.Fprintf(t, "noticed\tp50 %.2f s\tmost %.2f s\tof %d\n", sorted[n/2], sorted[n-1], n)
	}
	if r.Duty > 0 {
		fmt.Fprintf(t, "for the fleet\t%.2f probes a replica and second\tlongest gap\t%.2f s\tdoubled\t%d\n", r.Duty, r.GapS, r.Doubled)
	}
	if r.Suspected > 0 {
		fmt.Fprintf(t, "falsely suspected\t%d\n", r.Suspected)
	}
	fmt.Fprintf(t, "rules broken\t%d\tcrashes\t%d\n", r.RulesBroken, r.Crashes)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for i, b := range r.breaches {
		if i == 20 {
			fmt.Fprintf(w, "and %d more\n", len(r.breaches)-i)
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
	for _, s := range r.spans {
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
