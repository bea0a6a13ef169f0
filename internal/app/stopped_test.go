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

	"rampspread/internal/testkit"
)

// A process that is stopped learns all at once that its reads have ended and that their clients have left: no attempt begins for them.
func TestClientsThatLeftWhileStopped(t *testing.T) {
	const many = 30
	let := make(chan bool)
	var reading atomic.Int64
	reader := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		reading.Add(1)
		<-let
		testkit.Read(w, r, n)
	})
	writer := testkit.NewReplica(t, testkit.Write("alpha"))
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	program, _ := start(t, "", file(t, "config.json", configText(listen, discovery, list)))
	ready(t, listen)
	var clients []net.Conn
	for i := range many {
		c := dialTo(t, listen)
		io.WriteString(c, wireText(fmt.Sprintf("left-%d", i), "{}"))
		clients = append(clients, c)
	}
	testkit.Eventually(t, "all reads", func() bool { return reading.Load() == many })
	program.Process.Signal(syscall.SIGSTOP)
	for _, c := range clients {
		c.Close()
	}
	time.Sleep(200 * time.Millisecond) // over the 0.1 s in which an attempt may still begin
	close(let)
	time.Sleep(100 * time.Millisecond) // for the answers to reach the stopped process's sockets
	program.Process.Signal(syscall.SIGCONT)
	time.Sleep(500 * time.Millisecond) // in which a write would have come
	if n, _ := writer.Calls(); n > 0 {
		t.Errorf("%d of %d clients that had left were sent on", n, many)
	}
}
