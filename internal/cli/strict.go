package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Strict reads an operators' file: one JSON object, in which every word must be known.
func Strict(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("not the form of this file: %w", err)
	}
	if d.More() {
		return errors.New("more than one object")
	}
	return nil
}
