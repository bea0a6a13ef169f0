package leasedtasks

import (
	"context"
	"reflect"
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/testutil/golden"
	"rampspread/routing"
)

// goldenPoller notes the header that a replica is polled with, and answers with one report.
type goldenPoller struct{ lease string }

func goldenLoad() *routing.LoadReport {
	return &routing.LoadReport{Memory: 0.25, QueuedKiloTokens: 2, QueuedRequests: 3.5, SlotUtilization: 0.75}
}

func (p *goldenPoller) PollLoadFor(lease string, _ dispatch.EndpointAddress, _ time.Duration, done func(*routing.LoadReport)) {
	p.lease = lease
	done(goldenLoad())
}

type goldenList struct{}

func (goldenList) Version() uint64                      { return 301 }
func (goldenList) Peek(context.Context) (uint64, error) { return 300, nil }
func (goldenList) Refresh()                             {}

// Members hash the names of tasks to agree on leases; the name and the fencing token go to replicas in a header; results go
// to all members.
func TestGoldenResults(t *testing.T) {
	poller := &goldenPoller{}
	var applied []dispatch.PeerLoad
	tasks := New(poller, goldenList{}, func(loads []dispatch.PeerLoad) bool { applied = loads; return true }, time.Now)
	tasks.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", State: routing.Ready}})
	if got := tasks.Names(); !slices.Equal(got, []string{"list", "probe/s-1"}) {
		t.Fatalf("tasks %v", got)
	}
	found := make(chan []byte, 1)
	tasks.Run("probe/s-1", 77, func(b []byte) { found <- b })
	load := golden.Bytes(t, "load.hex", <-found)
	if poller.lease != "probe/s-1 77" {
		t.Errorf("the header is %q", poller.lease)
	}
	tasks.Run("list", 78, func(b []byte) { found <- b })
	golden.Bytes(t, "list.hex", <-found)
	none := golden.Bytes(t, "load-none.hex", encodeLoad(nil))
	tasks.HandleResults([]fleet.TaskResult{
		{Task: "probe/s-1", Data: load, Age: time.Second},
		{Task: "probe/s-2", Data: none, Age: 2 * time.Second},
	})
	want := []dispatch.PeerLoad{{Name: "s-1", Load: goldenLoad(), Age: time.Second}, {Name: "s-2", Age: 2 * time.Second}}
	if !reflect.DeepEqual(applied, want) || tasks.Malformed() != 0 {
		t.Errorf("applied %+v, %d bad", applied, tasks.Malformed())
	}
}
