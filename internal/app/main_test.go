package app

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// output is a buffer for two goroutines.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// freeAddr is an address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", testkit.Net()+"1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func configText(listen, discovery, known string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, discovery, known, testkit.SettingsText)
}

const chatText = `{"listen":%q,"models":{"frage":"frage"},"max_tokens":9,"filings":{"entries":9,"keep_s":9}}`

func TestCommandLine(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	good := file(t, "good.json", configText("127.0.0.1:1", "127.0.0.1:2", `{"generation":1,"reset":true,"instances":[]}`))
	chat := file(t, "chat.json", fmt.Sprintf(chatText, "127.0.0.1:3"))
	for _, c := range []struct {
		args string
		want string // of the output, or of the error if it begins with !
	}{
		{"version", "rampspread 0"},
		{"check -config " + good, "good: 2 classes"},
		{"check -config " + good + " -chat " + chat, "chat true"},
		{"check -h", "--config"},
		{"import -zone wien -from " + file(t, "apache.conf", "BalancerMember balancer://prefill http://10.1.0.1:9000 status=+D\n"),
			`"hostPort": "10.1.0.1:9000"`},
		{"import -port 9100 -from " + file(t, "workers.properties", "worker.list=prefill\nworker.prefill.host=h\n"), `"h:9100"`},
		{"import -port 70000", "!out of range"},
		{"import", "!no such file"},
		{"fly", "!unknown sub-command"},
		{"version now", "!unexpected"},
		{"serve -speed 3", "!unknown flag"},
		{"call", "!accepts 1 arg"},
		{"call -at 127.0.0.1:1 check", "!refused"},
		{"", "!no configuration"},
		{"serve -config /nowhere", "!no such file"},
		{"check -config " + good + " -chat " + good, "!chat: no models"},
		{"check -config " + good + " -fleet ../../deploy/fleet.json", "fleet true"},
		{"check -config " + good + " -fleet " + file(t, "fleet.json", "{}"), "!fleet"},
		{"serve -config " + good + " -fleet /nowhere", "!no such file"},
		{"fleet members -at 127.0.0.1:1", "!refused"},
		{"check -config " + file(t, "cut.json", "{"), "!unexpected end"},
		{"check -config " + file(t, "empty.json", "{}"), "!missing port"},
		{"check -config " + file(t, "seed.json", strings.Replace(configText("a:1", "b:2", "{}"), "8c1f", "zz", 1)), "!seed"},
		{"check -config " + file(t, "class.json", strings.Replace(configText("a:1", "b:2", "{}"), "fragile", "x", 1)), "!unknown effect"},
	} {
		var out bytes.Buffer
		err := run(context.Background(), system.Real(), strings.Fields(c.args), signals{}, &out)
		if want, bad := strings.CutPrefix(c.want, "!"); bad {
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: error %v, want %q", c.args, err, want)
			}
		} else if err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%q: %q, %v", c.args, out.String(), err)
		}
	}
}

func listText(reader, writer string) string {
	return fmt.Sprintf(`{"generation":1,"reset":true,"instances":[`+
		`{"instanceId":"r","hostPort":%q,"zone":"wien","machineType":"prefill","lifecycle":"ready","weight":1},`+
		`{"instanceId":"w","hostPort":%q,"zone":"wien","machineType":"decode-a","lifecycle":"ready","weight":1}]}`, reader, writer)
}

// newAgent starts a stand-in for discovery that tells one list, and counts its watches.
func newAgent(t *testing.T, list string) (addr string, watches *atomic.Int64) {
	watches = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") != "" {
			watches.Add(1)
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), watches
}

// ready waits until a program serves.
func ready(t *testing.T, listen string) {
	t.Helper()
	testkit.Eventually(t, "the program to be ready", func() bool {
		resp, err := http.Get("http://" + listen + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

// post sends a request that either front can take.
func post(t *testing.T, listen, id, body string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	for name, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "frage", "X-Expires-In": "60000m", "X-Props": "prompt_len=8"} {
		r.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

const chatBody = `{"model":"frage","messages":[{"role":"user","content":"hello"}]}`

// TestMain lets a test start the program itself, as a process that takes signals.
func TestMain(m *testing.M) {
	if os.Getenv("RAMPSPREAD_TEST_PROGRAM") != "" {
		os.Exit(Main(system.NewFaulty(os.Getenv("RAMPSPREAD_TEST_FAULTS"))))
	}
	os.Exit(m.Run())
}

// SIGHUP moves discovery to where the file now says, whatever the environment said at the start, while open
// requests of both fronts go on. A bad file changes nothing, and SIGHUP while draining ends nothing.
func TestReload(t *testing.T) {
	let := make(chan bool)
	var held atomic.Int64
	old := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		held.Add(1)
		<-let
		testkit.Write("old")(w, r, n)
	})
	reader, fresh := testkit.NewReplica(t, testkit.Read), testkit.NewReplica(t, testkit.Write("new"))
	oldList := listText(reader.Addr, old.Addr)
	first, _ := newAgent(t, oldList)
	second, moved := newAgent(t, listText(reader.Addr, fresh.Addr))
	third, movedAgain := newAgent(t, listText(reader.Addr, fresh.Addr))
	listen, chatListen, out := freeAddr(t), freeAddr(t), &output{}
	config := file(t, "config.json", configText(listen, first, oldList))
	program := exec.Command(os.Args[0], "serve", "-chat", file(t, "chat.json", fmt.Sprintf(chatText, chatListen)))
	program.Env = append(os.Environ(), "RAMPSPREAD_TEST_PROGRAM=1", "LB_CONFIG="+config, "LB_DISCOVERY="+first)
	program.Stdout, program.Stderr = out, out
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer program.Process.Kill()
	ready(t, listen)
	answers := make(chan string, 2)
	go func() { _, text := post(t, listen, "a1", `{}`); answers <- text }()
	go func() { _, text := post(t, chatListen, "", chatBody); answers <- text }()
	testkit.Eventually(t, "both requests to be out", func() bool { return held.Load() == 2 })
	reload := func(text, event string, seen func() bool) {
		t.Helper()
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := program.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, event, func() bool { return strings.Contains(out.String(), event) && seen() })
	}
	reload("{", "event=reload_failed", func() bool { return true })
	reload(configText(listen, second, "{}"), "event=reloaded discovery="+second, func() bool { return moved.Load() == 1 })
	if status, text := post(t, listen, "a2", `{}`); status != 200 || text != testkit.Answer("new") {
		t.Errorf("after the move: status %d, %q", status, text)
	}
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	reload(configText(listen, third, "{}"), "event=reloaded discovery="+third, func() bool { return movedAgain.Load() == 1 })
	close(let)
	for range 2 {
		if text := <-answers; !strings.Contains(text, "old") {
			t.Errorf("a request that was open all the while: %q", text)
		}
	}
	if err := program.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, out.String())
	}
}

// The whole program: it serves both fronts, prints its counters on request, and at the end of its life
// answers what it has taken and what still comes.
func TestServeAndDrain(t *testing.T) {
	in, let := make(chan bool, 8), make(chan bool)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 { // the second is held until the program drains
			in <- true
			<-let
		}
		testkit.Write("alpha")(w, r, n)
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen, chatListen, xdsListen := freeAddr(t), freeAddr(t), freeAddr(t)
	t.Setenv("LB_CONFIG", file(t, "config.json", configText(listen, discovery, list)))
	chat := file(t, "chat.json", fmt.Sprintf(chatText, chatListen))
	ctx, term := context.WithCancel(context.Background())
	defer term()
	printCounters, out, ended := make(chan os.Signal), &output{}, make(chan error, 1)
	go func() {
		ended <- run(ctx, system.Real(), []string{"serve", "-chat", chat, "-xds", xdsListen}, signals{print: printCounters}, out)
	}()
	ready(t, listen)
	ask := func() (int, string) { return post(t, listen, "a1", `{}`) }
	if status, text := ask(); status != 200 || text != testkit.Answer("alpha") {
		t.Fatalf("status %d, %q", status, text)
	}
	printCounters <- os.Interrupt
	testkit.Eventually(t, "the counters", func() bool { return strings.Contains(out.String(), "taken=1 open=0 servers=2 sent=2") })

	held := make(chan int)
	go func() { status, _ := ask(); held <- status }()
	<-in
	term()
	resp, err := http.Post("http://"+chatListen+"/v1/chat/completions", "application/json",
		strings.NewReader(chatBody))
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("a request after the end began: %v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
	close(let)
	if status := <-held; status != 200 {
		t.Errorf("the held request: status %d", status)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
	if got := out.String(); !strings.Contains(got, "taken=3 open=0 servers=2 sent=6") || !strings.Contains(got, "served=3") {
		t.Errorf("counters at the end: %s", got)
	}
}

// Under a bare run there is no chat front.
func TestNoChatByDefault(t *testing.T) {
	cfg, err := loadChat("", testkit.Settings(t))
	if cfg != nil || err != nil {
		t.Errorf("got %v, %v", cfg, err)
	}
}

// A process takes no clients before the agent has told its list: the one that it starts with may be old, and what the
// agent has counts as told from the first moment on. An agent that is silent holds it up no longer than news has to bind.
func TestServesOnceTheListIsConfirmed(t *testing.T) {
	known := listText("127.0.0.1:1", "127.0.0.1:1")
	for _, c := range []struct {
		binds  string
		silent bool
	}{{"60000", false}, {"100", true}} {
		listen := freeAddr(t)
		var early atomic.Bool
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c.silent {
				<-r.Context().Done()
				return
			}
			if r.URL.Query().Get("stream") == "" {
				time.Sleep(200 * time.Millisecond) // in which a program that does not wait comes to serve
				if l, err := net.Dial("tcp", listen); err == nil {
					l.Close()
					early.Store(true)
				}
			}
			io.WriteString(w, known)
		}))
		text := strings.Replace(configText(listen, agent.Listener.Addr().String(), known), `"rules":{`, `"rules":{"stopSendingWithinMs":`+c.binds+`,`, 1)
		t.Setenv("LB_CONFIG", file(t, "config.json", text))
		ctx, term := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- run(ctx, system.Real(), []string{"serve"}, signals{}, io.Discard) }()
		ready(t, listen)
		if c.silent {
			agent.CloseClientConnections()
		}
		agent.Close() // waits for the call for the list
		if early.Load() {
			t.Error("it took clients while the agent had not told its list")
		}
		term()
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
	}
}
