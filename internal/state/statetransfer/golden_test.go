package statetransfer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"rampspread/internal/state/atomicfile"
	"rampspread/internal/testutil/golden"
	"rampspread/routing"
)

// Processes of different versions exchange snapshots on disk and over the network, in the form that commit 1ac8dd0
// wrote: this magic string, followed by two gob values with the field names of the types below.
const (
	goldenMagic    = "rampspread beliefs 1\n"
	goldenName     = "golden"
	goldenSettings = 0x0102030405060708
)

type (
	oldHeader struct {
		Name     string
		Settings uint64
	}
	oldSnapshot struct {
		At          time.Duration
		Read, Fetch oldLatencyModel
		Lag         oldDecayedMean
		Scatter     oldDecayedMean
		Trust       oldDecayedMean
		Arrivals    oldDecayedMean
		Each        oldDecayedMean
		Texts       []oldPrefixCacheEntry
		Servers     []oldEndpointStats
	}
	oldLatencyModel struct {
		A  [3][3]float64
		B  [3]float64
		At time.Duration
	}
	oldDecayedMean struct {
		Sum, N float64
		At     time.Duration
	}
	oldEWMA struct {
		Value float64
		At    time.Duration
	}
	oldPrefixCacheEntry struct {
		Key    uint64
		Reader uint32
		Tokens int
		At     time.Duration
		Asked  oldDecayedMean
	}
	oldEndpointStats struct {
		ID       uint32
		Started  time.Duration
		VoidTill time.Duration
		Heard    time.Duration
		Health   []oldEWMA
		Excess   oldDecayedMean
		Wait     oldDecayedMean
		Turn     float64
	}
)

var (
	goldenPrefillA = [3][3]float64{{1.5, 2.5, 3.5}, {4.5, 5.5, 6.5}, {7.5, 8.5, 9.5}}
	goldenDecodeA  = [3][3]float64{{21.5, 22.5, 23.5}, {24.5, 25.5, 26.5}, {27.5, 28.5, 29.5}}
)

func goldenSnapshot() routing.Snapshot {
	return routing.Snapshot{
		TakenAt:               101,
		PrefillModel:          routing.LatencyModel{Normal: goldenPrefillA, Moments: [3]float64{10.5, 11.5, 12.5}, At: 102},
		DecodeModel:           routing.LatencyModel{Normal: goldenDecodeA, Moments: [3]float64{30.5, 31.5, 32.5}, At: 103},
		CommonQueueDelay:      routing.DecayedMean{Sum: 41.5, Count: 42.5, At: 104},
		EstimateError:         routing.DecayedMean{Sum: 43.5, Count: 44.5, At: 105},
		CacheHitRatio:         routing.DecayedMean{Sum: 45.5, Count: 46.5, At: 106},
		Arrivals:              routing.DecayedMean{Sum: 47.5, Count: 48.5, At: 107},
		DelayPerQueuedRequest: routing.DecayedMean{Sum: 49.5, Count: 50.5, At: 108},
		Prefixes: []routing.PrefixCacheEntry{
			{
				Key: 1<<63 + 1, Endpoint: 1<<31 + 1, Tokens: 1<<40 + 1, UpdatedAt: 109,
				Requests: routing.DecayedMean{Sum: 51.5, Count: 52.5, At: 110},
			},
			{
				Key: 111, Endpoint: 112, Tokens: 113, UpdatedAt: 114,
				Requests: routing.DecayedMean{Sum: 53.5, Count: 54.5, At: 115},
			},
		},
		Endpoints: []routing.EndpointStats{
			{
				ID: 1<<31 + 2, Started: -116, CacheValidFrom: 117, LastResponse: 118,
				Health:          []routing.EWMA{{Value: 55.5, At: 119}, {Value: 56.5, At: 120}},
				QueueDelay:      routing.DecayedMean{Sum: 57.5, Count: 58.5, At: 121},
				FirstTokenDelay: routing.DecayedMean{Sum: 59.5, Count: 60.5, At: 122},
				SlowStartCredit: 61.5,
			},
			{
				ID: 123, Started: 1<<62 + 124, CacheValidFrom: 125, LastResponse: 126,
				Health:          []routing.EWMA{{Value: 62.5, At: 127}},
				QueueDelay:      routing.DecayedMean{Sum: 63.5, Count: 64.5, At: 128},
				FirstTokenDelay: routing.DecayedMean{Sum: 65.5, Count: 66.5, At: 129},
				SlowStartCredit: 67.5,
			},
		},
	}
}

// goldenOldSnapshot returns the values of goldenSnapshot in the old types.
func goldenOldSnapshot() oldSnapshot {
	return oldSnapshot{
		At:       101,
		Read:     oldLatencyModel{A: goldenPrefillA, B: [3]float64{10.5, 11.5, 12.5}, At: 102},
		Fetch:    oldLatencyModel{A: goldenDecodeA, B: [3]float64{30.5, 31.5, 32.5}, At: 103},
		Lag:      oldDecayedMean{Sum: 41.5, N: 42.5, At: 104},
		Scatter:  oldDecayedMean{Sum: 43.5, N: 44.5, At: 105},
		Trust:    oldDecayedMean{Sum: 45.5, N: 46.5, At: 106},
		Arrivals: oldDecayedMean{Sum: 47.5, N: 48.5, At: 107},
		Each:     oldDecayedMean{Sum: 49.5, N: 50.5, At: 108},
		Texts: []oldPrefixCacheEntry{
			{Key: 1<<63 + 1, Reader: 1<<31 + 1, Tokens: 1<<40 + 1, At: 109, Asked: oldDecayedMean{Sum: 51.5, N: 52.5, At: 110}},
			{Key: 111, Reader: 112, Tokens: 113, At: 114, Asked: oldDecayedMean{Sum: 53.5, N: 54.5, At: 115}},
		},
		Servers: []oldEndpointStats{
			{ID: 1<<31 + 2, Started: -116, VoidTill: 117, Heard: 118,
				Health: []oldEWMA{{Value: 55.5, At: 119}, {Value: 56.5, At: 120}},
				Excess: oldDecayedMean{Sum: 57.5, N: 58.5, At: 121}, Wait: oldDecayedMean{Sum: 59.5, N: 60.5, At: 122}, Turn: 61.5},
			{ID: 123, Started: 1<<62 + 124, VoidTill: 125, Heard: 126, Health: []oldEWMA{{Value: 62.5, At: 127}},
				Excess: oldDecayedMean{Sum: 63.5, N: 64.5, At: 128}, Wait: oldDecayedMean{Sum: 65.5, N: 66.5, At: 129}, Turn: 67.5},
		},
	}
}

func goldenExchange() Exchange { return Exchange{Name: goldenName, Settings: goldenSettings} }

// The bytes that commit 1ac8dd0 wrote are read to the same values. They are not compared with the bytes written now,
// since these depend on which types the process encoded before, and contain the names of the types, which no decoder
// uses.
func TestGoldenBytesAreRead(t *testing.T) {
	current, err := goldenExchange().Encode(goldenSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	got, err := goldenExchange().Decode(golden.ReadSparseBytes(t, "beliefs.hex", current))
	if err != nil || !reflect.DeepEqual(got, goldenSnapshot()) {
		t.Errorf("read %+v, %v", got, err)
	}
	got, err = goldenExchange().Decode(current)
	if err != nil || !reflect.DeepEqual(got, goldenSnapshot()) {
		t.Errorf("encoded and decoded: %+v, %v", got, err)
	}
}

// A program of commit 1ac8dd0 can read all fields that this program writes.
func TestGoldenEncodingIsReadByOldProgram(t *testing.T) {
	encoded, err := goldenExchange().Encode(goldenSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	body, err := atomicfile.Open(goldenMagic, encoded)
	if err != nil {
		t.Fatal(err)
	}
	decoder := gob.NewDecoder(bytes.NewReader(body))
	var owner oldHeader
	if err := decoder.Decode(&owner); err != nil || owner != (oldHeader{Name: goldenName, Settings: goldenSettings}) {
		t.Errorf("read the header %+v, %v", owner, err)
	}
	var snapshot oldSnapshot
	if err := decoder.Decode(&snapshot); err != nil || !reflect.DeepEqual(snapshot, goldenOldSnapshot()) {
		t.Errorf("read %+v, %v", snapshot, err)
	}
}

// This program reads all fields that a program of commit 1ac8dd0 writes, and accepts only snapshots with its own name
// and settings.
func TestGoldenOldEncodingIsRead(t *testing.T) {
	var body bytes.Buffer
	encoder := gob.NewEncoder(&body)
	if err := encoder.Encode(oldHeader{Name: goldenName, Settings: goldenSettings}); err != nil {
		t.Fatal(err)
	}
	if err := encoder.Encode(goldenOldSnapshot()); err != nil {
		t.Fatal(err)
	}
	encoded := atomicfile.Seal(goldenMagic, body.Bytes())
	got, err := goldenExchange().Decode(encoded)
	if err != nil || !reflect.DeepEqual(got, goldenSnapshot()) {
		t.Errorf("read %+v, %v", got, err)
	}
	for _, other := range []Exchange{
		{Name: "other", Settings: goldenSettings},
		{Name: goldenName, Settings: goldenSettings + 1},
	} {
		if _, err := other.Decode(encoded); err == nil {
			t.Errorf("%+v accepted a snapshot of another owner", other)
		}
	}
}

// The values above set every field, so that these tests cover each new or renamed field.
func TestGoldenValuesSetEveryField(t *testing.T) {
	for _, zero := range zeroFields("Snapshot", reflect.ValueOf(goldenSnapshot())) {
		t.Errorf("%s is zero", zero)
	}
	for _, zero := range zeroFields("oldSnapshot", reflect.ValueOf(goldenOldSnapshot())) {
		t.Errorf("%s is zero", zero)
	}
}

// zeroFields returns the paths of all zero fields and elements of a value.
func zeroFields(path string, v reflect.Value) (zero []string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			zero = append(zero, zeroFields(path+"."+v.Type().Field(i).Name, v.Field(i))...)
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			zero = append(zero, path)
		}
		for i := range v.Len() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i))...)
		}
	default:
		if v.IsZero() {
			zero = append(zero, path)
		}
	}
	return zero
}

// The serialized types have exactly the fields that they had in commit 1ac8dd0, by name and kind.
func TestGoldenShapeOfRecords(t *testing.T) {
	for _, pair := range [][2]reflect.Type{
		{reflect.TypeFor[header](), reflect.TypeFor[oldHeader]()},
		{reflect.TypeFor[snapshotRecord](), reflect.TypeFor[oldSnapshot]()},
	} {
		if got, want := shape(pair[0]), shape(pair[1]); got != want {
			t.Errorf("%v is\n%s\nnot\n%s", pair[0], got, want)
		}
	}
}

// shape returns the names and kinds of a type's fields, without the names of types, which gob does not compare.
func shape(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		fields := make([]string, t.NumField())
		for i := range fields {
			fields[i] = t.Field(i).Name + " " + shape(t.Field(i).Type)
		}
		return "{" + strings.Join(fields, "; ") + "}"
	case reflect.Slice:
		return "[]" + shape(t.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", t.Len(), shape(t.Elem()))
	default:
		return t.Kind().String()
	}
}

// Processes of different versions exchange files with these names.
func TestGoldenFileNames(t *testing.T) {
	exchange := Exchange{Dir: "folder", Name: "a/b\x01c"}
	for extension, want := range map[string]string{
		".beliefs": "rampspread-a_b_c.beliefs",
		".ask":     "rampspread-a_b_c.ask",
	} {
		if got := exchange.path(extension); got != filepath.Join("folder", want) {
			t.Errorf("%s: %s", extension, got)
		}
	}
}
