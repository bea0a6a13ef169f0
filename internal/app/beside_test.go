package app

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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

	old := replaceable(t, config, folder, "-chat", chatFile)
	go held()
	go filing()
	<-in
	<-in
	replaceable(t, config, folder, "-chat", chatFile)
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

// A process that another takes the place of answers what is still unanswered before it can be killed, and lets go of what replicas
// hold for it: the two count as one, and nobody else could.
func TestReplacedLetsGoInTime(t *testing.T) {
	in := make(chan bool, 1)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		in <- true
		<-r.Context().Done()
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen, folder := freeAddr(t), t.TempDir()
	config := file(t, "config.json", configText(listen, discovery, list))
	old := replaceable(t, config, folder)
	answer := make(chan int, 1)
	go func() { status, _ := post(t, listen, "held", "{}"); answer <- status }()
	<-in
	replaceable(t, config, folder)
	term := time.Now()
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	const grace = 3700 * time.Millisecond // of the test's settings: deadlines of 5 and 15 s
	select {
	case status := <-answer:
		if took := time.Since(term); status != http.StatusBadGateway || took < grace-time.Second {
			t.Errorf("status %d after %v", status, took)
		}
	case <-time.After(grace):
		t.Fatal("it would be killed with an answer owed")
	}
	// The second one is for what the end of a read in that moment may have left.
	testkit.Eventually(t, "both releases", func() bool { return reader.Releases("held")+writer.Releases("held") > 1 })
	if took := time.Since(term); took > grace {
		t.Errorf("it let go after %v", took)
	}
}

// replaceable starts a process that shares a folder with others of its name, and returns once it serves.
func replaceable(t *testing.T, config, folder string, args ...string) *exec.Cmd {
	t.Helper()
	ops := freeAddr(t)
	p, _ := process(t, config, ops, append([]string{"-handover", folder}, args...)...)
	saysYes(t, ops)
	return p
}
