package inflight

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"rampspread/internal/system"
)

// shown is what a name's file says. The tags are the names in the file, which a process of another version reads: they never change.
type shown struct {
	Taken system.Stamp `json:"Taken"` // when the name was taken
	Ran   bool         `json:"Ran"`   // it has ended, and may have run
}

// plainRan is all that the file of an ended filing said in earlier versions, which told its time by the file's own.
const plainRan = "ran"

// show writes down that a name was taken at a time, and whether it has ended since.
func (t *Table) show(path string, at time.Time, ran bool) error {
	s := shown{Taken: system.Now(t.machine), Ran: ran}
	ago := int64(time.Since(at))
	s.Taken.Wall -= ago
	s.Taken.Boot -= ago
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("show: %w", err)
	}
	if err := t.machine.Before(system.Write); err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return os.Chtimes(path, at, at) // for a process of an earlier version
}

// file is what is known of a name that another process shows.
type file struct {
	age time.Duration // since it was taken
	ran bool
}

// read reads a name's file. Its age counts by the machine's own clock: the wall clock may have been stepped, and would make a filing that
// has just run an old one. What cannot be read as of this version, as where a write was cut off, is aged by the file's time.
func (t *Table) read(path string) (f file, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return f, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	var s shown
	if json.Unmarshal(text, &s) == nil && s.Taken.Wall != 0 {
		return file{age: s.Taken.Age(system.Now(t.machine)), ran: s.Ran}, nil
	}
	return file{age: t.machine.Wall().Sub(info.ModTime()), ran: string(text) == plainRan}, nil
}
