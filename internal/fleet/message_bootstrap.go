package fleet

import (
	"slices"
	"time"

	"rampspread/internal/protofield"
)

// maxLearnedStateBytes is the maximum size of the learned state that one member sends to another.
const maxLearnedStateBytes = 1 << 20

// encodeBootstrapRequest returns a request for a donor's learned state.
func encodeBootstrapRequest(from string, incarnation uint64) []byte {
	return encodeHeader(kindBootstrapRequest, 0, from, incarnation)
}

// encodeLearnedState returns the response to a bootstrap request. An empty state declines the request.
func encodeLearnedState(from string, state []byte) []byte {
	b := encodeHeader(kindLearnedState, 0, from, 0)
	if len(state) == 0 {
		return b
	}
	return protofield.AppendBytes(b, fieldLearnedState, state)
}

func decodeLearnedState(m *peerMessage, f protofield.Field, _ time.Duration) error {
	if len(f.Bytes) > maxLearnedStateBytes {
		return errFormat
	}
	m.learnedState = slices.Clone(f.Bytes)
	return nil
}
