// Package upstream speaks to the replicas: it sends calls, reads their answers
// and streams, and releases what they hold.
package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/internal/precondition"
	"rampspread/internal/system"
	"rampspread/routing"
)

const (
	roomsPath = "/bootstrap/rooms/"
	loadPath  = "/load"
	maxAnswer = 64 << 10 // of an answer that is no stream
	// A head is one write of a replica's, with the first token: one that does not end for so long never will.
	headWait   = 300 * time.Millisecond
	firstEvent = time.Second // from the head to the end of the first event
	// A close is on its way to the replica as a request is, a few milliseconds between a deployment's machines, and may be overtaken
	// by one that goes elsewhere.
	closeFor  = 10 * time.Millisecond
	mostEarly = 8 // 1xx heads before an answer
	mostStale = 3 // connections that are found to be of no use, before a call counts as failed
)

// Client reaches all replicas over one Transport.
type Client struct {
	transport *http.Transport
	settings  *config.Settings
	bad       atomic.Int64
	local     atomic.Int64
	releasing atomic.Int64
	releases  sync.Map // of channels that close as a call's newest release is over, by its id
}

// New returns a Pool that holds at most conns connections to any one replica, and idle ones in all. A call
// that had to wait for a connection would run late unseen, so conns is no bound for ordinary days.
func New(settings *config.Settings, conns, idleConns int, machine system.System) *Client {
	// The time for which a state is held runs on while connections fail to come up. Half the settings' figure,
	// and half of that time, leave room for a second and a third writer before the state must be let go.
	dial := config.FromMS(settings.Limits.ConnectTimeoutMs) / 2
	if dial <= 0 {
		dial = 125 * time.Millisecond
	}
	if held := config.FromMS(settings.FamilyInfo.ReleaseWithinMs); held > 0 {
		dial = min(dial, held/2)
	}
	idle := config.FromMS(settings.Limits.ConnIdleMs)
	if idle <= 0 {
		idle = 10 * time.Second
	}
	p := &Client{settings: settings}
	dialer := &dialer{timeout: dial, machine: machine, failed: &p.local}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.dial(ctx, network, addr)
			if err != nil {
				return nil, err // the Transport says what it was doing
			}
			return newConn(c), nil
		},
		DisableCompression:  true, // events pass on unchanged
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: conns,
		MaxConnsPerHost:     conns,
		// A replica's machine resets what is written to a connection idle for longer, and such a
		// request may have run; ours close well before.
		IdleConnTimeout:        idle * 7 / 10,
		MaxResponseHeaderBytes: 16 << 10,
	}
	return p
}

// Malformed is how many answers, events and load reports made no sense.
func (p *Client) Malformed() int64 { return p.bad.Load() }

// LocalFailures is how often this machine, and no replica, kept a connection from being made.
func (p *Client) LocalFailures() int64 { return p.local.Load() }

// Close shuts idle connections.
func (p *Client) Close() { p.transport.CloseIdleConnections() }

// body hands a call's bytes to the Transport. It settles whether the last byte may have been written when
// an attempt is aborted: none is handed over after that. It is no type that net/http knows, so the
// Transport cannot rewind it and never resends a call by itself.
type body struct {
	mu      sync.Mutex
	rest    []byte
	given   bool // the last byte was handed over
	aborted bool
}

var (
	errAborted = errors.New("attempt aborted")
	errEarly   = errors.New("too many 1xx heads")
)

func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.given: // net/http asks once more behind the last byte: an error then would tell that it was not written
		return 0, io.EOF
	case b.aborted:
		return 0, errAborted
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) == 0 {
		b.given = true
		return n, io.EOF
	}
	return n, nil
}

func (b *body) Close() error { return nil }

// attempt implements core.Attempt.
type attempt struct {
	pool   *Client
	order  dispatch.AttemptSpec
	until  time.Time // for all of it
	window time.Time // with order.Repeat: until then servers drop repeats
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	body      *body               // of the exchange that is out
	writing   bool                // its first byte may have been written
	withdrawn bool                // nothing of it may be written that has not begun
	refused   precondition.Reason // why its first byte was not written
}

// Abort implements core.Attempt.
func (a *attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.mu.Lock()
	a.body.aborted = true
	a.body.mu.Unlock()
	a.cancel()
}

// Withdraw implements core.Attempt.
func (a *attempt) Withdraw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.withdrawn = true; !a.writing {
		a.cancel()
	}
}

// giveUp ends an attempt and what is left of its connection. It returns when the replica has had time to see that: the attempt
// counts as out until then, and its end lets the next one go out, which would be a second copy.
func (a *attempt) giveUp(written bool) {
	a.cancel()
	if written {
		time.Sleep(closeFor)
	}
}

// begin settles whether an exchange's first byte may be written.
func (a *attempt) begin() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = precondition.FirstByte{
		Withdrawn:   a.withdrawn,
		ClientGone:  a.order.ClientGone != nil && a.order.ClientGone(),
		TimeLeft:    a.until.Sub(now),
		Retry:       a.order.Retry,
		DedupWindow: a.window.Sub(now),
	}.Check()
	a.writing = a.refused == precondition.Allowed
	return a.writing
}

// why is why the attempt did not begin; permit.Allowed: it did, or nothing kept it from that.
func (a *attempt) why() precondition.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refused == precondition.Allowed && a.withdrawn && !a.writing {
		return precondition.Withdrawn
	}
	return a.refused
}

// Send implements core.Servers.
func (p *Client) Send(order dispatch.AttemptSpec, ev dispatch.AttemptObserver) dispatch.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	a := &attempt{pool: p, order: order, until: now.Add(order.Timeout), window: now.Add(order.DedupWindow), ctx: ctx, cancel: cancel,
		body: &body{rest: order.Call.Body}}
	go a.run(ev)
	return a
}

func (a *attempt) run(ev dispatch.AttemptObserver) {
	a.pool.awaitRelease(a.ctx, a.order.Call.ID)
	x := newExchange(a)
	resp, err := x.roundTrip()
	for n := 0; n < mostStale && err != nil && x.spent(); n++ {
		// Its last byte was not written, so it is the same attempt, and the replica is not to blame.
		slog.Info("other_connection", "id", a.order.Call.ID, "server", a.order.Target.Name, "idle", time.Duration(x.idle.Load()), "err", err)
		next := a.renew()
		if next == nil {
			break
		}
		x = next
		resp, err = x.roundTrip()
	}
	if err != nil {
		a.failed(x, err, ev)
		return
	}
	if resp.StatusCode == http.StatusOK {
		x.stop()
		a.stream(resp, ev)
		return
	}
	data, err := drain(resp.Body)
	x.stop()
	a.cancel()
	ev.Ended(a.pool.outcome(resp, data, err))
}

// failed tells of an attempt without an answer's head. One that this side kept from beginning, or this machine from connecting, has no
// bearing on the replica.
func (a *attempt) failed(x *exchange, err error, ev dispatch.AttemptObserver) {
	a.giveUp(x.wrote.Load())
	outcome, why := x.lost(), a.why()
	if outcome == routing.ConnectFailed && !x.wrote.Load() && (why != precondition.Allowed || errors.Is(err, errLocal)) {
		outcome = routing.NotSent
	}
	slog.Info("call_failed", "id", a.order.Call.ID, "server", a.order.Target.Name, "outcome", outcome, "why", why.String(),
		"idle", time.Duration(x.idle.Load()), "err", err)
	ev.Ended(dispatch.AttemptResult{Outcome: outcome, StreamStarted: x.begun.Load()})
}

// renew begins the attempt anew on another connection; nil: it was given up meanwhile.
func (a *attempt) renew() *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil || a.withdrawn {
		return nil
	}
	a.body, a.writing = &body{rest: a.order.Call.Body}, false
	return newExchange(a)
}

// exchange is one use of a connection by an attempt.
type exchange struct {
	attempt *attempt
	body    *body
	written atomic.Bool  // or writing failed
	unsent  atomic.Bool  // writing failed before the last byte
	stale   atomic.Bool  // the connection was of no use, and nothing was written to it
	wrote   atomic.Bool  // the first byte may have been written
	begun   atomic.Bool  // the answer itself has
	idle    atomic.Int64 // how long the connection had stood idle, in ns; -1 for a new one

	mu    sync.Mutex
	early int         // 1xx heads
	due   *time.Timer // runs from an answer's first byte
	over  bool
}

func newExchange(a *attempt) *exchange {
	x := &exchange{attempt: a, body: a.body}
	x.idle.Store(-1)
	return x
}

// roundTrip sends a call and waits for the answer's head. A replica may begin a head and never end it, which
// the Transport does not notice.
func (x *exchange) roundTrip() (*http.Response, error) {
	call, to, until := x.attempt.order.Call, x.attempt.order.Target, x.attempt.until
	var req *http.Request
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.stale.Store(!usable(info, x.begin))
			// The wait for a connection may have taken most of the time that was left when the attempt was made. The
			// Transport calls this from RoundTrip, before it writes the head.
			req.Header.Set("X-Expires-In", strconv.FormatInt(max(time.Until(until).Milliseconds(), 1), 10)+"m")
			if x.idle.Store(-1); info.Reused {
				x.idle.Store(int64(info.IdleTime))
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			x.unsent.Store(info.Err != nil)
			x.written.Store(true)
		},
		GotFirstResponseByte: func() {
			x.begun.Store(true)
			x.mu.Lock()
			defer x.mu.Unlock()
			if !x.over {
				x.due = time.AfterFunc(headWait, x.attempt.cancel)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.early++; x.early > mostEarly {
				x.begun.Store(true)
				return errEarly
			}
			x.begun.Store(false)
			if x.due != nil {
				x.due.Stop() // the answer's own head comes when the replica is ready for it
			}
			return nil
		},
	}
	req, err := newRequest(httptrace.WithClientTrace(x.attempt.ctx, trace), call.Method, to.Addr, call.Target)
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = x.body, int64(len(call.Body))
	req.Header.Set("X-Trace-Id", call.ID)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	resp, err := x.attempt.pool.transport.RoundTrip(req)
	if err != nil {
		x.stop()
	}
	return resp, err
}

// stop ends the wait for the rest of a head, or of a short answer.
func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over = true; x.due != nil {
		x.due.Stop()
	}
}

// begin is asked before the exchange's first byte is written.
func (x *exchange) begin() bool {
	if !x.attempt.begin() {
		return false
	}
	x.wrote.Store(true)
	return true
}

// usable tells whether a connection may take a request, which asks begin before its first byte.
func usable(info httptrace.GotConnInfo, begin func() bool) bool {
	c, ok := info.Conn.(*conn)
	if !ok {
		return false // no connection of this pool's
	}
	c.use(begin)
	if !info.Reused {
		return true
	}
	if left := settleFor - info.IdleTime; left > 0 {
		time.Sleep(left) // what comes behind an answer may come some milliseconds late, and must come before the next call
	}
	return c.take()
}

// spent tells whether the call was to go over a used connection that turned out to be closed, before the last
// byte was written.
func (x *exchange) spent() bool { return x.idle.Load() >= 0 && x.lost() == routing.ConnectFailed }

// lost tells apart what never ran from what may have, by whether the last byte was written.
func (x *exchange) lost() routing.Outcome {
	x.body.mu.Lock()
	defer x.body.mu.Unlock()
	switch {
	case !x.wrote.Load(), x.stale.Load(), x.written.Load() && x.unsent.Load():
		return routing.ConnectFailed
	case x.written.Load(), x.body.given:
		return routing.ConnectionReset
	}
	return routing.ConnectFailed // no connection came up, or the write was cut off
}

func newRequest(ctx context.Context, method, addr, target string) (*http.Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	u.Scheme, u.Host = "http", addr
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("User-Agent", "rampspread")
	return req, nil
}

// drain reads a short body to its end, so that the connection can be used again.
func drain(r io.ReadCloser) ([]byte, error) {
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxAnswer))
}

// outcome reads an answer that is no stream.
func (p *Client) outcome(resp *http.Response, data []byte, err error) dispatch.AttemptResult {
	o := dispatch.AttemptResult{Outcome: routing.Errored, Load: p.load(resp.Header.Get("Endpoint-Load-Metrics"))}
	neverRan := resp.Header.Get("X-Never-Ran") == "1"
	switch resp.StatusCode {
	case http.StatusAccepted:
		o.Outcome = routing.PrefillDone
		var read struct {
			CachedTokens int `json:"cached_tokens"`
		}
		if err == nil {
			err = json.Unmarshal(data, &read)
		}
		if err != nil {
			p.bad.Add(1) // the read is done all the same: the head says so
		}
		o.CachedTokens = max(read.CachedTokens, 0)
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if neverRan {
			o.Outcome = routing.QueueFull
		}
	case http.StatusGone:
		if neverRan {
			o.Outcome = routing.StateMissing
		}
	case http.StatusInternalServerError:
	default:
		p.bad.Add(1)
		slog.Warn("unknown_answer", "status", resp.StatusCode)
	}
	return o
}

// load reads a load report such as "TEXT inflight=7, util=0.61"; nil without one.
func (p *Client) load(text string) *routing.LoadReport {
	rest, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		if text != "" {
			p.bad.Add(1)
		}
		return nil
	}
	values := map[string]float32{}
	for _, item := range strings.Split(rest, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0 && v < 1e9) {
			p.bad.Add(1)
			return nil
		}
		values[name] = float32(v)
	}
	report := make([]float32, 0, len(p.settings.Telemetry.Fields))
	for _, name := range p.settings.Telemetry.Fields {
		v, ok := values[name]
		if !ok {
			return nil
		}
		report = append(report, v)
	}
	return p.settings.LoadReport(report)
}

// PollLoad implements core.Servers.
func (p *Client) PollLoad(to dispatch.Target, limit time.Duration, told func(*routing.LoadReport)) {
	p.PollLoadFor("", to, limit, told)
}

// dutyHeader tells a replica for which lease of the fleet's duties it is asked.
const dutyHeader = "X-Duty"

// PollLoadFor is Probe on behalf of the fleet; duty says under which lease.
func (p *Client) PollLoadFor(duty string, to dispatch.Target, limit time.Duration, told func(*routing.LoadReport)) {
	go func() {
		l, err := p.probe(duty, to, limit)
		if err != nil {
			slog.Warn("probe_failed", "server", to.Name, "err", err)
		}
		told(l)
	}()
}

func (p *Client) probe(duty string, to dispatch.Target, limit time.Duration) (*routing.LoadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	resp, data, err := p.short(ctx, http.MethodGet, to, loadPath, duty)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("load: status %d", resp.StatusCode)
	}
	return p.load(string(data)), nil
}

// short makes a call without a body and reads its short answer.
func (p *Client) short(ctx context.Context, method string, to dispatch.Target, path, duty string) (*http.Response, []byte, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { usable(info, nil) }})
	req, err := newRequest(ctx, method, to.Addr, path)
	if err != nil {
		return nil, nil, err
	}
	if duty != "" {
		req.Header.Set(dutyHeader, duty)
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	data, err := drain(resp.Body)
	return resp, data, err
}
