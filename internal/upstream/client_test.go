package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/dispatch"
	"rampspread/internal/frontend"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// events records an attempt's news.
type events struct {
	ended  chan dispatch.AttemptResult
	first  chan dispatch.Stream
	reject bool
}

func newEvents() *events {
	return &events{ended: make(chan dispatch.AttemptResult, 4), first: make(chan dispatch.Stream, 4)}
}

func (e *events) FirstToken(s dispatch.Stream) bool {
	if e.reject {
		return false
	}
	e.first <- s
	return true
}

func (e *events) Ended(o dispatch.AttemptResult) { e.ended <- o }

var call = dispatch.Call{ID: "id-1", Method: http.MethodPost, Target: "/v1/chat/completions?a=b", Body: []byte("{}")}

func send(t *testing.T, addr string) (dispatch.Attempt, *events) {
	t.Helper()
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	t.Cleanup(pool.Close)
	return pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: addr}, Timeout: 5 * time.Second}, ev), ev
}

func TestOutcomes(t *testing.T) {
	drop := func(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) }
	for name, c := range map[string]struct {
		script testkit.Script
		want   routing.Outcome
	}{
		"read":              {testkit.Read, routing.PrefillDone},
		"error":             {testkit.Status(500, false), routing.Errored},
		"full":              {testkit.Status(503, true), routing.QueueFull},
		"over":              {testkit.Status(504, true), routing.QueueFull},
		"503 without proof": {testkit.Status(503, false), routing.Errored},
		"no state":          {testkit.Status(410, true), routing.StateMissing},
		"410 without proof": {testkit.Status(410, false), routing.Errored},
		"unknown":           {testkit.Status(400, false), routing.Errored},
		"dropped":           {drop, routing.ConnectionReset},
		"no event":          {testkit.Cut(0, "a"), routing.ConnectionReset},
	} {
		r := testkit.NewReplica(t, c.script)
		from := time.Now()
		_, ev := send(t, r.Addr)
		if o := <-ev.ended; o.Outcome != c.want {
			t.Errorf("%s: outcome %d, want %d", name, o.Outcome, c.want)
		}
		if total, _ := r.Calls(); total != 1 {
			t.Errorf("%s: %d calls", name, total)
		}
		took := time.Since(from)
		h := r.Header(0)
		if h.Get("X-Trace-Id") != call.ID || h.Get("Accept-Encoding") != "" {
			t.Errorf("%s: head %v", name, h)
		}
		// What was left when the head was written: the whole limit but for the time since the call.
		if left, err := frontend.ParseExpiry(h.Get("X-Expires-In")); err != nil || left > 5*time.Second || left < 5*time.Second-took-time.Millisecond {
			t.Errorf("%s: head %v after %v", name, h, took)
		}
	}
}

func TestConnectFailed(t *testing.T) {
	_, ev := send(t, testkit.NoOne(t))
	if o := <-ev.ended; o.Outcome != routing.ConnectFailed {
		t.Errorf("outcome %d", o.Outcome)
	}
}

// A connection that the replica closed while it stood idle must not make Transport send a call again
// by itself: a call that was written to it may have run.
func TestNoHiddenResend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	calls := make(chan int, 8)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					calls <- n
					if n > 0 {
						return // it came on a used connection: closed with no answer
					}
					io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
		}
	}()
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	defer pool.Close()
	for _, want := range []routing.Outcome{routing.PrefillDone, routing.ConnectionReset} {
		pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: l.Addr().String()}, Timeout: time.Second}, ev)
		if o := <-ev.ended; o.Outcome != want {
			t.Fatalf("outcome %d, want %d", o.Outcome, want)
		}
	}
	if a, b := <-calls, <-calls; a != 0 || b != 1 || len(calls) != 0 {
		t.Errorf("calls %d, %d and %d more", a, b, len(calls))
	}
}

// The end of an aborted attempt is told only when its connection is closed: a copy sent elsewhere before
// that is a second copy, which a filing must never have.
func TestAbortEndsAfterClose(t *testing.T) {
	closed := make(chan struct{})
	r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		testkit.Silent(w, r, n)
		close(closed)
	})
	a, ev := send(t, r.Addr)
	testkit.Eventually(t, "the call", func() bool { n, _ := r.Calls(); return n == 1 })
	a.Abort()
	if o := <-ev.ended; o.Outcome != routing.ConnectionReset {
		t.Errorf("outcome %d", o.Outcome)
	}
	<-closed
}

// taker gives an attempt up once its stream comes, and notes when, and when its end is told.
type taker struct{ rejected, ended chan time.Time }

func (e taker) FirstToken(dispatch.Stream) bool {
	e.rejected <- time.Now()
	return false
}

func (e taker) Ended(dispatch.AttemptResult) { e.ended <- time.Now() }

// The end of an attempt that is given up is told once its close has had time to reach the replica, since another goes out right
// then: bench days with three plays on a core counted such a one as sent again while the first was out.
func TestEndIsToldAfterTheClose(t *testing.T) {
	for name, script := range map[string]testkit.Script{"no answer": testkit.Silent, "a stream that nobody wants": testkit.Write("a")} {
		t.Run(name, func(t *testing.T) {
			r := testkit.NewReplica(t, script)
			pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), taker{make(chan time.Time, 1), make(chan time.Time, 1)}
			defer pool.Close()
			a := pool.Send(dispatch.AttemptSpec{Call: dispatch.Call{ID: "id-1", Method: http.MethodPost, Target: "/", Body: []byte("{}")},
				Target: dispatch.Target{Name: "s", Addr: r.Addr}, Timeout: 5 * time.Second}, ev)
			var up time.Time
			if name == "no answer" {
				testkit.Eventually(t, "the call", func() bool { n, _ := r.Calls(); return n == 1 })
				up = time.Now()
				a.Abort()
			} else {
				up = <-ev.rejected
			}
			if took := (<-ev.ended).Sub(up); took < upstream.CloseDelay {
				t.Errorf("its end was told %v after it was given up, want %v or more", took, upstream.CloseDelay)
			}
		})
	}
}

// An attempt that is aborted before the last byte of its call was written never ran. The body is more than
// any socket buffer holds, and nobody reads it.
func TestAbortBeforeLastByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	defer pool.Close()
	big := call
	big.Body = make([]byte, 64<<20)
	a := pool.Send(dispatch.AttemptSpec{Call: big, Target: dispatch.Target{Name: "s", Addr: l.Addr().String()}, Timeout: time.Second}, ev)
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	a.Abort()
	if o := <-ev.ended; o.Outcome != routing.ConnectFailed {
		t.Errorf("outcome %d", o.Outcome)
	}
}

// A second answer that comes some milliseconds behind the first is never taken for the answer to the next call on that
// connection, which here would be sent again though it runs.
func TestLateSecondAnswer(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
			if n > 0 {
				testkit.Read(w, r, n)
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			io.WriteString(conn, refusal)
			time.Sleep(late)
			io.WriteString(conn, refusal)
			io.Copy(io.Discard, conn) // it runs what comes next, and says nothing yet
			conn.Close()
		})
		pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
		to := dispatch.Target{Name: "s", Addr: r.Addr}
		for n, want := range []routing.Outcome{routing.QueueFull, routing.PrefillDone} {
			ev := newEvents()
			pool.Send(dispatch.AttemptSpec{Call: call, Target: to, Timeout: 5 * time.Second}, ev)
			if o := <-ev.ended; o.Outcome != want {
				t.Errorf("%v late: call %d ended with %d, want %d", late, n, o.Outcome, want)
			}
		}
		pool.Close()
	}
}

// While connections fail to come up the time for which a state is held runs on: they are given up soon enough for another
// writer even where the settings let a connection take far longer than that time.
func TestDialEndsInTimeForAnother(t *testing.T) {
	full, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // a queue without room: connections never come up
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(full)
	if err := errors.Join(unix.Bind(full, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(full, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(full)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for range 2 {
		if c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	settings := testkit.Settings(t)
	settings.Limits.ConnectTimeoutMs, settings.FamilyInfo.ReleaseWithinMs = 60_000, 200
	pool, ev := upstream.New(settings, 8, 8, system.Real()), newEvents()
	defer pool.Close()
	from := time.Now()
	pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: addr}, Timeout: 2 * time.Minute}, ev)
	if o := <-ev.ended; o.Outcome != routing.ConnectFailed {
		t.Errorf("outcome %d", o.Outcome)
	}
	if took := time.Since(from); took > 10*time.Second { // half of what the connection may take is 30 s
		t.Errorf("given up after %v, with a state held for 200 ms", took)
	}
}

// An attempt that still waits for a connection when its server begins to drain must not be written to it: a send
// counts from its first byte. One whose first byte is out goes on.
func TestWithdraw(t *testing.T) {
	begun, answer := make(chan bool, 4), make(chan bool)
	r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		begun <- true
		<-answer
		testkit.Read(w, r, n)
	})
	pool := upstream.New(testkit.Settings(t), 1, 1, system.Real()) // one connection: the second attempt waits for the first one's
	defer pool.Close()
	first, second := newEvents(), newEvents()
	to := dispatch.Target{Name: "s", Addr: r.Addr}
	out := pool.Send(dispatch.AttemptSpec{Call: call, Target: to, Timeout: 5 * time.Second}, first)
	<-begun
	waits := pool.Send(dispatch.AttemptSpec{Call: call, Target: to, Timeout: 5 * time.Second}, second)
	waits.Withdraw()
	if o := <-second.ended; o.Outcome != routing.NotSent { // it says nothing of the replica, unlike a failed connect
		t.Errorf("an attempt without a connection ended with %d", o.Outcome)
	}
	out.Withdraw()
	close(answer)
	if o := <-first.ended; o.Outcome != routing.PrefillDone {
		t.Errorf("an attempt that was written ended with %d", o.Outcome)
	}
	if total, _ := r.Calls(); total != 1 {
		t.Errorf("%d calls came", total)
	}
}

// The time that an attempt tells its replica is what is left when its head is written, not when it was decided: the wait for a
// connection may take most of it, on the first connection and on the one that takes the place of a closed one.
func TestTellsWhatIsLeft(t *testing.T) {
	begun, answer := make(chan bool, 4), make(chan bool, 4)
	r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		begun <- true
		<-answer
		testkit.Read(w, r, n)
	})
	pool := upstream.New(testkit.Settings(t), 1, 1, system.Real()) // one connection: the second attempt waits for the first one's
	defer pool.Close()
	first, second := newEvents(), newEvents()
	to := dispatch.Target{Name: "s", Addr: r.Addr}
	pool.Send(dispatch.AttemptSpec{Call: call, Target: to, Timeout: 5 * time.Second}, first)
	<-begun
	const limit, wait = 5 * time.Second, 400 * time.Millisecond
	from := time.Now()
	pool.Send(dispatch.AttemptSpec{Call: call, Target: to, Timeout: limit}, second)
	time.Sleep(wait) // that the time passes is what is tested
	answer <- true
	<-first.ended
	<-begun
	came := time.Since(from)
	answer <- true
	<-second.ended
	told, err := frontend.ParseExpiry(r.Header(1).Get("X-Expires-In"))
	if err != nil || told > limit-wait || told < limit-came-5*time.Millisecond {
		t.Errorf("after a wait of %v the replica was told %v of %v (%v)", wait, told, limit, err)
	}
}

func TestStreamWhole(t *testing.T) {
	r := testkit.NewReplica(t, testkit.Write("alpha", "beta"))
	_, ev := send(t, r.Addr)
	s := <-ev.first
	got, err := io.ReadAll(s)
	if err != nil || string(got) != testkit.Answer("alpha", "beta") {
		t.Errorf("read %q, %v", got, err)
	}
	s.Close()
	if o := <-ev.ended; o.Outcome != routing.Served || o.CachedTokens != 4 || len(ev.ended) > 0 {
		t.Errorf("ended %+v and %d more", o, len(ev.ended))
	}
}

// Wherever a stream is cut, its whole events are passed on unchanged, and the end is an error, never io.EOF.
// Without a whole event there is no stream at all: the attempt may have run, and that is all.
func TestStreamCutAnywhere(t *testing.T) {
	whole := testkit.Answer("alpha", "beta")
	for n := 1; n < len(whole); n += 7 {
		r := testkit.NewReplica(t, testkit.Cut(n, "alpha", "beta"))
		_, ev := send(t, r.Addr)
		checkEnd(t, ev, whole[:n], routing.ConnectionReset)
	}
}

// checkEnd takes an attempt to its end: the whole events of text, and nothing else, came on.
func checkEnd(t *testing.T, ev *events, text string, want routing.Outcome) {
	t.Helper()
	if want := testkit.Whole(text); want != "" {
		s := <-ev.first
		got, err := io.ReadAll(s)
		s.Close()
		if err == nil || string(got) != want {
			t.Errorf("%q: read %q, %v", text, got, err)
		}
	}
	if o := <-ev.ended; o.Outcome != want || o.StreamStarted != (o.Outcome == routing.ConnectionReset && testkit.Whole(text) == "") || len(ev.ended)+len(ev.first) > 0 {
		t.Errorf("%q: ended %+v, and %d more", text, o, len(ev.ended)+len(ev.first))
	}
}

// raw starts a replica that answers each call on a connection with the next of the texts, as it is, and then
// leaves the connection open.
func raw(t *testing.T, texts ...string) (addr string, calls *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	calls = new(atomic.Int64)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			t.Cleanup(func() { conn.Close() })
			go func() {
				r := bufio.NewReader(conn)
				for _, text := range texts {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					calls.Add(1)
					io.WriteString(conn, text)
				}
			}()
		}
	}()
	return l.Addr().String(), calls
}

// A spoilt stream ends the attempt, though its connection stays open: before the first event nothing is
// passed on, later whole events only.
func TestSpoiltStreams(t *testing.T) {
	one := testkit.Whole(testkit.Answer("alpha")[:100])
	for name, c := range map[string]struct{ spoilt, passed string }{
		"noise":                 {"\x03\x80\x91\n\xffnoise\n\n", ""},
		"noise without a line":  {"\x03\x80\x91\xffnoise", ""},
		"a bad head":            {"HTTP/1.1 2x0 OK\r\n\r\n", ""},
		"a head without end":    {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pad: aaaa", ""},
		"a large head":          {"HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("a", 64<<10), ""},
		"1xx without end":       {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 99), ""},
		"a head alone":          {testkit.Chunks(""), ""},
		"noise for an event":    {testkit.Chunks("\x03\x80\n\n"), ""},
		"half an event":         {testkit.Chunks(one[:40]), ""},
		"a bad size":            {testkit.Chunks(one) + "zz\r\n" + one, one},
		"a size too small":      {testkit.Chunks(one) + "8\r\n" + one + "\r\n", one},
		"a size too large":      {testkit.Chunks(one) + fmt.Sprintf("%x\r\n%s\r\n", len(one)+9, one) + testkit.Chunks(one), one + one},
		"3 GB":                  {testkit.Chunks(one) + "b2d05e00\r\n" + strings.Repeat("x", maxEvent+1), one},
		"3 GB, slowly":          {testkit.Chunks(one) + "b2d05e00\r\n" + strings.Repeat("x", 99), one},
		"an early end":          {testkit.Chunks(one) + "0\r\n\r\n", one},
		"a short answer's half": {"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nb", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, ev := send(t, testkit.NewReplica(t, testkit.Raw(c.spoilt)).Addr)
			want := routing.ConnectionReset
			if strings.HasPrefix(name, "a short") {
				want = routing.Errored
			}
			checkEnd(t, ev, c.passed, want)
		})
	}
}

const maxEvent = 64 << 10 // over this an event is spoilt

// What is harmless does no harm: 1xx heads ahead, and load reports that cannot be read.
func TestHarmless(t *testing.T) {
	text := testkit.Answer("alpha") + ": Endpoint-Load-Metrics: TEXT util=lots,,\n\n"
	addr, _ := raw(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+
		strings.Replace(testkit.Chunks(text), "\r\n", "\r\nEndpoint-Load-Metrics: \xff%%\r\n", 1)+"0\r\n\r\n")
	_, ev := send(t, addr)
	s := <-ev.first
	got, err := io.ReadAll(s)
	s.Close()
	if o := <-ev.ended; err != nil || string(got) != text || o.Outcome != routing.Served || o.CachedTokens != 4 || o.Load != nil {
		t.Errorf("read %q, %v, ended %+v", got, err, o)
	}
}

// A second answer right behind the first is not taken for the next call's: each call has its own answer.
func TestBytesBehindAnAnswer(t *testing.T) {
	read := "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":%d}"
	addr, calls := raw(t, fmt.Sprintf(read, 1)+fmt.Sprintf(read, 2), fmt.Sprintf(read, 3))
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	defer pool.Close()
	for n := range 200 {
		pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: addr}, Timeout: time.Second}, ev)
		if o := <-ev.ended; o.Outcome != routing.PrefillDone || o.CachedTokens != 1 {
			t.Fatalf("call %d: %+v", n, o)
		}
	}
	if calls.Load() != 200 {
		t.Errorf("%d calls came", calls.Load())
	}
}

// A replica that falls silent in midstream leaves its connection open: the stream is given up all the same.
func TestSilentStream(t *testing.T) {
	r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		io.WriteString(w, "data: {}\n\n")
		http.NewResponseController(w).Flush()
		testkit.Silent(w, r, n)
	})
	_, ev := send(t, r.Addr)
	s := <-ev.first
	got, err := io.ReadAll(s)
	s.Close()
	if o := <-ev.ended; err == nil || string(got) != "data: {}\n\n" || o.Outcome != routing.ConnectionReset {
		t.Errorf("read %q, %v, outcome %d", got, err, o.Outcome)
	}
}

func TestStreamRejected(t *testing.T) {
	gone := make(chan struct{})
	r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		testkit.Write("a")(w, r, n)
		<-r.Context().Done()
		close(gone)
	})
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	defer pool.Close()
	ev.reject = true
	pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: r.Addr}, Timeout: time.Second}, ev)
	<-gone
	if o := <-ev.ended; o.Outcome != routing.ConnectionReset {
		t.Errorf("outcome %d", o.Outcome)
	}
}

// silentTargets are so many replicas that take calls and say nothing.
func silentTargets(t *testing.T, many int) (through []dispatch.Target) {
	t.Helper()
	for i := range many {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		through = append(through, dispatch.Target{Name: fmt.Sprint("silent", i), Addr: l.Addr().String()})
	}
	return through
}

// A release lands in time though the first four replicas take the call and say nothing, as at a process that has just started and
// does not know which of them answer.
func TestReleaseBesideSilentOnes(t *testing.T) {
	through := silentTargets(t, 4)
	live := testkit.NewReplica(t, testkit.Read)
	pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
	defer pool.Close()
	begin := time.Now()
	pool.Release(call, append(through, dispatch.Target{Name: "live", Addr: live.Addr}))
	testkit.Eventually(t, "the release", func() bool { return live.Releases(call.ID) == 1 })
	if took := time.Since(begin); took > 300*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// A release lands in time, and while it still counts, though all replicas but the last of many are silent.
func TestReleaseReachesTheLastOfMany(t *testing.T) {
	through := silentTargets(t, 10)
	live := testkit.NewReplica(t, testkit.Read)
	pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
	defer pool.Close()
	begin := time.Now()
	pool.Release(call, append(through, dispatch.Target{Name: "live", Addr: live.Addr}))
	testkit.Eventually(t, "the release", func() bool { return live.Releases(call.ID) > 0 || time.Since(begin) > time.Second })
	if took := time.Since(begin); took > 600*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// A release that no replica takes is tried for a while, at a bounded rate, and then ends.
func TestReleaseThatNobodyTakes(t *testing.T) {
	var calls atomic.Int64
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	defer refusing.Close()
	pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
	defer pool.Close()
	begin := time.Now()
	pool.Release(call, []dispatch.Target{{Name: "dead", Addr: testkit.NoOne(t)}, {Name: "refusing", Addr: refusing.Listener.Addr().String()}})
	pool.Release(call, nil)
	testkit.Eventually(t, "its end", func() bool { return pool.PendingReleases() == 0 })
	if n, took := calls.Load(), time.Since(begin); n < 3 || n > 20 || took < time.Second {
		t.Errorf("%d calls in %v", n, took)
	}
}

// A release goes on to the next replica until one that lives has taken it.
func TestReleaseThroughOneThatLives(t *testing.T) {
	dead := testkit.NoOne(t)
	live := testkit.NewReplica(t, testkit.Read)
	pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
	defer pool.Close()
	pool.Release(call, []dispatch.Target{{Name: "dead", Addr: dead}, {Name: "live", Addr: live.Addr}})
	testkit.Eventually(t, "the release", func() bool { return live.Releases(call.ID) == 1 })
}

// A replica is asked for its load by the protocol's path; what cannot be read, an error and a silent or dead replica
// all tell nothing, in time, and none of them is an answer about a queue of nought.
func TestProbe(t *testing.T) {
	dead := testkit.NoOne(t)
	pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
	defer pool.Close()
	for name, want := range map[string]*routing.LoadReport{
		"TEXT util=0.5, queue=3, x0=0.25": {Memory: 0.25, QueuedKiloTokens: -1, QueuedRequests: 3, SlotUtilization: 0.5},
		"TEXT util=much":                  nil,
		"":                                nil,
		"silent":                          nil,
		"dead":                            nil,
	} {
		replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != "/load" {
				t.Errorf("%s %s", r.Method, r.URL.Path)
			}
			if name == "silent" {
				<-r.Context().Done()
			}
			if name == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			io.WriteString(w, name)
		}))
		to, limit := dispatch.Target{Name: "s", Addr: replica.Listener.Addr().String()}, 5*time.Second
		switch name {
		case "dead":
			to.Addr = dead
		case "silent":
			limit = 50 * time.Millisecond
		}
		told := make(chan *routing.LoadReport, 1)
		pool.PollLoad(to, limit, func(l *routing.LoadReport) { told <- l })
		if got := <-told; !reflect.DeepEqual(got, want) {
			t.Errorf("%q told %+v, want %+v", name, got, want)
		}
		replica.Close()
	}
}

// A replica is told for which lease of the fleet it is asked, and nothing where a dispatcher asks for itself.
func TestProbeForTheFleet(t *testing.T) {
	duties := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		duties <- r.Header.Get("X-Duty")
		io.WriteString(w, "TEXT util=0.5, queue=1, x0=0.2")
	}))
	defer s.Close()
	pool := upstream.New(testkit.Settings(t), 8, 8, system.Real())
	defer pool.Close()
	for _, duty := range []string{"", "probe/r 7"} {
		told := make(chan *routing.LoadReport, 1)
		pool.PollLoadFor(duty, dispatch.Target{Name: "r", Addr: s.Listener.Addr().String()}, time.Second, func(l *routing.LoadReport) { told <- l })
		if got, l := <-duties, <-told; got != duty || l == nil || l.QueuedRequests != 1 {
			t.Errorf("asked for %q, told %+v; want %q", got, l, duty)
		}
	}
}

// FuzzAnswer feeds a replica's bytes to the client side: whatever comes, there is one end and no panic.
func FuzzAnswer(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, text := range testkit.Broken(1, head+"Connection: close\r\n\r\n"+testkit.Answer("a"),
		"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":3}",
		"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nEndpoint-Load-Metrics: TEXT util=0.5, queue=1, x0=0.2\r\nContent-Length: 0\r\n\r\n",
		head+"Connection: close\r\n\r\n: Endpoint-Load-Metrics: TEXT util=0.5, queue=1, x0=0.2\n\n") {
		f.Add(text)
	}
	settings := testkit.Settings(f)
	f.Fuzz(func(t *testing.T, text string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.Copy(io.Discard, req.Body)
				io.Copy(conn, strings.NewReader(text))
			}
		}()
		pool, ev := upstream.New(settings, 8, 8, system.Real()), newEvents()
		defer pool.Close()
		pool.Send(dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: l.Addr().String()}, Timeout: time.Second}, ev)
		select {
		case s := <-ev.first:
			_, err := io.ReadAll(s)
			s.Close()
			if o := <-ev.ended; (o.Outcome == routing.Served) != (err == nil) || errors.Is(err, io.EOF) {
				t.Errorf("outcome %d after %v", o.Outcome, err)
			}
		case <-ev.ended:
		}
	})
}

// A call that is sent just after its release waits until that has been taken: one that arrives during a read lets go of what is read.
func TestCallWaitsForItsRelease(t *testing.T) {
	came := make(chan string, 16) // a release may be made more than once
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			time.Sleep(20 * time.Millisecond) // it is on its way for so long
		}
		came <- r.Method
		testkit.Read(w, r, 0)
	}))
	defer replica.Close()
	target := dispatch.Target{Name: "r", Addr: replica.Listener.Addr().String()}
	pool, ev := upstream.New(testkit.Settings(t), 8, 8, system.Real()), newEvents()
	defer pool.Close()
	pool.Release(call, []dispatch.Target{target})
	pool.Send(dispatch.AttemptSpec{Call: call, Target: target, Timeout: 5 * time.Second}, ev)
	if o := <-ev.ended; o.Outcome != routing.PrefillDone {
		t.Errorf("outcome %d", o.Outcome)
	}
	if first := <-came; first != http.MethodDelete {
		t.Errorf("%s came before the release", first)
	}
}
