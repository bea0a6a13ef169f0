// Package endpointcache keeps on the disk the newest list of servers that a process has acted on, for its next life: one that starts
// while discovery is silent would else act on the list of its configuration, and send to servers that it knew to be leaving.
package endpointcache

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rampspread/internal/state/atomicfile"
	"rampspread/internal/system"
)

const (
	fileName = "newest.list"
	magic    = "rampspread newest list 1\n"
	most     = 4 << 20 // bytes; a list is at most 3 MiB as discovery tells it
	// MaxAge is how old a list may be: it stands in for a discovery that is silent at the start, not for one that is gone.
	MaxAge = time.Hour
)

// ErrUnusable says that a stored list is of no use here: spoilt, too old, from the future, another process's, or of another discovery.
var ErrUnusable = errors.New("lastlist: void")

// Owner says whose list it is, and from where: versions of two discoveries cannot be compared.
type Owner struct {
	Fleet     string `json:"Fleet"`
	Name      string `json:"Name"`
	Discovery string `json:"Discovery"`
}

// Cached is what is stored. The tags are the names in the file, which other versions of the program read: they never change.
type Cached struct {
	Owner   Owner           `json:"Owner"`
	SavedAt system.Stamp    `json:"At"`
	Version uint64          `json:"Version"`
	Entries json.RawMessage `json:"Entries"` // in discovery's form
}

// Save replaces the list in a folder; it is on the disk when Save returns.
func Save(machine system.System, dir string, l Cached) error {
	body, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("lastlist: %w", err)
	}
	if len(body) > most-len(magic)-8 {
		return fmt.Errorf("lastlist: %d bytes, at most %d", len(body), most)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("lastlist: %w", err)
	}
	if err := atomicfile.Replace(machine, filepath.Join(dir, fileName), atomicfile.Seal(magic, body), true); err != nil {
		return fmt.Errorf("lastlist: %w", err)
	}
	return nil
}

// Load reads the list in a folder; fs.ErrNotExist: there is none. ErrVoid: it is of no use to this owner now.
func Load(dir string, who Owner, now system.Stamp) (Cached, error) {
	text, err := atomicfile.Read(filepath.Join(dir, fileName), most)
	if err != nil && !errors.Is(err, atomicfile.ErrCorrupt) {
		return Cached{}, fmt.Errorf("lastlist: %w", err)
	}
	if err == nil {
		text, err = atomicfile.Open(magic, text)
	}
	var l Cached
	if err == nil {
		err = json.Unmarshal(text, &l)
	}
	switch {
	case err != nil:
		return Cached{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	case l.Owner != who:
		return Cached{}, fmt.Errorf("%w: it is that of %q of %q at %s", ErrUnusable, l.Owner.Name, l.Owner.Fleet, l.Owner.Discovery)
	case l.SavedAt.Age(now) < 0:
		return Cached{}, fmt.Errorf("%w: it is from the future", ErrUnusable)
	case l.SavedAt.Age(now) > MaxAge:
		return Cached{}, fmt.Errorf("%w: it is %v old", ErrUnusable, l.SavedAt.Age(now).Round(time.Second))
	}
	return l, nil
}
