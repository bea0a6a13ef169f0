package simcodec

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// decodeHex joins the parts and decodes them from hexadecimal. Spaces are ignored.
func decodeHex(t testing.TB, parts ...string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// batchFrame returns an encoded batch with one record, the clock 8412.25 and the number 12.
func batchFrame(t testing.TB, record []byte) []byte {
	t.Helper()
	length := hex.EncodeToString([]byte{0, 0, 0, byte(12 + len(record))})
	return append(decodeHex(t, "00000001", length, "40c06e2000000000 0000000c"), record...)
}

// replyFrame returns an encoded reply with one record and the number 12.
func replyFrame(t testing.TB, record []byte) []byte {
	t.Helper()
	length := hex.EncodeToString([]byte{0, 0, 0, byte(8 + len(record))})
	return append(decodeHex(t, length, "00000001 0000000c"), record...)
}

// handwrittenEvents and handwrittenActions hold one record per code, encoded by hand from the protocol's specification.
var handwrittenEvents = []struct {
	hex  string
	want any
}{
	{"10 0000000d 0003 02 0000000000000029 0001", Fleet{3, 2, 41, 1}},
	{"11 00000015 0003 0000000000000007 00000009 0002 01 3f000000", SeatNews{3, 7, 9, 2, 1, 0.5}},
	{"12 00000018 0003 00000009 01 3ff8000000000000 02 3f800000 40000000", Pong{3, 9, 1, 1.5, []float32{1, 2}}},
	{"13 0000001b 0001 00000001 02 01 0004 3fc00000 4000000000000000 00000009 01",
		Directory{1, []Entry{{2, 1, 4, 1.5, 2, 9, 1}}}},
	{"14 00000010 0003 0000000000000005 00000002 7b7d", Init{3, 5, []byte("{}")}},
	{"15 0000000a 0003 000000000000004d", Reminder{3, 77}},
	{"16 00000023 0003 0000000000000007 3ff8000000000000 ca 00000010 00 0001 00000009 01 3f800000",
		Response{3, 7, 1.5, 202, 16, 0, 1, 9, []float32{1}}},
	{"17 00000018 0003 0000000000000007 0001 00000009 3ff8000000000000", Accepted{3, 7, 1, 9, 1.5}},
	{"18 0000003b 0003 0000000000000007 0001 0002 0000000000000008 406e000000000000 4028000000000000" +
		"0000000000000009 44e10000 44960000 43800000 01", Order{3, 7, 1, 2, 8, 240, 12, 9, 1800, 1200, 256, 1}},
	{"19 0000000c 0003 00000002 0004 68692037", NeighbourSays{3, 2, []byte("hi 7")}},
	{"1a 00000002 0003", Detach{3}},
	{"1b 0000000a 0003 0000000000000007", ClientGone{3, 7}},
}

var handwrittenActions = []struct {
	hex  string
	want any
}{
	{"10 00000006 0003 00000009", Poll{3, 9}},
	{"11 00000006 0003 0002 6869", Die{3, []byte("hi")}},
	{"12 0000000a 0003 0000000000000007", DropState{3, 7}},
	{"13 00000006 0003 00000009", Release{3, 9}},
	{"14 0000000a 0003 0000000000000007", Surrender{3, 7}},
	{"15 0000000e 0003 0000000000000007 00000009", PrePair{3, 7, 9}},
	{"16 00000006 0003 0002 6869", Log{3, []byte("hi")}},
	{"17 00000003 0003 01", Listen{3, 1}},
	{"18 00000012 0003 0000000000000007 406f400000000000", Refuse{3, 7, 250}},
	{"19 0000000c 0003 0000000000000007 0002", Retract{3, 7, 2}},
	{"1a 00000012 0003 407f400000000000 000000000000004d", Schedule{3, 500, 77}},
	{"1b 0000000a 0003 0000000000000007", Bounce{3, 7}},
	{"1c 0000000a 0003 ffffffff 0002 6869", BroadcastTo{3, 0xffffffff, []byte("hi")}},
	{"1d 00000002 0003", GetList{3}},
	{"1e 00000016 0003 0000000000000007 00000009 4054000000000000", Send{3, 7, 9, 80}},
}

func TestEachEventRoundTrips(t *testing.T) {
	if len(handwrittenEvents) != len(eventTypes) {
		t.Fatalf("%d handwritten events, %d codes", len(handwrittenEvents), len(eventTypes))
	}
	for _, c := range handwrittenEvents {
		encoded := batchFrame(t, decodeHex(t, c.hex))
		batch, err := ReadBatch(bytes.NewReader(encoded))
		if err != nil {
			t.Fatalf("%T: %v", c.want, err)
		}
		if batch.Now != 8412.25 || batch.Number != 12 || !reflect.DeepEqual(batch.Events, []any{c.want}) {
			t.Errorf("decoded %+v, want %+v", batch, c.want)
		}
		out, err := AppendBatch(nil, *batch)
		if err != nil || !bytes.Equal(out, encoded) {
			t.Errorf("%T: encoded %x (%v), want %x", c.want, out, err, encoded)
		}
	}
}

func TestEachActionRoundTrips(t *testing.T) {
	if len(handwrittenActions) != len(actionTypes) {
		t.Fatalf("%d handwritten actions, %d codes", len(handwrittenActions), len(actionTypes))
	}
	for _, c := range handwrittenActions {
		encoded := replyFrame(t, decodeHex(t, c.hex))
		reply, err := ReadReply(bytes.NewReader(encoded))
		if err != nil {
			t.Fatalf("%T: %v", c.want, err)
		}
		if reply.Number != 12 || !reflect.DeepEqual(reply.Actions, []any{c.want}) {
			t.Errorf("decoded %+v, want %+v", reply, c.want)
		}
		out, err := AppendReply(nil, *reply)
		if err != nil || !bytes.Equal(out, encoded) {
			t.Errorf("%T: encoded %x (%v), want %x", c.want, out, err, encoded)
		}
	}
}

var invalidBatches = map[string]string{
	"cut header":          "000000",
	"cut body":            "00000000 0000000c 40c06e",
	"oversized":           "00000000 ffffffff",
	"no number":           "00000000 00000004 00000000",
	"clock is no number":  "00000000 0000000c 7ff8000000000001 00000001",
	"record cut":          "00000001 0000000e 40c06e2000000000 00000001 1a00",
	"record too long":     "00000001 00000013 40c06e2000000000 00000001 1a 00000009 0003",
	"length over fields":  "00000001 00000014 40c06e2000000000 00000001 1a 00000003 000300",
	"length under fields": "00000001 00000012 40c06e2000000000 00000001 1a 00000001 00",
	"unknown code":        "00000001 00000013 40c06e2000000000 00000001 63 00000002 0003",
	"count over length":   "00000001 00000017 40c06e2000000000 00000001 13 00000006 0001 ffffffff",
	"bytes after records": "00000000 0000000d 40c06e2000000000 00000001 00",
}

func TestReadBatchRejectsInvalidFrames(t *testing.T) {
	for name, encoded := range invalidBatches {
		batch, err := ReadBatch(bytes.NewReader(decodeHex(t, encoded)))
		if err == nil || errors.Is(err, io.EOF) || batch != nil {
			t.Errorf("%s: got %v, %v", name, batch, err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

// FuzzReadBatch checks that encoding a decoded batch yields the bytes that it was decoded from.
func FuzzReadBatch(f *testing.F) {
	for _, encoded := range invalidBatches {
		f.Add(decodeHex(f, encoded))
	}
	for _, c := range handwrittenEvents {
		f.Add(batchFrame(f, decodeHex(f, c.hex)))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		batch, err := ReadBatch(bytes.NewReader(in))
		if err != nil {
			return
		}
		out, err := AppendBatch(nil, *batch)
		if err != nil || !bytes.HasPrefix(in, out) {
			t.Fatalf("%x was read as %+v and written as %x (%v)", in, batch, out, err)
		}
	})
}
