package app

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

// A disk that hangs at SIGTERM must not delay the shutdown: the listener closes in time, and the snapshot for the next
// incarnation is abandoned.
func TestHungDiskDelaysNoDrain(t *testing.T) {
	faults := filepath.Join(t.TempDir(), "faults.json")
	t.Setenv("RAMPSPREAD_TEST_FAULTS", faults)
	prefill, decode := testutil.NewReplica(t, testutil.ServePrefill), testutil.NewReplica(t, testutil.ServeDecode("alpha"))
	list := endpointList(prefill.Addr, decode.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	program, out := startProcess(t, "", writeFile(t, "config.json", configText(listen, discovery, list)), "-handover", t.TempDir())
	awaitReady(t, listen)
	hungWrites := hostos.Faults{Failures: map[hostos.Op]hostos.Failure{hostos.Write: {Every: 1, DelayMS: 5000}}}
	if err := hungWrites.WriteFile(faults); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // longer than the 10 ms for which a process may cache the faults file
	program.Process.Signal(syscall.SIGTERM)
	terminated := time.Now()
	testutil.Eventually(t, "the listener's close", func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if took := time.Since(terminated); took > lameDuckTime+listenerCloseDelay+time.Second {
		t.Errorf("the listener closed %v after SIGTERM: %s", took, out.String())
	}
}
