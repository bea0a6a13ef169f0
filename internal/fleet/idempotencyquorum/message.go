package idempotencyquorum

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/protofield"
)

// messageKind is the kind of a message. Members send each other the values, which must not change.
type messageKind uint64

const (
	kindClaim    messageKind = 1 // asks a replica for its vote
	kindVote     messageKind = 2 // replies to a claim
	kindResult   messageKind = 3 // notifies a replica how an attempt ended
	kindWithdraw messageKind = 4 // cancels a claim
)

// Field numbers of a message in the protobuf encoding. Unknown fields are ignored.
const (
	fieldKind        protowire.Number = 1
	fieldClaimant    protowire.Number = 2 // name of the member that claims
	fieldIncarnation protowire.Number = 3 // incarnation of the claiming member
	fieldSeq         protowire.Number = 4 // sequence number of the attempt
	fieldKey         protowire.Number = 5
	fieldDigest      protowire.Number = 6
	fieldMaxDuration protowire.Number = 7 // longest time that the attempt can last, in µs
	fieldReplica     protowire.Number = 8 // name of the replica that votes
	fieldVote        protowire.Number = 9
	fieldAnswer      protowire.Number = 10
)

const (
	maxDatagramBytes = 1200 // a larger message does not fit into one packet on every network
	maxNameBytes     = 64
	maxAnswerBytes   = 64 << 10
	maxDurationBound = time.Hour // a longer maxDuration of a received claim is reduced to this value
)

var errMalformed = errors.New("idempotency: malformed message")

// message is a message about a claim from one member to another. Its kind determines which fields are set.
type message struct {
	kind        messageKind
	attempt     idempotency.Attempt
	key         idempotency.Key
	digest      idempotency.Digest // kindClaim: hash of the request body
	maxDuration time.Duration      // kindClaim: longest time that the attempt can last
	replica     string             // kindVote: name of the replica that votes
	vote        idempotency.Vote   // kindVote
	answer      []byte             // kindVote and kindResult: answer to the request, if hasAnswer
	hasAnswer   bool               // distinguishes an empty answer from none
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
	present protofield.NumberSet // fields that the message has with a valid value
}

// decode decodes a message. It returns errMalformed if a value is too long or a required field is missing, and the
// decoding error if a field cannot be decoded.
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

// setBytes sets a length-delimited field, and reports whether its length is within its limit. A name that is empty, and
// a key or digest of the wrong length, counts as absent.
func (d *decoder) setBytes(field protowire.Number, value []byte) (ok bool) {
	isValid := true
	switch field {
	case fieldClaimant:
		d.attempt.Member = string(value)
		ok, isValid = len(value) <= maxNameBytes, len(value) > 0
	case fieldReplica:
		d.replica = string(value)
		ok, isValid = len(value) <= maxNameBytes, len(value) > 0
	case fieldKey:
		ok, isValid = true, len(value) == len(d.key)
		copy(d.key[:], value)
	case fieldDigest:
		ok, isValid = true, len(value) == len(d.digest)
		copy(d.digest[:], value)
	case fieldAnswer:
		ok = len(value) <= maxAnswerBytes
		d.answer, d.hasAnswer = append([]byte{}, value...), true
	default:
		return true
	}
	if isValid {
		d.present.Add(field)
	}
	return ok
}

// setNumber sets a varint field. An unknown vote counts as absent.
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
		if value == 0 || value > uint64(idempotency.VoteStoreFull) {
			return
		}
		d.vote = idempotency.Vote(value)
	default:
		return
	}
	d.present.Add(field)
}

// complete reports whether the message has all fields that its kind requires. A claim that lacked the incarnation or
// the number of its attempt could be taken for another attempt of its member, and be granted with it.
func (d *decoder) complete() bool {
	if !d.present.HasAll(fieldClaimant, fieldIncarnation, fieldSeq, fieldKey) {
		return false
	}
	switch d.kind {
	case kindClaim:
		return d.present.HasAll(fieldDigest, fieldMaxDuration)
	case kindVote:
		return d.present.HasAll(fieldReplica, fieldVote)
	case kindResult, kindWithdraw:
		return true
	}
	return false
}
