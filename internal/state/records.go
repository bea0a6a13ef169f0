package state

import (
	"bytes"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"rampspread/internal/fleet/idempotency"
)

var _ idempotency.Store = (*Store)(nil)

// Get implements idempotency.Store. For a record that cannot be decoded it returns true and ErrCorrupt.
func (s *Store) Get(key idempotency.Key) (record idempotency.Record, found bool, err error) {
	defer recoverCorruption(&err)()
	err = s.db.View(func(tx *bbolt.Tx) error {
		encoded := tx.Bucket(bucketRecords).Get(key[:])
		if encoded == nil {
			return nil
		}
		found = true
		record, err = decodeRecord(encoded)
		return err
	})
	return record, found, err
}

// Put implements idempotency.Store. The record is on disk when it returns.
func (s *Store) Put(key idempotency.Key, record idempotency.Record) (err error) {
	defer recoverCorruption(&err)()
	isNew := false
	err = s.update(func(w *entryWriter) error {
		old := w.tx.Bucket(bucketRecords).Get(key[:])
		isNew = old == nil
		if !isNew {
			if err := deleteWriteTime(w, key, old); err != nil {
				return err
			}
		}
		if err := w.put(bucketRecords, key[:], encodeRecord(record)); err != nil {
			return err
		}
		return w.put(bucketWriteTimes, keyByWriteTime(record.WrittenAt, key), nil)
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if isNew {
		s.addKeys(1)
	}
	return nil
}

// Delete implements idempotency.Store.
func (s *Store) Delete(key idempotency.Key) (err error) {
	defer recoverCorruption(&err)()
	deleted := 0
	err = s.update(func(w *entryWriter) error {
		deleted, err = deleteRecord(w, key[:])
		return err
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.addKeys(-deleted)
	return nil
}

// Expire implements idempotency.Store. It deletes the oldest records first.
func (s *Store) Expire(before time.Duration, limit int) (remaining int, err error) {
	defer recoverCorruption(&err)()
	var expired [][]byte
	if err := s.db.View(func(tx *bbolt.Tx) error {
		expired = expiredWriteTimes(tx, before, limit)
		return nil
	}); err != nil || len(expired) == 0 {
		return s.Keys(), err
	}
	deleted := 0
	err = s.update(func(w *entryWriter) error {
		deleted, err = deleteExpired(w, expired)
		return err
	})
	if err != nil {
		return s.Keys(), fmt.Errorf("state: %w", err)
	}
	s.addKeys(-deleted)
	return s.Keys(), nil
}

// Each calls visit with every key and record, in no specified order. For a record that cannot be decoded it passes the
// error.
func (s *Store) Each(visit func(idempotency.Key, idempotency.Record, error)) (err error) {
	defer recoverCorruption(&err)()
	return s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketRecords).ForEach(func(key, encoded []byte) error {
			if len(key) != len(idempotency.Key{}) {
				err := fmt.Errorf("%w: key has %d bytes", ErrCorrupt, len(key))
				visit(idempotency.Key{}, idempotency.Record{}, err)
				return nil
			}
			record, err := decodeRecord(encoded)
			visit(idempotency.Key(key), record, err)
			return nil
		})
	})
}

// expiredWriteTimes returns at most limit keys of the index by write time, for write times at or before the given time,
// oldest first.
func expiredWriteTimes(tx *bbolt.Tx, before time.Duration, limit int) (expired [][]byte) {
	if before <= 0 {
		return nil
	}
	latest := encodeNumber(uint64(before))
	cursor := tx.Bucket(bucketWriteTimes).Cursor()
	for key, _ := cursor.First(); key != nil && len(expired) < limit; key, _ = cursor.Next() {
		if len(key) != numberBytes+len(idempotency.Key{}) || bytes.Compare(key[:numberBytes], latest) > 0 {
			break
		}
		expired = append(expired, bytes.Clone(key))
	}
	return expired
}

// deleteExpired deletes the records that the given keys of the index by write time refer to, and returns the number of
// records deleted.
func deleteExpired(w *entryWriter, writeTimes [][]byte) (deleted int, err error) {
	for _, writeTime := range writeTimes {
		n, err := deleteRecord(w, writeTime[numberBytes:])
		if err != nil {
			return 0, err
		}
		deleted += n
		if n > 0 {
			continue
		}
		// The index entry refers to no record, so only the entry is deleted.
		if err := w.delete(bucketWriteTimes, writeTime); err != nil {
			return 0, err
		}
	}
	return deleted, nil
}

// deleteRecord deletes a key's record and its entry in the index by write time. It returns the number of records
// deleted, 0 or 1.
func deleteRecord(w *entryWriter, key []byte) (deleted int, err error) {
	encoded := w.tx.Bucket(bucketRecords).Get(key)
	if encoded == nil {
		return 0, nil
	}
	if err := deleteWriteTime(w, idempotency.Key(key), encoded); err != nil {
		return 0, err
	}
	return 1, w.delete(bucketRecords, key)
}

// deleteWriteTime deletes the entry of an encoded record in the index by write time. If the record cannot be decoded,
// its write time is unknown, and the entry remains until it expires.
func deleteWriteTime(w *entryWriter, key idempotency.Key, encoded []byte) error {
	record, err := decodeRecord(encoded)
	if err != nil {
		return nil
	}
	return w.delete(bucketWriteTimes, keyByWriteTime(record.WrittenAt, key))
}
