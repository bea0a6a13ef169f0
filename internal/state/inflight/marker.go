package inflight

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"rampspread/internal/hostos"
)

// marker is the content of a marker file. Processes of other versions read the file, so the JSON names must not change.
type marker struct {
	AcquiredAt hostos.Stamp `json:"Taken"`
	MayHaveRun bool         `json:"Ran"` // the request has ended and may have run
}

// legacyEnded is the entire content of a marker file that an earlier version wrote for an idempotency key whose request
// has ended. The modification time of such a file is the time of acquisition.
const legacyEnded = "ran"

// markerState is what another process's marker file says about the name that it was written for.
type markerState struct {
	age        time.Duration // time since the name was acquired
	mayHaveRun bool          // the request has ended and may have run
}

// writeMarker writes a marker file with the time of acquisition, and whether the request has ended since and may have
// run.
func (t *Table) writeMarker(path string, acquiredAt time.Time, mayHaveRun bool) error {
	m := marker{AcquiredAt: hostos.Now(t.machine), MayHaveRun: mayHaveRun}
	age := int64(time.Since(acquiredAt))
	m.AcquiredAt.Wall -= age
	m.AcquiredAt.Boot -= age
	content, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode marker: %w", err)
	}
	if err := t.machine.BeforeCall(hostos.Write); err != nil {
		return err
	}
	if err := os.WriteFile(path, content, fileMode); err != nil {
		return err
	}
	return os.Chtimes(path, acquiredAt, acquiredAt) // for processes of an earlier version
}

// readMarker reads a marker file. Within one boot the age is measured by the boot clock, since a step of the wall clock
// could make a key that has just run look old. If the content cannot be decoded, because an earlier version wrote the
// file or a write was interrupted, the age is the time since the modification of the file.
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
