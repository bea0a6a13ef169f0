package replica

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

// LeasedPoll is the Class of the event of a load poll that a dispatcher sends for the whole fleet under a lease. The
// event's Weight is the lease's fencing token.
const LeasedPoll = "duty"

// reservationPath is the path prefix of reserved states. The request ID follows it.
const reservationPath = "/bootstrap/rooms/"

// minLinkHealthyTime is the minimum time without a fault on a call's link, up to the call, for the call to be recorded
// with a healthy link.
const minLinkHealthyTime = time.Second

// decodeEarlyErrorFraction is the fraction of a decode replica's failing calls that fail before execution.
const decodeEarlyErrorFraction = 0.5

// call describes how an HTTP request arrived at the replica.
type call struct {
	link       *network.Link
	dispatcher int
	arrivedAt  time.Duration // time on the history's clock
}

// attempt is a dispatcher's attempt to have this replica execute a request.
type attempt struct {
	call
	id      string
	request *deployment.Request
}

func (r *Replica) handle(w http.ResponseWriter, req *http.Request, c call) {
	if id, ok := strings.CutPrefix(req.URL.Path, reservationPath); ok {
		r.handleRelease(w, req, c, id)
		return
	}
	if req.Method == http.MethodGet && (req.URL.Path == "/load" || req.URL.Path == "/healthz") {
		r.handleLoadPoll(w, req, c)
		return
	}
	r.handleAttempt(w, req, c)
}

// handleRelease releases the state of a request.
func (r *Replica) handleRelease(w http.ResponseWriter, req *http.Request, c call, id string) {
	if req.Method != http.MethodDelete {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.awaitResumed(req.Context())
	r.cluster.releaseState(id, c.link.Healthy(time.Now().Add(-minLinkHealthyTime)))
	w.WriteHeader(http.StatusNoContent)
}

func (r *Replica) handleLoadPoll(w http.ResponseWriter, req *http.Request, c call) {
	e := history.Event{Kind: history.LoadPolled, Replica: r.Name, Dispatcher: c.dispatcher}
	if _, token, ok := strings.Cut(req.Header.Get("X-Duty"), " "); ok {
		e.Class = LeasedPoll
		e.Weight, _ = strconv.ParseFloat(token, 64)
	}
	r.cluster.history.Add(e)
	if !r.cluster.Deployment.LoadPolls {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.awaitResumed(req.Context())
	if r.cluster.Deployment.LoadReports {
		io.WriteString(w, r.currentLoadReport())
	}
}

// handleAttempt records an attempt and executes it, unless an injected fault determines the response.
func (r *Replica) handleAttempt(w http.ResponseWriter, req *http.Request, c call) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the body is incomplete, so the attempt does not count as arrived
	}
	a := attempt{call: c, id: req.Header.Get("X-Trace-Id")}
	a.request = r.cluster.request(a.id)
	if a.request == nil && r.cluster.ResolveUnregistered != nil {
		a.request = r.cluster.ResolveUnregistered(req, body)
	}
	if a.request == nil || string(body) != a.request.Body {
		r.cluster.history.Add(history.Event{Kind: history.ForeignDataReceived, Request: a.id, Replica: r.Name, Dispatcher: c.dispatcher})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	receivedAt := time.Now()
	overloaded := r.recordArrival(req, a, receivedAt)
	defer func() {
		r.cluster.history.Add(history.Event{Kind: history.AttemptEnded, Request: a.id, Replica: r.Name, Dispatcher: a.dispatcher,
			LinkHealthy: a.link.Healthy(receivedAt)})
	}()
	if overloaded {
		r.cluster.history.Add(history.Event{Kind: history.ReplicaOverloaded, Replica: r.Name, Dispatcher: -1})
		r.Kill()
		return
	}
	r.awaitResumed(req.Context())
	if r.maybeRespondCorrupt(w) {
		return
	}
	r.mu.Lock()
	errorRate := r.errorRate
	r.mu.Unlock()
	failing := errorRate > 0 && r.cluster.random() < errorRate
	switch {
	case failing && (!r.Decode || r.cluster.random() < decodeEarlyErrorFraction):
		w.WriteHeader(http.StatusInternalServerError)
	case failing:
		defer r.cluster.trackDecode(a.id)()
		r.decode(w, req, a, failAfterStart)
	case r.Decode:
		defer r.cluster.trackDecode(a.id)()
		r.decode(w, req, a, r.streamResponse)
	default:
		r.prefill(w, req, a)
	}
}

// recordArrival records an attempt and reports whether the attempt overloads the replica. Only a replica in slow start
// can be overloaded.
func (r *Replica) recordArrival(req *http.Request, a attempt, receivedAt time.Time) (overloaded bool) {
	h := r.cluster.history
	event := history.Event{At: a.arrivedAt, LastByteAt: h.Now(), Kind: history.AttemptArrived, Request: a.id, Group: a.request.Group,
		Class: a.request.Class.Name, Replica: r.Name, Dispatcher: a.dispatcher,
		LinkHealthy: a.link.Healthy(receivedAt.Add(-minLinkHealthyTime)), Weight: r.meanWork(a.request)}
	if timeout, err := parseTimeout(req.Header.Get("X-Expires-In")); err == nil {
		event.AnnouncedTimeout = timeout
	}
	if c, ok := req.Context().Value(connectionKey{}).(*network.Conn); ok {
		event.SentAt = max(min(h.At(c.ArrivedAt()), a.arrivedAt), 1)
	}
	h.Add(event)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowStart != nil {
		_, _, overloaded = r.slowStart.Add(event)
	}
	return overloaded
}

// parseTimeout parses the remaining time that an attempt announces: a number of milliseconds followed by "m", such as
// 4800m.
func parseTimeout(text string) (time.Duration, error) {
	ms, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	return time.Duration(ms) * time.Millisecond, err
}

// respondNotExecuted responds that an attempt was not executed, so that the dispatcher may retry it on another replica.
func respondNotExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Never-Ran", "1")
	w.WriteHeader(status)
}
