package state

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/protofield"
)

// Field numbers of a stored record, which is a protobuf message. They must not change.
const (
	fieldMember          = 1
	fieldIncarnation     = 2
	fieldSeq             = 3
	fieldDigest          = 4
	fieldState           = 5
	fieldWrittenAt       = 6
	fieldAttemptDeadline = 7
	fieldAnswer          = 8
)

// requiredFields are the fields that every record has. A record without the time at which it was written would count as
// expired, and its key could be granted again.
var requiredFields = []protowire.Number{
	fieldMember, fieldIncarnation, fieldSeq, fieldDigest, fieldState, fieldWrittenAt, fieldAttemptDeadline,
}

const (
	checksumBytes = 8 // size of the xxhash before a record
	numberBytes   = 8 // size of an encoded number
	// typicalRecordBytes is the initial buffer capacity for an encoded record without its answer.
	typicalRecordBytes = 128
)

// encodeRecord encodes a record, preceded by its checksum.
func encodeRecord(record idempotency.Record) []byte {
	b := make([]byte, checksumBytes, typicalRecordBytes+len(record.Answer))
	b = protofield.AppendBytes(b, fieldMember, []byte(record.Attempt.Member))
	b = protofield.AppendVarint(b, fieldIncarnation, record.Attempt.Incarnation)
	b = protofield.AppendVarint(b, fieldSeq, record.Attempt.Seq)
	b = protofield.AppendBytes(b, fieldDigest, record.Digest[:])
	b = protofield.AppendVarint(b, fieldState, uint64(record.State))
	b = protofield.AppendVarint(b, fieldWrittenAt, uint64(record.WrittenAt))
	b = protofield.AppendVarint(b, fieldAttemptDeadline, uint64(record.AttemptDeadline))
	if record.Answer != nil {
		b = protofield.AppendBytes(b, fieldAnswer, record.Answer)
	}
	binary.BigEndian.PutUint64(b, xxhash.Sum64(b[checksumBytes:]))
	return b
}

// decodeRecord decodes a record that encodeRecord encoded. It returns ErrCorrupt if the checksum is wrong, a field other
// than the answer is missing, the name of the member is empty or the state is unknown, and ignores unknown fields.
func decodeRecord(b []byte) (record idempotency.Record, err error) {
	var present protofield.NumberSet
	if len(b) < checksumBytes || xxhash.Sum64(b[checksumBytes:]) != binary.BigEndian.Uint64(b) {
		return record, fmt.Errorf("%w: record has a wrong checksum", ErrCorrupt)
	}
	for b = b[checksumBytes:]; len(b) > 0; {
		field, rest, err := protofield.Next(b)
		if err != nil {
			return record, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		b = rest
		present.Add(field.Number)
		switch field.WireType {
		case protowire.BytesType:
			setBytesField(&record, field)
		case protowire.VarintType:
			setNumberField(&record, field)
		}
	}
	if !present.HasAll(requiredFields...) {
		return record, fmt.Errorf("%w: record lacks a field", ErrCorrupt)
	}
	if record.State < idempotency.InFlight || record.State > idempotency.Answered || record.Attempt.Member == "" {
		return record, fmt.Errorf("%w: record has no member or an unknown state", ErrCorrupt)
	}
	return record, nil
}

func setBytesField(record *idempotency.Record, field protofield.Field) {
	switch field.Number {
	case fieldMember:
		record.Attempt.Member = string(field.Bytes)
	case fieldDigest:
		if len(field.Bytes) == len(record.Digest) {
			copy(record.Digest[:], field.Bytes)
		}
	case fieldAnswer:
		record.Answer = append([]byte{}, field.Bytes...)
	}
}

func setNumberField(record *idempotency.Record, field protofield.Field) {
	switch field.Number {
	case fieldIncarnation:
		record.Attempt.Incarnation = field.Value
	case fieldSeq:
		record.Attempt.Seq = field.Value
	case fieldState:
		record.State = idempotency.State(field.Value)
	case fieldWrittenAt:
		record.WrittenAt = time.Duration(field.Value)
	case fieldAttemptDeadline:
		record.AttemptDeadline = time.Duration(field.Value)
	}
}

// keyByWriteTime returns a record's key in the index by write time: the time, followed by the idempotency key. The keys
// sort by time.
func keyByWriteTime(writtenAt time.Duration, key idempotency.Key) []byte {
	return append(encodeNumber(uint64(writtenAt)), key[:]...)
}

// encodeNumber encodes a number in big-endian order, so that encoded numbers sort by value.
func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeNumber decodes a number that encodeNumber encoded. It returns 0 if b has another length.
func decodeNumber(b []byte) uint64 {
	if len(b) != numberBytes {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
