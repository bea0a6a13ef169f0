package state

import (
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Identity names the owner of a state: one member of one fleet. A state is opened only for its owner, except that the
// zero Identity accepts any owner; see OpenReadOnly.
type Identity struct {
	Fleet, Name string
}

// loadOrInitialize loads an existing state, or initializes the file if it is empty or of an earlier format.
func (s *Store) loadOrInitialize(owner Identity, historyIfCreated history) error {
	current := false
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		current, err = s.load(tx, owner)
		return err
	})
	if err != nil || current {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return s.initialize(tx, owner, historyIfCreated) })
}

// load checks the format, the owner and the checksum of all entries, and reads the lifetime, the number of records and
// whether the state is incomplete. It returns false if the file has yet to be initialized: it is empty, or it has
// format 1, which has no checksum of all entries.
func (s *Store) load(tx *bbolt.Tx, owner Identity) (current bool, err error) {
	meta, records, writeTimes := tx.Bucket(bucketMeta), tx.Bucket(bucketRecords), tx.Bucket(bucketWriteTimes)
	if meta == nil && records == nil && writeTimes == nil {
		return false, nil
	}
	if meta == nil || records == nil || writeTimes == nil || meta.Get(keyFormat) == nil {
		return false, fmt.Errorf("%w: a part of it is not there", ErrCorrupt)
	}
	storedFormat := meta.Get(keyFormat)
	storedChecksum := meta.Get(keyChecksum)
	checksum, err := checksumAll(tx)
	if err != nil {
		return false, err
	}
	version := decodeNumber(storedFormat)
	// The format is checked before the checksum, which a later format may define differently.
	switch {
	case len(storedFormat) != numberBytes || version > formatVersion:
		return false, fmt.Errorf("%w: its format is a later program's", ErrNotOwner)
	case version == formatVersion && (len(storedChecksum) != numberBytes || decodeNumber(storedChecksum) != checksum):
		return false, fmt.Errorf("%w: its checksum is off", ErrCorrupt)
	case owner == Identity{}: // accepts any owner
	case string(meta.Get(keyFleet)) != owner.Fleet || string(meta.Get(keyName)) != owner.Name:
		return false, fmt.Errorf("%w: it is %q of %q, not %q of %q",
			ErrNotOwner, meta.Get(keyName), meta.Get(keyFleet), owner.Name, owner.Fleet)
	}
	s.keyCount = records.Stats().KeyN
	s.previousLifetime = time.Duration(decodeNumber(meta.Get(keyLifetime)))
	s.incomplete = meta.Get(keyIncomplete) != nil
	return version == formatVersion, nil
}

// initialize creates a new state, or adds the checksum of all entries to a state of format 1.
func (s *Store) initialize(tx *bbolt.Tx, owner Identity, historyIfCreated history) error {
	for _, name := range buckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	type entry struct{ key, value []byte }
	meta := tx.Bucket(bucketMeta)
	entries := []entry{{keyFormat, encodeNumber(formatVersion)}}
	if meta.Get(keyFormat) == nil {
		entries = append(entries,
			entry{keyFleet, []byte(owner.Fleet)},
			entry{keyName, []byte(owner.Name)},
			entry{keyLifetime, encodeNumber(0)})
		if s.incomplete = historyIfCreated == historyLost; s.incomplete {
			entries = append(entries, entry{keyIncomplete, encodeNumber(0)})
		}
	}
	for _, e := range entries {
		if err := meta.Put(e.key, e.value); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	checksum, err := checksumAll(tx)
	if err != nil {
		return err
	}
	if err := meta.Put(keyChecksum, encodeNumber(checksum)); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}
