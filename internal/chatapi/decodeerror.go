package chatapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Type names in the error texts that clients receive for a value of the wrong type. They used to be the names of Go
// types, and stay as clients know them, whatever the types are called now.
const (
	requestTypeName       = "ask"
	messageTypeName       = "message"
	typeNamePrefix        = "chat."
	streamOptionsTypeName = `struct { IncludeUsage bool "json:\"include_usage\"" }`
)

// Paths of a request's fields, as encoding/json reports them.
const (
	messagesField      = "Messages"
	streamOptionsField = "stream_options"
)

// decodeError returns the error that clients receive for an error of encoding/json, whose own text for a value of the
// wrong type contains names of Go types.
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

// enclosingTypeName names the type that holds a field; the type of the stream options has none.
func enclosingTypeName(field string) string {
	switch {
	case strings.HasPrefix(field, messagesField+"."):
		return messageTypeName
	case strings.HasPrefix(field, streamOptionsField+"."):
		return ""
	}
	return requestTypeName
}

// fieldTypeName names the type that a value should have had.
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
