package faultbench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/discovery"
	"rampspread/internal/faultbench/process"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/state"
)

const (
	// fleetName is the name of the dispatchers' fleet.
	fleetName = "rig"
	// Limits of a dispatcher, unless the options set others.
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// dispatcher is one dispatcher of a run: its process and its configuration, which faults change.
type dispatcher struct {
	*process.Process
	run   *Run
	index int

	configChange   sync.Mutex // held while the configuration changes
	maxAttempts    int        // limit on the attempts of a request, in the dispatcher's settings
	discoveryMoves int        // number of moves of discovery so far; it alternates between its two addresses
}

func (r *Run) newDispatcher(index int) *dispatcher {
	return &dispatcher{run: r, index: index, maxAttempts: r.deployment.MaxAttempts,
		Process: process.New(process.Config{Index: index, Program: r.options.Program, Dir: r.dir,
			HealthURL: "http://" + r.addrs.listen(index) + "/healthz", KillAfter: r.deployment.KillAfter(),
			History: r.history, Log: r.options.Log})}
}

// writeFile writes one of the run's files as JSON and returns its path.
func (r *Run) writeFile(name string, value any) (string, error) {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	return path, nil
}

// discoveryAddress returns the index of the discovery address that the dispatcher uses.
func (d *dispatcher) discoveryAddress() int { return d.discoveryMoves % discovery.Addresses }

// writeConfig writes the dispatcher's configuration file. The caller holds configChange, unless nothing else uses the
// dispatcher yet.
func (d *dispatcher) writeConfig() error {
	r := d.run
	path, err := r.writeFile(fmt.Sprintf("n%d.json", d.index), map[string]any{
		"name": r.names[d.index], "listen": r.addrs.listen(d.index), "ops": r.addrs.admin(d.index),
		"discovery": r.addrs.discovery(d.index, d.discoveryAddress()),
		"seed":      fmt.Sprintf("%016x", r.options.Seed*1000+uint64(d.index)+1),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(r.options.MemoryMB, defaultMemoryMB),
			"sockets": cmp.Or(r.options.Sockets, defaultSockets)},
		"known": r.discovery.LastKnown(d.index), "settings": r.settings(d.index),
	})
	if err != nil {
		return err
	}
	d.SetConfigPath(path)
	return nil
}

// configure writes the dispatcher's files and sets the arguments of its process.
func (d *dispatcher) configure() error {
	r := d.run
	if err := d.writeConfig(); err != nil {
		return err
	}
	args := []string{"serve"}
	if r.options.Fleet {
		file, err := r.fleetFile(d.index)
		if err != nil {
			return err
		}
		args = append(args, "-fleet", file)
	}
	if r.options.IdempotentRequests {
		if err := state.Init(r.stateDir(d.index), state.Identity{Fleet: fleetName, Name: r.names[d.index]}); err != nil {
			return fmt.Errorf("dispatcher %d: %w", d.index, err)
		}
	}
	if r.options.State || r.options.IdempotentRequests {
		args = append(args, "-state", r.stateDir(d.index))
	}
	if r.options.Handover {
		args = append(args, "-handover", r.dir)
	}
	if r.acceptAnyRequest {
		chat, err := r.chatFile(d.index)
		if err != nil {
			return err
		}
		args = append(args, "-chat", chat)
	}
	d.Configure(args)
	return nil
}

// restartAfter starts a new process after a fault ended the previous one. If the fault says so, it deletes the stored
// state first.
func (d *dispatcher) restartAfter(ctx context.Context, f scenario.Fault) {
	if f.LoseState {
		d.restartWithoutState(ctx)
	} else {
		d.restart(ctx)
	}
}

// restartWithoutState deletes what the previous process stored and starts a new one.
func (d *dispatcher) restartWithoutState(ctx context.Context) {
	os.RemoveAll(d.run.stateDir(d.index))
	d.restart(ctx)
}

// restart starts a new process after the end of the previous one. With Options.Strict it first writes the configuration
// again, with the newest endpoint list that the dispatcher can have received. Otherwise the configuration keeps the
// list with which it was written last. That list may be older, and the platform may provide such a list too.
func (d *dispatcher) restart(ctx context.Context) {
	if d.run.options.Strict {
		d.configChange.Lock()
		if err := d.writeConfig(); err != nil {
			d.run.options.Log.Warn("restart_config_failed", "dispatcher", d.index, "err", err)
		}
		d.configChange.Unlock()
	}
	d.Restart(ctx)
}

// changeSettings writes settings with another limit on attempts and makes the process reload them by SIGHUP.
func (d *dispatcher) changeSettings(maxAttempts int) {
	d.configChange.Lock()
	defer d.configChange.Unlock()
	d.maxAttempts = maxAttempts
	if err := d.writeConfig(); err != nil {
		d.run.options.Log.Warn("change_settings_failed", "err", err)
		return
	}
	d.Signal(syscall.SIGHUP)
}

// moveDiscovery moves the dispatcher's discovery to its other address. The old address then refuses new connections.
func (d *dispatcher) moveDiscovery() {
	d.configChange.Lock()
	defer d.configChange.Unlock()
	r := d.run
	r.discovery.RecordMove(d.index)
	old := d.discoveryAddress()
	d.discoveryMoves++
	r.discovery.Open(d.index, d.discoveryAddress())
	if err := d.writeConfig(); err != nil {
		r.options.Log.Warn("move_discovery_failed", "err", err)
		return
	}
	r.discovery.Refuse(d.index, old)
	d.Signal(syscall.SIGHUP)
}

// reloadRepeatedly makes the dispatcher reload its configuration several times during the fault. The reloads alternate
// between changed settings and a move of discovery to its other address.
func (d *dispatcher) reloadRepeatedly(ctx context.Context, f scenario.Fault) {
	const reloads = 5
	for n := range reloads {
		if n%2 == 0 {
			d.changeSettings(deployment.ChangedMaxAttempts + n%4/2)
		} else {
			d.moveDiscovery()
		}
		if timing.Sleep(ctx, scenario.Seconds(f.Duration)/reloads) != nil {
			return
		}
	}
}
