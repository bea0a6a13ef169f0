package chatapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Type names in the error texts that clients receive for a value of the wrong type. They are part of the API and do not
// change with the names of the Go types.
const (
	requestTypeName       = "ask"
	messageTypeName       = "message"
	typeNamePrefix        = "chat."
	streamOptionsTypeName = `struct { IncludeUsage bool "json:\"include_usage\"" }`
)

// Paths of a request's fields, as encoding/json reports them in errors.
const (
	messagesField      = "Messages"
	streamOptionsField = "stream_options"
)

// decodeError returns the error that clients receive for an error of encoding/json. It replaces the text for a value of
// the wrong type, which in encoding/json contains the names of Go types.
func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	if mismatch.Field == "" {
		return fmt.Errorf("json: cannot unmarshal %s into Go value of type %s", mismatch.Value, typeNamePrefix+requestTypeName)
	}
	return fmt.Errorf("json: cannot unmarshal %s into Go struct field %s.%s of type %s",
		mismatch.Value, enclosingTypeName(mismatch.Field), mismatch.Field, fieldTypeName(mismatch))
}

// enclosingTypeName returns the name of the type that contains a field. The type of the stream options has no name.
func enclosingTypeName(field string) string {
	switch {
	case strings.HasPrefix(field, messagesField+"."):
		return messageTypeName
	case strings.HasPrefix(field, streamOptionsField+"."):
		return ""
	}
	return requestTypeName
}

// fieldTypeName returns the name of the type that the value should have had.
func fieldTypeName(mismatch *json.UnmarshalTypeError) string {
	switch {
	case mismatch.Field == messagesField && mismatch.Type.Kind() == reflect.Slice:
		return "[]" + typeNamePrefix + messageTypeName
	case mismatch.Field == messagesField:
		return typeNamePrefix + messageTypeName
	case mismatch.Field == streamOptionsField:
		return streamOptionsTypeName
	}
	return mismatch.Type.String()
}
