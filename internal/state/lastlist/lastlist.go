// Package lastlist keeps on the disk the newest list of servers that a process has acted on, for its next life: one that starts
// while discovery is silent would else act on the list of its configuration, and send to servers that it knew to be leaving.
package lastlist

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

// ErrVoid says that a stored list is of no use here: spoilt, too old, from the future, another process's, or of another discovery.
var ErrVoid = errors.New("lastlist: void")

// Owner says whose list it is, and from where: versions of two discoveries cannot be compared.
type Owner struct {
	Fleet     string `json:"Fleet"`
	Name      string `json:"Name"`
	Discovery string `json:"Discovery"`
}

// List is what is stored. The tags are the names in the file, which other versions of the program read: they never change.
type List struct {
	Owner   Owner           `json:"Owner"`
	At      system.Stamp    `json:"At"`
	Version uint64          `json:"Version"`
	Entries json.RawMessage `json:"Entries"` // in discovery's form
}

// Save replaces the list in a folder; it is on the disk when Save returns.
func Save(machine system.System, dir string, l List) error {
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

// Find reads the list in a folder; fs.ErrNotExist: there is none. ErrVoid: it is of no use to this owner now.
func Find(dir string, who Owner, now system.Stamp) (List, error) {
	text, err := atomicfile.Read(filepath.Join(dir, fileName), most)
	if err != nil && !errors.Is(err, atomicfile.ErrSpoilt) {
		return List{}, fmt.Errorf("lastlist: %w", err)
	}
	if err == nil {
		text, err = atomicfile.Open(magic, text)
	}
	var l List
	if err == nil {
		err = json.Unmarshal(text, &l)
	}
	switch {
	case err != nil:
		return List{}, fmt.Errorf("%w: %w", ErrVoid, err)
	case l.Owner != who:
		return List{}, fmt.Errorf("%w: it is that of %q of %q at %s", ErrVoid, l.Owner.Name, l.Owner.Fleet, l.Owner.Discovery)
	case l.At.Age(now) < 0:
		return List{}, fmt.Errorf("%w: it is from the future", ErrVoid)
	case l.At.Age(now) > MaxAge:
		return List{}, fmt.Errorf("%w: it is %v old", ErrVoid, l.At.Age(now).Round(time.Second))
	}
	return l, nil
}
