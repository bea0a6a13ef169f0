package app

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/cli"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// call makes one operator's call by the command line and returns its answer line.
func call(t *testing.T, addr, line string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(context.Background(), system.Real(), []string{"call", "-at", addr, line}, signals{}, &out); err != nil {
		return err.Error()
	}
	return strings.TrimSpace(out.String())
}

func healthz(t *testing.T, listen string) int {
	t.Helper()
	resp, err := http.Get("http://" + listen + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// The operators' calls on LB_OPS: check, and a drain that healthz shows and that drain-off ends. SIGHUP retunes
// the classes; a broken file changes nothing, not even discovery's address.
func TestOperatorCallsAndRetune(t *testing.T) {
	reader, writer := testkit.NewReplica(t, testkit.Read), testkit.NewReplica(t, testkit.Write("alpha"))
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen, opsAddr := freeAddr(t), freeAddr(t)
	config := file(t, "config.json", configText(listen, discovery, list))
	t.Setenv("LB_CONFIG", config)
	t.Setenv("LB_OPS", opsAddr)
	ctx, term := context.WithCancel(context.Background())
	defer term()
	reload, out, ended := make(chan os.Signal), &output{}, make(chan error, 1)
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(cli.LogHandler(out))) // the events of the program, which this test reads
	go func() {
		ended <- run(ctx, system.Real(), []string{"serve"}, signals{print: make(chan os.Signal), reload: reload}, out)
	}()
	ready(t, listen)
	for _, c := range []struct{ call, want string }{
		{"check", "SUCCESS serving"}, {"drain-on", "SUCCESS draining"}, {"check", "SUCCESS serving, drained"},
		{"restart", "FAILURE unknown call"},
	} {
		if got := call(t, opsAddr, c.call); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %q", c.call, got, c.want)
		}
	}
	if status := healthz(t, listen); status != http.StatusServiceUnavailable {
		t.Errorf("drained: healthz %d", status)
	}
	if got := call(t, opsAddr, "drain-off"); got != "SUCCESS serving" || healthz(t, listen) != 200 {
		t.Errorf("drain-off: %q", got)
	}

	ask := func(class string) int {
		r, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
		for name, v := range map[string]string{"X-Trace-Id": "a" + class, "X-Qos": class, "X-Expires-In": "60000m",
			"X-Props": "prompt_len=8"} {
			r.Header.Set(name, v)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	retune := func(text string) {
		t.Helper()
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n := strings.Count(out.String(), "event=reload")
		reload <- os.Interrupt
		testkit.Eventually(t, "the reload", func() bool { return strings.Count(out.String(), "event=reload") > n })
	}
	added := strings.Replace(configText(listen, discovery, list), `{"name":"frage"`,
		`{"name":"neu","effect":"retryable","importance":1,"promiseMs":900,"hardLimitMs":4000},{"name":"frage"`, 1)
	broken := strings.Replace(strings.Replace(configText(listen, "127.0.0.1:1", list), `"hardLimitMs":5000`,
		`"hardLimitMs":0`, 1), `"name":"frage"`, `"name":"frage2"`, 1)
	if ask("neu") != 400 {
		t.Error("a class that is not in the settings yet was taken")
	}
	retune(added)
	if status := ask("neu"); status != 200 {
		t.Errorf("the class that a retune added: status %d", status)
	}
	retune(broken)
	if got := out.String(); !strings.Contains(got, "event=reload_failed") || strings.Contains(got, "127.0.0.1:1 ") ||
		ask("frage") != 200 {
		t.Errorf("a broken file was taken: %s", out.String())
	}
	term()
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// process starts the program itself, with an ops address of its own, and ends it with the test.
func process(t *testing.T, config, ops string, args ...string) (*exec.Cmd, *output) {
	t.Helper()
	out := &output{}
	p := exec.Command(os.Args[0], append([]string{"serve"}, args...)...)
	p.Env = append(os.Environ(), "RAMPSPREAD_TEST_PROGRAM=1", "LB_CONFIG="+config, "LB_OPS="+ops)
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	return p, out
}

// saysYes waits until a process says on its ops address that it serves.
func saysYes(t *testing.T, ops string) {
	t.Helper()
	testkit.Eventually(t, "the process to say yes", func() bool {
		c, err := net.Dial("tcp", ops)
		if err != nil {
			return false
		}
		c.Close()
		return call(t, ops, "check") == "SUCCESS serving"
	})
}

// A second process starts beside the first on the same client address, says yes on its own ops address, and
// after SIGTERM to the first every request is answered, by one or the other, with nothing lost.
func TestReplacementBesideTheFirst(t *testing.T) {
	in, let := make(chan bool, 1), make(chan bool)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 0 { // the first is held across SIGTERM, and must still be answered
			in <- true
			<-let
		}
		testkit.Write("alpha")(w, r, n)
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	config := file(t, "config.json", configText(listen, discovery, list))
	oldOps, newOps := freeAddr(t), freeAddr(t)
	old, oldOut := process(t, config, oldOps)
	ready(t, listen)
	held := make(chan int)
	go func() { status, _ := post(t, listen, "held", `{}`); held <- status }()
	<-in
	_, newOut := process(t, config, newOps)
	saysYes(t, newOps)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i := range 40 { // across the old one's last accepting and its end
		if status, text := post(t, listen, fmt.Sprintf("r%d", i), `{}`); status != 200 || text != testkit.Answer("alpha") {
			t.Errorf("request %d: status %d, %q", i, status, text)
		}
		time.Sleep(25 * time.Millisecond)
	}
	close(let)
	if status := <-held; status != 200 {
		t.Errorf("the request held across SIGTERM: %d", status)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v: %s", err, oldOut.String())
	}
	if !strings.Contains(newOut.String(), "event=serving") || strings.Contains(newOut.String(), "listen_alone") {
		t.Errorf("the new process: %s", newOut.String())
	}
}
