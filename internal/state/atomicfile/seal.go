package atomicfile

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// SealBytes is the size in bytes of the checksum that Seal appends.
const SealBytes = 8

// Seal returns the concatenation of the magic string, the body and the big-endian xxhash of both.
func Seal(magic string, body []byte) []byte {
	sealed := append([]byte(magic), body...)
	return binary.BigEndian.AppendUint64(sealed, xxhash.Sum64(sealed))
}

// Open returns the body that was sealed with the given magic string. If sealed is anything else, it returns ErrCorrupt.
// The body shares the memory of sealed.
func Open(magic string, sealed []byte) ([]byte, error) {
	if len(sealed) < len(magic)+SealBytes || !bytes.HasPrefix(sealed, []byte(magic)) {
		return nil, ErrCorrupt
	}
	checksumAt := len(sealed) - SealBytes
	content, checksum := sealed[:checksumAt], binary.BigEndian.Uint64(sealed[checksumAt:])
	if xxhash.Sum64(content) != checksum {
		return nil, fmt.Errorf("%w: wrong checksum", ErrCorrupt)
	}
	return content[len(magic):], nil
}
