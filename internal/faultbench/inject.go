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

// maxStaggeredFraction is the fraction of the time from a staggered fault's start to the scenario's end within which
// the fault must reach all its targets.
const maxStaggeredFraction = 0.6

// targets returns the indexes of the dispatchers or replicas into which a fault is injected. For a fault of one zone it
// returns all dispatchers of that zone, and for a fault of the whole fleet nil. Other targets are drawn at random.
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
	count := max(1, int(math.Round(f.Fraction*float64(n))))
	out := rng.Perm(n)
	if spare := min(f.SpareFirst, n-1); f.Target() == scenario.Dispatchers {
		out = slices.DeleteFunc(out, func(d int) bool { return d < spare })
	}
	return out[:min(count, len(out))]
}

// stagger returns the time between the injections of a staggered fault into one of its n targets and the next. It is
// shorter than Fault.Stagger if otherwise not all targets would be reached in time: see maxStaggeredFraction.
func (r *Run) stagger(f scenario.Fault, n int) time.Duration {
	every := scenario.Seconds(f.Stagger)
	if n > 1 {
		every = min(every, scenario.Seconds((r.scenario.Seconds-f.At)*maxStaggeredFraction)/time.Duration(n-1))
	}
	return every
}

// fleetInjectors maps actions to the functions that inject a fault into all its targets in one call.
var fleetInjectors = map[string]func(r *Run, ctx context.Context, f scenario.Fault, targets []int){
	scenario.ChangeSettings: (*Run).changeSettings,
	scenario.SilenceDiscovery: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		exclusively(&r.silenceFault, func() {
			r.discovery.Silence()
			endAfterDuration(ctx, f, r.discovery.Resume)
		})
	},
	scenario.ClientsLeave: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		r.clients.SetLeaveFraction(f.Fraction)
		endAfterDuration(ctx, f, func() { r.clients.SetLeaveFraction(0) })
	},
	scenario.DelayDiscovery: func(r *Run, _ context.Context, f scenario.Fault, _ []int) {
		r.discovery.SetDelay(scenario.Seconds(f.Duration))
	},
	scenario.Split: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		if r.peerLinks == nil {
			return
		}
		side := func(d int) int { return d % max(f.Sides, 2) }
		r.peerLinks.split(side, cutLink)
		endAfterDuration(ctx, f, func() { r.peerLinks.split(side, healthyLink) })
	},
	scenario.CutZone: func(r *Run, ctx context.Context, f scenario.Fault, _ []int) {
		r.setZoneLinks(f.Zone, cutLink)
		endAfterDuration(ctx, f, func() { r.setZoneLinks(f.Zone, healthyLink) })
	},
}

// targetInjectors maps actions to the functions that inject a fault into one dispatcher or replica.
var targetInjectors = map[string]func(r *Run, ctx context.Context, f scenario.Fault, target int){
	scenario.Kill: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		p := r.dispatchers[d]
		exclusively(&p.Lifecycle, func() {
			p.Kill()
			endAfterDuration(ctx, f, func() { p.restartAfter(ctx, f) })
		})
	},
	scenario.Terminate: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		p := r.dispatchers[d]
		exclusively(&p.Lifecycle, func() {
			p.Terminate()
			endAfterDuration(ctx, f, func() { p.restartAfter(ctx, f) })
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
		endAfterDuration(ctx, f, func() { r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) { s.WallStepMS -= stepMS }) })
	},
	scenario.FailSyscalls: func(r *Run, ctx context.Context, f scenario.Fault, d int) {
		r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) {
			s.Failures[f.Syscall] = hostos.Failure{Errno: f.Errno, Every: max(f.EveryNth, 1), DelayMS: int(f.DelayMS)}
		})
		endAfterDuration(ctx, f, func() { r.dispatchers[d].ChangeFaults(func(s *hostos.Faults) { delete(s.Failures, f.Syscall) }) })
	},
	scenario.PartialRequests:   (*Run).misbehavingClients,
	scenario.PipelinedRequests: (*Run).misbehavingClients,
	scenario.IdleClients:       (*Run).misbehavingClients,
	scenario.PressureClients:   (*Run).misbehavingClients,
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
		endAfterDuration(ctx, f, func() {
			r.discovery.Unfreeze(d)
			r.history.Add(history.Event{At: from, Kind: history.StaleListServed, Dispatcher: d, Until: r.history.Now()})
		})
	},
	scenario.VanishReplica: (*Run).vanishReplica,
	scenario.HangReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		p := r.cluster.Replicas[i]
		exclusively(&p.HangFault, func() {
			p.Hang()
			endAfterDuration(ctx, f, p.Resume)
		})
	},
	scenario.KillReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		p := r.cluster.Replicas[i]
		exclusively(&p.ListingFault, func() {
			p.Kill()
			r.discovery.Set(p, discovery.Gone, time.Time{})
			endAfterDuration(ctx, f, func() {
				p.Restart()
				r.discovery.Set(p, discovery.Ready, time.Now())
			})
		})
	},
	scenario.SlowReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.cluster.Replicas[i].SetSlowdown(f.Factor)
		endAfterDuration(ctx, f, func() { r.cluster.Replicas[i].SetSlowdown(1) })
	},
	scenario.FailReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.cluster.Replicas[i].SetErrorRate(f.Loss)
		endAfterDuration(ctx, f, func() { r.cluster.Replicas[i].SetErrorRate(0) })
	},
	scenario.CorruptReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.cluster.Replicas[i].SetCorruptionRate(f.Loss)
		endAfterDuration(ctx, f, func() { r.cluster.Replicas[i].SetCorruptionRate(0) })
	},
	scenario.DrainReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) {
		r.listReplicaAs(ctx, f, i, discovery.Draining)
	},
	scenario.DelistReplica: func(r *Run, ctx context.Context, f scenario.Fault, i int) { r.listReplicaAs(ctx, f, i, discovery.Gone) },
	scenario.FlushReplica:  func(r *Run, _ context.Context, _ scenario.Fault, i int) { r.cluster.Replicas[i].FlushCache() },
}

// inject waits until a fault is due, injects it into all targets at once or staggered, and returns when the fault is
// over.
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

// endAfterDuration waits for the fault's duration and then calls end. It does not call end if the fault has no duration
// or the context ends first.
func endAfterDuration(ctx context.Context, f scenario.Fault, end func()) {
	if f.Duration > 0 && timing.Sleep(ctx, scenario.Seconds(f.Duration)) == nil {
		end()
	}
}

// exclusively calls injectFault, which injects a fault and returns when it is over. It does nothing if another fault
// with the same lock is in progress.
func exclusively(lock *sync.Mutex, injectFault func()) {
	if !lock.TryLock() {
		return
	}
	defer lock.Unlock()
	injectFault()
}

// changeSettings changes the settings of the targets at once, and of all other dispatchers when the fault ends. It
// records that the other dispatchers had stale settings in the meantime.
func (r *Run) changeSettings(ctx context.Context, f scenario.Fault, targets []int) {
	for _, d := range targets {
		r.dispatchers[d].changeSettings(deployment.ChangedMaxAttempts)
	}
	from := r.history.Now()
	endAfterDuration(ctx, f, func() {
		for d, p := range r.dispatchers {
			if !slices.Contains(targets, d) {
				p.changeSettings(deployment.ChangedMaxAttempts)
				r.history.Add(history.Event{At: from, Kind: history.StaleListServed, Class: staleSettings, Dispatcher: d, Until: r.history.Now()})
			}
		}
	})
}

// listReplicaAs lists a replica in the given state for as long as the fault lasts, and as ready afterwards.
func (r *Run) listReplicaAs(ctx context.Context, f scenario.Fault, replica int, state discovery.State) {
	p := r.cluster.Replicas[replica]
	exclusively(&p.ListingFault, func() {
		r.discovery.Set(p, state, time.Time{})
		endAfterDuration(ctx, f, func() { r.discovery.Set(p, discovery.Ready, time.Time{}) })
	})
}

// misbehavingClients runs clients that misbehave as the fault says against a dispatcher, for as long as the fault
// lasts.
func (r *Run) misbehavingClients(ctx context.Context, f scenario.Fault, d int) {
	ctx, cancel := context.WithTimeout(ctx, scenario.Seconds(f.Duration))
	defer cancel()
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(d)+uint64(f.At*1000)))
	switch f.Action {
	case scenario.PartialRequests:
		r.clients.PartialRequests(ctx, d, rng)
	case scenario.PipelinedRequests:
		r.clients.Pipelines(ctx, d, rng)
	case scenario.PressureClients:
		r.clients.Pressure(ctx, d, f.Pressure, f.Clients, rng)
	case scenario.IdleClients:
		r.clients.IdleClients(ctx, d, cmp.Or(r.options.Sockets, defaultSockets))
	}
}
