package leasedtasks

import (
	"context"
	"reflect"
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/testkit/golden"
	"rampspread/routing"
)

// goldenProber notes the header by which a replica is asked, and gives one report.
type goldenProber struct{ duty string }

func (p *goldenProber) PollLoadFor(duty string, _ dispatch.Target, _ time.Duration, told func(*routing.LoadReport)) {
	p.duty = duty
	told(&routing.LoadReport{Memory: 0.25, QueuedKiloTokens: 2, QueuedRequests: 3.5, SlotUtilization: 0.75})
}

type goldenList struct{}

func (goldenList) Version() uint64                      { return 301 }
func (goldenList) Peek(context.Context) (uint64, error) { return 300, nil }
func (goldenList) Refresh()                             {}

// The names of duties are hashed into what members claim, the name and the lease's number go to replicas in a header, and what was
// found goes to all members.
func TestGoldenResults(t *testing.T) {
	prober := &goldenProber{}
	var heard []dispatch.PeerLoad
	tasks := New(prober, goldenList{}, func(h []dispatch.PeerLoad) bool { heard = h; return true }, time.Now)
	tasks.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", State: routing.Ready}})
	if got := tasks.Names(); !slices.Equal(got, []string{"list", "probe/s-1"}) {
		t.Fatalf("duties %v", got)
	}
	found := make(chan []byte, 1)
	tasks.Run("probe/s-1", 77, func(b []byte) { found <- b })
	load := golden.Bytes(t, "load.hex", <-found)
	if prober.duty != "probe/s-1 77" {
		t.Errorf("the header is %q", prober.duty)
	}
	tasks.Run("list", 78, func(b []byte) { found <- b })
	golden.Bytes(t, "list.hex", <-found)
	none := golden.Bytes(t, "load-none.hex", encodeLoad(nil))
	tasks.HandleResults([]fleet.TaskResult{{Task: "probe/s-1", Data: load, Age: time.Second}, {Task: "probe/s-2", Data: none, Age: 2 * time.Second}})
	want := []dispatch.PeerLoad{{Name: "s-1", Load: &routing.LoadReport{Memory: 0.25, QueuedKiloTokens: 2, QueuedRequests: 3.5, SlotUtilization: 0.75}, Age: time.Second}, {Name: "s-2", Age: 2 * time.Second}}
	if !reflect.DeepEqual(heard, want) || tasks.Bad() != 0 {
		t.Errorf("heard %+v, %d bad", heard, tasks.Bad())
	}
}
