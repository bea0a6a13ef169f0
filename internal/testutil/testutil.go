// Package testutil holds what the project's tests share: stand-in replicas on loopback sockets, a dispatcher over them, golden files
// and seeded malformed input.
package testutil

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// SettingsText is a deployment of one question class and one filing class, a reader and a writer kind.
const SettingsText = `{"az":0,"balancers":1,"zones":["wien"],"kinds":["prefill","decode-a"],
"classes":[{"name":"frage","effect":"retryable","importance":1,"promiseMs":1200,"hardLimitMs":5000},
{"name":"meldung","effect":"fragile","importance":2,"promiseMs":3000,"hardLimitMs":15000}],
"familyInfo":{"aimUsPer1000PromptTokens":[40000,40000],"dutyByKind":["read","write"],"releaseWithinMs":300},
"limits":{"cancelling":true,"connIdleMs":15000,"connectTimeoutMs":250,"maxRetryAfterMs":500,"mostTries":4,"retryAfter":true},
"rules":{"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5},
"telemetry":{"fields":["util","queue","x0"],"how":"pull"}}`

// Settings parses SettingsText.
func Settings(t testing.TB) *config.Settings {
	t.Helper()
	s, err := config.ParseSettings([]byte(SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Script is what a stand-in replica does with a call; n counts its calls from 0.
type Script func(w http.ResponseWriter, r *http.Request, n int)

// ServePrefill is a reader's answer.
func ServePrefill(w http.ResponseWriter, _ *http.Request, _ int) {
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":7}`)
}

// ServePrefillAt is Read, and tells when each answer was written.
func ServePrefillAt(at chan<- time.Time) Script {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		ServePrefill(w, r, n)
		at <- time.Now()
	}
}

// Answer is an answer's events as replicas send them.
func Answer(words ...string) string {
	var b strings.Builder
	for _, word := range words {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", word)
	}
	b.WriteString("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(&b, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n", len(words))
	return b.String()
}

// CompleteEvents is the part of an answer that is whole events.
func CompleteEvents(text string) string { return text[:strings.LastIndex("\n\n"+text, "\n\n")] }

// ServeDecode streams a whole answer.
func ServeDecode(words ...string) Script { return Cut(-1, words...) }

// Cut streams the first n bytes of an answer and then breaks the connection; all of it for n < 0. Each
// event is flushed, so the client can see all that came before the cut.
func Cut(n int, words ...string) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Content-Type", "text/event-stream")
		text := Answer(words...)
		if n >= 0 {
			text = text[:min(n, len(text))]
		}
		for len(text) > 0 {
			at := strings.Index(text, "\n\n") + 2
			if at < 2 {
				at = len(text)
			}
			io.WriteString(w, text[:at])
			http.NewResponseController(w).Flush()
			text = text[at:]
		}
		if n >= 0 {
			panic(http.ErrAbortHandler)
		}
	}
}

// Status answers with a status; neverRan proves that nothing ran.
func Status(code int, neverRan bool) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		if neverRan {
			w.Header().Set("X-Never-Ran", "1")
		}
		w.WriteHeader(code)
	}
}

// Raw answers with the text as it is, whatever that makes of HTTP, and leaves the connection open.
func Raw(text string) Script {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn) // until the caller goes away
	}
}

// Chunks frames an answer, an event a chunk, without the last chunk.
func Chunks(text string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for event := range strings.SplitAfterSeq(text, "\n\n") {
		if event != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		}
	}
	return b.String()
}

// Silent answers nothing until the caller goes away.
func Silent(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

// Replica is a stand-in for one server.
type Replica struct {
	Addr string

	mu       sync.Mutex
	script   Script
	calls    map[string]int // whole calls by id
	total    int
	releases map[string]int
	headers  []http.Header
	bodies   []string
}

// NewReplica starts a replica that follows the script.
func NewReplica(t testing.TB, script Script) *Replica {
	r := &Replica{script: script, calls: map[string]int{}, releases: map[string]int{}}
	s := httptest.NewServer(r)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	r.Addr = s.Listener.Addr().String()
	return r
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, "/bootstrap/rooms/"); ok && req.Method == http.MethodDelete {
		r.mu.Lock()
		r.releases[id]++
		r.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // cut before its last byte: it never began
	}
	r.mu.Lock()
	n, script := r.total, r.script
	r.total++
	r.calls[req.Header.Get("X-Trace-Id")]++
	r.headers = append(r.headers, req.Header.Clone())
	r.bodies = append(r.bodies, string(body))
	r.mu.Unlock()
	script(w, req, n)
}

// Follow changes the script.
func (r *Replica) Follow(script Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = script
}

// Calls is how many whole calls came in all, and the most for any one id.
func (r *Replica) Calls() (total, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.calls {
		most = max(most, n)
	}
	return r.total, most
}

// Releases is how many releases came for an id.
func (r *Replica) Releases(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.releases[id]
}

// Bodies are the bodies of all whole calls.
func (r *Replica) Bodies() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.bodies)
}

// Header is the head of the nth call.
func (r *Replica) Header(n int) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[n]
}

// Fleet is a core over one reader and one writer.
type Fleet struct {
	Settings        *config.Settings
	Dispatcher      *dispatch.Dispatcher
	Upstream        *upstream.Client
	Prefill, Decode *Replica
}

// NewFleet starts a fleet that follows the scripts.
func NewFleet(t testing.TB, read, write Script) *Fleet {
	t.Helper()
	f := &Fleet{Settings: Settings(t), Prefill: NewReplica(t, read), Decode: NewReplica(t, write)}
	f.Upstream = upstream.New(f.Settings, 8, 8, hostos.Real())
	cfg, err := f.Settings.Router()
	if err != nil {
		t.Fatal(err)
	}
	if f.Dispatcher, err = dispatch.New(cfg, 1, f.Upstream, hostos.Real(), nil); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Dispatcher.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done; f.Upstream.Close() })
	f.Dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{
		{Name: "r", Addr: f.Prefill.Addr, Kind: 0, State: routing.Ready, Weight: 1},
		{Name: "w", Addr: f.Decode.Addr, Kind: 1, State: routing.Ready, Weight: 1},
	})
	return f
}

// Machine is a system.System whose wall clock a test steps and whose calls it makes fail.
type Machine struct {
	mu    sync.Mutex
	step  time.Duration
	fails map[hostos.Op]error
}

// NewMachine returns a sound machine.
func NewMachine() *Machine { return &Machine{fails: map[hostos.Op]error{}} }

// Step steps the wall clock.
func (m *Machine) Step(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step += by
}

// Fail makes all calls of a kind fail; nil: none.
func (m *Machine) Fail(op hostos.Op, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fails[op] = err
}

// Wall implements system.System.
func (m *Machine) Wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Round(0).Add(m.step)
}

// Before implements system.System.
func (m *Machine) Before(op hostos.Op) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fails[op]
}

// Net is a part of the loopback range of this process's own, such as "127.240.7.", to which a host's number is added: on
// 127.0.0.1 the tests of other packages, which run beside these, could take a port first. The rig has the parts below.
func Net() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 240+pid>>8%15, pid&255)
}

// NoOne is an address at which nobody listens.
func NoOne(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Eventually waits for what must come; the wait is long, so only what never comes fails.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// CorruptedSeeds is a seed corpus: the valid messages, random cuts of them, some with a byte changed, and garbage.
func CorruptedSeeds(seed uint64, valid ...string) []string {
	rng := rand.New(rand.NewPCG(seed, seed))
	out := append([]string(nil), valid...)
	for _, text := range valid {
		for range 8 {
			cut := []byte(text[:rng.IntN(len(text)+1)])
			out = append(out, string(cut))
			if len(cut) > 0 {
				cut[rng.IntN(len(cut))] = byte(rng.Uint32())
				out = append(out, string(cut))
			}
		}
	}
	for range 16 {
		garbage := make([]byte, rng.IntN(64))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		out = append(out, string(garbage))
	}
	return out
}
