package app

import (
	"context"
	"log/slog"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/hostos"
	"rampspread/internal/state/statetransfer"
)

// maxPeerPrefixes bounds the prefix cache entries in a snapshot for another member. The newest entries are sent.
const maxPeerPrefixes = 3000

// joinFleet makes the process a member of its fleet, if it has one.
func (a *application) joinFleet() error {
	if a.fleet.config == nil {
		return nil
	}
	node, err := fleet.Start(a.fleet.config, a.fleetOptions(), func(err error) { a.failures <- err })
	if err != nil {
		return err
	}
	a.fleet.node.Store(node)
	return nil
}

// fleetOptions returns the options with which the process joins its fleet.
func (a *application) fleetOptions() fleet.Options {
	cfg := a.inputs.config
	opts := fleet.Options{
		Machine: a.machine, Name: cfg.Name, Zone: cfg.Settings.ZoneName(cfg.Settings.ZoneIndex), Version: version, Seed: a.seed,
		Tasks:      a.fleet.tasks,
		Quota:      a.dispatcher,
		LocalState: a.localState,

		VersionSkew:  versionSkewActions{&a.fleet, a.drain},
		LearnedState: learnedState{a.machine, a.fleet.config.Fleet, &a.settings, a.dispatcher},
	}
	if a.stores.idempotency != nil {
		opts.HandleIdempotency = a.stores.idempotency.HandleMessage
	}
	if a.fleet.filter != nil {
		opts.EndpointFilter = a.fleet.filter
	}
	if a.stores.tokenFloor != nil {
		opts.TokenFloor, opts.ObserveToken = a.stores.tokenFloor.Floor(), a.stores.tokenFloor.Observe
	}
	return opts
}

// localState returns the part of the process's state that it reports to the other members.
func (a *application) localState() fleet.LocalState {
	return fleet.LocalState{
		SettingsDigest: a.settings.fingerprint(),
		ListVersion:    a.watcher.Version(),
		Serving:        a.listeners.ready.Load() && !a.listeners.lifecycle.Stopping.Load(),
	}
}

// learnedState provides snapshots of what this process has learned to other members of the fleet, and restores their
// snapshots.
type learnedState struct {
	machine    hostos.System
	fleet      string // name of the fleet
	settings   *activeSettings
	dispatcher *dispatch.Dispatcher
}

// exchange returns an Exchange that encodes and decodes snapshots under the fleet's name and the settings in force.
func (l learnedState) exchange() statetransfer.Exchange {
	return statetransfer.Exchange{Machine: l.machine, Name: l.fleet, Settings: l.settings.fingerprint()}
}

// Snapshot implements fleet.LearnedState.
func (l learnedState) Snapshot(ctx context.Context) ([]byte, bool) {
	snapshot, ok := l.dispatcher.Snapshot(ctx, maxPeerPrefixes)
	if !ok {
		return nil, false
	}
	encoded, err := l.exchange().Encode(snapshot)
	if err != nil {
		slog.Warn("snapshot_encode_failed", "err", err)
	}
	return encoded, err == nil
}

// Restore implements fleet.LearnedState.
func (l learnedState) Restore(encoded []byte) error {
	snapshot, err := l.exchange().Decode(encoded)
	if err != nil {
		return err
	}
	l.dispatcher.RestoreFromPeer(snapshot)
	return nil
}
