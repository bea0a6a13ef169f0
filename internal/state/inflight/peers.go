package inflight

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

// peer is the folder of another process.
type peer struct {
	dir   string
	alive bool // the process is running
}

// peerCount is the number of folders of other processes.
type peerCount struct {
	alive int // processes that are running
	ended int // processes that have ended and left idempotency keys that may have run
}

const (
	// hiddenPrefix begins the names of folders that are incomplete, since their process is still creating them or was
	// killed before it had created them.
	hiddenPrefix    = "."
	temporaryPrefix = hiddenPrefix + "new-"
)

func (t *Table) countPeers() (n peerCount, err error) {
	peers, err := t.listPeers()
	for _, p := range peers {
		if p.alive {
			n.alive++
		} else {
			n.ended++
		}
	}
	return n, err
}

// listPeers lists the folders of other processes. It removes the folder of an ended process unless it has names that
// outlive the process, within their retention.
func (t *Table) listPeers() ([]peer, error) {
	entries, err := os.ReadDir(t.sharedDir)
	if err != nil {
		return nil, fmt.Errorf("list peers: %w", err)
	}
	var peers []peer
	for _, e := range entries {
		dir := filepath.Join(t.sharedDir, e.Name())
		if dir == t.ownDir || strings.HasPrefix(e.Name(), hiddenPrefix) {
			continue
		}
		if isAlive(dir) {
			peers = append(peers, peer{dir: dir, alive: true})
		} else if t.removeExpired(dir) {
			peers = append(peers, peer{dir: dir, alive: false})
		}
	}
	return peers, nil
}

// countNotReady counts the peers that are running and have not published what they have in flight.
func countNotReady(peers []peer) (n int) {
	for _, p := range peers {
		if _, err := os.Stat(filepath.Join(p.dir, readyFile)); p.alive && err != nil {
			n++
		}
	}
	return n
}

// isAlive reports whether the process of a folder is running, which is the case while it holds the folder's lock. A
// lock file that exists but cannot be opened, for example because this process is out of file descriptors, counts as
// held, so that the folder of a running process is not removed.
func isAlive(dir string) bool {
	f, err := os.Open(filepath.Join(dir, lockFile))
	if err != nil {
		return !errors.Is(err, fs.ErrNotExist)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil
}

// removeExpired removes the folder of an ended process unless it has names that outlive the process, within their
// retention, and reports whether the folder remains. It returns false for a folder that cannot be read.
func (t *Table) removeExpired(dir string) (remains bool) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		kind := kindOf(e.Name())
		if !kind.outlivesProcess() {
			continue
		}
		if m, err := t.readMarker(filepath.Join(dir, e.Name())); err == nil && m.age < t.retentionOf(kind) {
			remains = true
		}
	}
	if !remains {
		os.RemoveAll(dir)
	}
	return remains
}
