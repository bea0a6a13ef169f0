package idempotencyquorum

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/protofield"
)

// messageKind says what a message is for. The values travel between members.
type messageKind uint64

const (
	kindClaim    messageKind = 1 // asks a replica for its vote
	kindVote     messageKind = 2 // a replica's reply to a claim
	kindSettle   messageKind = 3 // tells a replica how an attempt ended
	kindWithdraw messageKind = 4 // takes a claim back
)

// Fields of a message, in the protobuf encoding. Unknown fields are skipped.
const (
	fieldKind        protowire.Number = 1
	fieldClaimant    protowire.Number = 2 // name of the member that claims
	fieldIncarnation protowire.Number = 3 // of that member
	fieldSeq         protowire.Number = 4 // of the attempt
	fieldKey         protowire.Number = 5
	fieldDigest      protowire.Number = 6
	fieldMaxDuration protowire.Number = 7 // of the attempt, in µs
	fieldReplica     protowire.Number = 8 // name of the replica that votes
	fieldVote        protowire.Number = 9
	fieldAnswer      protowire.Number = 10
)

const (
	maxDatagramBytes = 1200 // a larger message does not fit into one packet on every network
	maxNameBytes     = 64
	maxAnswerBytes   = 64 << 10
	maxDurationBound = time.Hour // a claim's longer duration counts as this one
)

var errMalformed = errors.New("idempotency: malformed message")

// message is what members send each other about a claim. Which fields are set depends on its kind.
type message struct {
	kind        messageKind
	attempt     idempotency.Attempt
	key         idempotency.Key
	digest      idempotency.Digest // of kindClaim
	maxDuration time.Duration      // of kindClaim: how long the attempt can last
	replica     string             // of kindVote
	vote        idempotency.Vote   // of kindVote
	answer      []byte             // of kindVote and kindSettle
	hasAnswer   bool               // an answer may be empty
}

func (m message) encode() []byte {
	b := protofield.AppendVarint(nil, fieldKind, uint64(m.kind))
	b = protofield.AppendBytes(b, fieldClaimant, []byte(m.attempt.Member))
	b = protofield.AppendVarint(b, fieldIncarnation, m.attempt.Incarnation)
	b = protofield.AppendVarint(b, fieldSeq, m.attempt.Seq)
	b = protofield.AppendBytes(b, fieldKey, m.key[:])
	switch m.kind {
	case kindClaim:
		b = protofield.AppendBytes(b, fieldDigest, m.digest[:])
		b = protofield.AppendVarint(b, fieldMaxDuration, uint64(max(m.maxDuration, 0).Microseconds()))
	case kindVote:
		b = protofield.AppendBytes(b, fieldReplica, []byte(m.replica))
		b = protofield.AppendVarint(b, fieldVote, uint64(m.vote))
	}
	if m.hasAnswer {
		b = protofield.AppendBytes(b, fieldAnswer, m.answer)
	}
	return b
}

// decoder collects the fields of one message.
type decoder struct {
	message
	hasKey, hasDigest bool
}

// decode reads a message. The error is errMalformed, or says which field cannot be read.
func decode(b []byte) (message, error) {
	var d decoder
	for len(b) > 0 {
		field, rest, err := protofield.Next(b)
		if err != nil {
			return message{}, fmt.Errorf("idempotency: message: %w", err)
		}
		b = rest
		switch field.WireType {
		case protowire.BytesType:
			if !d.setBytes(field.Number, field.Bytes) {
				return message{}, errMalformed
			}
		case protowire.VarintType:
			d.setNumber(field.Number, field.Value)
		}
	}
	if !d.complete() {
		return message{}, errMalformed
	}
	return d.message, nil
}

// setBytes sets a field that has a length; false means that it is too long. A key or digest of another length is skipped.
func (d *decoder) setBytes(field protowire.Number, value []byte) (ok bool) {
	switch field {
	case fieldClaimant:
		d.attempt.Member = string(value)
		return len(value) <= maxNameBytes
	case fieldReplica:
		d.replica = string(value)
		return len(value) <= maxNameBytes
	case fieldKey:
		if len(value) == len(d.key) {
			d.hasKey = true
			copy(d.key[:], value)
		}
	case fieldDigest:
		if len(value) == len(d.digest) {
			d.hasDigest = true
			copy(d.digest[:], value)
		}
	case fieldAnswer:
		if len(value) > maxAnswerBytes {
			return false
		}
		d.answer, d.hasAnswer = append([]byte{}, value...), true
	}
	return true
}

// setNumber sets a field that is a number. An unknown vote is skipped.
func (d *decoder) setNumber(field protowire.Number, value uint64) {
	switch field {
	case fieldKind:
		d.kind = messageKind(value)
	case fieldIncarnation:
		d.attempt.Incarnation = value
	case fieldSeq:
		d.attempt.Seq = value
	case fieldMaxDuration:
		d.maxDuration = time.Duration(min(value, uint64(maxDurationBound/time.Microsecond))) * time.Microsecond
	case fieldVote:
		if value <= uint64(idempotency.VoteStoreFull) {
			d.vote = idempotency.Vote(value)
		}
	}
}

// complete reports whether the message has all fields that its kind needs.
func (d *decoder) complete() bool {
	if d.attempt.Member == "" || !d.hasKey {
		return false
	}
	switch d.kind {
	case kindClaim:
		return d.hasDigest
	case kindVote:
		return d.replica != "" && d.vote != 0
	case kindSettle, kindWithdraw:
		return true
	}
	return false
}
