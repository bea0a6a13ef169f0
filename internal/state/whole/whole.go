// Package whole keeps files that are there whole or not at all: each begins with the words that say what it is, and ends with a
// checksum over all before it.
package whole

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// ErrSpoilt says that a file is cut, flipped or of another kind.
var ErrSpoilt = errors.New("no whole file of this kind")

// Seal puts a body behind what says what it is, and a checksum behind both.
func Seal(magic string, body []byte) []byte {
	text := append([]byte(magic), body...)
	return binary.BigEndian.AppendUint64(text, xxhash.Sum64(text))
}

// Open returns the body of what Seal made; any other text is ErrSpoilt.
func Open(magic string, text []byte) ([]byte, error) {
	if len(text) < len(magic)+8 || !bytes.HasPrefix(text, []byte(magic)) {
		return nil, ErrSpoilt
	}
	body, sum := text[:len(text)-8], binary.BigEndian.Uint64(text[len(text)-8:])
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: its checksum is off", ErrSpoilt)
	}
	return body[len(magic):], nil
}

// Replace writes a file aside and renames it over the one that was. With sync what it says is on the disk, under its name,
// when it returns; without, a machine that fails may lose it.
func Replace(path string, text []byte, sync bool) error {
	dir := filepath.Dir(path)
	aside, err := os.CreateTemp(dir, ".aside-*")
	if err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	_, err = aside.Write(text)
	if err == nil && sync {
		err = aside.Sync() // before the name: a name that outlives its bytes would be a spoilt file
	}
	if err = errors.Join(err, aside.Close()); err == nil {
		err = os.Rename(aside.Name(), path)
	}
	if err != nil {
		os.Remove(aside.Name())
		return fmt.Errorf("replace: %w", err)
	}
	if !sync {
		return nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	return nil
}

// Read reads a file of so many bytes at the most.
func Read(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if int64(len(text)) > most {
		return nil, fmt.Errorf("%w: over %d bytes", ErrSpoilt, most)
	}
	return text, nil
}
