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

	"rampspread/internal/testkit"
)

// A process that ends just after a client has left waits until a replica has taken the release for it: those that it asks first are silent.
func TestReleaseOutlivesTheLastClient(t *testing.T) {
	read, release := make(chan bool, 1), make(chan struct{})
	defer close(release)
	reader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			select { // it takes the call and says nothing, and what it holds stays
			case <-release:
			case <-r.Context().Done():
			}
			return
		}
		testkit.Read(w, r, 0)
		read <- true
	}))
	defer reader.Close()
	defer reader.CloseClientConnections()
	var taken atomic.Bool
	writer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			taken.Store(true)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		testkit.Silent(w, r, 0)
	}))
	defer writer.Close()
	defer writer.CloseClientConnections()
	list := listText(reader.Listener.Addr().String(), writer.Listener.Addr().String())
	for i := range 6 { // they drain: nothing is sent to them, and they are asked for releases
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = strings.TrimSuffix(list, "]}") + fmt.Sprintf(
			`,{"instanceId":"a%d","hostPort":%q,"zone":"wien","machineType":"decode-a","lifecycle":"draining","weight":1}]}`, i, l.Addr())
	}
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	process, out := start(t, "", file(t, "config.json", configText(listen, discovery, list)))
	ready(t, listen)
	client := dialTo(t, listen)
	io.WriteString(client, wireText("left", "{}"))
	<-read
	process.Process.Signal(syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond) // it has closed its listeners, and waits for this client alone
	taken.Store(false)                  // what was let go meanwhile, while the write was silent
	client.Close()
	if err := process.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if !taken.Load() {
		t.Errorf("the process ended before its release was taken: %s", out.String())
	}
}

// The time until SIGKILL goes by the settings in force: after a new configuration with shorter deadlines a replaced process gives up what
// is unanswered, and lets it go, before the earlier moment in which it may be killed.
func TestGivesUpByTheSettingsInForce(t *testing.T) {
	read := make(chan bool, 1)
	reader := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		testkit.Read(w, r, n)
		read <- true
	})
	writer := testkit.NewReplica(t, testkit.Silent)
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen, folder, ops := freeAddr(t), t.TempDir(), freeAddr(t)
	text := configText(listen, discovery, list)
	config := file(t, "config.json", text)
	old, out := process(t, config, ops, "-handover", folder)
	saysYes(t, ops)
	shorter := strings.NewReplacer(`"hardLimitMs":5000`, `"hardLimitMs":1000`, `"hardLimitMs":15000`, `"hardLimitMs":1000`,
		`"promiseMs":1200`, `"promiseMs":500`, `"promiseMs":3000`, `"promiseMs":500`).Replace(text)
	if err := os.WriteFile(config, []byte(shorter), 0o600); err != nil {
		t.Fatal(err)
	}
	old.Process.Signal(syscall.SIGHUP)
	testkit.Eventually(t, "the reload", func() bool { return strings.Contains(out.String(), "event=reloaded") })
	client := dialTo(t, listen)
	io.WriteString(client, wireText("open", "{}"))
	<-read
	replaceable(t, config, folder)
	old.Process.Signal(syscall.SIGTERM)
	const earliest = 1700 * time.Millisecond // a deadline of 1 s, and 0.7 s more
	client.SetReadDeadline(time.Now().Add(earliest))
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Errorf("unanswered as the process may be killed: %v\n%s", err, out.String())
	}
}
