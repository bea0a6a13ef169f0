package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// DecodeStrict decodes the JSON text of a configuration or scenario file into the value that into points to. The text
// must be exactly one JSON object, without unknown keys.
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
