package app

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/testutil"
)

// A process that shuts down just after a client has disconnected must not exit before a replica has received the
// release. Here the replicas that it sends the release to first do not answer.
func TestShutdownAwaitsTheLastRelease(t *testing.T) {
	prefillDone, finish := make(chan bool, 1), make(chan struct{})
	defer close(finish)
	prefill := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			select { // accepts the call and does not answer, so that the reservation remains
			case <-finish:
			case <-r.Context().Done():
			}
			return
		}
		testutil.ServePrefill(w, r, 0)
		prefillDone <- true
	}))
	defer prefill.Close()
	defer prefill.CloseClientConnections()
	var released atomic.Bool
	decode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			released.Store(true)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		testutil.NeverRespond(w, r, 0)
	}))
	defer decode.Close()
	defer decode.CloseClientConnections()
	list := endpointList(prefill.Listener.Addr().String(), decode.Listener.Addr().String())
	for i := range 6 { // draining replicas get no requests, but they get releases
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = strings.TrimSuffix(list, "]}") + fmt.Sprintf(
			`,{"instanceId":"a%d","hostPort":%q,"zone":"wien","machineType":"decode-a","lifecycle":"draining","weight":1}]}`, i, l.Addr())
	}
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	process, out := startProcess(t, "", writeFile(t, "config.json", configText(listen, discovery, list)))
	awaitReady(t, listen)
	client := dial(t, listen)
	io.WriteString(client, requestText("gone", "{}"))
	<-prefillDone
	process.Process.Signal(syscall.SIGTERM)
	// During this time the process closes its listeners and sends the releases that are due while the decode replica is
	// silent. Those must not be counted as the release after the client has disconnected. Afterwards the process waits
	// only for this client.
	time.Sleep(1500 * time.Millisecond)
	released.Store(false)
	client.Close()
	if err := process.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if !released.Load() {
		t.Errorf("the process exited before a replica had received its release: %s", out.String())
	}
}

// The time until SIGKILL depends on the settings in force. After a reload with shorter deadlines, a replaced process
// must abandon its unanswered requests, and release their reservations, before the earlier time at which it may be
// killed.
func TestReplacedProcessAbandonsBySettingsInForce(t *testing.T) {
	prefillDone := make(chan bool, 1)
	prefill := testutil.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		testutil.ServePrefill(w, r, n)
		prefillDone <- true
	})
	decode := testutil.NewReplica(t, testutil.NeverRespond)
	list := endpointList(prefill.Addr, decode.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen, folder, adminAddress := freeAddr(t), t.TempDir(), freeAddr(t)
	text := configText(listen, discovery, list)
	config := writeFile(t, "config.json", text)
	old, out := startAdminProcess(t, config, adminAddress, "-handover", folder)
	awaitServing(t, adminAddress)
	shorter := strings.NewReplacer(`"hardLimitMs":5000`, `"hardLimitMs":1000`, `"hardLimitMs":15000`, `"hardLimitMs":1000`,
		`"promiseMs":1200`, `"promiseMs":500`, `"promiseMs":3000`, `"promiseMs":500`).Replace(text)
	if err := os.WriteFile(config, []byte(shorter), 0o600); err != nil {
		t.Fatal(err)
	}
	old.Process.Signal(syscall.SIGHUP)
	testutil.Eventually(t, "the reload", func() bool { return strings.Contains(out.String(), "event=reloaded") })
	client := dial(t, listen)
	io.WriteString(client, requestText("open", "{}"))
	<-prefillDone
	startWithTransferDir(t, config, folder)
	old.Process.Signal(syscall.SIGTERM)
	const shortGrace = 1700 * time.Millisecond // a deadline of 1 s plus 0.7 s
	client.SetReadDeadline(time.Now().Add(shortGrace))
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Errorf("unanswered when the process may be killed: %v\n%s", err, out.String())
	}
}
