package simcodec

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// goldenEvents and goldenActions hold one record of each type. Each field is set by name to a different value, so that
// swapped fields fail the golden tests. The expected bytes are in testdata.
var goldenEvents = []any{
	Init{Router: 0x101, Seed: 0x102, Conf: []byte("{}")},
	Directory{Bank: 0x201, Records: []Entry{
		{Zone: 0x11, Condition: 0x12, Bay: 0x213, PowerHint: 1.5, LastStartMs: 2.5, Worker: 0x214, Shape: 0x15}}},
	Fleet{Router: 0x301, Form: 0x32, Gen: 0x303, Bank: 0x304},
	Order{Router: 0x401, OpID: 0x402, Priority: 0x403, Team: 0x404, Talk: 0x405, ExpiresInMs: 4.5, EstimateMs: 5.5,
		SharedPrefix: 0x406, InputLen: 6.5, NPrefix: 7.5, MaxOut: 8.5, Attrs: 0x47},
	Detach{Router: 0x501},
	ClientGone{Router: 0x601, OpID: 0x602},
	Accepted{Router: 0x701, OpID: 0x702, Hop: 0x703, Worker: 0x704, DelaySeenMs: 9.5},
	Response{Router: 0x801, OpID: 0x802, DelaySeenMs: 10.5, RC: 0x83, Detail: 0x804, Final: 0x85, Hop: 0x806,
		Worker: 0x807, Load: []float32{11.5, 12.5}},
	Pong{Router: 0x901, Worker: 0x902, RC: 0x93, DelaySeenMs: 13.5, Load: []float32{14.5, 15.5}},
	Reminder{Router: 0xa01, Ref: 0xa02},
	NeighbourSays{Router: 0xb01, Who: 0xb02, Contents: []byte("hi")},
	SeatNews{Router: 0xc01, OpID: 0xc02, Worker: 0xc03, Hop: 0xc04, Kind: 0xc5, Level: 16.5},
}

var goldenActions = []any{
	Send{Router: 0x101, OpID: 0x102, Worker: 0x103, PatienceMs: 1.5},
	Schedule{Router: 0x201, SpanMs: 2.5, Ref: 0x202},
	Surrender{Router: 0x301, OpID: 0x302},
	BroadcastTo{Router: 0x401, NeighbourID: 0x402, Contents: []byte("hi")},
	PrePair{Router: 0x501, OpID: 0x502, Worker: 0x503},
	GetList{Router: 0x601},
	Die{Router: 0x701, Message: []byte("die")},
	Poll{Router: 0x801, Worker: 0x802},
	DropState{Router: 0x901, OpID: 0x902},
	Listen{Router: 0xa01, Enable: 0xa2},
	Log{Router: 0xb01, Message: []byte("log")},
	Release{Router: 0xc01, Worker: 0xc02},
	Bounce{Router: 0xd01, OpID: 0xd02},
	Refuse{Router: 0xe01, OpID: 0xe02, StayAwayMs: 3.5},
	Retract{Router: 0xf01, OpID: 0xf02, Hop: 0xf03},
}

// readHexFile returns the bytes of a testdata file that contains lines of hexadecimal digits.
func readHexFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func TestGoldenBatch(t *testing.T) {
	if len(goldenEvents) != len(eventTypes) {
		t.Fatalf("%d events, %d codes", len(goldenEvents), len(eventTypes))
	}
	want, encoded := Batch{Now: 17.5, Number: 18, Events: goldenEvents}, readHexFile(t, "batch.hex")
	if got, err := ReadBatch(bytes.NewReader(encoded)); err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	if got, err := AppendBatch(nil, want); err != nil || !bytes.Equal(got, encoded) {
		t.Errorf("wrote %x, %v, want %x", got, err, encoded)
	}
}

func TestGoldenReply(t *testing.T) {
	if len(goldenActions) != len(actionTypes) {
		t.Fatalf("%d actions, %d codes", len(goldenActions), len(actionTypes))
	}
	want, encoded := Reply{Number: 19, Actions: goldenActions}, readHexFile(t, "reply.hex")
	if got, err := ReadReply(bytes.NewReader(encoded)); err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	if got, err := AppendReply(nil, want); err != nil || !bytes.Equal(got, encoded) {
		t.Errorf("wrote %x, %v, want %x", got, err, encoded)
	}
}
