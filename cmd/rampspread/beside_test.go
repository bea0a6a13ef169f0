package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"

	"rampspread/internal/testkit"
)

// A process that starts beside another knows which ids are open there and which filings are out, whichever of the two a repeat
// reaches; after the first is killed, a filing that it had out is not run again, and the id is free.
func TestReplacementKnowsWhatIsOpen(t *testing.T) {
	let, filings := make(chan bool), atomic.Int64{}
	in := make(chan bool, 2)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if strings.Contains(r.Header.Get("Content-Type"), "json") {
			filings.Add(1)
		}
		if n < 2 { // the first two are out for as long as the test likes
			in <- true
			select {
			case <-let:
			case <-r.Context().Done():
				return
			}
		}
		testkit.Write("alpha")(w, r, n)
	})
	defer close(let)
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen, chatAt, folder := freeAddr(t), freeAddr(t), t.TempDir()
	config := file(t, "config.json", configText(listen, discovery, list))
	chatFile := file(t, "chat.json", fmt.Sprintf(`{"listen":%q,"models":{"meldung":"meldung"},"max_tokens":9,"filings":{"entries":9,"keep_s":60}}`, chatAt))
	start := func() *exec.Cmd {
		out, ops := &output{}, freeAddr(t)
		p := exec.Command(os.Args[0], "serve", "-handover", folder, "-chat", chatFile)
		p.Env = append(os.Environ(), "RAMPSPREAD_TEST_PROGRAM=1", "LB_CONFIG="+config, "LB_OPS="+ops)
		p.Stdout, p.Stderr = out, out
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.Process.Kill(); p.Wait() })
		testkit.Eventually(t, "the process to serve", func() bool {
			c, err := net.Dial("tcp", ops)
			if err != nil {
				return false
			}
			c.Close()
			return call(t, ops, "check") == "SUCCESS serving"
		})
		return p
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // each time another connection, to either process
	ask := func(at, body string, header map[string]string) (int, string) {
		r, _ := http.NewRequest(http.MethodPost, "http://"+at+"/v1/chat/completions", strings.NewReader(body))
		for name, v := range header {
			r.Header.Set(name, v)
		}
		resp, err := fresh.Do(r)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	held := func() (int, string) {
		return ask(listen, "{}", map[string]string{"X-Trace-Id": "held", "X-Qos": "frage", "X-Expires-In": "60000m", "X-Props": "prompt_len=8"})
	}
	filing := func() (int, string) {
		return ask(chatAt, `{"model":"meldung","messages":[{"role":"user","content":"hello"}]}`,
			map[string]string{"Content-Type": "application/json", "Idempotency-Key": "k1"})
	}

	old := start()
	go held()
	go filing()
	<-in
	<-in
	start()
	for range 24 {
		if status, _ := held(); status != http.StatusConflict {
			t.Fatalf("an id that is open: status %d", status)
		}
		if status, text := filing(); status != http.StatusConflict || !strings.Contains(text, "filing_in_progress") {
			t.Fatalf("a filing that is out: status %d, %s", status, text)
		}
	}
	old.Process.Kill()
	old.Wait()
	testkit.Eventually(t, "the id to be free", func() bool { status, _ := held(); return status == http.StatusOK })
	if status, text := filing(); status != http.StatusConflict || !strings.Contains(text, "filing_may_have_run") {
		t.Errorf("a filing that the one that was killed had out: status %d, %s", status, text)
	}
	if n := filings.Load(); n != 1 {
		t.Errorf("the filing was sent %d times", n)
	}
}
