package statetransfer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"

	"rampspread/internal/state/atomicfile"
	"rampspread/routing"
)

// magic is the magic string at the start of an encoded snapshot. Other versions read it, so it must not change.
const magic = "rampspread beliefs 1\n"

// Encode encodes a snapshot with its owner, in the sealed form of package atomicfile.
func (e Exchange) Encode(snapshot routing.Snapshot) ([]byte, error) {
	var body bytes.Buffer
	encoder := gob.NewEncoder(&body)
	err := errors.Join(
		encoder.Encode(header{Name: e.Name, Settings: e.Settings}),
		encoder.Encode(newSnapshotRecord(snapshot)))
	if err != nil {
		return nil, fmt.Errorf("statetransfer: encode: %w", err)
	}
	return atomicfile.Seal(magic, body.Bytes()), nil
}

// Decode decodes a snapshot that Encode encoded. It returns ErrUnusable if the snapshot must not be used.
func (e Exchange) Decode(encoded []byte) (routing.Snapshot, error) {
	if len(encoded) > MaxBytes {
		return routing.Snapshot{}, fmt.Errorf("%w: over %d bytes", ErrUnusable, MaxBytes)
	}
	body, err := atomicfile.Open(magic, encoded)
	if err != nil {
		return routing.Snapshot{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	decoder := gob.NewDecoder(bytes.NewReader(body))
	var owner header
	if err := decoder.Decode(&owner); err != nil {
		return routing.Snapshot{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	if owner.Name != e.Name || owner.Settings != e.Settings {
		return routing.Snapshot{}, fmt.Errorf("%w: it belongs to %q or was taken with other settings", ErrUnusable, owner.Name)
	}
	var record snapshotRecord
	if err := decoder.Decode(&record); err != nil {
		return routing.Snapshot{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	return record.snapshot(), nil
}
