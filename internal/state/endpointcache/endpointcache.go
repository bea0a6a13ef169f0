// Package endpointcache stores the newest endpoint list that a process has applied, for the process that replaces it.
// Without it, a process that starts while service discovery does not respond would use the list in its configuration,
// and send requests to endpoints that are known to be draining.
//
// The package owns one file in the state folder and has no state in memory. Its functions are safe for concurrent use.
package endpointcache

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/state/atomicfile"
)

// CachedList is a stored endpoint list. Other versions of the program read the file, so the JSON names must not change.
type CachedList struct {
	Owner   Owner           `json:"Owner"`
	SavedAt hostos.Stamp    `json:"At"`
	Version uint64          `json:"Version"`
	Entries json.RawMessage `json:"Entries"` // endpoints in the encoding of service discovery
}

// Owner names the process that a list belongs to, and the discovery service that the list came from, since versions of
// different discovery services cannot be compared.
type Owner struct {
	Fleet     string `json:"Fleet"`
	Name      string `json:"Name"`
	Discovery string `json:"Discovery"`
}

const (
	// MaxAge is the maximum age of a usable list. A stored list is meant for a start while service discovery does not
	// respond for a short time, not as a replacement for service discovery.
	MaxAge = time.Hour

	fileName = "newest.list"
	magic    = "rampspread newest list 1\n"
	maxBytes = 4 << 20 // a list in the encoding of service discovery has at most 3 MiB

	folderMode = 0o700
)

// ErrUnusable reports a stored list that must not be used: it is corrupt, too old, saved in the future, or belongs to
// another owner.
var ErrUnusable = errors.New("endpointcache: unusable list")

// Save replaces the list in a folder, and creates the folder if necessary. The list is on disk when Save returns.
func Save(machine hostos.System, dir string, list CachedList) error {
	body, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("endpointcache: %w", err)
	}
	if len(body) > maxBytes-len(magic)-atomicfile.SealBytes {
		return fmt.Errorf("endpointcache: list has %d bytes, the maximum is %d", len(body), maxBytes)
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return fmt.Errorf("endpointcache: %w", err)
	}
	path := filepath.Join(dir, fileName)
	if err := atomicfile.Replace(machine, path, atomicfile.Seal(magic, body), atomicfile.Synced); err != nil {
		return fmt.Errorf("endpointcache: %w", err)
	}
	return nil
}

// Load returns the list in a folder. The error is fs.ErrNotExist if there is none, and ErrUnusable if the owner must
// not use it now.
func Load(dir string, owner Owner, now hostos.Stamp) (CachedList, error) {
	sealed, err := atomicfile.Read(filepath.Join(dir, fileName), maxBytes)
	if err != nil && !errors.Is(err, atomicfile.ErrCorrupt) {
		return CachedList{}, fmt.Errorf("endpointcache: %w", err)
	}
	var list CachedList
	if err == nil {
		list, err = decode(sealed)
	}
	if err != nil {
		return CachedList{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	switch age := list.SavedAt.Age(now); {
	case list.Owner != owner:
		return CachedList{}, fmt.Errorf("%w: it belongs to member %q of fleet %q with service discovery at %s",
			ErrUnusable, list.Owner.Name, list.Owner.Fleet, list.Owner.Discovery)
	case age < 0:
		return CachedList{}, fmt.Errorf("%w: it was saved in the future", ErrUnusable)
	case age > MaxAge:
		return CachedList{}, fmt.Errorf("%w: it is %v old", ErrUnusable, age.Round(time.Second))
	}
	return list, nil
}

func decode(sealed []byte) (list CachedList, err error) {
	body, err := atomicfile.Open(magic, sealed)
	if err != nil {
		return list, err
	}
	err = json.Unmarshal(body, &list)
	return list, err
}
