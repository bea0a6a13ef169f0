// Package simcodec encodes and decodes the frames of the simulator's binary protocol. The simulator sends batches of
// events to the adapter (command simhost), which answers each batch with a reply of actions. Numbers are big-endian and
// fields are not padded. An event or action is a record: a code, the length of its fields, and the fields in the order
// of the struct, which are read and written by reflection. The simulator's protocol defines the names of events,
// actions and their fields.
//
// The package makes no decisions and has no state; its functions may be called from any goroutine.
package simcodec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	// maxFrameBytes is the maximum length of a frame's body. A longer body is treated as corrupt input.
	maxFrameBytes = 256 << 20
	// maxClockMs is the maximum absolute value of a batch's clock, in milliseconds.
	maxClockMs = 1e12
)

// A batch consists of a header (number of records, length of the body) and a body (clock, batch number, records). A
// reply consists of a header (length of the body) and a body (number of records, batch number, records).
const (
	uint32Bytes      = 4
	batchHeaderBytes = 2 * uint32Bytes
	batchClockBytes  = 8
	batchPrefixBytes = batchClockBytes + uint32Bytes // part of the body before the records
	replyHeaderBytes = uint32Bytes
	replyPrefixBytes = 2 * uint32Bytes // part of the body before the records
)

// Batch is one frame of events. Each element of Events has one of the event types of this package, not a pointer type.
type Batch struct {
	Now    float64 // the simulator's clock in milliseconds
	Number uint32
	Events []any
}

// Reply is one frame of actions, the answer to the batch with the same number. Each element of Actions has one of the
// action types of this package, not a pointer type.
type Reply struct {
	Number  uint32
	Actions []any
}

// ReadBatch reads one batch. It returns io.EOF only at the end of the input between two frames.
func ReadBatch(r io.Reader) (*Batch, error) {
	var header [batchHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header: %w", err)
	}
	count := binary.BigEndian.Uint32(header[:])
	body, err := readBody(r, binary.BigEndian.Uint32(header[uint32Bytes:]))
	if err != nil {
		return nil, err
	}
	if len(body) < batchPrefixBytes {
		return nil, fmt.Errorf("frame of %d bytes has no clock and number", len(body))
	}
	batch := &Batch{
		Now:    math.Float64frombits(binary.BigEndian.Uint64(body)),
		Number: binary.BigEndian.Uint32(body[batchClockBytes:]),
	}
	if math.IsNaN(batch.Now) || math.Abs(batch.Now) > maxClockMs {
		return nil, fmt.Errorf("batch %d: clock %v out of range", batch.Number, batch.Now)
	}
	batch.Events, err = decodeRecords(body[batchPrefixBytes:], count, eventTypes)
	if err != nil {
		return nil, fmt.Errorf("batch %d: %w", batch.Number, err)
	}
	return batch, nil
}

// ReadReply reads one reply. It returns io.EOF only at the end of the input between two frames.
func ReadReply(r io.Reader) (*Reply, error) {
	var header [replyHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("reply header: %w", err)
	}
	body, err := readBody(r, binary.BigEndian.Uint32(header[:]))
	if err != nil {
		return nil, err
	}
	if len(body) < replyPrefixBytes {
		return nil, fmt.Errorf("reply of %d bytes has no count and number", len(body))
	}
	reply := &Reply{Number: binary.BigEndian.Uint32(body[uint32Bytes:])}
	reply.Actions, err = decodeRecords(body[replyPrefixBytes:], binary.BigEndian.Uint32(body), actionTypes)
	if err != nil {
		return nil, fmt.Errorf("reply %d: %w", reply.Number, err)
	}
	return reply, nil
}

// readBody reads the body of a frame. Its buffer grows as the bytes arrive, so that a corrupt length does not cause a
// large allocation.
func readBody(r io.Reader, length uint32) ([]byte, error) {
	if length > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes is over the limit of %d", length, maxFrameBytes)
	}
	var body bytes.Buffer
	if received, err := io.CopyN(&body, r, int64(length)); err != nil {
		return nil, fmt.Errorf("frame cut short: %d of %d bytes", received, length)
	}
	return body.Bytes(), nil
}

// AppendReply appends an encoded reply to a buffer. It fails if the type of an action has no code.
func AppendReply(out []byte, reply Reply) ([]byte, error) {
	start := len(out)
	out = append(out, make([]byte, replyHeaderBytes+replyPrefixBytes)...)
	out, err := appendRecords(out, reply.Actions, actionCodes)
	if err != nil {
		return nil, fmt.Errorf("reply %d: %w", reply.Number, err)
	}
	header, body := out[start:], out[start+replyHeaderBytes:]
	binary.BigEndian.PutUint32(header, uint32(len(body)))
	binary.BigEndian.PutUint32(body, uint32(len(reply.Actions)))
	binary.BigEndian.PutUint32(body[uint32Bytes:], reply.Number)
	return out, nil
}

// AppendBatch appends an encoded batch to a buffer. It fails if the type of an event has no code.
func AppendBatch(out []byte, batch Batch) ([]byte, error) {
	start := len(out)
	out = append(out, make([]byte, batchHeaderBytes+batchPrefixBytes)...)
	out, err := appendRecords(out, batch.Events, eventCodes)
	if err != nil {
		return nil, fmt.Errorf("batch %d: %w", batch.Number, err)
	}
	header, body := out[start:], out[start+batchHeaderBytes:]
	binary.BigEndian.PutUint32(header, uint32(len(batch.Events)))
	binary.BigEndian.PutUint32(header[uint32Bytes:], uint32(len(body)))
	binary.BigEndian.PutUint64(body, math.Float64bits(batch.Now))
	binary.BigEndian.PutUint32(body[batchClockBytes:], batch.Number)
	return out, nil
}
