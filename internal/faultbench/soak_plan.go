package faultbench

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"

	"rampspread/internal/faultbench/pressure"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/hostos"
)

// soakKinds maps the name of each kind of fault that a soak can inject to the function that draws such a fault.
var soakKinds = map[string]func(rng *rand.Rand) scenario.Fault{
	"sigterm": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.Terminate, Duration: uniform(rng, 0.1, 0.6), Fraction: 0.3, Stagger: 0.4}
	},
	"sigkill": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.Kill, Duration: uniform(rng, 0.1, 1), Fraction: 0.3}
	},
	"sigstop": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.Pause, Duration: uniform(rng, 0.3, 2.5), Fraction: 0.3}
	},
	"held-up": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.Pause, Duration: uniform(rng, 0.05, 0.15), Fraction: 1, Stagger: 0.1}
	},
	"sighup": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.ReloadRepeatedly, Duration: uniform(rng, 0.2, 2), Fraction: 0.5}
	},
	"hang": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.HangReplica, Duration: uniform(rng, 0.5, 4), Fraction: 0.25}
	},
	"reset": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.ResetLinks, Links: "replicas", Fraction: uniform(rng, 0.3, 1)}
	},
	"fail": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.FailReplica, Loss: 0.4, Duration: uniform(rng, 0.5, 3), Fraction: 0.3}
	},
	"spoil": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.CorruptReplica, Loss: 0.3, Duration: uniform(rng, 0.5, 3), Fraction: 0.4}
	},
	"disk-hangs": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.FailSyscalls, Syscall: hostos.Write, EveryNth: 1, DelayMS: 3000, Duration: uniform(rng, 0.5, 3), Fraction: 0.5}
	},
	"slow": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.SlowReplica, Factor: 8, Duration: uniform(rng, 0.5, 3), Fraction: 0.2}
	},
	"cold": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.KillReplica, Duration: uniform(rng, 0.3, 2), Fraction: 0.2}
	},
	"drain": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.DrainReplica, Duration: uniform(rng, 1, 4), Fraction: 0.3}
	},
	"silent": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.SilenceDiscovery, Duration: uniform(rng, 0.5, 5)}
	},
	"late": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.ImpairLinks, Links: "discovery", DelayMS: 400, Duration: uniform(rng, 0.5, 3), Fraction: 0.5}
	},
	"watch": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.SilenceWatches, Fraction: uniform(rng, 0.3, 1)}
	},
	"half": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.PartialRequests, Duration: uniform(rng, 0.5, 3), Fraction: 0.5}
	},
	"leave": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.ClientsLeave, Duration: uniform(rng, 1, 4), Fraction: uniform(rng, 0.2, 0.8)}
	},
	"pipeline": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.PipelinedRequests, Duration: uniform(rng, 0.5, 2.5), Fraction: 0.5}
	},
	"idle": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.IdleClients, Duration: uniform(rng, 1, 4), Fraction: 0.3}
	},
	"clock":        drawClockStep,
	"accept-fails": func(rng *rand.Rand) scenario.Fault { return drawSyscallFailure(rng, hostos.Accept, acceptErrnos, 0.6) },
	"connect-fails": func(rng *rand.Rand) scenario.Fault {
		return drawSyscallFailure(rng, hostos.Connect, connectErrnos, 0.2)
	},
	"silent-links": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.SilenceLinks, LinkFraction: uniform(rng, 0.1, 0.8), Duration: uniform(rng, 0.4, 4), Fraction: uniform(rng, 0.3, 1)}
	},
	"silent-conns": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.SilenceConns, LinkFraction: uniform(rng, 0.2, 1), Fraction: uniform(rng, 0.3, 1)}
	},
	"late-conns": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.DelayConns, LinkFraction: uniform(rng, 0.2, 0.8), DelayMS: uniform(rng, 50, 1000), Duration: uniform(rng, 0.5, 3), Fraction: 0.6}
	},
	"vanish": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.VanishReplica, Duration: uniform(rng, 0.4, 4), Fraction: 0.25}
	},
	"cut-zone": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.CutZone, Duration: uniform(rng, 0.5, 4), Zone: -1}
	},
	"operator-drain": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.OperatorDrain, Duration: uniform(rng, 4.3, 5), Fraction: 0.3}
	},
	"restarts": func(rng *rand.Rand) scenario.Fault {
		return scenario.Fault{Action: scenario.Terminate, Duration: uniform(rng, 0.05, 0.3), Fraction: 1, Stagger: uniform(rng, 0.3, 1.5)}
	},
	"disk-fails": func(rng *rand.Rand) scenario.Fault {
		return drawSyscallFailure(rng, []hostos.Op{hostos.Write, hostos.Sync, hostos.Rename}[rng.IntN(3)], diskErrnos, 3)
	},
}

// Error numbers with which the system calls fail. Linux documents them for these calls.
var (
	acceptErrnos  = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM}
	connectErrnos = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.EMFILE, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	diskErrnos    = []syscall.Errno{syscall.ENOSPC, syscall.EIO}
)

func uniform(rng *rand.Rand, from, to float64) float64 { return from + rng.Float64()*(to-from) }

func drawClockStep(rng *rand.Rand) scenario.Fault {
	steps := []float64{3600, -3600, 60, -60, 5, -5}
	return scenario.Fault{Action: scenario.StepClock, ClockStepS: steps[rng.IntN(len(steps))], Duration: uniform(rng, 0.5, 4), Fraction: 0.7}
}

// drawSyscallFailure draws a fault in which all system calls of a kind fail for up to maxAllS seconds, or in which
// every second, third or fourth call fails for 0.5 to 3 s.
func drawSyscallFailure(rng *rand.Rand, call hostos.Op, errnos []syscall.Errno, maxAllS float64) scenario.Fault {
	f := scenario.Fault{Action: scenario.FailSyscalls, Syscall: call, Errno: int(errnos[rng.IntN(len(errnos))]), EveryNth: 1 + rng.IntN(4), Fraction: 0.6}
	f.Duration = uniform(rng, 0.05, maxAllS)
	if f.EveryNth > 1 {
		f.Duration = uniform(rng, 0.5, 3)
	}
	return f
}

const (
	// pressurePrefix begins the names of the kinds of fault that are clients under pressure.PressureClients.
	pressurePrefix = "press-"
	// pressureStream is the stream of the random generator for these faults, which leaves the others' draws as they are.
	pressureStream   = 0x94e5
	pressureInterval = 4.0 // mean seconds between the starts of these faults
	minPressure      = 40  // clients at one dispatcher
	maxPressure      = 200
	floodClients     = 8 // of the kinds that send at full speed
)

// drawPressure draws clients that hold the dispatchers' resources, for the time from begin to end.
func drawPressure(seed uint64, begin, end float64, faultCounts map[string]int) (faults []scenario.Fault) {
	rng := rand.New(rand.NewPCG(seed, pressureStream))
	for at := begin; at < end; at += uniform(rng, 0.6, 1.4) * pressureInterval {
		kinds := pressure.Kinds()
		f := scenario.Fault{Action: scenario.PressureClients, At: at, Duration: min(uniform(rng, 1.5, 4), end-at+1),
			Fraction: uniform(rng, 0.3, 1), Pressure: kinds[rng.IntN(len(kinds))], Clients: minPressure + rng.IntN(maxPressure-minPressure)}
		if f.Pressure.Floods() {
			f.Clients = floodClients
		}
		faults = append(faults, f)
		faultCounts[pressurePrefix+string(f.Pressure)]++
	}
	return faults
}

// SoakKinds returns the names of all kinds of fault that a soak can inject, in order.
func SoakKinds() []string { return slices.Sorted(maps.Keys(soakKinds)) }

const (
	quietAtStart    = 2.5 // seconds without a fault at a soak's start
	quietAtEnd      = 6.0 // seconds without a new fault at a soak's end, in which outstanding answers can still arrive
	episodeInterval = 3.0 // mean seconds between the starts of episodes, which overlap
	episodeSpread   = 0.8 // seconds within which the faults of an episode begin
	minSoakSeconds  = 10.0
	crowdOdds       = 3      // one soak in crowdOdds has a crowd: idle clients all the time, and more traffic
	crowdRateFactor = 1.5    // factor on the traffic of a soak with a crowd
	planStream      = 0x50a4 // stream of the random generator
)

// drawPlan draws a soak's plan from its seed: in each episode two or three faults begin within episodeSpread. It also
// returns the number of faults that it has drawn of each kind.
func drawPlan(o SoakOptions) (*scenario.Scenario, map[string]int, error) {
	kinds := o.Faults
	if len(kinds) == 0 {
		kinds = SoakKinds()
	}
	for _, k := range kinds {
		if soakKinds[k] == nil {
			return nil, nil, fmt.Errorf("soak: unknown fault %q: there are %s", k, strings.Join(SoakKinds(), ", "))
		}
	}
	if o.QuietSeconds < 0 || o.QuietSeconds > o.Seconds-minSoakSeconds+quietAtStart {
		return nil, nil, fmt.Errorf("soak: %v s of quiet leave no time for faults", o.QuietSeconds)
	}
	if !(o.Seconds >= minSoakSeconds && o.Seconds <= scenario.MaxSeconds) {
		return nil, nil, fmt.Errorf("soak: seconds %v are not from %v to %d", o.Seconds, minSoakSeconds, scenario.MaxSeconds)
	}
	rng := rand.New(rand.NewPCG(o.Seed, planStream))
	s := &scenario.Scenario{Name: "soak", Seconds: o.Seconds, Rate: 8 + 3*float64(o.Dispatchers), Zones: 1 + rng.IntN(3),
		PrefillReplicas: 5 + rng.IntN(4), DecodeReplicas: 5 + rng.IntN(4)}
	s.Rate = min(s.Rate, 60)
	faultCounts := map[string]int{}
	last := o.Seconds - quietAtEnd
	if rng.IntN(crowdOdds) == 0 {
		begin := cmp.Or(o.QuietSeconds, quietAtStart)
		s.Rate *= crowdRateFactor
		s.Faults = append(s.Faults, scenario.Fault{Action: scenario.IdleClients, At: begin, Duration: last - begin, Fraction: 0.5})
		s.About = "crowd"
	}
	for at := cmp.Or(o.QuietSeconds, quietAtStart); at < last; at += uniform(rng, 0.6, 1.4) * episodeInterval {
		for _, i := range rng.Perm(len(kinds))[:min(2+rng.IntN(2), len(kinds))] {
			f := soakKinds[kinds[i]](rng)
			f.At = min(at+rng.Float64()*episodeSpread, last)
			f.Duration = min(f.Duration, o.Seconds-f.At-1)
			if f.Zone < 0 {
				f.Zone = rng.IntN(s.Zones)
			}
			s.Faults = append(s.Faults, f)
			faultCounts[kinds[i]]++
		}
	}
	if o.Pressure {
		s.Faults = append(s.Faults, drawPressure(o.Seed, cmp.Or(o.QuietSeconds, quietAtStart), last, faultCounts)...)
	}
	slices.SortStableFunc(s.Faults, func(a, b scenario.Fault) int { return int(1000 * (a.At - b.At)) })
	return s, faultCounts, nil
}
