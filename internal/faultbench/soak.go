package faultbench

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/hostos"
)

// SoakOptions say how a soak is run.
type SoakOptions struct {
	Program     string // path of the binary of rampspread-faults
	Dispatchers int
	Seed        uint64
	Seconds     float64
	Quiet       float64  // s without a fault at the begin; 0: 2.5
	Faults      []string // the kinds that are drawn from; none: all
	Dir         string   // for the processes' files and logs; none: a temporary one, removed at the end unless something was wrong
	Log         *slog.Logger
}

// SoakReport is what came of a soak, in the form of its last line.
type SoakReport struct {
	Seed        uint64         `json:"seed"`
	RulesBroken int            `json:"rules_broken"`
	Crashes     int            `json:"crashes"`
	Violations  int            `json:"violations"` // counted by the program's own checks at run time
	Faults      map[string]int `json:"faults"`     // played, by kind
	Asked       int            `json:"asked"`
	Served      float64        `json:"served_share"`
	ByStatus    map[string]int `json:"by_status"`
	ByRule      map[string]int `json:"by_rule,omitempty"`
	Options     string         `json:"options"`

	text bytes.Buffer // breaches and crashes, a line each
}

// Good tells whether nothing was wrong.
func (r *SoakReport) Good() bool { return r.RulesBroken == 0 && r.Crashes == 0 && r.Violations == 0 }

// Print writes what was wrong, and as its last line one JSON object.
func (r *SoakReport) Print(w io.Writer) error {
	if _, err := w.Write(r.text.Bytes()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// soakKinds are the kinds of fault that a soak draws, in the order of their names.
var soakKinds = map[string]func(rng *rand.Rand) scenario.Fault{
	"sigterm": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "term", Duration: between(rng, 0.1, 0.6), Fraction: 0.3, Stagger: 0.4}
	},
	"sigkill": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "kill", Duration: between(rng, 0.1, 1), Fraction: 0.3}
	},
	"sigstop": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "pause", Duration: between(rng, 0.3, 2.5), Fraction: 0.3}
	},
	"held-up": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "pause", Duration: between(rng, 0.05, 0.15), Fraction: 1, Stagger: 0.1}
	},
	"sighup": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "hup-row", Duration: between(rng, 0.2, 2), Fraction: 0.5}
	},
	"hang": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-hang", Duration: between(rng, 0.5, 4), Fraction: 0.25}
	},
	"reset": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "reset", Links: "replicas", Fraction: between(rng, 0.3, 1)}
	},
	"fail": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-fail", Loss: 0.4, Duration: between(rng, 0.5, 3), Fraction: 0.3}
	},
	"spoil": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-spoil", Loss: 0.3, Duration: between(rng, 0.5, 3), Fraction: 0.4}
	},
	"disk-hangs": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "calls-fail", Syscall: hostos.Write, EveryNth: 1, DelayMS: 3000, Duration: between(rng, 0.5, 3), Fraction: 0.5}
	},
	"slow": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-slow", Factor: 8, Duration: between(rng, 0.5, 3), Fraction: 0.2}
	},
	"cold": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-kill", Duration: between(rng, 0.3, 2), Fraction: 0.2}
	},
	"drain": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-drain", Duration: between(rng, 1, 4), Fraction: 0.3}
	},
	"silent": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "discovery-silent", Duration: between(rng, 0.5, 5)}
	},
	"late": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "links", Links: "discovery", DelayMS: 400, Duration: between(rng, 0.5, 3), Fraction: 0.5}
	},
	"watch": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "watch-silent", Fraction: between(rng, 0.3, 1)}
	},
	"half": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "clients-half", Duration: between(rng, 0.5, 3), Fraction: 0.5}
	},
	"leave": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "clients-leave", Duration: between(rng, 1, 4), Fraction: between(rng, 0.2, 0.8)}
	},
	"pipeline": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "clients-pipeline", Duration: between(rng, 0.5, 2.5), Fraction: 0.5}
	},
	"idle": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "clients-idle", Duration: between(rng, 1, 4), Fraction: 0.3}
	},
	"clock":        drawClockStep,
	"accept-fails": func(rng *rand.Rand) scenario.Fault { return drawSyscallFailure(rng, hostos.Accept, acceptErrnos, 0.6) },
	"connect-fails": func(rng *rand.Rand) scenario.Fault {
		return drawSyscallFailure(rng, hostos.Connect, connectErrnos, 0.2)
	},
	"silent-links": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "links-silent", LinkFraction: between(rng, 0.1, 0.8), Duration: between(rng, 0.4, 4), Fraction: between(rng, 0.3, 1)}
	},
	"silent-conns": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "conns-silent", LinkFraction: between(rng, 0.2, 1), Fraction: between(rng, 0.3, 1)}
	},
	"late-conns": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "conns-late", LinkFraction: between(rng, 0.2, 0.8), DelayMS: between(rng, 50, 1000), Duration: between(rng, 0.5, 3), Fraction: 0.6}
	},
	"vanish": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "replica-vanish", Duration: between(rng, 0.4, 4), Fraction: 0.25}
	},
	"cut-zone": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "cut-zone", Duration: between(rng, 0.5, 4), Zone: -1}
	},
	"operator-drain": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "operator-drain", Duration: between(rng, 4.3, 5), Fraction: 0.3}
	},
	"restarts": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: "term", Duration: between(rng, 0.05, 0.3), Fraction: 1, Stagger: between(rng, 0.3, 1.5)}
	},
	"disk-fails": func(rng *rand.Rand) scenario.Fault {
		return drawSyscallFailure(rng, []hostos.Op{hostos.Write, hostos.Sync, hostos.Rename}[rng.IntN(3)], diskErrnos, 3)
	},
}

// The errors of failing calls, as Linux documents them.
var (
	acceptErrnos  = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM}
	connectErrnos = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.EMFILE, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	diskErrnos    = []syscall.Errno{syscall.ENOSPC, syscall.EIO}
)

func between(rng *rand.Rand, from, to float64) float64 { return from + rng.Float64()*(to-from) }

func drawClockStep(rng *rand.Rand) scenario.Fault {
	steps := []float64{3600, -3600, 60, -60, 5, -5}
	return scenario.Fault{Action: "clock-step", ClockStepS: steps[rng.IntN(len(steps))], Duration: between(rng, 0.5, 4), Fraction: 0.7}
}

// drawSyscallFailure draws calls that fail: all of them for a short time, or each so many-th for up to most seconds.
func drawSyscallFailure(rng *rand.Rand, call hostos.Op, errnos []syscall.Errno, all float64) scenario.Fault {
	f := scenario.Fault{Action: "calls-fail", Syscall: call, Errno: int(errnos[rng.IntN(len(errnos))]), EveryNth: 1 + rng.IntN(4), Fraction: 0.6}
	f.Duration = between(rng, 0.05, all)
	if f.EveryNth > 1 {
		f.Duration = between(rng, 0.5, 3)
	}
	return f
}

// SoakKinds are the names of the kinds of fault that a soak knows.
func SoakKinds() []string { return slices.Sorted(maps.Keys(soakKinds)) }

const (
	quietAtStart    = 2.5 // s without a fault at a soak's begin,
	quietAtEnd      = 6.0 // and at its end, in which what is owed can still come
	episodeInterval = 3.0 // s, on the mean, between the begins of troubles that overlap
	episodeSpan     = 0.8 // s within which the faults of one begin
	minSoakSeconds  = 10.0
	crowdOneIn      = 3   // soaks with a crowd: clients that connect and stay, all the while,
	crowdRateFactor = 1.5 // and so much more traffic
)

// drawSoak draws a soak's plan from its seed: at each of its episodes two or three faults begin nearly at once. It also names the kinds
// that it has drawn.
func drawSoak(o SoakOptions) (*scenario.Scenario, map[string]int, error) {
	kinds := o.Faults
	if len(kinds) == 0 {
		kinds = SoakKinds()
	}
	for _, k := range kinds {
		if soakKinds[k] == nil {
			return nil, nil, fmt.Errorf("soak: unknown fault %q: there are %s", k, strings.Join(SoakKinds(), ", "))
		}
	}
	if o.Quiet < 0 || o.Quiet > o.Seconds-minSoakSeconds+quietAtStart {
		return nil, nil, fmt.Errorf("soak: %v s of quiet leave no time for faults", o.Quiet)
	}
	if !(o.Seconds >= minSoakSeconds && o.Seconds <= scenario.MaxSeconds) {
		return nil, nil, fmt.Errorf("soak: seconds %v are not from %v to %d", o.Seconds, minSoakSeconds, scenario.MaxSeconds)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x50a4))
	s := &scenario.Scenario{Name: "soak", Seconds: o.Seconds, Rate: 8 + 3*float64(o.Dispatchers), Zones: 1 + rng.IntN(3),
		PrefillReplicas: 5 + rng.IntN(4), DecodeReplicas: 5 + rng.IntN(4)}
	s.Rate = min(s.Rate, 60)
	played := map[string]int{}
	last := o.Seconds - quietAtEnd
	if rng.IntN(crowdOneIn) == 0 {
		begin := cmp.Or(o.Quiet, quietAtStart)
		s.Rate *= crowdRateFactor
		s.Faults = append(s.Faults, scenario.Fault{Action: "clients-idle", At: begin, Duration: last - begin, Fraction: 0.5})
		s.About = "crowd"
	}
	for at := cmp.Or(o.Quiet, quietAtStart); at < last; at += between(rng, 0.6, 1.4) * episodeInterval {
		for _, i := range rng.Perm(len(kinds))[:min(2+rng.IntN(2), len(kinds))] {
			f := soakKinds[kinds[i]](rng)
			f.At = min(at+rng.Float64()*episodeSpan, last)
			f.Duration = min(f.Duration, o.Seconds-f.At-1)
			if f.Zone < 0 {
				f.Zone = rng.IntN(s.Zones)
			}
			s.Faults = append(s.Faults, f)
			played[kinds[i]]++
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b scenario.Fault) int { return int(1000 * (a.At - b.At)) })
	return s, played, nil
}

// soakOptions draws how the dispatchers of a soak are run.
func soakOptions(o SoakOptions) Options {
	rng := rand.New(rand.NewPCG(o.Seed, 0x0b7))
	run := Options{Program: o.Program, Dispatchers: o.Dispatchers, Seed: o.Seed, Dir: o.Dir, Log: o.Log, Strict: true, Sockets: 256,
		Handover: rng.IntN(2) == 0, SkipViews: true}
	switch rng.IntN(3) {
	case 0:
		run.Deployment = o.Seed
	case 1:
		run.Fleet, run.IdempotentRequests, run.State = o.Dispatchers >= 3, o.Dispatchers >= 3, true
	}
	return run
}

// describe names what sets a soak's run apart.
func (o Options) describe() string {
	return fmt.Sprintf("handover=%t fleet=%t filings=%t deployment=%d", o.Handover, o.Fleet, o.IdempotentRequests, o.Deployment)
}

// Soak plays a drawn plan of overlapping faults, and judges by what the stand-ins saw on their sockets.
func Soak(ctx context.Context, o SoakOptions) (*SoakReport, error) {
	day, played, err := drawSoak(o)
	if err != nil {
		return nil, err
	}
	run := soakOptions(o)
	temporary := o.Dir == ""
	if temporary {
		if run.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	report, err := Play(ctx, day, run)
	if err != nil {
		return nil, err
	}
	out := &SoakReport{Seed: o.Seed, RulesBroken: report.RulesBroken, Crashes: report.Crashes, Faults: played, Asked: report.Asked,
		Served: report.ServedShare, ByStatus: report.ByStatus, ByRule: map[string]int{}, Options: strings.TrimSpace(run.describe() + " " + day.About)}
	for _, b := range report.violations {
		out.ByRule[b.Rule]++
		fmt.Fprintln(&out.text, b)
	}
	if f := report.Idempotency; f != nil && f.ExecutedTwice > 0 {
		out.RulesBroken += f.ExecutedTwice
		out.ByRule["filing_twice"] = f.ExecutedTwice
	}
	if out.Violations, err = countViolations(run.Dir, &out.text); err != nil {
		return nil, err
	}
	if temporary && out.Good() {
		os.RemoveAll(run.Dir)
		return out, nil
	}
	fmt.Fprintln(&out.text, "files:", run.Dir)
	return out, writeHistory(run.Dir, day, report.events)
}

// writeHistory writes a soak's plan and what the stand-ins saw beside the processes' logs.
func writeHistory(dir string, day *scenario.Scenario, events []history.Event) error {
	plan, err := json.MarshalIndent(day, "", " ")
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "plan.json"), plan, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, "history.jsonl"))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer f.Close()
	return history.Write(f, events)
}

// countViolations counts what the dispatchers' own checks have logged, and copies it.
func countViolations(dir string, to io.Writer) (n int, err error) {
	logs, err := filepath.Glob(filepath.Join(dir, "n*.log"))
	if err != nil {
		return 0, fmt.Errorf("soak: %w", err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return n, fmt.Errorf("soak: %w", err)
		}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte("event=violation ")) {
				n++
				fmt.Fprintf(to, "%s: %s", filepath.Base(path), line)
			}
		}
	}
	return n, nil
}
