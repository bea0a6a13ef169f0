// Package protofield reads and writes protobuf messages field by field, for those that are too small to be worth generated code.
package protofield

import "google.golang.org/protobuf/encoding/protowire"

// Field is one field of a message. Value is set for varints and 64-bit numbers, Bytes for what has a length.
type Field struct {
	Number protowire.Number
	Kind   protowire.Type
	Value  uint64
	Bytes  []byte // of the message that was read, not a copy
}

// Next reads the first field of a message and returns the rest. A field that cannot be read whole is an error.
func Next(b []byte) (f Field, rest []byte, err error) {
	var n int
	if f.Number, f.Kind, n = protowire.ConsumeTag(b); n < 0 {
		return f, nil, protowire.ParseError(n)
	}
	b = b[n:]
	switch f.Kind {
	case protowire.VarintType:
		f.Value, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		f.Value, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.Bytes, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(f.Number, f.Kind, b)
	}
	if n < 0 {
		return f, nil, protowire.ParseError(n)
	}
	return f, b[n:], nil
}

// Varint appends a number.
func Varint(b []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

// Bytes appends what has a length.
func Bytes(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}
