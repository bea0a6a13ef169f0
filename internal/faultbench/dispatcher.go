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
	// A dispatcher's limits, where the options name no others.
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// dispatcher is one dispatcher: its process and its configuration, which changes.
type dispatcher struct {
	*process.Process
	run   *Run
	index int

	configChange   sync.Mutex // held while the configuration changes
	maxAttempts    int        // in its settings
	discoveryMoves int        // its discovery has two addresses
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

// discoveryAddress is which of its discovery's addresses it uses.
func (d *dispatcher) discoveryAddress() int { return d.discoveryMoves % discovery.Addresses }

// writeConfig writes the dispatcher's configuration file; the caller holds configChange, or is alone.
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

// configure writes the dispatcher's files and sets its arguments.
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

// restartAfter starts a process after a fault ended the last one, with or without what that stored.
func (d *dispatcher) restartAfter(ctx context.Context, f scenario.Fault) {
	if f.LoseState {
		d.restartWithoutState(ctx)
	} else {
		d.restart(ctx)
	}
}

// restartWithoutState starts a process that finds nothing of what the last one stored.
func (d *dispatcher) restartWithoutState(ctx context.Context) {
	os.RemoveAll(d.run.stateDir(d.index))
	d.restart(ctx)
}

// restart starts a process after the last one's end. By the stricter rules its configuration has the endpoint list as
// the last process had it; otherwise an older one, as the platform may also give it.
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

// changeSettings gives it settings with another limit on attempts, which it reads at once.
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

// moveDiscovery moves its discovery to the other address; the old one accepts no new calls.
func (d *dispatcher) moveDiscovery() {
	d.configChange.Lock()
	defer d.configChange.Unlock()
	r := d.run
	r.discovery.NoteMove(d.index)
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

// reloadRepeatedly gives it new settings and moves its discovery several times in quick succession.
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
