package leasedtasks

import (
	"encoding/binary"
	"fmt"
	"math"

	"rampspread/routing"
)

// The form in which members send each other a load report: noReport alone, or hasReport and four little-endian float32.
const (
	noReport         byte = 0 // the replica did not answer
	hasReport        byte = 1
	loadValues            = 4
	bytesPerValue         = 4
	loadReportLength      = 1 + loadValues*bytesPerValue
)

// Bounds of a load report's values. A negative one means that the replica does not report it.
const (
	minLoadValue = -1
	maxLoadValue = 1e9
)

// encodeLoad encodes a load report in loadReportLength bytes, or nil in one.
func encodeLoad(l *routing.LoadReport) []byte {
	if l == nil {
		return []byte{noReport}
	}
	b := []byte{hasReport}
	for _, v := range [loadValues]float64{l.Memory, l.QueuedKiloTokens, l.QueuedRequests, l.SlotUtilization} {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
	}
	return b
}

// decodeLoad decodes a load report; nil without an error means that the replica did not answer.
func decodeLoad(b []byte) (*routing.LoadReport, error) {
	if len(b) == 1 && b[0] == noReport {
		return nil, nil
	}
	if len(b) != loadReportLength || b[0] != hasReport {
		return nil, fmt.Errorf("leasedtasks: a load report of %d bytes", len(b))
	}
	var values [loadValues]float64
	for i := range values {
		v := float64(math.Float32frombits(binary.LittleEndian.Uint32(b[1+bytesPerValue*i:])))
		if math.IsNaN(v) || v > maxLoadValue || v < minLoadValue {
			return nil, fmt.Errorf("leasedtasks: a load value of %v", v)
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
