package atomicfile

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// SealBytes is by how many bytes a sealed body is longer than its magic string and itself: the size of the checksum.
const SealBytes = 8

// Seal returns the magic string, the body and, big-endian, the xxhash of both.
func Seal(magic string, body []byte) []byte {
	sealed := append([]byte(magic), body...)
	return binary.BigEndian.AppendUint64(sealed, xxhash.Sum64(sealed))
}

// Open returns the body of what Seal returned for the same magic string; anything else is ErrCorrupt. The body is a
// part of sealed, not a copy.
func Open(magic string, sealed []byte) ([]byte, error) {
	if len(sealed) < len(magic)+SealBytes || !bytes.HasPrefix(sealed, []byte(magic)) {
		return nil, ErrCorrupt
	}
	checksumAt := len(sealed) - SealBytes
	content, checksum := sealed[:checksumAt], binary.BigEndian.Uint64(sealed[checksumAt:])
	if xxhash.Sum64(content) != checksum {
		return nil, fmt.Errorf("%w: its checksum is off", ErrCorrupt)
	}
	return content[len(magic):], nil
}
