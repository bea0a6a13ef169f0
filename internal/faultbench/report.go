package faultbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/loadgen"
	"rampspread/internal/faultbench/process"
	"rampspread/internal/faultbench/scenario"
)

// Report is the result of a run. Shares are of value: of the requests that were served in time, over that of all requests.
type Report struct {
	Scenario     string             `json:"scenario"`
	Seed         uint64             `json:"seed"`
	Dispatchers  int                `json:"dispatchers"`
	Requests     int                `json:"asked"` // without retries
	ServedShare  float64            `json:"served_share"`
	Worst10S     float64            `json:"worst_10s"`
	RecoveryS    *float64           `json:"recovery_s"` // null: not reached
	RulesBroken  int                `json:"rules_broken"`
	Crashes      int                `json:"crashes"`
	ByClass      map[string]float64 `json:"by_class"`
	ByStatus     map[string]int     `json:"by_status"` // of requests with their retries
	FirstTokenMS map[string]float64 `json:"first_token_ms"`
	Attempts     int                `json:"tries"`
	Connections  int                `json:"connections"` // that clients opened
	PollRate     float64            `json:"probes_per_replica_s"`
	Overloaded   int                `json:"fell"` // replicas in slow start that fell over
	PerSecond    []float64          `json:"per_second"`
	// With a fleet: how long until the others' views showed a process that had ended or was paused, and how often
	// one showed another falsely as suspect or worse.
	DetectionS       []float64 `json:"detect_s,omitempty"`
	FalselySuspected int       `json:"falsely_suspected"`
	// Load polls on behalf of the fleet, as the replicas saw them: the longest gap at any, those of leases that another had
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
	CPUShare   float64 `json:"core_mean"`
	PeerBytes  float64 `json:"peer_bytes_s"`
	FleetTotals
	Idempotency *loadgen.IdempotencyReport `json:"filings,omitempty"`
	// BootstrapsApplied is how many transfers of others' learned state the last processes applied at their start.
	BootstrapsApplied float64 `json:"beliefs_taken"`

	VersionSkew *VersionSkewReport `json:"stragglers,omitempty"`
	// StaleAttempts counts attempts sent to replicas that a newer list, sent to any dispatcher, had withdrawn for longer
	// than staleWithin.
	StaleAttempts int `json:"stale_acts"`

	violations []history.Violation
	events     []history.Event
	faultSpans [][2]float64 // from and to, in seconds since the traffic's start
}

// Good tells whether no rule broke and nothing crashed.
func (r *Report) Good() bool { return r.RulesBroken == 0 && r.Crashes == 0 }

// leaseSettleTime is how long after the traffic's start all leases are held: voters that start wait for a term.
const leaseSettleTime = 3 * time.Second

const (
	window            = time.Second
	recoveredFraction = 0.95 // of the level before, for
	recoveredWindows  = 3    // windows
	warmUpWindows     = 3    // windows at the start that do not count as its level
)

// report makes the report of what was recorded, from base on.
func (r *Run) report(results []loadgen.Result, base time.Duration, connections int) *Report {
	events := r.history.Events()
	out := &Report{Scenario: r.scenario.Name, Seed: r.options.Seed, Dispatchers: len(r.dispatchers), Requests: len(results), Connections: connections,
		ByClass: map[string]float64{}, ByStatus: map[string]int{}, FirstTokenMS: map[string]float64{}, events: events}
	out.violations = history.Check(events, r.rules)
	if r.options.Strict {
		out.violations = append(out.violations, history.CheckStrict(events, r.rules)...)
	}
	out.RulesBroken = len(out.violations)
	for _, p := range r.dispatchers {
		out.Crashes += p.Crashes()
	}
	out.addResults(results)
	value := valuePerWindow(results, int(r.scenario.Seconds))
	out.addValue(value)
	faults := r.scenario.Faults
	out.RecoveryS = new(float64)
	if len(faults) > 0 {
		out.RecoveryS = recovery(out.PerSecond, value.earned, value.offered, int(scenario.Seconds(faults[0].At)/window), max(r.lastFaultEnd-base, 0))
	}
	out.addPolls(events, len(r.cluster.Replicas), base, scenario.Seconds(r.scenario.Seconds))
	out.DetectionS, out.FalselySuspected = detectionTimes(events, r.names)
	out.FleetTotals = fleetTotals(events, r.rules, r.cluster.Replicas, base, scenario.Seconds(r.scenario.Seconds))
	if len(faults) > 0 {
		out.HandshakeSurge = handshakeSurge(r.handshakes(base), scenario.Seconds(faults[0].At))
	}
	if r.options.VersionSkew {
		s := versionSkewReport(events)
		out.VersionSkew = &s
	}
	out.StaleAttempts = len(history.StaleAttempts(events, staleWithin))
	out.faultSpans = r.faultSpans
	return out
}

// maxFirstTokenMS bounds the times to the first token that the report counts.
const maxFirstTokenMS = 60_000

// addResults takes in what became of the requests.
func (r *Report) addResults(results []loadgen.Result) {
	firstToken := hdrhistogram.New(1, maxFirstTokenMS, 3)
	offered := map[string]float64{}
	for _, q := range results {
		class := q.Request.Class.Name
		offered[class] += q.Request.Value()
		r.ByClass[class] += q.Earned
		r.ByStatus[string(q.Status)]++
		r.Attempts += q.Attempts
		if q.FirstToken > 0 {
			firstToken.RecordValue(min(q.FirstToken.Milliseconds(), maxFirstTokenMS))
		}
	}
	for class, all := range offered {
		r.ByClass[class] /= all
	}
	for _, p := range []float64{50, 90, 99} {
		r.FirstTokenMS[fmt.Sprintf("p%v", p)] = float64(firstToken.ValueAtQuantile(p))
	}
}

// windowValues are the values that requests had and earned, by the window of their arrival.
type windowValues struct{ offered, earned []float64 }

func valuePerWindow(results []loadgen.Result, windows int) windowValues {
	v := windowValues{make([]float64, windows), make([]float64, windows)}
	for _, q := range results {
		w := min(int(q.Request.ArrivesAt/window), windows-1)
		v.offered[w] += q.Request.Value()
		v.earned[w] += q.Earned
	}
	return v
}

// worstWindows is how many windows the worst share is taken over.
const worstWindows = 10

// addValue takes in the shares of value.
func (r *Report) addValue(v windowValues) {
	n := len(v.offered)
	r.ServedShare = valueShare(v.earned, v.offered)
	r.Worst10S = 1
	for i := 0; i+worstWindows <= n; i++ {
		r.Worst10S = min(r.Worst10S, valueShare(v.earned[i:i+worstWindows], v.offered[i:i+worstWindows]))
	}
	for i := range n {
		r.PerSecond = append(r.PerSecond, valueShare(v.earned[i:i+1], v.offered[i:i+1]))
	}
}

// addPolls takes in the load polls that the replicas saw, and how many replicas fell over.
func (r *Report) addPolls(events []history.Event, replicas int, base, length time.Duration) {
	polls := 0
	for _, e := range events {
		switch e.Kind {
		case history.LoadPolled:
			polls++
		case history.ReplicaOverloaded:
			r.Overloaded++
		}
	}
	leased := 0
	r.MaxLeasedPollGapS, r.StaleLeasePolls, leased = leasedPolls(events, base+leaseSettleTime, base+length)
	r.LeasedPollRate = float64(leased) / float64(replicas) / length.Seconds()
	r.PollRate = float64(polls) / float64(replicas) / length.Seconds()
}

// handshakes are the times since base at which dispatchers opened connections to replicas, in order.
func (r *Run) handshakes(base time.Duration) (out []time.Duration) {
	for _, p := range r.cluster.Replicas {
		for _, at := range p.Connections.OpenTimes() {
			out = append(out, r.history.At(at)-base)
		}
	}
	slices.Sort(out)
	return out
}

// staleWithin is how long others' newer lists may take to bind: to learn that one is behind, to notify it, and for a drain.
const staleWithin = 1500 * time.Millisecond

// addUsage takes in what the processes used over a time.
func (r *Report) addUsage(used []process.Usage, run *Run, over time.Duration) {
	for _, u := range used {
		r.RSSMB, r.OwnMB, r.FDs = max(r.RSSMB, u.RSSMB), max(r.OwnMB, u.OwnMB), max(r.FDs, u.FDs)
		r.ReadyS = max(r.ReadyS, u.ReadyAfter.Seconds())
		r.CPUShare += u.CPU.Seconds() / over.Seconds() / float64(len(used))
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

func valueShare(earned, offered []float64) float64 {
	earnedSum, offeredSum := 0.0, 0.0
	for i := range offered {
		earnedSum, offeredSum = earnedSum+earned[i], offeredSum+offered[i]
	}
	if offeredSum == 0 {
		return 1
	}
	return earnedSum / offeredSum
}

// recovery is how long after the last fault's end windows hold 95% of the level before for 3 s; nil: never.
func recovery(perSecond, earned, offered []float64, from int, end time.Duration) *float64 {
	level := 1.0
	if from > warmUpWindows {
		level = valueShare(earned[warmUpWindows:from], offered[warmUpWindows:from])
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
