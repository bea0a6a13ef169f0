package upstream_test

import (
	"syscall"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// A moment in which this process has no descriptor left is no fault of the replica's, and costs the attempt a moment.
func TestConnectWithoutDescriptors(t *testing.T) {
	r := testkit.NewReplica(t, testkit.Read)
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	defer pool.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 3 // the standard ones are open
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: r.Addr}, Timeout: 5 * time.Second}, ev)
	time.Sleep(30 * time.Millisecond)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if o := <-ev.ended; o.Outcome != routing.PrefillDone {
		t.Errorf("ended with %d, want a read", o.Outcome)
	}
}
