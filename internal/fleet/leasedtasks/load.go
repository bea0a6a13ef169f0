package leasedtasks

import (
	"encoding/binary"
	"fmt"
	"math"

	"rampspread/routing"
)

// Encoding of the load reports that members send to each other: the byte noReport alone, or the byte hasReport and four
// little-endian float32 values.
const (
	noReport         byte = 0 // the replica did not answer the poll
	hasReport        byte = 1
	loadValueCount        = 4
	bytesPerValue         = 4
	loadReportLength      = 1 + loadValueCount*bytesPerValue
)

// Bounds of the values in a load report. A negative value means that the replica does not report it.
const (
	minLoadValue = -1
	maxLoadValue = 1e9
)

// encodeLoad encodes a load report in loadReportLength bytes, and nil in one byte.
func encodeLoad(l *routing.LoadReport) []byte {
	if l == nil {
		return []byte{noReport}
	}
	b := []byte{hasReport}
	for _, v := range [loadValueCount]float64{l.Memory, l.QueuedKiloTokens, l.QueuedRequests, l.SlotUtilization} {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
	}
	return b
}

// decodeLoad decodes a load report. It returns nil without an error if the replica did not answer the poll.
func decodeLoad(b []byte) (*routing.LoadReport, error) {
	if len(b) == 1 && b[0] == noReport {
		return nil, nil
	}
	if len(b) != loadReportLength || b[0] != hasReport {
		return nil, fmt.Errorf("leasedtasks: malformed load report of %d bytes", len(b))
	}
	var values [loadValueCount]float64
	for i := range values {
		v := float64(math.Float32frombits(binary.LittleEndian.Uint32(b[1+bytesPerValue*i:])))
		if math.IsNaN(v) || v > maxLoadValue || v < minLoadValue {
			return nil, fmt.Errorf("leasedtasks: load value %v is out of range", v)
		}
		values[i] = v
	}
	return &routing.LoadReport{
		Memory:           values[0],
		QueuedKiloTokens: values[1],
		QueuedRequests:   values[2],
		SlotUtilization:  values[3],
	}, nil
}
