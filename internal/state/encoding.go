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

// Field numbers of a stored record, a protobuf message. They never change.
const (
	fieldAttemptName     = 1
	fieldIncarnation     = 2
	fieldSeq             = 3
	fieldDigest          = 4
	fieldState           = 5
	fieldWrittenAt       = 6
	fieldAttemptDeadline = 7
	fieldAnswer          = 8
)

const (
	checksumBytes = 8 // of the xxhash before a record
	numberBytes   = 8 // of a number in an entry
	// typicalRecordBytes is the capacity reserved for a record without its answer.
	typicalRecordBytes = 128
)

// encodeRecord serializes a record, preceded by its checksum.
func encodeRecord(record idempotency.Record) []byte {
	b := make([]byte, checksumBytes, typicalRecordBytes+len(record.Answer))
	b = protofield.AppendBytes(b, fieldAttemptName, []byte(record.Attempt.Member))
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

// decodeRecord reads what encodeRecord wrote. A record whose checksum is wrong, that has no attempt's name or that has
// an unknown state is ErrCorrupt. Fields that are unknown are skipped.
func decodeRecord(b []byte) (record idempotency.Record, err error) {
	if len(b) < checksumBytes || xxhash.Sum64(b[checksumBytes:]) != binary.BigEndian.Uint64(b) {
		return record, fmt.Errorf("%w: a record's checksum is off", ErrCorrupt)
	}
	for b = b[checksumBytes:]; len(b) > 0; {
		field, rest, err := protofield.Next(b)
		if err != nil {
			return record, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		b = rest
		switch field.WireType {
		case protowire.BytesType:
			setBytesField(&record, field)
		case protowire.VarintType:
			setNumberField(&record, field)
		}
	}
	if record.State < idempotency.InFlight || record.State > idempotency.Answered || record.Attempt.Member == "" {
		return record, fmt.Errorf("%w: a record makes no sense", ErrCorrupt)
	}
	return record, nil
}

func setBytesField(record *idempotency.Record, field protofield.Field) {
	switch field.Number {
	case fieldAttemptName:
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

// writeTimeKey returns a record's key in the index by time written: the time, then the idempotency key. Its order is
// that of time.
func writeTimeKey(writtenAt time.Duration, key idempotency.Key) []byte {
	return append(encodeNumber(uint64(writtenAt)), key[:]...)
}

// encodeNumber encodes big-endian, so that the order of bytes is that of numbers.
func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeNumber decodes what encodeNumber returned; anything of another length is 0.
func decodeNumber(b []byte) uint64 {
	if len(b) != numberBytes {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
