package fleet

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/protofield"
)

// peerMessage is what a datagram or a TCP message between members says, whatever its kind: a kind uses some of the
// fields and leaves the others zero. Messages are protobuf, so that a later program may add fields; unknown ones are
// ignored.
type peerMessage struct {
	seq         uint64 // of the sender's request; of an endpoint digest, the list's version
	from        string // the sender's name
	incarnation uint64 // the sender's; in a reply, the one that the reply is for

	// Leases and the results of leased tasks.
	claims, releases []lease.Claim
	grants           []lease.Grant
	results          []taskResult

	// Quota.
	demand   float64 // requests a second
	leaving  bool
	inForce  []uint64 // pairs: index of a voter in the configuration, sequence number of its grant
	fraction float64  // of the whole budget

	// Bootstrap; empty: the sender has nothing to give.
	learnedState []byte

	// Endpoint digests: hashes of replicas' names.
	ready, draining []uint64
}

// The kinds of message between members, by their first byte. A message of an unknown kind is ignored.
const (
	kindHeartbeat        = 1
	kindLeaseRequest     = 2
	kindLeaseReply       = 3
	kindTaskResults      = 4
	kindQuotaClaim       = 5
	kindQuotaGrant       = 6
	kindIdempotency      = 7 // package idempotencyquorum encodes and decodes it
	kindBootstrapRequest = 8
	kindLearnedState     = 9 // empty: the sender has nothing to give
	kindEndpointDigest   = 10
)

// The field numbers of all kinds but heartbeats and idempotency messages. A number has one meaning in all of them.
const (
	fieldSeq          = 1
	fieldFrom         = 2 // in a reply, the voter's name
	fieldIncarnation  = 3
	fieldClaims       = 4 // packed: task, twice the token plus one for a renewal, …
	fieldReleases     = 5 // packed as claims are
	fieldGrants       = 6 // packed: task, claimed token, token, granted (1 or 0), remaining µs, …
	fieldResult       = 7 // task, token, age in µs, data; repeated
	fieldDemand       = 8 // thousandths of a request a second
	fieldInForce      = 9 // packed: index of the voter in the configuration, sequence number, …
	fieldLeaving      = 10
	fieldFraction     = 11 // of the whole, in units of fractionUnit
	fieldLearnedState = 12
	fieldReady        = 13 // hashes of names, 8 bytes each
	fieldDraining     = 14

	fieldCount = fieldDraining + 1
)

// errFormat says that a message cannot be decoded.
var errFormat = errors.New("fleet: message of an unknown format")

// fieldDecoder decodes one field of a peerMessage. A field of another wire type than kind is ignored.
type fieldDecoder struct {
	kind   protowire.Type
	decode func(m *peerMessage, f protofield.Field, now time.Duration) error
}

// fieldDecoders are the decoders by field number; a field without one is ignored.
var fieldDecoders = [fieldCount]fieldDecoder{
	fieldSeq:          {protowire.VarintType, decodeSeq},
	fieldFrom:         {protowire.BytesType, decodeFrom},
	fieldIncarnation:  {protowire.VarintType, decodeIncarnation},
	fieldClaims:       {protowire.BytesType, decodeLeaseClaims},
	fieldReleases:     {protowire.BytesType, decodeLeaseReleases},
	fieldGrants:       {protowire.BytesType, decodeLeaseGrants},
	fieldResult:       {protowire.BytesType, decodeTaskResult},
	fieldDemand:       {protowire.VarintType, decodeDemand},
	fieldInForce:      {protowire.BytesType, decodeInForce},
	fieldLeaving:      {protowire.VarintType, decodeLeaving},
	fieldFraction:     {protowire.VarintType, decodeFraction},
	fieldLearnedState: {protowire.BytesType, decodeLearnedState},
	fieldReady:        {protowire.BytesType, decodeReady},
	fieldDraining:     {protowire.BytesType, decodeDraining},
}

// decodeMessage decodes a message without its kind byte. now is when it was received, by the node's clock.
func decodeMessage(b []byte, now time.Duration) (m peerMessage, err error) {
	for len(b) > 0 {
		f, rest, err := protofield.Next(b)
		if err != nil {
			return m, fmt.Errorf("fleet: message: %w", err)
		}
		b = rest
		if f.Number >= fieldCount {
			continue
		}
		decoder := fieldDecoders[f.Number]
		if decoder.decode == nil || decoder.kind != f.WireType {
			continue
		}
		if err := decoder.decode(&m, f, now); err != nil {
			return m, err
		}
	}
	return m, nil
}

// encodeHeader starts a message: its kind byte and the fields that all kinds share.
func encodeHeader(kind byte, seq uint64, from string, incarnation uint64) []byte {
	b := protofield.AppendVarint([]byte{kind}, fieldSeq, seq)
	b = appendString(b, fieldFrom, from)
	return protofield.AppendVarint(b, fieldIncarnation, incarnation)
}

func decodeSeq(m *peerMessage, f protofield.Field, _ time.Duration) error {
	m.seq = f.Value
	return nil
}

func decodeFrom(m *peerMessage, f protofield.Field, _ time.Duration) error {
	if len(f.Bytes) > maxStringBytes {
		return errFormat
	}
	m.from = string(f.Bytes)
	return nil
}

func decodeIncarnation(m *peerMessage, f protofield.Field, _ time.Duration) error {
	m.incarnation = f.Value
	return nil
}

func appendString(b []byte, field protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

// appendPackedVarints appends a packed repeated field; nothing if there are no values.
func appendPackedVarints(b []byte, field protowire.Number, values []uint64) []byte {
	if len(values) == 0 {
		return b
	}
	var packed []byte
	for _, v := range values {
		packed = protowire.AppendVarint(packed, v)
	}
	return protofield.AppendBytes(b, field, packed)
}

// unpackVarints decodes a packed repeated field whose values come in groups of a fixed size.
func unpackVarints(b []byte, groupSize int) ([]uint64, error) {
	var values []uint64
	for len(b) > 0 {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, errFormat
		}
		values, b = append(values, v), b[n:]
	}
	if len(values)%groupSize != 0 {
		return nil, errFormat
	}
	return values, nil
}

// boolValue is a bool as a varint.
func boolValue(v bool) uint64 { //revive:disable-line:flag-parameter it is converted, it selects no behaviour
	if v {
		return 1
	}
	return 0
}
