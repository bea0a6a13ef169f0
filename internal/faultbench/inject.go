package faultbench

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/discovery"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/hostos"
)

// maxStaggeredPart is the part of the remaining time within which a fault that is staggered has reached all its targets.
const maxStaggeredPart = 0.6

// targets draws what a fault is injected into: numbers of dispatchers or replicas.
func (r *Run) targets(f scenario.Fault, rng *rand.Rand) []int {
	n := 0
	switch f.Target() {
	case scenario.Dispatchers:
		n = len(r.dispatchers)
	case scenario.Replicas:
		n = len(r.cluster.Replicas)
	case scenario.OneZone:
		var out []int
		for d := range r.dispatchers {
			if d%r.scenario.Zones == f.Zone {
				out = append(out, d)
			}
		}
		return out
	case scenario.WholeFleet:
		return nil
	}
	many := max(1, int(math.Round(f.Fraction*float64(n))))
	out := rng.Perm(n)
	if spare := min(f.SpareFirst, n-1); f.Target() == scenario.Dispatchers {
		out = slices.DeleteFunc(out, func(d int) bool { return d < spare })
	}
	return out[:min(many, len(out))]
}

// stagger is the time between the targets of a staggered fault: as the scenario says, but all targets are reached within
// maxStaggeredPart of the remaining time, however many they are.
func (r *Run) stagger(f scenario.Fault, n int) time.Duration {
	every := scenario.Seconds(f.Stagger)
	if n > 1 {
		every = min(every, scenario.Seconds((r.scenario.Seconds-f.At)*maxStaggeredPart)/time.Duration(n-1))
	}
	return every
}

// fleetInjectors inject faults whose targets are not injected into one by one.
var fleetInjectors = map[string]func(r *Run, ctx context.Context, f scenario.Fault, targets []int){
	scenario.ChangeSettings: (*Run).changeSettings,
	scenario.SilenceDiscovery: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		exclusively(&r.silenceFault, func() {
			r.discovery.Silence()
			after(ctx, f, r.discovery.Resume)
		})
	},
	scenario.ClientsLeave: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		r.clients.SetLeaveFraction(f.Fraction)
		after(ctx, f, func() { r.clients.SetLeaveFraction(0) })
	},
	scenario.DelayDiscovery: func(r *Run, _ context.Context, f scenario.Fault, _ []int) {
		r.discovery.SetDelay(scenario.Seconds(f.Duration))
	},
	scenario.Split: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		if r.peers == nil {
			return
		}
		side := func(d int) int { return d % max(f.Sides, 2) }
		r.peers.split(side, cutLink)
		after(ctx, f, func() { r.peers.split(side, healthyLink) })
	},
	scenario.CutZone: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		r.isolateZone(f.Zone, cutLink)
		after(ctx, f, func() { r.isolateZone(f.Zone, healthyLink) })
	},
}

// targetInjectors inject a fault into one dispatcher or replica.
var targetInjectors = map[string]func(r *Run, ctx context.Context, f scenario.Fault, target int){
	scenario.Kill: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		p := r.dispatchers[d]
		exclusively(&p.Lifecycle, func() {
			p.Kill()
			after(ctx, f, func() { p.restartAfter(ctx, f) })
		})
	},
	scenario.Terminate: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		p := r.dispatchers[d]
		exclusively(&p.Lifecycle, func() {
			p.Terminate()
			after(ctx, f, func() { p.restartAfter(ctx, f) })
		})
	},
	scenario.Pause: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		exclusively(&r.dispatchers[d].Lifecycle, func() { r.dispatchers[d].Pause(ctx, scenario.Seconds(f.Duration)) })
	},
	scenario.OperatorDrain: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		exclusively(&r.dispatchers[d].Lifecycle, func() { r.operatorDrain(ctx, f, d) })
	},
	scenario.MoveDiscovery:    func(r *Run, _ context.Context, _ scenario.Fault, d int) { r.dispatchers[d].moveDiscovery() },
	scenario.ReloadRepeatedly: func(r *Run, ctx context.Context, f scenario.Fault, d int) { r.dispatchers[d].reloadRepeatedly(ctx, f) },
	scenario.StepClock: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		stepMS := int64(f.ClockStepS * 1000)
		r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) { s.WallStepMS += stepMS })
		after(ctx, f, func() { r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) { s.WallStepMS -= stepMS }) })
	},
	scenario.FailSyscalls: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) {
			s.Fails[f.Syscall] = hostos.Failure{Errno: f.Errno, Every: max(f.EveryNth, 1), DelayMS: int(f.DelayMS)}
		})
		after(ctx, f, func() { r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) { delete(s.Fails, f.Syscall) }) })
	},
	scenario.PartialRequests:   (*Run).misbehavingClients,
	scenario.PipelinedRequests: (*Run).misbehavingClients,
	scenario.IdleClients:       (*Run).misbehavingClients,
	scenario.ImpairLinks:       (*Run).impairLinks,
	scenario.ResetLinks:        (*Run).resetLinks,
	scenario.SilenceLinks:      (*Run).silenceLinks,
	scenario.SilenceConns:      (*Run).silenceConnections,
	scenario.DelayConns:        (*Run).delayConnections,
	scenario.SilenceWatches: func(r *Run, _ context.Context, _ scenario.Fault, d int) {
		r.discovery.SilenceWatches(d)
	},
	scenario.FreezeDiscovery: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		from := r.history.Now()
		r.discovery.Freeze(d)
		after(ctx, f, func() {
			r.discovery.Unfreeze(d)
			r.history.Add(history.Event{At: from, Kind: history.StaleListServed, Dispatcher: d, Until: r.history.Now()})
		})
	},
	scenario.VanishReplica: (*Run).vanish,
	scenario.HangReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		p := r.cluster.Replicas[i]
		exclusively(&p.HangFault, func() {
			p.Hang()
			after(ctx, f, p.Resume)
		})
	},
	scenario.KillReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		p := r.cluster.Replicas[i]
		exclusively(&p.ListingFault, func() {
			p.Kill()
			r.discovery.Set(p, discovery.Gone, time.Time{})
			after(ctx, f, func() {
				p.Restart()
				r.discovery.Set(p, discovery.Ready, time.Now())
			})
		})
	},
	scenario.SlowReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.cluster.Replicas[i].SetSlowdown(f.Factor)
		after(ctx, f, func() { r.cluster.Replicas[i].SetSlowdown(1) })
	},
	scenario.FailReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.cluster.Replicas[i].SetErrorRate(f.Loss)
		after(ctx, f, func() { r.cluster.Replicas[i].SetErrorRate(0) })
	},
	scenario.CorruptReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.cluster.Replicas[i].SetCorruptionRate(f.Loss)
		after(ctx, f, func() { r.cluster.Replicas[i].SetCorruptionRate(0) })
	},
	scenario.DrainReplica:  func(r *Run, ctx context.Context, f scenario.Fault, i int) { r.withList(ctx, f, i, discovery.Draining) },
	scenario.DelistReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) { r.withList(ctx, f, i, discovery.Gone) },
	scenario.FlushReplica:  func(r *Run, _ context.Context, _ scenario.Fault, i int) { r.cluster.Replicas[i].FlushCache() },
}

// inject carries out one fault at its time, into all targets at once or staggered, and returns when it is over.
func (r *Run) inject(ctx context.Context, f scenario.Fault, targets []int, begin time.Time) {
	if timing.Sleep(ctx, time.Until(begin.Add(scenario.Seconds(f.At)))) != nil {
		return
	}
	if injectFleet := fleetInjectors[f.Action]; injectFleet != nil {
		injectFleet(r, ctx, f, targets)
		return
	}
	injectTarget := targetInjectors[f.Action]
	var wg sync.WaitGroup
	defer wg.Wait()
	every := r.stagger(f, len(targets))
	for i, target := range targets {
		wg.Go(func() {
			if timing.Sleep(ctx, time.Duration(i)*every) == nil {
				injectTarget(r, ctx, f, target)
			}
		})
	}
}

// after ends a fault once its duration has passed, if it ends at all.
func after(ctx context.Context, f scenario.Fault, end func()) {
	if f.Duration > 0 && timing.Sleep(ctx, scenario.Seconds(f.Duration)) == nil {
		end()
	}
}

// exclusively carries out a fault until it is over, unless another fault of the kind that the lock stands for is under way.
func exclusively(kind *sync.Mutex, do func()) {
	if !kind.TryLock() {
		return
	}
	defer kind.Unlock()
	do()
}

// changeSettings gives the targets other settings, and the others the same once the fault is over.
func (r *Run) changeSettings(ctx context.Context, f scenario.Fault, targets []int) {
	for _, d := range targets {
		r.dispatchers[d].changeSettings(deployment.ChangedMaxAttempts)
	}
	from := r.history.Now()
	after(ctx, f, func() {
		for d, p := range r.dispatchers {
			if !slices.Contains(targets, d) {
				p.changeSettings(deployment.ChangedMaxAttempts)
				r.history.Add(history.Event{At: from, Kind: history.StaleListServed, Class: staleSettings, Dispatcher: d, Until: r.history.Now()})
			}
		}
	})
}

// withList lists a replica in another state than ready for as long as the fault lasts.
func (r *Run) withList(ctx context.Context, f scenario.Fault, replica int, state discovery.State) {
	p := r.cluster.Replicas[replica]
	exclusively(&p.ListingFault, func() {
		r.discovery.Set(p, state, time.Time{})
		after(ctx, f, func() { r.discovery.Set(p, discovery.Ready, time.Time{}) })
	})
}

// misbehavingClients runs clients of one kind of fault behaviour at a dispatcher for as long as the fault lasts.
func (r *Run) misbehavingClients(ctx context.Context, f scenario.Fault, d int) {
	ctx, cancel := context.WithTimeout(ctx, scenario.Seconds(f.Duration))
	defer cancel()
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(d)+uint64(f.At*1000)))
	switch f.Action {
	case scenario.PartialRequests:
		r.clients.PartialRequests(ctx, d, rng)
	case scenario.PipelinedRequests:
		r.clients.Pipelines(ctx, d, rng)
	case scenario.IdleClients:
		r.clients.IdleClients(ctx, d, cmp.Or(r.options.Sockets, defaultSockets))
	}
}
