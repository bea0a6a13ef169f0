package fleet

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/view"
)

// What members say of themselves is protobuf, so that a later program may add fields: those that are not known are
// passed over. It stands in memberlist's meta data (at most 512 bytes) and, with a time and a number, in the
// beat that each member sends to a few others.
const (
	fieldFormat      = 1
	fieldName        = 2
	fieldZone        = 3
	fieldIncarnation = 4
	fieldStarted     = 5 // ms since 1970
	fieldVersion     = 6
	fieldSettings    = 7
	fieldList        = 8
	fieldFlags       = 9
	fieldSent        = 10 // a beat's time by the sender's wall clock, ms since 1970

	format      = 1
	flagServing = 1
	flagLeaving = 2
	maxMessage  = 512
	maxText     = 64
)

var errFormat = errors.New("fleet: message of an unknown format")

// encode is what a member says; sent is a beat's time, 0 for meta data.
func encode(i view.Info, sent int64) []byte {
	number := func(b []byte, field protowire.Number, v uint64) []byte {
		if v == 0 {
			return b
		}
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
	}
	text := func(b []byte, field protowire.Number, s string) []byte {
		return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s[:min(len(s), maxText)])
	}
	b := number(nil, fieldFormat, format)
	b = text(b, fieldName, i.Name)
	b = text(b, fieldZone, i.Zone)
	b = number(b, fieldIncarnation, i.Incarnation)
	b = number(b, fieldStarted, uint64(i.Started.UnixMilli()))
	b = text(b, fieldVersion, i.Version)
	b = protowire.AppendFixed64(protowire.AppendTag(b, fieldSettings, protowire.Fixed64Type), i.Settings)
	b = number(b, fieldList, i.List)
	flags := uint64(0)
	if i.Serving {
		flags |= flagServing
	}
	if i.Leaving {
		flags |= flagLeaving
	}
	b = number(b, fieldFlags, flags)
	return number(b, fieldSent, uint64(sent))
}

// decode reads what a member says. Fields that are not known, or of another type than theirs, are passed over.
func decode(b []byte) (i view.Info, sent int64, err error) {
	if len(b) > maxMessage {
		return i, 0, fmt.Errorf("fleet: message of %d bytes, at most %d", len(b), maxMessage)
	}
	format := uint64(0)
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return i, 0, fmt.Errorf("fleet: message: %w", protowire.ParseError(n))
		}
		b = b[n:]
		var v uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return i, 0, fmt.Errorf("fleet: message: %w", protowire.ParseError(n))
		}
		b = b[n:]
		if len(text) > maxText {
			continue
		}
		switch {
		case field == fieldFormat && kind == protowire.VarintType:
			format = v
		case field == fieldName && kind == protowire.BytesType:
			i.Name = string(text)
		case field == fieldZone && kind == protowire.BytesType:
			i.Zone = string(text)
		case field == fieldIncarnation && kind == protowire.VarintType:
			i.Incarnation = v
		case field == fieldStarted && kind == protowire.VarintType:
			i.Started = time.UnixMilli(int64(min(v, 1<<52)))
		case field == fieldVersion && kind == protowire.BytesType:
			i.Version = string(text)
		case field == fieldSettings && kind == protowire.Fixed64Type:
			i.Settings = v
		case field == fieldList && kind == protowire.VarintType:
			i.List = v
		case field == fieldFlags && kind == protowire.VarintType:
			i.Serving, i.Leaving = v&flagServing != 0, v&flagLeaving != 0
		case field == fieldSent && kind == protowire.VarintType:
			sent = int64(min(v, 1<<52))
		}
	}
	if format < 1 || i.Name == "" || i.Incarnation == 0 {
		return i, 0, errFormat
	}
	return i, sent, nil
}
