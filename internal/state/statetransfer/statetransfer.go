// Package statetransfer lets a process start with the routing state that another process of the same name on the same
// machine has learned: the process that it replaces, or the one that ran before it. The processes share a folder, which
// need not survive a reboot. A process that starts requests a snapshot by creating a file. The process that serves
// answers by replacing the snapshot file atomically, and then removes the request. Members of a fleet send each other
// snapshots in the same encoding.
//
// The package owns two files for each name. Exchange has no state of its own; at most one process at a time serves.
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

// Exchange exchanges snapshots between processes of one name.
type Exchange struct {
	Dir  string // folder that the processes share
	Name string // name that the processes share; a snapshot of another name is unusable
	// Settings is the fingerprint of the settings. A snapshot that was taken with other settings is unusable.
	Settings uint64
	// Machine is the System through which files are written.
	Machine hostos.System
}

const (
	// MaxBytes is the maximum size of a snapshot file.
	MaxBytes = 4 << 20
	// MaxPrefixes is the maximum number of prefix entries in a snapshot file. The code that takes the snapshot must
	// apply it.
	MaxPrefixes = 10_000

	// requestPollInterval is the time between two checks for a request of another process.
	requestPollInterval = 500 * time.Millisecond
	// periodicWriteInterval is the time between two snapshots that are written without a request, since a process that
	// is killed cannot write one.
	periodicWriteInterval = 5 * time.Second
	// answerPollInterval is the time between two checks for the answer to a request, which end after answerTimeout.
	answerPollInterval = 50 * time.Millisecond
	answerTimeout      = 2 * time.Second

	// The extensions of the two files. Processes of other versions use them, so they must not change.
	snapshotExtension = ".beliefs"
	requestExtension  = ".ask"

	fileMode = 0o600
)

// ErrUnusable reports a snapshot that must not be used: it belongs to another member, was taken with other settings, is
// corrupt, or was written by a later version of the program.
var ErrUnusable = errors.New("statetransfer: unusable snapshot")

// path returns the path of the file with the given extension.
func (e Exchange) path(extension string) string {
	name := strings.Map(func(r rune) rune { // a name may hold characters that a path may not
		if r == os.PathSeparator || r < ' ' {
			return '_'
		}
		return r
	}, e.Name)
	return filepath.Join(e.Dir, "rampspread-"+name+extension)
}

// Write replaces the snapshot file atomically. It does not sync the file, which need not survive a reboot.
func (e Exchange) Write(snapshot routing.Snapshot) error {
	encoded, err := e.Encode(snapshot)
	if err != nil {
		return err
	}
	if len(encoded) > MaxBytes {
		return fmt.Errorf("statetransfer: snapshot has %d bytes, the maximum is %d", len(encoded), MaxBytes)
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

// Request passes the existing snapshot, if any, to restore, and then requests a current one from a process of the same
// name. restore is called at most twice, the second time only with a newer snapshot. If no process serves, Request
// returns after answerTimeout.
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

// restoreNewer passes the snapshot in the file to restore if it was taken after latest, and returns the time of the
// latest snapshot that was restored.
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

// Serve writes the snapshot that takeSnapshot returns whenever another process requests one, and every
// periodicWriteInterval without a request, until the context ends. It writes nothing if takeSnapshot returns false.
// Call Serve after Request has returned, so that a process answers requests only once its own request has ended.
func (e Exchange) Serve(ctx context.Context, takeSnapshot func() (routing.Snapshot, bool)) {
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
		snapshot, ok := takeSnapshot()
		if !ok {
			continue
		}
		if err := e.Write(snapshot); err != nil {
			slog.Warn("handover_write_failed", "err", err)
		}
		os.Remove(requestPath)
	}
}
