package simcodec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"
)

// recordHeaderBytes is the size of a record's code and length.
const recordHeaderBytes = 1 + uint32Bytes

var (
	errFieldsLength = errors.New("length disagrees with its fields")
	errCount        = errors.New("count disagrees with its length")
)

// decodeRecords decodes count records, which must fill data completely. types maps codes to record types.
func decodeRecords(data []byte, count uint32, types map[uint8]reflect.Type) ([]any, error) {
	var records []any
	for i := range count {
		if len(data) < recordHeaderBytes {
			return nil, fmt.Errorf("record %d: cut short", i)
		}
		code, length := data[0], binary.BigEndian.Uint32(data[1:])
		if data = data[recordHeaderBytes:]; uint64(length) > uint64(len(data)) {
			return nil, fmt.Errorf("record %d, code %d: %d bytes of %d are there", i, code, len(data), length)
		}
		recordType, ok := types[code]
		if !ok {
			return nil, fmt.Errorf("record %d: unknown code %d", i, code)
		}
		record := reflect.New(recordType).Elem()
		if err := decodeRecord(data[:length], record); err != nil {
			return nil, fmt.Errorf("record %d, %s: %w", i, recordType.Name(), err)
		}
		records = append(records, record.Interface())
		data = data[length:]
	}
	if len(data) > 0 {
		return nil, fmt.Errorf("%d bytes after the last record", len(data))
	}
	return records, nil
}

// decodeRecord sets a struct's fields from data, which must contain nothing else.
func decodeRecord(data []byte, record reflect.Value) error {
	rest, err := decodeFields(data, record)
	if err == nil && len(rest) > 0 {
		err = errFieldsLength
	}
	return err
}

// decodeFields sets a struct's fields from the front of data and returns the rest. On the wire a slice is preceded by
// the number of its elements.
func decodeFields(data []byte, record reflect.Value) ([]byte, error) {
	for i := range record.NumField() {
		width := wireWidth(record.Type().Field(i))
		if len(data) < width {
			return nil, errFieldsLength
		}
		bits := decodeBigEndian(data[:width])
		data = data[width:]
		switch field := record.Field(i); field.Kind() {
		case reflect.Float32:
			field.SetFloat(float64(math.Float32frombits(uint32(bits))))
		case reflect.Float64:
			field.SetFloat(math.Float64frombits(bits))
		case reflect.Slice:
			var err error
			if data, err = decodeSlice(data, field, bits); err != nil {
				return nil, err
			}
		default:
			field.SetUint(bits)
		}
	}
	return data, nil
}

// decodeBigEndian decodes all bytes of data as one number.
func decodeBigEndian(data []byte) uint64 {
	var number uint64
	for _, b := range data {
		number = number<<8 | uint64(b)
	}
	return number
}

// decodeSlice sets a slice of count bytes, float32s or structs from the front of data and returns the rest.
func decodeSlice(data []byte, slice reflect.Value, count uint64) ([]byte, error) {
	if count > uint64(len(data)/elementWidth(slice.Type().Elem())) {
		return nil, errCount
	}
	if count == 0 {
		return data, nil
	}
	if slice.Type().Elem().Kind() == reflect.Uint8 {
		slice.SetBytes(bytes.Clone(data[:count]))
		return data[count:], nil
	}
	slice.Set(reflect.MakeSlice(slice.Type(), int(count), int(count)))
	for i := range int(count) {
		var err error
		if element := slice.Index(i); element.Kind() == reflect.Struct {
			if data, err = decodeFields(data, element); err != nil {
				return nil, err
			}
		} else {
			element.SetFloat(float64(math.Float32frombits(binary.BigEndian.Uint32(data))))
			data = data[uint32Bytes:]
		}
	}
	return data, nil
}

// elementWidth returns the size of a slice's element on the wire in bytes. The fields of a struct are not padded.
func elementWidth(element reflect.Type) int {
	if element.Kind() != reflect.Struct {
		return int(element.Size())
	}
	width := 0
	for i := range element.NumField() {
		width += wireWidth(element.Field(i))
	}
	return width
}

// wireWidth returns the size of a field on the wire in bytes. For a slice it returns the size of the element count,
// which is the digit in the tag "count".
func wireWidth(field reflect.StructField) int {
	if field.Type.Kind() == reflect.Slice {
		return int(field.Tag.Get("count")[0] - '0')
	}
	return int(field.Type.Size())
}

// appendRecords appends encoded records to out. codes maps record types to codes.
func appendRecords(out []byte, records []any, codes map[reflect.Type]uint8) ([]byte, error) {
	for _, record := range records {
		value := reflect.ValueOf(record)
		code, ok := codes[value.Type()]
		if !ok {
			return nil, fmt.Errorf("%T has no code here", record)
		}
		out = append(out, code, 0, 0, 0, 0)
		start := len(out)
		out = appendFields(out, value)
		binary.BigEndian.PutUint32(out[start-uint32Bytes:], uint32(len(out)-start))
	}
	return out, nil
}

// appendFields appends the encoded fields of a struct to out.
func appendFields(out []byte, record reflect.Value) []byte {
	for i := range record.NumField() {
		field, width := record.Field(i), wireWidth(record.Type().Field(i))
		switch field.Kind() {
		case reflect.Float32:
			out = appendBigEndian(out, uint64(math.Float32bits(float32(field.Float()))), width)
		case reflect.Float64:
			out = appendBigEndian(out, math.Float64bits(field.Float()), width)
		case reflect.Slice:
			out = appendBigEndian(out, uint64(field.Len()), width)
			out = appendElements(out, field)
		default:
			out = appendBigEndian(out, field.Uint(), width)
		}
	}
	return out
}

// appendElements appends the encoded elements of a slice to out. The elements are structs, float32s or bytes.
func appendElements(out []byte, slice reflect.Value) []byte {
	for i := range slice.Len() {
		switch element := slice.Index(i); element.Kind() {
		case reflect.Struct:
			out = appendFields(out, element)
		case reflect.Float32:
			out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(element.Float())))
		default:
			out = append(out, byte(element.Uint()))
		}
	}
	return out
}

// appendBigEndian appends the lowest width bytes of a number to out.
func appendBigEndian(out []byte, number uint64, width int) []byte {
	for shift := 8 * (width - 1); shift >= 0; shift -= 8 {
		out = append(out, byte(number>>shift))
	}
	return out
}
