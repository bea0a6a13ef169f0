package hostos

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The faults file is written and read by programs of different versions, so its JSON form must not change.
func TestGoldenFaults(t *testing.T) {
	const text = `{"wall_step_ms":1,"fails":{"accept":{"errno":2,"every":3,"delay_ms":4},"connect":{"errno":5,"every":6,"delay_ms":7},` +
		`"rename":{"errno":14,"every":15,"delay_ms":16},"sync":{"errno":11,"every":12,"delay_ms":13},"write":{"errno":8,"every":9,"delay_ms":10}}}`
	want := Faults{WallStepMS: 1, Failures: map[Op]Failure{
		Accept: {Errno: 2, Every: 3, DelayMS: 4}, Connect: {Errno: 5, Every: 6, DelayMS: 7}, Write: {Errno: 8, Every: 9, DelayMS: 10},
		Sync: {Errno: 11, Every: 12, DelayMS: 13}, Rename: {Errno: 14, Every: 15, DelayMS: 16},
	}}
	path := filepath.Join(t.TempDir(), "faults.json")
	if err := want.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != text {
		t.Errorf("wrote %s, %v, want %s", got, err, text)
	}
	var got Faults
	if err := json.Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
}
