package app

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"rampspread/internal/chatapi"
	"rampspread/internal/fleet/idempotencyquorum"
	"rampspread/internal/state"
	"rampspread/internal/state/atomicfile"
	"rampspread/internal/state/fencing"
	"rampspread/internal/state/inflight"
	"rampspread/internal/state/statetransfer"
	"rampspread/routing"
)

// stores owns the state that outlives the process or is shared with other processes of its name on its machine.
type stores struct {
	idempotency   *idempotencyquorum.Coordinator // nil if the chat frontend uses only its own table
	inFlight      *inflight.Table                // nil if in-flight requests are not shared
	endpointCache *atomicfile.Saver              // nil without a state folder
	tokenFloor    *fencing.TokenFloor            // lower bound for new fencing tokens of the fleet; nil if none is stored
	transfer      statetransfer.Exchange         // without a folder, nothing is transferred
}

// openIdempotency creates the idempotency coordinator and opens its store of records.
func (a *application) openIdempotency() (err error) {
	a.stores.idempotency, err = newIdempotencyCoordinator(a.inputs, a.fleet.sendIdempotency, a.machine.Wall())
	return err
}

// newIdempotencyCoordinator returns the coordinator that decides whether an idempotent request may run: among the
// fleet's voters if the fleet file has a section for it, or in this process alone if it has a state folder and a chat
// frontend. Otherwise it returns nil, and a chat frontend uses only its own table. now is the time of the wall clock.
func newIdempotencyCoordinator(in inputs, send func(to string, message []byte, large bool),
	now time.Time) (*idempotencyquorum.Coordinator, error) {
	cfg := idempotencyquorum.Config{Name: in.config.Name, Incarnation: uint64(now.UnixNano()), Send: send}
	cfg.Limits.MaxAnswerBytes = chatapi.MaxStoredAnswerBytes
	switch {
	case in.fleet != nil && in.fleet.Idempotency != nil:
		file := in.fleet.Idempotency
		cfg.Replicas, cfg.Secret = in.fleet.Voters, in.fleet.Secret()
		cfg.Limits.Retention, cfg.Limits.Entries = file.Retention(), file.Entries
		if !in.fleet.IsVoter(cfg.Name) {
			return idempotencyquorum.New(cfg), nil
		}
	case in.stateDir != "" && in.chat != nil:
		cfg.Replicas, cfg.Secret = []string{cfg.Name}, []byte(cfg.Name)
		cfg.Limits.Retention, cfg.Limits.Entries = in.chat.Retention(), in.chat.Idempotency.Entries
	default:
		return nil, nil
	}
	// Open the state now, because its errors can be reported only at the start. A state that another process has locked
	// is opened later, by cfg.Open.
	store, err := openState(in, now)
	if err != nil && !errors.Is(err, state.ErrLocked) {
		return nil, err
	}
	cfg.Open = func() (*state.Store, error) {
		if opened := store; opened != nil {
			store = nil
			return opened, nil
		}
		return state.Open(in.stateDir, in.identity())
	}
	return idempotencyquorum.New(cfg), nil
}

// openState opens the state folder. A corrupt state is moved aside first and replaced by an empty one.
func openState(in inputs, now time.Time) (*state.Store, error) {
	store, err := state.Open(in.stateDir, in.identity())
	if !errors.Is(err, state.ErrCorrupt) {
		return store, err
	}
	backup, backupErr := state.Quarantine(in.stateDir, now)
	if backupErr != nil {
		return nil, errors.Join(err, backupErr)
	}
	slog.Warn("state_refused", "err", err, "set_aside", backup)
	return state.Open(in.stateDir, in.identity())
}

// openInFlight shares the in-flight requests with other processes of this name on this machine, if a common folder is
// configured. A failure is logged, and the process serves without sharing.
func (a *application) openInFlight() error {
	if a.options.transferDir == "" {
		return nil
	}
	var retention time.Duration
	if a.inputs.chat != nil {
		retention = a.inputs.chat.Retention()
	}
	table, err := inflight.Start(a.machine, a.options.transferDir, a.inputs.config.Name, retention)
	if err != nil {
		slog.Warn("in_flight_table_failed", "err", err)
	}
	a.stores.inFlight = table
	a.frontendHandler.UsePeerTable(table)
	return nil
}

// startTokenFloor opens the stored lower bound for new fencing tokens, and stores it again as tokens grow. It does
// nothing without a state folder or without a fleet.
func (a *application) startTokenFloor() error {
	if a.inputs.stateDir == "" || a.inputs.fleet == nil {
		return nil
	}
	a.stores.tokenFloor = fencing.Open(a.machine, a.inputs.stateDir, fencing.Owner(a.inputs.identity()))
	a.background.start(a.stores.tokenFloor.Run)
	return nil
}

// transferState restores what another process of this name has learned. It then provides what this process learns to
// processes that request it, until the context ends.
func (a *application) transferState(ctx context.Context) {
	a.stores.transfer.Request(ctx, a.dispatcher.Restore)
	a.stores.transfer.Serve(ctx, func() (routing.Snapshot, bool) {
		return a.dispatcher.Snapshot(ctx, statetransfer.MaxPrefixes)
	})
}

// writeSnapshot writes what this process has learned, for the next process of this name.
func (a *application) writeSnapshot() {
	snapshot, ok := a.dispatcher.Snapshot(a.background.ctx, statetransfer.MaxPrefixes)
	if !ok {
		return
	}
	if err := a.stores.transfer.Write(snapshot); err != nil {
		slog.Warn("handover_write_failed", "err", err)
	}
}
