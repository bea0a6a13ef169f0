package fleet

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/membership"
	"rampspread/internal/protofield"
)

// Field numbers and limits of a member's info. It is encoded as protobuf, so that a later version of the program may
// add fields; unknown fields are ignored. It is sent in memberlist's metadata (at most 512 bytes) and, with the time of
// sending and a fencing token, in the heartbeat that each member sends to a few others.
const (
	infoFormat       = 1
	infoName         = 2
	infoZone         = 3
	infoIncarnation  = 4
	infoStarted      = 5 // start of the process, in ms since 1970
	infoVersion      = 6
	infoSettings     = 7
	infoListVersion  = 8
	infoFlags        = 9
	infoSent         = 10 // time at which a heartbeat was sent, by the sender's wall clock, in ms since 1970
	infoHighestToken = 11 // highest fencing token known to the member

	infoFieldCount = infoHighestToken + 1

	memberInfoFormat   = 1 // format that this version sends; later formats are decoded too
	flagServing        = 1
	flagLeaving        = 2
	maxMemberInfoBytes = 512
	maxStringBytes     = 64
	maxUnixMillis      = 1 << 52 // later times are decoded as this time
)

// encodeMemberInfo encodes a member's info. sent is the time of a heartbeat in ms since 1970, or 0 for metadata.
func encodeMemberInfo(info membership.MemberInfo, sent int64) []byte {
	b := appendNonZero(nil, infoFormat, memberInfoFormat)
	b = appendTruncated(b, infoName, info.Name)
	b = appendTruncated(b, infoZone, info.Zone)
	b = appendNonZero(b, infoIncarnation, info.Incarnation)
	b = appendNonZero(b, infoStarted, uint64(info.Started.UnixMilli()))
	b = appendTruncated(b, infoVersion, info.Version)
	b = protowire.AppendFixed64(protowire.AppendTag(b, infoSettings, protowire.Fixed64Type), info.SettingsDigest)
	b = appendNonZero(b, infoListVersion, info.ListVersion)
	flags := uint64(0)
	if info.Serving {
		flags |= flagServing
	}
	if info.Leaving {
		flags |= flagLeaving
	}
	b = appendNonZero(b, infoFlags, flags)
	b = appendNonZero(b, infoHighestToken, info.HighestToken)
	return appendNonZero(b, infoSent, uint64(sent))
}

func appendNonZero(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protofield.AppendVarint(b, field, v)
}

func appendTruncated(b []byte, field protowire.Number, s string) []byte {
	return appendString(b, field, s[:min(len(s), maxStringBytes)])
}

// infoMessage holds the decoded fields of a message with a member's info.
type infoMessage struct {
	format uint64
	info   membership.MemberInfo
	sent   int64 // time of a heartbeat in ms since 1970, or 0 for metadata
}

// infoDecoder decodes one field of a member's info. A field with a wire type other than wireType is ignored.
type infoDecoder struct {
	wireType protowire.Type
	decode   func(m *infoMessage, f protofield.Field)
}

// infoDecoders holds the decoders by field number. A field without a decoder is ignored.
var infoDecoders = [infoFieldCount]infoDecoder{
	infoFormat:       {protowire.VarintType, func(m *infoMessage, f protofield.Field) { m.format = f.Value }},
	infoName:         {protowire.BytesType, func(m *infoMessage, f protofield.Field) { m.info.Name = string(f.Bytes) }},
	infoZone:         {protowire.BytesType, func(m *infoMessage, f protofield.Field) { m.info.Zone = string(f.Bytes) }},
	infoIncarnation:  {protowire.VarintType, func(m *infoMessage, f protofield.Field) { m.info.Incarnation = f.Value }},
	infoStarted:      {protowire.VarintType, decodeInfoStarted},
	infoVersion:      {protowire.BytesType, func(m *infoMessage, f protofield.Field) { m.info.Version = string(f.Bytes) }},
	infoSettings:     {protowire.Fixed64Type, func(m *infoMessage, f protofield.Field) { m.info.SettingsDigest = f.Value }},
	infoListVersion:  {protowire.VarintType, func(m *infoMessage, f protofield.Field) { m.info.ListVersion = f.Value }},
	infoFlags:        {protowire.VarintType, decodeInfoFlags},
	infoSent:         {protowire.VarintType, decodeInfoSent},
	infoHighestToken: {protowire.VarintType, func(m *infoMessage, f protofield.Field) { m.info.HighestToken = f.Value }},
}

// decodeMemberInfo decodes a member's info. Fields that are unknown, too long or of the wrong wire type are ignored. An
// info without a format, a name or an incarnation is an error.
func decodeMemberInfo(b []byte) (info membership.MemberInfo, sent int64, err error) {
	if len(b) > maxMemberInfoBytes {
		return info, 0, fmt.Errorf("fleet: member info has %d bytes, at most %d are allowed", len(b), maxMemberInfoBytes)
	}
	var m infoMessage
	for len(b) > 0 {
		f, rest, err := protofield.Next(b)
		if err != nil {
			return m.info, 0, fmt.Errorf("fleet: decode member info: %w", err)
		}
		b = rest
		if len(f.Bytes) > maxStringBytes || f.Number >= infoFieldCount {
			continue
		}
		if decoder := infoDecoders[f.Number]; decoder.decode != nil && decoder.wireType == f.WireType {
			decoder.decode(&m, f)
		}
	}
	if m.format < 1 || m.info.Name == "" || m.info.Incarnation == 0 {
		return m.info, 0, errFormat
	}
	return m.info, m.sent, nil
}

func decodeInfoStarted(m *infoMessage, f protofield.Field) {
	m.info.Started = time.UnixMilli(int64(min(f.Value, maxUnixMillis)))
}

func decodeInfoFlags(m *infoMessage, f protofield.Field) {
	m.info.Serving, m.info.Leaving = f.Value&flagServing != 0, f.Value&flagLeaving != 0
}

func decodeInfoSent(m *infoMessage, f protofield.Field) {
	m.sent = int64(min(f.Value, maxUnixMillis))
}
