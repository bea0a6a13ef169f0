package state

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// entryWriter changes the entries of a state in one transaction, and tracks the change of the checksum of all entries.
// This checksum is the exclusive or of the checksums of the entries, so it does not depend on their order, and it can
// be updated without reading the other entries when one is added or removed.
type entryWriter struct {
	tx            *bbolt.Tx
	checksumDelta uint64 // combined with the stored checksum by exclusive or
}

// update runs change in one transaction, which is synced to disk when update returns.
func (s *Store) update(change func(w *entryWriter) error) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		w := &entryWriter{tx: tx}
		if err := change(w); err != nil {
			return err
		}
		meta := tx.Bucket(bucketMeta)
		return meta.Put(keyChecksum, encodeNumber(decodeNumber(meta.Get(keyChecksum))^w.checksumDelta))
	})
}

func (w *entryWriter) put(bucket, key, value []byte) error {
	b := w.tx.Bucket(bucket)
	if old := b.Get(key); old != nil {
		w.checksumDelta ^= entryChecksum(bucket, key, old)
	}
	w.checksumDelta ^= entryChecksum(bucket, key, value)
	return b.Put(key, value)
}

// delete removes an entry if it exists.
func (w *entryWriter) delete(bucket, key []byte) error {
	b := w.tx.Bucket(bucket)
	old := b.Get(key)
	if old == nil {
		return nil
	}
	w.checksumDelta ^= entryChecksum(bucket, key, old)
	return b.Delete(key)
}

// checksumAll returns the checksum of all entries except the entry that stores it.
func checksumAll(tx *bbolt.Tx) (checksum uint64, err error) {
	for _, name := range buckets {
		if err := tx.Bucket(name).ForEach(func(key, value []byte) error {
			if !bytes.Equal(name, bucketMeta) || !bytes.Equal(key, keyChecksum) {
				checksum ^= entryChecksum(name, key, value)
			}
			return nil
		}); err != nil {
			return 0, fmt.Errorf("state: %w", err)
		}
	}
	return checksum, nil
}

// entryChecksum returns the xxhash of an entry. Each part is preceded by its length, so that bytes that move from one
// part to the next change the hash.
func entryChecksum(bucket, key, value []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{bucket, key, value} {
		digest.Write(encodeNumber(uint64(len(part))))
		digest.Write(part)
	}
	return digest.Sum64()
}
