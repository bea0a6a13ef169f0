package dispatch_test

import (
	"context"
	"net"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testkit"
	"rampspread/routing"
)

// heldAtMost is how long a state may be held while no attempt has reached a running replica: 300 ms by the settings and as much again,
// as the protocol's page has it for real sockets.
const heldAtMost = 600 * time.Millisecond

// silentReplica accepts connections and reads nothing of them: what is written to it is taken by this machine's kernel, and never
// reaches a running replica.
func silentReplica(t *testing.T) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// A state that has been read is let go in time though a write for it is under way, if that write never reaches a running replica.
func TestHeldStateIsLetGo(t *testing.T) {
	for name, class := range map[string]int{"may be repeated": 0, "must not run twice": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			read := make(chan time.Time, 8)
			f := testkit.NewFleet(t, testkit.ReadAt(read), testkit.Silent)
			f.Core.UpdateEndpoints(false, []dispatch.Endpoint{{Name: "w", Addr: silentReplica(t), Kind: 1, State: routing.Ready, Weight: 1}})
			client, leave := context.WithCancel(context.Background())
			defer leave()
			go f.Core.Dispatch(client, dispatch.Request{Call: dispatch.Call{ID: "held", Method: "POST", Target: "/v1/chat/completions", Body: []byte("{}")},
				Class: class, PromptTokens: 100, Deadline: time.Now().Add(5 * time.Second)})
			from := <-read
			testkit.Eventually(t, "the release", func() bool { return f.Reader.Releases("held") > 0 || time.Since(from) > 2*heldAtMost })
			if took := time.Since(from); took > heldAtMost {
				t.Errorf("the state was still held %v after its read", took)
			}
		})
	}
}

// What a read leaves that is given up while its replica is silent is let go again and again: the close does not reach the replica either,
// and the read may end well long after it.
func TestLostReadIsFollowed(t *testing.T) {
	t.Parallel()
	f := testkit.NewFleet(t, testkit.Read, testkit.Silent)
	f.Core.UpdateEndpoints(false, []dispatch.Endpoint{{Name: "r", Addr: silentReplica(t), Kind: 0, State: routing.Ready, Weight: 1}})
	f.Core.Dispatch(context.Background(), dispatch.Request{Call: dispatch.Call{ID: "lost", Method: "POST", Target: "/v1/chat/completions", Body: []byte("{}")},
		PromptTokens: 100, Deadline: time.Now().Add(200 * time.Millisecond)})
	answered := time.Now()
	const late = time.Second // after the answer
	before := 0
	testkit.Eventually(t, "a release long after the answer", func() bool {
		n := f.Writer.Releases("lost")
		if time.Since(answered) < late {
			before = n
		}
		return n > before || time.Since(answered) > 4*late
	})
	if n := f.Writer.Releases("lost"); n == before || before == 0 {
		t.Errorf("%d releases within %v, %d in all", before, late, n)
	}
}
