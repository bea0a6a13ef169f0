// Package endpointcache stores the newest endpoint list that a process has acted on, for the process that follows it.
// One that starts while service discovery is silent would otherwise act on the list of its configuration, and send to
// endpoints that were known to be draining.
//
// The package owns one file in the state folder and has no state in memory. Its functions may be called by several
// goroutines.
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

// Cached is a stored list. The tags are the names in the file, which other versions of the program read: they never change.
type Cached struct {
	Owner   Owner           `json:"Owner"`
	SavedAt hostos.Stamp    `json:"At"`
	Version uint64          `json:"Version"`
	Entries json.RawMessage `json:"Entries"` // in the form of service discovery
}

// Owner names the process that a list belongs to, and its source: versions of two discovery services cannot be compared.
type Owner struct {
	Fleet     string `json:"Fleet"`
	Name      string `json:"Name"`
	Discovery string `json:"Discovery"`
}

const (
	// MaxAge bounds the age of a usable list: it replaces a discovery service that is silent at the start, not one that
	// is gone.
	MaxAge = time.Hour

	fileName = "newest.list"
	magic    = "rampspread newest list 1\n"
	maxBytes = 4 << 20 // a list is at most 3 MiB in the form of service discovery

	folderMode = 0o700
)

// ErrUnusable reports a stored list that must not be used: corrupt, too old, from the future, or of another owner.
var ErrUnusable = errors.New("endpointcache: unusable list")

// Save replaces the list in a folder, which it creates if needed. The list is on disk when Save returns.
func Save(machine hostos.System, dir string, list Cached) error {
	body, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("endpointcache: %w", err)
	}
	if len(body) > maxBytes-len(magic)-atomicfile.SealBytes {
		return fmt.Errorf("endpointcache: %d bytes, at most %d", len(body), maxBytes)
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

// Load reads the list in a folder. The error is fs.ErrNotExist if there is none, and ErrUnusable if the owner must not
// use it now.
func Load(dir string, owner Owner, now hostos.Stamp) (Cached, error) {
	sealed, err := atomicfile.Read(filepath.Join(dir, fileName), maxBytes)
	if err != nil && !errors.Is(err, atomicfile.ErrCorrupt) {
		return Cached{}, fmt.Errorf("endpointcache: %w", err)
	}
	var list Cached
	if err == nil {
		list, err = decode(sealed)
	}
	if err != nil {
		return Cached{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	switch age := list.SavedAt.Age(now); {
	case list.Owner != owner:
		return Cached{}, fmt.Errorf("%w: it is that of %q of %q at %s",
			ErrUnusable, list.Owner.Name, list.Owner.Fleet, list.Owner.Discovery)
	case age < 0:
		return Cached{}, fmt.Errorf("%w: it is from the future", ErrUnusable)
	case age > MaxAge:
		return Cached{}, fmt.Errorf("%w: it is %v old", ErrUnusable, age.Round(time.Second))
	}
	return list, nil
}

func decode(sealed []byte) (list Cached, err error) {
	body, err := atomicfile.Open(magic, sealed)
	if err != nil {
		return list, err
	}
	err = json.Unmarshal(body, &list)
	return list, err
}
