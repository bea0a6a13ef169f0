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

// goldenPoller records the lease header that a replica is polled with, and always returns the same report.
type goldenPoller struct{ lease string }

func goldenLoad() *routing.LoadReport {
	return &routing.LoadReport{Memory: 0.25, QueuedKiloTokens: 2, QueuedRequests: 3.5, SlotUtilization: 0.75}
}

func (p *goldenPoller) PollLoadFor(lease string, _ dispatch.EndpointAddress, _ time.Duration, done func(*routing.LoadReport)) {
	p.lease = lease
	done(goldenLoad())
}

type goldenList struct{}

func (goldenList) Version() uint64                              { return 301 }
func (goldenList) FetchVersion(context.Context) (uint64, error) { return 300, nil }
func (goldenList) Refresh()                                     {}

// The names of tasks, the header of polls and the encoding of results must be the same in all versions: members hash
// the names to agree on leases, replicas receive the name and the fencing token in a header, and all members receive
// the results.
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
		t.Errorf("applied %+v, %d malformed", applied, tasks.Malformed())
	}
}
