package fleet

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/protofield"
)

// peerMessage is the decoded form of a datagram or a TCP message between members, of any kind except heartbeats and
// idempotency messages. Each kind uses some of the fields and leaves the others zero. Messages are encoded as protobuf,
// so that a later version of the program may add fields; unknown fields are ignored.
type peerMessage struct {
	seq         uint64 // sequence number of the sender's request; in an endpoint digest, the version of the list
	from        string // name of the sender
	incarnation uint64 // incarnation of the sender; in a reply, the incarnation that sent the request

	// Leases and the results of leased tasks.
	claims, releases []lease.Claim
	grants           []lease.Grant
	results          []taskResult

	// Quota.
	demand   float64 // requests per second
	leaving  bool
	inForce  []uint64 // pairs of a voter's index in the configuration and the sequence number of its grant
	fraction float64  // granted fraction of the whole budget

	// Bootstrap. The state is empty if the sender declines the request.
	learnedState []byte

	// Endpoint digests: hashes of the replicas' names.
	ready, draining []uint64
}

// Kinds of messages between members, in the first byte of a message. A message of an unknown kind is ignored.
const (
	kindHeartbeat        = 1
	kindLeaseRequest     = 2
	kindLeaseReply       = 3
	kindTaskResults      = 4
	kindQuotaClaim       = 5
	kindQuotaGrant       = 6
	kindIdempotency      = 7 // encoded and decoded by package idempotencyquorum
	kindBootstrapRequest = 8
	kindLearnedState     = 9 // without state, the sender declines the request
	kindEndpointDigest   = 10
)

// Field numbers of all kinds except heartbeats and idempotency messages. A number has the same meaning in all kinds.
const (
	fieldSeq          = 1
	fieldFrom         = 2 // in a reply, the name of the voter
	fieldIncarnation  = 3
	fieldClaims       = 4 // packed pairs: task, token<<1 with the lowest bit set for a renewal
	fieldReleases     = 5 // packed pairs as in fieldClaims
	fieldGrants       = 6 // packed groups: task, claimed token, token, granted (1 or 0), remaining µs
	fieldResult       = 7 // repeated: task, token, age in µs, data
	fieldDemand       = 8 // thousandths of a request per second
	fieldInForce      = 9 // packed pairs: index of the voter in the configuration, sequence number of its grant
	fieldLeaving      = 10
	fieldFraction     = 11 // fraction of the whole budget, in units of fractionUnit
	fieldLearnedState = 12
	fieldReady        = 13 // hashes of names, 8 bytes each
	fieldDraining     = 14 // hashes of names, 8 bytes each

	fieldCount = fieldDraining + 1
)

// errFormat reports that a message cannot be decoded.
var errFormat = errors.New("fleet: message has an invalid format")

// fieldDecoder decodes one field of a peerMessage. A field with a wire type other than wireType is ignored.
type fieldDecoder struct {
	wireType protowire.Type
	decode   func(m *peerMessage, f protofield.Field, now time.Duration) error
}

// fieldDecoders holds the decoders by field number. A field without a decoder is ignored.
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

// decodeMessage decodes a message without its kind byte. now is the time of its receipt by the node's clock.
func decodeMessage(b []byte, now time.Duration) (m peerMessage, err error) {
	for len(b) > 0 {
		f, rest, err := protofield.Next(b)
		if err != nil {
			return m, fmt.Errorf("fleet: decode message: %w", err)
		}
		b = rest
		if f.Number >= fieldCount {
			continue
		}
		decoder := fieldDecoders[f.Number]
		if decoder.decode == nil || decoder.wireType != f.WireType {
			continue
		}
		if err := decoder.decode(&m, f, now); err != nil {
			return m, err
		}
	}
	return m, nil
}

// encodeHeader returns the start of a message: its kind byte, sequence number, sender and incarnation.
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

// appendPackedVarints appends a packed repeated field, or nothing if there are no values.
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

// unpackVarints decodes a packed repeated field whose values form groups of a fixed size. An incomplete group is an
// error.
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

// boolToUint64 returns 1 for true and 0 for false.
func boolToUint64(v bool) uint64 { //revive:disable-line:flag-parameter it is converted, it selects no behaviour
	if v {
		return 1
	}
	return 0
}
