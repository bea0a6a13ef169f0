package inflight

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"rampspread/internal/hostos"
)

// marker is the content of a name's file. The tags are the names in the file, which processes of other versions read:
// they never change.
type marker struct {
	AcquiredAt hostos.Stamp `json:"Taken"`
	MayHaveRun bool         `json:"Ran"` // it has ended, and may have run
}

// legacyEnded is the whole content of an ended idempotency key's file in earlier versions, where the file's
// modification time was the time of acquisition.
const legacyEnded = "ran"

// markerState is what is known of a name that another process has published.
type markerState struct {
	age        time.Duration // since it was acquired
	mayHaveRun bool
}

// writeMarker publishes that a name was acquired at a time, and whether it has ended since and may have run.
func (t *Table) writeMarker(path string, acquiredAt time.Time, mayHaveRun bool) error {
	m := marker{AcquiredAt: hostos.Now(t.machine), MayHaveRun: mayHaveRun}
	age := int64(time.Since(acquiredAt))
	m.AcquiredAt.Wall -= age
	m.AcquiredAt.Boot -= age
	content, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode marker: %w", err)
	}
	if err := t.machine.Before(hostos.Write); err != nil {
		return err
	}
	if err := os.WriteFile(path, content, fileMode); err != nil {
		return err
	}
	return os.Chtimes(path, acquiredAt, acquiredAt) // for a process of an earlier version
}

// readMarker reads a name's file. Its age counts by the machine's boot clock: the wall clock may have been stepped, and
// would make a key that has just run an old one. What cannot be read as of this version, as after a write that was cut
// off, is aged by the file's modification time.
func (t *Table) readMarker(path string) (markerState, error) {
	info, err := os.Stat(path)
	if err != nil {
		return markerState{}, err
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return markerState{}, err
	}
	var m marker
	if json.Unmarshal(content, &m) == nil && m.AcquiredAt.Wall != 0 {
		return markerState{age: m.AcquiredAt.Age(hostos.Now(t.machine)), mayHaveRun: m.MayHaveRun}, nil
	}
	return markerState{age: t.machine.Wall().Sub(info.ModTime()), mayHaveRun: string(content) == legacyEnded}, nil
}
