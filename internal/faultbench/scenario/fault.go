package scenario

import (
	"errors"
	"fmt"
	"slices"

	"rampspread/internal/faultbench/pressure"
	"rampspread/internal/hostos"
)

// Fault is one fault: what is injected, when, for how long and into which part of the fleet.
type Fault struct {
	At       float64 `json:"at"`
	Duration float64 `json:"for"` // 0 if the fault does not end, or takes effect only once
	Action   string  `json:"do"`
	// Fraction is the fraction of the dispatchers or replicas that are targets, which the seed draws; 0 means one of
	// them.
	Fraction float64 `json:"part"`
	// SpareFirst is the number of dispatchers, counted from the first, that are never targets. In a fleet the first
	// three vote.
	SpareFirst int `json:"spare"`
	// Stagger is the time in seconds between the injections into one target and the next; 0 means all at once.
	Stagger float64 `json:"every"`
	// Zone is the target of a fault that is injected into one zone.
	Zone int `json:"zone"`
	// Sides is the number of partitions of the dispatchers after a Split; 0 means two.
	Sides int `json:"sides"`
	// Links names the kind of links of the target dispatchers that are impaired or reset: replicas, discovery, peers or
	// clients.
	Links string `json:"links"`
	// Direction is "to" or "from" the dispatchers, or "both"; empty means both.
	Direction string  `json:"way"`
	DelayMS   float64 `json:"delay_ms"` // delay of a link, of new connections or of a system call
	Loss      float64 `json:"loss"`     // probability that a packet is lost, or an answer is corrupt or an error
	// LinkFraction is the fraction of a dispatcher's links into which the fault is injected.
	LinkFraction float64 `json:"share"`
	KBPerS       float64 `json:"kb_per_s"` // bandwidth of a link; 0 means unlimited
	Factor       float64 `json:"factor"`   // how many times slower a replica is
	LoseState    bool    `json:"forget"`   // a restart loses the stored state
	// ClockStepS is how far a wall clock is stepped, in seconds.
	ClockStepS float64 `json:"step_s"`
	// Syscall is a kind of system call. Each EveryNth-th call of this kind, or every call if EveryNth is 0, is delayed
	// by DelayMS and then fails with Errno, or proceeds if Errno is 0.
	Syscall  hostos.Op `json:"call"`
	Errno    int       `json:"errno"`
	EveryNth int       `json:"calls"`
	// Pressure is the kind of clients of PressureClients, and Clients their number at each target.
	Pressure pressure.Kind `json:"pressure"`
	Clients  int           `json:"clients"`
}

// Target is the kind of targets that an action has.
type Target int

// The kinds of target.
const (
	WholeFleet  Target = iota // the fleet as a whole
	Dispatchers               // Fraction of the dispatchers
	Replicas                  // Fraction of the replicas
	OneZone                   // the dispatchers of Zone
)

// Actions of a Fault. Their texts are keys of scenario files.
const (
	Kill  = "kill"  // SIGKILL; started again after Duration
	Pause = "pause" // SIGSTOP for Duration
	// Terminate is SIGTERM, then SIGKILL after the shortest grace period that the platform allows; the process is
	// started again Duration after it has ended.
	Terminate         = "term"
	MoveDiscovery     = "move"             // discovery moves to its other address, by SIGHUP
	ChangeSettings    = "retune"           // targets get other settings by SIGHUP, and all others after Duration
	ImpairLinks       = "links"            // Links are cut, delayed, lossy or slow, as the other fields say
	ResetLinks        = "reset"            // the connections of Links are reset
	SilenceLinks      = "links-silent"     // LinkFraction of the links to replicas are cut, the same at each dispatcher
	SilenceConns      = "conns-silent"     // open connections on LinkFraction of the links to replicas drop all bytes
	DelayConns        = "conns-late"       // new connections on LinkFraction of the links to replicas are DelayMS late
	VanishReplica     = "replica-vanish"   // the replica's machine is cut off; its connections are reset at the end
	OperatorDrain     = "operator-drain"   // drain by an admin call for Duration; connections are checked after 4 s
	CutZone           = "cut-zone"         // the zone is cut off from the others
	Split             = "split"            // the dispatchers' links to each other are cut into Sides
	SilenceDiscovery  = "discovery-silent" // discovery sends nothing, and answers no request
	DelayDiscovery    = "discovery-late"   // discovery sends changes Duration late
	FreezeDiscovery   = "discovery-stale"  // the targets' discovery serves the list of the fault's start, no changes
	SilenceWatches    = "watch-silent"     // open watches stay open but carry nothing more
	HangReplica       = "replica-hang"     // the replica accepts calls, but answers none before Duration has passed
	KillReplica       = "replica-kill"     // the replica is killed; after Duration it starts again, in slow start
	SlowReplica       = "replica-slow"     // the replica is Factor times slower for Duration
	CorruptReplica    = "replica-spoil"    // a fraction Loss of its answers are noise, half a header or the like
	FailReplica       = "replica-fail"     // the replica answers a fraction Loss of its calls with status 500
	DrainReplica      = "replica-drain"    // the replica is listed as draining, and as ready again after Duration
	DelistReplica     = "replica-leave"    // the replica is not listed but still serves; listed again after Duration
	FlushReplica      = "replica-flush"    // the replica loses its prefix cache
	ReloadRepeatedly  = "hup-row"          // new settings and moves of discovery by SIGHUP, several in Duration
	StepClock         = "clock-step"       // the wall clock is stepped by ClockStepS, and back after Duration
	FailSyscalls      = "calls-fail"       // system calls of the kind Syscall fail or are late for Duration
	ClientsLeave      = "clients-leave"    // Fraction of the clients leave before their answer is complete, for Duration
	PartialRequests   = "clients-half"     // clients stop in the middle of a request and stay, for Duration
	PipelinedRequests = "clients-pipeline" // clients send many requests at once and leave, for Duration
	PressureClients   = "clients-press"    // Clients clients of the kind Pressure, for Duration
	IdleClients       = "clients-idle"     // clients that connect and stay fill the connection limit, for Duration
)

// actionTargets maps each action to its kind of target.
var actionTargets = map[string]Target{
	Kill:              Dispatchers,
	Pause:             Dispatchers,
	Terminate:         Dispatchers,
	MoveDiscovery:     Dispatchers,
	ChangeSettings:    Dispatchers,
	ImpairLinks:       Dispatchers,
	ResetLinks:        Dispatchers,
	SilenceLinks:      Dispatchers,
	SilenceConns:      Dispatchers,
	DelayConns:        Dispatchers,
	VanishReplica:     Replicas,
	OperatorDrain:     Dispatchers,
	CutZone:           OneZone,
	Split:             WholeFleet,
	SilenceDiscovery:  WholeFleet,
	DelayDiscovery:    WholeFleet,
	FreezeDiscovery:   Dispatchers,
	SilenceWatches:    Dispatchers,
	HangReplica:       Replicas,
	KillReplica:       Replicas,
	SlowReplica:       Replicas,
	CorruptReplica:    Replicas,
	FailReplica:       Replicas,
	DrainReplica:      Replicas,
	DelistReplica:     Replicas,
	FlushReplica:      Replicas,
	ReloadRepeatedly:  Dispatchers,
	StepClock:         Dispatchers,
	FailSyscalls:      Dispatchers,
	ClientsLeave:      WholeFleet,
	PartialRequests:   Dispatchers,
	PipelinedRequests: Dispatchers,
	IdleClients:       Dispatchers,
	PressureClients:   Dispatchers,
}

// Target returns the kind of targets of the fault's action.
func (f *Fault) Target() Target { return actionTargets[f.Action] }

// Bounds of a fault.
const (
	maxSides      = 9
	maxDelayMS    = 60_000
	maxClockStepS = 24 * 60 * 60
	maxSlowdown   = 100
	maxClients    = 500
)

// Check returns an error if the fault is not valid in a scenario.
func (f *Fault) Check(s *Scenario) error {
	if err := f.checkScope(s); err != nil {
		return err
	}
	if err := f.checkLinks(); err != nil {
		return err
	}
	return f.checkParameters()
}

// checkScope checks the fields that say when the fault is injected and into which targets.
func (f *Fault) checkScope(s *Scenario) error {
	_, known := actionTargets[f.Action]
	switch {
	case !known:
		return fmt.Errorf("unknown action %q", f.Action)
	case !(f.At >= 0 && f.At < s.Seconds && f.Duration >= 0 && f.At+f.Duration <= s.Seconds):
		return fmt.Errorf("from %v for %v s is not within the day", f.At, f.Duration)
	case !(f.Fraction >= 0 && f.Fraction <= 1) || !(f.Stagger >= 0):
		return errors.New("part or every is out of range")
	case f.SpareFirst < 0 || f.SpareFirst > MaxDispatchers:
		return fmt.Errorf("spare %d is out of range", f.SpareFirst)
	case f.Sides < 0 || f.Sides > maxSides:
		return fmt.Errorf("sides %d are not up to %d", f.Sides, maxSides)
	case f.Zone < 0 || f.Zone >= s.Zones:
		return fmt.Errorf("zone %d is none", f.Zone)
	}
	return nil
}

// checkLinks checks the fields that select links and describe what happens on them.
func (f *Fault) checkLinks() error {
	hasLinks := f.Action == ImpairLinks || f.Action == ResetLinks
	switch {
	case hasLinks && !slices.Contains([]string{"replicas", "discovery", "peers", "clients"}, f.Links):
		return fmt.Errorf("unknown links %q", f.Links)
	case !hasLinks && f.Links != "":
		return fmt.Errorf("%s has no links", f.Action)
	case !slices.Contains([]string{"", "both", "to", "from"}, f.Direction):
		return fmt.Errorf("unknown way %q", f.Direction)
	case !(f.DelayMS >= 0 && f.DelayMS <= maxDelayMS) || !(f.Loss >= 0 && f.Loss <= 1) || !(f.KBPerS >= 0):
		return errors.New("delay_ms, loss or kb_per_s is out of range")
	case !(f.LinkFraction >= 0 && f.LinkFraction <= 1):
		return fmt.Errorf("share %v is out of range", f.LinkFraction)
	}
	return nil
}

// checkParameters checks the fields that single actions need.
func (f *Fault) checkParameters() error {
	switch {
	case f.Action == FailReplica && f.Loss == 0:
		return errors.New("replica-fail with no loss")
	case !(f.ClockStepS >= -maxClockStepS && f.ClockStepS <= maxClockStepS):
		return fmt.Errorf("step_s %v is over a day", f.ClockStepS)
	case f.Action == CorruptReplica && f.Loss == 0:
		return errors.New("replica-spoil with no loss")
	case f.Action == FailSyscalls && (f.Syscall == "" || f.Errno <= 0 && f.DelayMS == 0 || f.Errno < 0 || f.EveryNth < 0):
		return errors.New("calls-fail without a call or an errno")
	case f.Action == PressureClients && (!slices.Contains(pressure.Kinds(), f.Pressure) || f.Clients < 1 || f.Clients > maxClients):
		return fmt.Errorf("%d clients of kind %q", f.Clients, f.Pressure)
	case f.Action == SlowReplica && !(f.Factor > 1 && f.Factor <= maxSlowdown):
		return fmt.Errorf("factor %v is not over 1, up to %d", f.Factor, maxSlowdown)
	}
	return nil
}
