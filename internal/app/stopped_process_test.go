package app

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/testutil"
)

// A process that was stopped (SIGSTOP) receives the end of its prefills and the disconnects of their clients at the
// same time when it continues. It must start no attempt for those clients.
func TestClientsGoneWhileStoppedAreNotForwarded(t *testing.T) {
	const clientCount = 30
	finish := make(chan bool)
	var prefilling atomic.Int64
	prefill := testutil.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		prefilling.Add(1)
		<-finish
		testutil.ServePrefill(w, r, n)
	})
	decode := testutil.NewReplica(t, testutil.ServeDecode("alpha"))
	list := endpointList(prefill.Addr, decode.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	program, _ := startProcess(t, "", writeFile(t, "config.json", configText(listen, discovery, list)))
	awaitReady(t, listen)
	var clients []net.Conn
	for i := range clientCount {
		c := dial(t, listen)
		io.WriteString(c, requestText(fmt.Sprintf("gone-%d", i), "{}"))
		clients = append(clients, c)
	}
	testutil.Eventually(t, "all prefills", func() bool { return prefilling.Load() == clientCount })
	program.Process.Signal(syscall.SIGSTOP)
	for _, c := range clients {
		c.Close()
	}
	time.Sleep(200 * time.Millisecond) // longer than the 0.1 s in which an attempt may still start
	close(finish)
	time.Sleep(100 * time.Millisecond) // time for the answers to reach the stopped process's sockets
	program.Process.Signal(syscall.SIGCONT)
	time.Sleep(500 * time.Millisecond) // long enough for a decode request to arrive
	if n, _ := decode.Calls(); n > 0 {
		t.Errorf("%d of %d requests of clients that had disconnected were forwarded", n, clientCount)
	}
}
