package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

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
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
		{"check -h", "!help"},
		{"import -zone wien -from " + file(t, "apache.conf", "BalancerMember balancer://prefill http://10.1.0.1:9000 status=+D\n"),
			`"hostPort": "10.1.0.1:9000"`},
		{"import -port 9100 -from " + file(t, "workers.properties", "worker.list=prefill\nworker.prefill.host=h\n"), `"h:9100"`},
		{"import -port 70000", "!out of range"},
		{"import", "!no such file"},
		{"fly", "!unknown sub-command"},
		{"version now", "!unexpected"},
		{"serve -speed 3", "!not defined"},
		{"", "!no configuration"},
		{"serve -config /nowhere", "!no such file"},
		{"check -config " + good + " -chat " + good, "!chat: no models"},
		{"check -config " + file(t, "cut.json", "{"), "!unexpected end"},
		{"check -config " + file(t, "empty.json", "{}"), "!missing port"},
		{"check -config " + file(t, "seed.json", strings.Replace(configText("a:1", "b:2", "{}"), "8c1f", "zz", 1)), "!seed"},
		{"check -config " + file(t, "class.json", strings.Replace(configText("a:1", "b:2", "{}"), "fragile", "x", 1)), "!unknown effect"},
	} {
		var out bytes.Buffer
		err := run(context.Background(), strings.Fields(c.args), nil, &out)
		if want, bad := strings.CutPrefix(c.want, "!"); bad {
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: error %v, want %q", c.args, err, want)
			}
		} else if err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%q: %q, %v", c.args, out.String(), err)
		}
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
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[
		{"instanceId":"r","hostPort":%q,"zone":"wien","machineType":"prefill","lifecycle":"ready","weight":1},
		{"instanceId":"w","hostPort":%q,"zone":"wien","machineType":"decode-a","lifecycle":"ready","weight":1}]}`,
		reader.Addr, writer.Addr)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") != "" {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	listen, chatListen, xdsListen := freeAddr(t), freeAddr(t), freeAddr(t)
	t.Setenv("LB_CONFIG", file(t, "config.json", configText(listen, discovery.Listener.Addr().String(),
		strings.ReplaceAll(list, "\n", ""))))
	chat := file(t, "chat.json", fmt.Sprintf(chatText, chatListen))
	ctx, term := context.WithCancel(context.Background())
	defer term()
	print, out, ended := make(chan os.Signal), &output{}, make(chan error, 1)
	go func() { ended <- run(ctx, []string{"serve", "-chat", chat, "-xds", xdsListen}, print, out) }()
	testkit.Eventually(t, "the program to be ready", func() bool {
		resp, err := http.Get("http://" + listen + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	ask := func() (int, string) {
		r, err := http.NewRequest(http.MethodPost, "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		for name, v := range map[string]string{"X-Trace-Id": "a1", "X-Qos": "frage", "X-Expires-In": "60000m", "X-Props": "prompt_len=8"} {
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
	if status, text := ask(); status != 200 || text != testkit.Answer("alpha") {
		t.Fatalf("status %d, %q", status, text)
	}
	print <- os.Interrupt
	testkit.Eventually(t, "the counters", func() bool { return strings.Contains(out.String(), "taken=1 open=0 sent=2") })

	held := make(chan int)
	go func() { status, _ := ask(); held <- status }()
	<-in
	term()
	resp, err := http.Post("http://"+chatListen+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"frage","messages":[{"role":"user","content":"hello"}]}`))
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
	if got := out.String(); !strings.Contains(got, "taken=3 open=0 sent=6") || !strings.Contains(got, "served=3") {
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
