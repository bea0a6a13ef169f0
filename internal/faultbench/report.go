package faultbench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/loadgen"
	"rampspread/internal/faultbench/process"
	"rampspread/internal/faultbench/scenario"
)

// Report is the result of a run. A share is the value that requests earned, divided by the value of all requests.
type Report struct {
	Scenario     string             `json:"scenario"`
	Seed         uint64             `json:"seed"`
	Dispatchers  int                `json:"dispatchers"`
	Requests     int                `json:"asked"` // number of requests, not counting retries
	ServedShare  float64            `json:"served_share"`
	Worst10S     float64            `json:"worst_10s"`  // smallest share in any 10 s
	RecoveryS    *float64           `json:"recovery_s"` // seconds from the last fault's end to recovery, or null
	RulesBroken  int                `json:"rules_broken"`
	Crashes      int                `json:"crashes"`
	ByClass      map[string]float64 `json:"by_class"`       // share by class
	ByStatus     map[string]int     `json:"by_status"`      // number of requests by status after all retries
	FirstTokenMS map[string]float64 `json:"first_token_ms"` // percentiles of the time to the first token
	Attempts     int                `json:"tries"`
	Connections  int                `json:"connections"`          // number of connections that clients opened
	PollRate     float64            `json:"probes_per_replica_s"` // load polls per replica and second
	Overloaded   int                `json:"fell"`                 // number of replicas overloaded in slow start
	PerSecond    []float64          `json:"per_second"`           // share of each second
	// With a fleet: the times until the views of other members showed that a process had ended or was paused, and the
	// number of times that a view showed a running member as suspect or unreachable.
	DetectionS       []float64 `json:"detect_s,omitempty"`
	FalselySuspected int       `json:"falsely_suspected"`
	// Load polls under a lease, as the replicas saw them: the longest gap at any replica, the number under a lease that
	// another had replaced, and the rate per replica and second.
	MaxLeasedPollGapS float64 `json:"gap_max_s"`
	StaleLeasePolls   int     `json:"probes_doubled"`
	LeasedPollRate    float64 `json:"duty_probes_per_replica_s"`
	// Resource usage of the dispatchers that ran at the end: the largest memory in MB, number of descriptors, time
	// until ready and number of goroutines of any dispatcher, the mean fraction of a core, and the mean bytes a second
	// that a member sent to others and received in answer.
	RSSMB      float64 `json:"rss_mb_most"`
	OwnMB      float64 `json:"own_mb_most"`
	FDs        int     `json:"fds_most"`
	ReadyS     float64 `json:"ready_s_most"`
	Goroutines float64 `json:"goroutines_most"`
	CPUShare   float64 `json:"core_mean"`
	PeerBytes  float64 `json:"peer_bytes_s"`
	FleetTotals
	Idempotency *loadgen.IdempotencyReport `json:"filings,omitempty"`
	// BootstrapsApplied is the number of transfers of learned state from other members that the last processes applied
	// at their start.
	BootstrapsApplied float64 `json:"beliefs_taken"`

	VersionSkew *VersionSkewReport `json:"stragglers,omitempty"`
	// StaleAttempts is the number of attempts at replicas that a newer list, sent to any dispatcher, had withdrawn more
	// than staleWithin before.
	StaleAttempts int `json:"stale_acts"`

	violations []history.Violation
	events     []history.Event
	faultSpans [][2]float64 // start and end of each fault, in seconds since the start of the traffic
}

// Good reports whether no rule was broken and no process crashed.
func (r *Report) Good() bool { return r.RulesBroken == 0 && r.Crashes == 0 }

// leaseSettleTime is the time from the start of the traffic until all leases are held. Voters grant no lease until
// slightly more than one lease term after their start.
const leaseSettleTime = 3 * time.Second

const (
	window            = time.Second // length of the windows in which value is summed
	recoveredFraction = 0.95        // fraction of the served share before the faults that counts as recovered
	recoveredWindows  = 3           // number of consecutive windows that must reach this fraction
	warmUpWindows     = 3           // number of windows at the start that do not count towards that share
)

// report returns the report of what was recorded since base.
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

// maxFirstTokenMS is the largest time to the first token that the report counts. Longer times count as this time.
const maxFirstTokenMS = 60_000

// addResults adds the outcomes of the requests to the report.
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

// windowValues holds the value that requests offered and earned, by the window of their arrival.
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

// worstWindows is the number of consecutive windows over which Worst10S takes the served share.
const worstWindows = 10

// addValue adds the served shares to the report.
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

// addPolls adds the load polls that the replicas saw and the number of overloaded replicas to the report.
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

// handshakes returns the times since base at which dispatchers opened connections to replicas, in order.
func (r *Run) handshakes(base time.Duration) (out []time.Duration) {
	for _, p := range r.cluster.Replicas {
		for _, at := range p.Connections.OpenTimes() {
			out = append(out, r.history.At(at)-base)
		}
	}
	slices.Sort(out)
	return out
}

// staleWithin is how long a dispatcher may still send to a replica that another dispatcher's newer list has withdrawn.
// It includes the times to detect the older list, to notify its dispatcher and to drain the replica.
const staleWithin = 1500 * time.Millisecond

// addUsage adds the resource usage of the processes over a time to the report.
func (r *Report) addUsage(used []process.Usage, run *Run, over time.Duration) {
	for _, u := range used {
		r.RSSMB, r.OwnMB, r.FDs = max(r.RSSMB, u.RSSMB), max(r.OwnMB, u.OwnMB), max(r.FDs, u.FDs)
		r.ReadyS = max(r.ReadyS, u.ReadyAfter.Seconds())
		r.CPUShare += u.CPU.Seconds() / over.Seconds() / float64(len(used))
	}
	for _, p := range run.dispatchers {
		r.Goroutines = max(r.Goroutines, p.Counter("goroutines"))
	}
	if run.peerLinks != nil {
		bytes := int64(0)
		for _, relay := range run.peerLinks.relays {
			bytes += relay.Bytes()
		}
		r.PeerBytes = float64(bytes) / over.Seconds() / float64(len(used))
	}
}

// Names of the rules that checkLimits verifies.
const (
	ruleMemory      = "memory"
	ruleDescriptors = "descriptors"
)

// checkLimits adds a violation for each process that had more memory or descriptors than its settings allow.
func (r *Report) checkLimits(used []process.Usage, o Options) {
	memoryMB, descriptors := cmp.Or(o.MemoryMB, defaultMemoryMB), cmp.Or(o.Sockets, defaultSockets)
	for d, u := range used {
		if u.RSSMB > float64(memoryMB) {
			r.violations = append(r.violations, history.Violation{Rule: ruleMemory, Text: fmt.Sprintf("dispatcher %d had %.1f MB of %d", d, u.RSSMB, memoryMB)})
		}
		if u.FDs > descriptors {
			r.violations = append(r.violations, history.Violation{Rule: ruleDescriptors, Text: fmt.Sprintf("dispatcher %d had %d descriptors of %d", d, u.FDs, descriptors)})
		}
	}
	r.RulesBroken = len(r.violations)
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

// recovery returns the seconds from the end of the last fault to the beginning of the first 3 s in which the served
// share of each second is at least 95% of the served share before the faults, or nil if there are no such 3 s. The
// parameter from is the index of the window in which the first fault begins, and end is the end of the last fault.
func recovery(perSecond, earned, offered []float64, from int, end time.Duration) *float64 {
	baseline := 1.0
	if from > warmUpWindows {
		baseline = valueShare(earned[warmUpWindows:from], offered[warmUpWindows:from])
	}
	consecutive := 0
	for i := int((end + window - 1) / window); i < len(perSecond); i++ {
		if perSecond[i] < recoveredFraction*baseline {
			consecutive = 0
			continue
		}
		if consecutive++; consecutive == recoveredWindows {
			s := max(float64(i+1-recoveredWindows)-end.Seconds(), 0)
			return &s
		}
	}
	return nil
}
