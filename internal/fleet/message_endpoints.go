package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/tombstone"
	"rampspread/internal/protofield"
)

const hashBytes = 8

// encodeEndpointDigest returns a message with the digest of a member's endpoint list.
func encodeEndpointDigest(from string, digest tombstone.Digest) []byte {
	b := encodeHeader(kindEndpointDigest, digest.Version, from, 0)
	b = appendHashes(b, fieldReady, digest.Ready)
	return appendHashes(b, fieldDraining, digest.Draining)
}

func appendHashes(b []byte, field protowire.Number, hashes []uint64) []byte {
	encoded := make([]byte, 0, hashBytes*len(hashes))
	for _, h := range hashes {
		encoded = binary.LittleEndian.AppendUint64(encoded, h)
	}
	return protofield.AppendBytes(b, field, encoded)
}

func decodeReady(m *peerMessage, f protofield.Field, _ time.Duration) (err error) {
	m.ready, err = decodeHashes(f.Bytes)
	return err
}

func decodeDraining(m *peerMessage, f protofield.Field, _ time.Duration) (err error) {
	m.draining, err = decodeHashes(f.Bytes)
	return err
}

func decodeHashes(b []byte) ([]uint64, error) {
	if len(b)%hashBytes != 0 || len(b) > hashBytes*tombstone.MaxReplicas {
		return nil, errFormat
	}
	hashes := make([]uint64, 0, len(b)/hashBytes)
	for h := range slices.Chunk(b, hashBytes) {
		hashes = append(hashes, binary.LittleEndian.Uint64(h))
	}
	return hashes, nil
}
