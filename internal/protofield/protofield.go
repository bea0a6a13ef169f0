// Package protofield reads and writes protobuf messages field by field, for messages that are too small to justify
// generated code. The encoding is defined in https://protobuf.dev/programming-guides/encoding. The package has no
// state; its functions are safe for concurrent use.
package protofield

import "google.golang.org/protobuf/encoding/protowire"

// Field is one field of a message. Value is set for varints and 64-bit numbers, Bytes is set for length-delimited
// values.
type Field struct {
	Number   protowire.Number
	WireType protowire.Type
	Value    uint64
	Bytes    []byte // shares the memory of the message that was read
}

// Next reads the first field of a message and returns the rest of the message. It returns an error if the field is
// truncated or invalid. For a field of another wire type, such as a 32-bit number, it sets neither Value nor Bytes.
func Next(b []byte) (f Field, rest []byte, err error) {
	var n int
	if f.Number, f.WireType, n = protowire.ConsumeTag(b); n < 0 {
		return f, nil, protowire.ParseError(n)
	}
	b = b[n:]
	switch f.WireType {
	case protowire.VarintType:
		f.Value, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		f.Value, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.Bytes, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(f.Number, f.WireType, b)
	}
	if n < 0 {
		return f, nil, protowire.ParseError(n)
	}
	return f, b[n:], nil
}

// AppendVarint appends a field with an unsigned number to a message.
func AppendVarint(b []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

// AppendBytes appends a length-delimited field to a message.
func AppendBytes(b []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// NumberSet is a set of field numbers under 64. Its zero value is empty. A decoder collects in it which fields a message
// had, since a field that is absent otherwise cannot be told from one whose value is zero.
type NumberSet uint64

// Add adds a number. It ignores numbers of 64 and more.
func (s *NumberSet) Add(field protowire.Number) { *s |= 1 << uint(field) }

// HasAll reports whether the set has all of the numbers.
func (s NumberSet) HasAll(fields ...protowire.Number) bool {
	for _, field := range fields {
		if s&(1<<uint(field)) == 0 {
			return false
		}
	}
	return true
}
