// Package rig runs the real program many times over on one machine: stand-ins for replicas, discovery, the front
// and clients round it, faults between them at seeded times, and a check of the rules over what the stand-ins saw.
package faultbench

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"rampspread/internal/cli"
	"rampspread/internal/hostos"
)

//go:embed scenarios/*.json
var builtin embed.FS

// Scenario is a day for a fleet: its traffic, its replicas and what goes wrong. All times are in seconds.
type Scenario struct {
	Name            string  `json:"name"`
	About           string  `json:"about"`
	Seconds         float64 `json:"seconds"` // of traffic
	Rate            float64 `json:"rate"`    // requests a second
	Zones           int     `json:"zones"`
	PrefillReplicas int     `json:"readers"`
	DecodeReplicas  int     `json:"writers"`
	// HotFactor is how many times as many connections as another the first dispatcher gets; 0: as many.
	HotFactor int `json:"hot"`
	// Weights are the replicas' capacities against each other, in turn; none: all alike.
	Weights []float64 `json:"weights"`
	Faults  []Fault   `json:"faults"`
}

// Fault is one thing that goes wrong, and for how long.
type Fault struct {
	At       float64 `json:"at"`
	Duration float64 `json:"for"` // 0: it does not end
	Action   string  `json:"do"`
	// Fraction is the share of the dispatchers or replicas that it befalls, drawn by the seed; 0: one of them.
	Fraction float64 `json:"part"`
	// SpareFirst is how many of the first dispatchers it leaves alone; the first three vote in a fleet.
	SpareFirst int `json:"spare"`
	// Stagger lets it befall them in turn, so long after one another; 0: all at once.
	Stagger float64 `json:"every"`
	// Zone is the zone that a zone's fault befalls.
	Zone int `json:"zone"`
	// Sides is how many parts the links between dispatchers fall into; 0: two.
	Sides int `json:"sides"`
	// Links names the links of a link's fault: replicas, discovery, peers or clients of the dispatchers chosen.
	Links string `json:"links"`
	// Direction is both, to (the dispatchers) or from (them).
	Direction    string  `json:"way"`
	DelayMS      float64 `json:"delay_ms"`
	Loss         float64 `json:"loss"`
	LinkFraction float64 `json:"share"` // of a dispatcher's links that a fault befalls
	KBPerS       float64 `json:"kb_per_s"`
	Factor       float64 `json:"factor"` // how many times slower a replica is
	LoseState    bool    `json:"forget"` // a restart loses the stored state
	// ClockStepS is how far a wall clock is stepped, in seconds.
	ClockStepS float64 `json:"step_s"`
	// Syscall is the kind of system call that fails with Errno, each Calls-th of them.
	Syscall  hostos.Op `json:"call"`
	Errno    int       `json:"errno"`
	EveryNth int       `json:"calls"`
}

// The actionTargets of a Fault, with what they befall.
var actionTargets = map[string]string{
	"kill":             "dispatchers", // SIGKILL; started again after For
	"pause":            "dispatchers", // SIGSTOP for For
	"term":             "dispatchers", // SIGTERM, SIGKILL at the earliest moment that the operators allow; started again For after its end
	"move":             "dispatchers", // discovery, by SIGHUP, to its other address
	"retune":           "dispatchers", // other settings by SIGHUP; all have them after For
	"links":            "dispatchers", // Links are cut, late, lossy or slow, as the other words say
	"reset":            "dispatchers", // Links' connections are reset
	"links-silent":     "dispatchers", // Share of their links to replicas are cut, all the same ones
	"conns-silent":     "dispatchers", // the connections to replicas that are open fall silent for good, on Share of the links
	"conns-late":       "dispatchers", // new connections to replicas are answered DelayMS late, on Share of the links
	"replica-vanish":   "replicas",    // its machine says nothing; its connections are reset when it is back
	"operator-drain":   "dispatchers", // by an operators' call, and back; its clients' connections are looked at after 4 s
	"cut-zone":         "zone",        // the zone is cut off from the others
	"split":            "",            // the dispatchers' links to each other are cut into Sides
	"discovery-silent": "",            // discovery tells nothing, and answers nobody
	"discovery-late":   "",            // its changes come For late
	"discovery-stale":  "dispatchers", // theirs tells the list as it was when this began, and no change
	"watch-silent":     "dispatchers", // the watches that are open stay so and bring nothing more
	"replica-hang":     "replicas",    // takes calls, and answers none before For has passed
	"replica-kill":     "replicas",    // started again, cold, after For
	"replica-slow":     "replicas",    // Factor times slower for For
	"replica-spoil":    "replicas",    // answers Loss of its calls with noise, half a head, or an answer and another behind it
	"replica-fail":     "replicas",    // answers Loss of its calls with 500
	"replica-drain":    "replicas",    // draining, and ready again after For
	"replica-leave":    "replicas",    // off the list, while it goes on serving whoever comes; on it again after For
	"replica-flush":    "replicas",    // kept texts are lost
	"hup-row":          "dispatchers", // new settings and moves of discovery by SIGHUP, several in For
	"clock-step":       "dispatchers", // the wall clock is stepped by StepS, and back after For
	"calls-fail":       "dispatchers", // system calls of the kind Call fail with Errno for For
	"clients-leave":    "",            // Part of the clients leave before their answer is whole, for For
	"clients-half":     "dispatchers", // clients stop in the middle of a request and stay, for For
	"clients-pipeline": "dispatchers", // clients send many requests at once and leave, for For
	"clients-idle":     "dispatchers", // clients that connect and stay fill their room, for For
}

// Bounds of a scenario; a rig is one machine.
const (
	MaxSeconds  = 3600
	maxRate     = 500
	maxReplicas = 3200
)

// Parse reads a scenario strictly: unknown words and what cannot be are refused.
func Parse(text []byte) (*Scenario, error) {
	var s Scenario
	if err := cli.DecodeStrict(text, &s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/\\ \n"):
		return nil, fmt.Errorf("scenario: name %q is no file's name", s.Name)
	case !(s.Seconds >= 5 && s.Seconds <= MaxSeconds):
		return nil, fmt.Errorf("scenario: seconds %v are not from 5 to %d", s.Seconds, MaxSeconds)
	case !(s.Rate > 0 && s.Rate <= maxRate):
		return nil, fmt.Errorf("scenario: rate %v is not over 0, up to %d", s.Rate, maxRate)
	case s.Zones < 1 || s.Zones > 9:
		return nil, fmt.Errorf("scenario: zones %d are not from 1 to 9", s.Zones)
	case s.PrefillReplicas < 1 || s.DecodeReplicas < 1 || s.PrefillReplicas+s.DecodeReplicas > maxReplicas:
		return nil, fmt.Errorf("scenario: %d readers and %d writers are not from 1 each to %d in all", s.PrefillReplicas, s.DecodeReplicas, maxReplicas)
	}
	if s.HotFactor < 0 || s.HotFactor > 20 {
		return nil, fmt.Errorf("scenario: hot %d is not from 0 to 20", s.HotFactor)
	}
	for _, w := range s.Weights {
		if !(w >= 0.1 && w <= 10) {
			return nil, fmt.Errorf("scenario: weight %v is not from 0.1 to 10", w)
		}
	}
	for i, f := range s.Faults {
		if err := f.check(&s); err != nil {
			return nil, fmt.Errorf("scenario: fault %d: %w", i, err)
		}
	}
	return &s, nil
}

func (f *Fault) check(s *Scenario) error {
	_, known := actionTargets[f.Action]
	isLink := f.Action == "links" || f.Action == "reset"
	switch {
	case !known:
		return fmt.Errorf("unknown action %q", f.Action)
	case !(f.At >= 0 && f.At < s.Seconds && f.Duration >= 0 && f.At+f.Duration <= s.Seconds):
		return fmt.Errorf("from %v for %v s is not within the day", f.At, f.Duration)
	case !(f.Fraction >= 0 && f.Fraction <= 1) || !(f.Stagger >= 0):
		return errors.New("part or every is out of range")
	case f.SpareFirst < 0 || f.SpareFirst > MaxDispatchers:
		return fmt.Errorf("spare %d is out of range", f.SpareFirst)
	case f.Sides < 0 || f.Sides > 9:
		return fmt.Errorf("sides %d are not up to 9", f.Sides)
	case f.Zone < 0 || f.Zone >= s.Zones:
		return fmt.Errorf("zone %d is none", f.Zone)
	case isLink && !slices.Contains([]string{"replicas", "discovery", "peers", "clients"}, f.Links):
		return fmt.Errorf("unknown links %q", f.Links)
	case !isLink && f.Links != "":
		return fmt.Errorf("%s has no links", f.Action)
	case !slices.Contains([]string{"", "both", "to", "from"}, f.Direction):
		return fmt.Errorf("unknown way %q", f.Direction)
	case !(f.DelayMS >= 0 && f.DelayMS <= 60_000) || !(f.Loss >= 0 && f.Loss <= 1) || !(f.KBPerS >= 0):
		return errors.New("delay_ms, loss or kb_per_s is out of range")
	case !(f.LinkFraction >= 0 && f.LinkFraction <= 1):
		return fmt.Errorf("share %v is out of range", f.LinkFraction)
	case f.Action == "replica-fail" && f.Loss == 0:
		return errors.New("replica-fail with no loss")
	case !(f.ClockStepS >= -86400 && f.ClockStepS <= 86400):
		return fmt.Errorf("step_s %v is over a day", f.ClockStepS)
	case f.Action == "replica-spoil" && f.Loss == 0:
		return errors.New("replica-spoil with no loss")
	case f.Action == "calls-fail" && (f.Syscall == "" || f.Errno <= 0 && f.DelayMS == 0 || f.Errno < 0 || f.EveryNth < 0):
		return errors.New("calls-fail without a call or an errno")
	case f.Action == "replica-slow" && !(f.Factor > 1 && f.Factor <= 100):
		return fmt.Errorf("factor %v is not over 1, up to 100", f.Factor)
	}
	return nil
}

func Seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// All are the built-in ones, by name.
func All() ([]*Scenario, error) {
	names, err := fs.Glob(builtin, "scenarios/*.json")
	if err != nil {
		return nil, fmt.Errorf("scenarios: %w", err)
	}
	var out []*Scenario
	for _, name := range names {
		text, err := builtin.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("scenarios: %w", err)
		}
		s, err := Parse(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if s.Name+".json" != path.Base(name) {
			return nil, fmt.Errorf("%s: its name is %q", name, s.Name)
		}
		out = append(out, s)
	}
	return out, nil
}

// Load finds a scenario by its built-in name, or in a file.
func Load(name string) (*Scenario, error) {
	all, err := All()
	if err != nil {
		return nil, err
	}
	for _, s := range all {
		if s.Name == name {
			return s, nil
		}
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %q is not built in (see fleetrig list) and no file: %w", name, err)
	}
	return Parse(text)
}
