// Package newest keeps on the disk the newest list of servers that a process has acted on, for its next life: one that starts
// while discovery is silent would else act on the list of its configuration, and send to servers that it knew to be leaving.
package newest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/state/whole"
)

const (
	fileName = "newest.list"
	magic    = "rampspread newest list 1\n"
	most     = 4 << 20 // bytes; a list is at most 1 MiB as discovery tells it
	// MaxAge is how old a list may be: it stands in for a discovery that is silent at the start, not for one that is gone.
	MaxAge = time.Hour
)

// ErrVoid says that a stored list is of no use here: spoilt, too old, from the future, another process's, or of another discovery.
var ErrVoid = errors.New("newest: void")

// Owner says whose list it is, and from where: versions of two discoveries cannot be compared.
type Owner struct {
	Fleet, Name, Discovery string
}

// Clock is a time by both clocks of a machine: the wall clock may be set back, and the other begins anew with each boot.
type Clock struct {
	Wall   int64  // ns since 1970
	Boot   int64  // ns since the machine started, asleep or not
	BootID string // of this start
}

// Now reads both clocks.
func Now() Clock {
	c := Clock{Wall: time.Now().UnixNano()}
	var ts unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
		c.Boot, c.BootID = ts.Nano(), strings.TrimSpace(string(id))
	}
	return c
}

// age is how long before now a time was: by the machine's own clock within one of its starts, whatever was done to the wall clock,
// and by the wall clock else.
func (c Clock) age(now Clock) time.Duration {
	if c.BootID != "" && c.BootID == now.BootID {
		return time.Duration(now.Boot - c.Boot)
	}
	return time.Duration(now.Wall - c.Wall)
}

// List is what is stored.
type List struct {
	Owner   Owner
	At      Clock
	Version uint64
	Entries json.RawMessage // in discovery's form
}

// Save replaces the list in a folder; it is on the disk when Save returns.
func Save(dir string, l List) error {
	body, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("newest: %w", err)
	}
	if len(body) > most-len(magic)-8 {
		return fmt.Errorf("newest: %d bytes, at most %d", len(body), most)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("newest: %w", err)
	}
	if err := whole.Replace(filepath.Join(dir, fileName), whole.Seal(magic, body), true); err != nil {
		return fmt.Errorf("newest: %w", err)
	}
	return nil
}

// Find reads the list in a folder; fs.ErrNotExist: there is none. ErrVoid: it is of no use to this owner now.
func Find(dir string, who Owner, now Clock) (List, error) {
	text, err := whole.Read(filepath.Join(dir, fileName), most)
	if err != nil && !errors.Is(err, whole.ErrSpoilt) {
		return List{}, fmt.Errorf("newest: %w", err)
	}
	if err == nil {
		text, err = whole.Open(magic, text)
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
	case l.At.age(now) < 0:
		return List{}, fmt.Errorf("%w: it is from the future", ErrVoid)
	case l.At.age(now) > MaxAge:
		return List{}, fmt.Errorf("%w: it is %v old", ErrVoid, l.At.age(now).Round(time.Second))
	}
	return l, nil
}
