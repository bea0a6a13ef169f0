package discovery_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/routing"
)

const goldenList = `{"generation":2,"reset":true,"instances":[` +
	`{"instanceId":"id-1","hostPort":"127.0.0.1:1","zone":"zone-b","machineType":"kind-b","cell":3,"lifecycle":"ready","weight":4.5,"startedAtMs":1700000000001.5},` +
	`{"instanceId":"id-2","hostPort":"127.0.0.1:2","zone":"zone-a","machineType":"kind-a","cell":5,"lifecycle":"draining","weight":6.5,"startedAtMs":1700000000002}]}`

// A list in discovery's format must be read, passed on and written again without a difference.
func TestGoldenList(t *testing.T) {
	var l discovery.List
	if err := json.Unmarshal([]byte(goldenList), &l); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(l); err != nil || string(text) != goldenList {
		t.Errorf("wrote %s, %v", text, err)
	}
	var in discovery.Instance
	wantIn := discovery.Instance{ID: "id-1", HostPort: "127.0.0.1:1", Zone: "zone-b", MachineType: "kind-b", Cell: 3, Lifecycle: "ready",
		Weight: 4.5, StartedAtMS: 1700000000001.5}
	if err := json.Unmarshal(l.Instances[0], &in); err != nil || in != wantIn {
		t.Errorf("read %+v, %v, want %+v", in, err, wantIn)
	}

	settings, err := config.ParseSettings([]byte(`{"zones":["zone-a","zone-b"],"kinds":["kind-a","kind-b"]}`))
	if err != nil {
		t.Fatal(err)
	}
	var got []dispatch.Endpoint
	w := discovery.New("127.0.0.1:1", settings, 1, func(_ bool, entries []dispatch.Endpoint) { got = entries })
	if err := w.Apply(l, true); err != nil || w.Version() != 2 {
		t.Errorf("list not read completely: %v, version %d", err, w.Version())
	}
	want := []dispatch.Endpoint{
		{Name: "id-1", Addr: "127.0.0.1:1", State: routing.Ready, Zone: 1, Kind: 1, Cell: 3, Weight: 4.5, Started: time.UnixMicro(1700000000001500)},
		{Name: "id-2", Addr: "127.0.0.1:2", State: routing.Draining, Zone: 0, Kind: 0, Cell: 5, Weight: 6.5, Started: time.UnixMicro(1700000000002000)},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("passed on %+v, want %+v", got, want)
	}
	current, err := w.CurrentList()
	if err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(current); err != nil || string(text) != goldenList {
		t.Errorf("current list %s, %v, want %s", text, err, goldenList)
	}
}
