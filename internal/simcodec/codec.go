// Package simcodec encodes and decodes the frames of the simulator's binary protocol: batches of events in, replies of actions out.
// It holds no decision and no state, and its functions may be called from any goroutine.
package simcodec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
)

// maxFrame bounds a frame's body; longer ones are taken for garbage.
const maxFrame = 256 << 20

// Batch is one frame of events.
type Batch struct {
	Now    float64 // milliseconds
	Number uint32
	Events []any
}

// Reply is one frame of actions.
type Reply struct {
	Number  uint32
	Actions []any
}

// ReadBatch reads one frame. It returns io.EOF only at a clean end of input.
func ReadBatch(r io.Reader) (*Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header: %w", err)
	}
	count := binary.BigEndian.Uint32(head[:])
	body, err := readBody(r, binary.BigEndian.Uint32(head[4:]))
	if err != nil {
		return nil, err
	}
	if len(body) < 12 {
		return nil, fmt.Errorf("frame of %d bytes has no clock and number", len(body))
	}
	b := &Batch{
		Now:    math.Float64frombits(binary.BigEndian.Uint64(body)),
		Number: binary.BigEndian.Uint32(body[8:]),
	}
	if math.IsNaN(b.Now) || math.Abs(b.Now) > 1e12 {
		return nil, fmt.Errorf("batch %d: clock %v out of range", b.Number, b.Now)
	}
	b.Events, err = decodeRecords(body[12:], count, eventTypes)
	if err != nil {
		return nil, fmt.Errorf("batch %d: %w", b.Number, err)
	}
	return b, nil
}

// ReadReply reads one reply frame.
func ReadReply(r io.Reader) (*Reply, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("reply header: %w", err)
	}
	body, err := readBody(r, binary.BigEndian.Uint32(head[:]))
	if err != nil {
		return nil, err
	}
	if len(body) < 8 {
		return nil, fmt.Errorf("reply of %d bytes has no count and number", len(body))
	}
	reply := &Reply{Number: binary.BigEndian.Uint32(body[4:])}
	reply.Actions, err = decodeRecords(body[8:], binary.BigEndian.Uint32(body), actionTypes)
	if err != nil {
		return nil, fmt.Errorf("reply %d: %w", reply.Number, err)
	}
	return reply, nil
}

// readBody reads n bytes, growing only as they come in.
func readBody(r io.Reader, n uint32) ([]byte, error) {
	if n > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes is over the limit of %d", n, maxFrame)
	}
	var buf bytes.Buffer
	if got, err := io.CopyN(&buf, r, int64(n)); err != nil {
		return nil, fmt.Errorf("frame cut short: %d of %d bytes", got, n)
	}
	return buf.Bytes(), nil
}

func decodeRecords(data []byte, count uint32, types map[uint8]reflect.Type) ([]any, error) {
	var out []any
	for i := range count {
		if len(data) < 5 {
			return nil, fmt.Errorf("record %d: cut short", i)
		}
		code, n := data[0], binary.BigEndian.Uint32(data[1:])
		if data = data[5:]; uint64(n) > uint64(len(data)) {
			return nil, fmt.Errorf("record %d, code %d: %d bytes of %d are there", i, code, len(data), n)
		}
		t, ok := types[code]
		if !ok {
			return nil, fmt.Errorf("record %d: unknown code %d", i, code)
		}
		v := reflect.New(t).Elem()
		if err := decodeFields(data[:n], v); err != nil {
			return nil, fmt.Errorf("record %d, %s: %w", i, t.Name(), err)
		}
		out = append(out, v.Interface())
		data = data[n:]
	}
	if len(data) > 0 {
		return nil, fmt.Errorf("%d bytes after the last record", len(data))
	}
	return out, nil
}

// decodeFields fills a flat struct. A slice is preceded by its count, whose width is in the tag.
func decodeFields(data []byte, v reflect.Value) error {
	rest, err := takeFields(data, v)
	if err == nil && len(rest) > 0 {
		err = errors.New("length disagrees with its fields")
	}
	return err
}

// takeFields fills a flat struct from the front of data and returns the rest.
func takeFields(data []byte, v reflect.Value) ([]byte, error) {
	take := func(n int) (uint64, error) {
		if len(data) < n {
			return 0, errors.New("length disagrees with its fields")
		}
		var x uint64
		for _, b := range data[:n] {
			x = x<<8 | uint64(b)
		}
		data = data[n:]
		return x, nil
	}
	for i := range v.NumField() {
		f := v.Field(i)
		x, err := take(width(v.Type().Field(i)))
		if err != nil {
			return nil, err
		}
		switch f.Kind() {
		case reflect.Float32:
			f.SetFloat(float64(math.Float32frombits(uint32(x))))
		case reflect.Float64:
			f.SetFloat(math.Float64frombits(x))
		case reflect.Slice:
			if data, err = takeSlice(data, f, x); err != nil {
				return nil, err
			}
		default:
			f.SetUint(x)
		}
	}
	return data, nil
}

// takeSlice fills a slice of n bytes, float32s or entries.
func takeSlice(data []byte, f reflect.Value, n uint64) ([]byte, error) {
	if n > uint64(len(data)/elemWidth(f.Type().Elem())) {
		return nil, errors.New("count disagrees with its length")
	}
	if n == 0 {
		return data, nil
	}
	if f.Type().Elem().Kind() == reflect.Uint8 {
		f.SetBytes(bytes.Clone(data[:n]))
		return data[n:], nil
	}
	f.Set(reflect.MakeSlice(f.Type(), int(n), int(n)))
	for i := range int(n) {
		var err error
		if e := f.Index(i); e.Kind() == reflect.Struct {
			if data, err = takeFields(data, e); err != nil {
				return nil, err
			}
		} else {
			e.SetFloat(float64(math.Float32frombits(binary.BigEndian.Uint32(data))))
			data = data[4:]
		}
	}
	return data, nil
}

// elemWidth is the bytes of a slice's element on the wire; an entry's fields are packed.
func elemWidth(t reflect.Type) int {
	if t.Kind() != reflect.Struct {
		return int(t.Size())
	}
	n := 0
	for i := range t.NumField() {
		n += width(t.Field(i))
	}
	return n
}

// width is the bytes that a field, or a slice's count, takes on the wire.
func width(f reflect.StructField) int {
	if f.Type.Kind() == reflect.Slice {
		return int(f.Tag.Get("count")[0] - '0')
	}
	return int(f.Type.Size())
}

func appendFields(out []byte, v reflect.Value) []byte {
	put := func(x uint64, n int) {
		for n--; n >= 0; n-- {
			out = append(out, byte(x>>(8*n)))
		}
	}
	for i := range v.NumField() {
		f, n := v.Field(i), width(v.Type().Field(i))
		switch f.Kind() {
		case reflect.Float32:
			put(uint64(math.Float32bits(float32(f.Float()))), n)
		case reflect.Float64:
			put(math.Float64bits(f.Float()), n)
		case reflect.Slice:
			put(uint64(f.Len()), n)
			for j := range f.Len() {
				switch e := f.Index(j); e.Kind() {
				case reflect.Struct:
					out = appendFields(out, e)
				case reflect.Float32:
					put(uint64(math.Float32bits(float32(e.Float()))), 4)
				default:
					put(e.Uint(), 1)
				}
			}
		default:
			put(f.Uint(), n)
		}
	}
	return out
}

func appendRecords(out []byte, records []any, codes map[reflect.Type]uint8) ([]byte, error) {
	for _, rec := range records {
		v := reflect.ValueOf(rec)
		code, ok := codes[v.Type()]
		if !ok {
			return nil, fmt.Errorf("%T has no code here", rec)
		}
		out = append(out, code, 0, 0, 0, 0)
		start := len(out)
		out = appendFields(out, v)
		binary.BigEndian.PutUint32(out[start-4:], uint32(len(out)-start))
	}
	return out, nil
}

// AppendReply appends an encoded reply frame.
func AppendReply(out []byte, r Reply) ([]byte, error) {
	start := len(out)
	out = append(out, make([]byte, 12)...)
	out, err := appendRecords(out, r.Actions, actionCodes)
	if err != nil {
		return nil, fmt.Errorf("reply %d: %w", r.Number, err)
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-4))
	binary.BigEndian.PutUint32(out[start+4:], uint32(len(r.Actions)))
	binary.BigEndian.PutUint32(out[start+8:], r.Number)
	return out, nil
}

// AppendBatch appends an encoded batch frame.
func AppendBatch(out []byte, b Batch) ([]byte, error) {
	start := len(out)
	out = append(out, make([]byte, 20)...)
	out, err := appendRecords(out, b.Events, eventCodes)
	if err != nil {
		return nil, fmt.Errorf("batch %d: %w", b.Number, err)
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(b.Events)))
	binary.BigEndian.PutUint32(out[start+4:], uint32(len(out)-start-8))
	binary.BigEndian.PutUint64(out[start+8:], math.Float64bits(b.Now))
	binary.BigEndian.PutUint32(out[start+16:], b.Number)
	return out, nil
}
