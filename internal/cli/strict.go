package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// DecodeStrict decodes an operators' file into a value: one JSON object, in which every key must be known.
func DecodeStrict(contents []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(contents))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("not the form of this file: %w", err)
	}
	if decoder.More() {
		return errors.New("more than one object")
	}
	return nil
}
