// Package statetransfer lets a process start with the state that another of the same name on the same machine has
// learned: the one that it replaces, or the one that ran before it. They share a folder, which need not survive a
// reboot. A process that starts requests a snapshot by creating a file; the one that serves answers by replacing the
// snapshot file atomically, and removes the request. The same encoding is sent between members of a fleet.
//
// The package owns the two files of a name. Exchange is a value without state of its own; one process at a time serves.
package statetransfer

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/state/atomicfile"
	"rampspread/routing"
)

// Exchange is where processes of one name exchange snapshots.
type Exchange struct {
	Dir  string
	Name string
	// Settings is the fingerprint of the settings: a snapshot that was learned under others is unusable.
	Settings uint64
	// Machine is the machine that the process runs on.
	Machine hostos.System
}

const (
	// MaxBytes bounds a snapshot file in bytes.
	MaxBytes = 4 << 20
	// MaxPrefixes bounds the number of prefix entries in a snapshot file.
	MaxPrefixes = 10_000

	// requestPollInterval is the time between two checks whether another process requests a snapshot.
	requestPollInterval = 500 * time.Millisecond
	// periodicWriteInterval is the time between two snapshots without a request: a process that is killed cannot write one.
	periodicWriteInterval = 5 * time.Second
	// answerPollInterval is the time between two checks whether a request was answered, for at most answerTimeout.
	answerPollInterval = 50 * time.Millisecond
	answerTimeout      = 2 * time.Second

	// The extensions of the two files, which processes of other versions use: they never change.
	snapshotExtension = ".beliefs"
	requestExtension  = ".ask"

	fileMode = 0o600
)

// ErrUnusable reports a snapshot that must not be used: another member's, of other settings, corrupt, or of a later program.
var ErrUnusable = errors.New("statetransfer: unusable snapshot")

// path returns the path of a file of this name.
func (e Exchange) path(extension string) string {
	name := strings.Map(func(r rune) rune { // a name may hold characters that a path may not
		if r == os.PathSeparator || r < ' ' {
			return '_'
		}
		return r
	}, e.Name)
	return filepath.Join(e.Dir, "rampspread-"+name+extension)
}

// Write replaces the snapshot file atomically. It is not synced: the file need not survive a reboot.
func (e Exchange) Write(snapshot routing.Snapshot) error {
	encoded, err := e.Encode(snapshot)
	if err != nil {
		return err
	}
	if len(encoded) > MaxBytes {
		return fmt.Errorf("statetransfer: %d bytes, at most %d", len(encoded), MaxBytes)
	}
	if err := atomicfile.Replace(e.Machine, e.path(snapshotExtension), encoded, atomicfile.Unsynced); err != nil {
		return fmt.Errorf("statetransfer: %w", err)
	}
	return nil
}

// Read reads the snapshot file. The error is fs.ErrNotExist if there is none, and ErrUnusable if it must not be used.
func (e Exchange) Read() (routing.Snapshot, error) {
	encoded, err := atomicfile.Read(e.path(snapshotExtension), MaxBytes)
	switch {
	case errors.Is(err, atomicfile.ErrCorrupt):
		return routing.Snapshot{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	case err != nil:
		return routing.Snapshot{}, fmt.Errorf("statetransfer: %w", err)
	}
	return e.Decode(encoded)
}

// Request passes the existing snapshot to restore, and then requests a current one from a process of the same name that
// may be serving. restore is called at most twice, the second time only with a newer snapshot. Request returns after
// answerTimeout if no process serves.
func (e Exchange) Request(ctx context.Context, restore func(routing.Snapshot)) {
	latest := e.restoreNewer(0, restore)
	requestPath := e.path(requestExtension)
	if err := os.WriteFile(requestPath, nil, fileMode); err != nil {
		slog.Warn("handover_request_failed", "err", err)
		return
	}
	defer os.Remove(requestPath)
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	tick := time.NewTicker(answerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if _, err := os.Stat(requestPath); err != nil { // the request was answered
				e.restoreNewer(latest, restore)
				return
			}
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// restoreNewer passes the snapshot file to restore if it was taken after a time, and returns the time of the latest
// snapshot.
func (e Exchange) restoreNewer(latest time.Duration, restore func(routing.Snapshot)) time.Duration {
	snapshot, err := e.Read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("handover_refused", "err", err)
	case snapshot.TakenAt > latest:
		slog.Info("handover", "prefixes", len(snapshot.Prefixes), "endpoints", len(snapshot.Endpoints))
		restore(snapshot)
		return snapshot.TakenAt
	}
	return latest
}

// Serve writes the snapshot that take returns whenever another process requests one, and every periodicWriteInterval
// without a request, until the context ends. It writes nothing while take's second result is false, so that a process
// answers requests only once its own request has ended.
func (e Exchange) Serve(ctx context.Context, take func() (routing.Snapshot, bool)) {
	tick := time.NewTicker(requestPollInterval)
	defer tick.Stop()
	lastWrite := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		requestPath := e.path(requestExtension)
		if _, err := os.Stat(requestPath); err != nil && time.Since(lastWrite) < periodicWriteInterval {
			continue
		}
		lastWrite = time.Now()
		snapshot, ok := take()
		if !ok {
			continue
		}
		if err := e.Write(snapshot); err != nil {
			slog.Warn("handover_write_failed", "err", err)
		}
		os.Remove(requestPath)
	}
}
