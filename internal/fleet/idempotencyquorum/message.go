package idempotencyquorum

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/protofield"
)

// The kinds of message.
const (
	kindAsk      = 1
	kindWord     = 2
	kindSettle   = 3
	kindWithdraw = 4
)

// Fields of a message. Those that are not known are passed over.
const (
	fieldKind        = 1
	fieldName        = 2 // of who claims
	fieldIncarnation = 3
	fieldSeq         = 4
	fieldKey         = 5
	fieldDigest      = 6
	fieldEnds        = 7 // µs
	fieldKeeper      = 8
	fieldVerdict     = 9
	fieldAnswer      = 10

	smallMost   = 1200 // bytes: more does not go by one packet everywhere
	maxName     = 64
	maxAnswer   = 64 << 10
	maxEnds     = time.Hour
	maxEndsInUS = uint64(maxEnds / time.Microsecond)
)

var errMessage = errors.New("claims: a message that makes no sense")

// message is what members say to each other of a claim.
type message struct {
	kind     uint64
	try      idempotency.Attempt
	key      idempotency.Key
	digest   idempotency.Digest
	ends     time.Duration
	keeper   string
	verdict  idempotency.Vote
	answer   []byte
	answered bool // there is an answer, though it may be empty
}

func (m message) encode() []byte {
	var b []byte
	num := func(field protowire.Number, v uint64) {
		b = protofield.Varint(b, field, v)
	}
	bytes := func(field protowire.Number, v []byte) {
		b = protofield.Bytes(b, field, v)
	}
	num(fieldKind, m.kind)
	bytes(fieldName, []byte(m.try.Name))
	num(fieldIncarnation, m.try.Incarnation)
	num(fieldSeq, m.try.Seq)
	bytes(fieldKey, m.key[:])
	switch m.kind {
	case kindAsk:
		bytes(fieldDigest, m.digest[:])
		num(fieldEnds, uint64(max(m.ends, 0).Microseconds()))
	case kindWord:
		bytes(fieldKeeper, []byte(m.keeper))
		num(fieldVerdict, uint64(m.verdict))
	}
	if m.answered {
		bytes(fieldAnswer, m.answer)
	}
	return b
}

func decode(b []byte) (m message, err error) {
	hasKey, hasDigest := false, false
	for len(b) > 0 {
		f, rest, err := protofield.Next(b)
		if err != nil {
			return m, fmt.Errorf("claims: message: %w", err)
		}
		b = rest
		field, kind, v, text := f.Number, f.Kind, f.Value, f.Bytes
		switch {
		case kind == protowire.BytesType && (field == fieldName || field == fieldKeeper):
			if len(text) > maxName {
				return m, errMessage
			}
			if field == fieldName {
				m.try.Name = string(text)
			} else {
				m.keeper = string(text)
			}
		case kind == protowire.BytesType && field == fieldKey && len(text) == len(m.key):
			hasKey = true
			copy(m.key[:], text)
		case kind == protowire.BytesType && field == fieldDigest && len(text) == len(m.digest):
			hasDigest = true
			copy(m.digest[:], text)
		case kind == protowire.BytesType && field == fieldAnswer:
			if len(text) > maxAnswer {
				return m, errMessage
			}
			m.answer, m.answered = append([]byte{}, text...), true
		case kind != protowire.VarintType:
		case field == fieldKind:
			m.kind = v
		case field == fieldIncarnation:
			m.try.Incarnation = v
		case field == fieldSeq:
			m.try.Seq = v
		case field == fieldEnds:
			m.ends = time.Duration(min(v, maxEndsInUS)) * time.Microsecond
		case field == fieldVerdict && v <= uint64(idempotency.VoteStoreFull):
			m.verdict = idempotency.Vote(v)
		}
	}
	switch {
	case m.kind < kindAsk || m.kind > kindWithdraw, m.try.Name == "", !hasKey, m.kind == kindAsk && !hasDigest,
		m.kind == kindWord && (m.keeper == "" || m.verdict == 0):
		return m, errMessage
	}
	return m, nil
}
