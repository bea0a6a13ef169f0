package upstream

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync"
	"time"

	"rampspread/routing"
)

const (
	// headTimeout limits the time from a response's first byte to the end of its head, the status line and the headers.
	// A replica writes the head at once, with the first token, so a head that does not end within this time never will.
	headTimeout = 300 * time.Millisecond
	// maxInformationalHeads is how many heads with a 1xx status may precede the response.
	maxInformationalHeads = 8
	// newConnIdleTime is the idle time recorded for a connection that was not used before, or if there is no
	// connection.
	newConnIdleTime time.Duration = -1
)

var errTooManyInformationalHeads = errors.New("too many 1xx heads")

// requestState is the progress of writing an exchange's request.
//
//	waitingForConn -> writing       the first byte is about to be written (admitFirstByte)
//	writing        -> written       the Transport wrote the whole request (requestWritten)
//	writing        -> writeFailed   the Transport failed before the last byte (requestWritten)
//
// A request whose first byte is refused stays in waitingForConn.
type requestState uint8

const (
	waitingForConn requestState = iota // no byte was written
	writing                            // the first byte may have been written
	written                            // the last byte was written
	writeFailed                        // writing failed before the last byte
)

// responseState is the progress of reading an exchange's response. It is separate from requestState because a replica
// may respond before it has read the whole request.
//
//	waitingForHead -> readingHead      the first byte arrived (gotFirstResponseByte)
//	waitingForHead -> readingHead      too many 1xx heads arrived (gotInformationalHead)
//	readingHead    -> waitingForHead   the head had a 1xx status (gotInformationalHead)
//
// The exchange ends with the whole head: roundTrip returns, and the attempt reads a stream or a short body.
type responseState uint8

const (
	waitingForHead responseState = iota
	readingHead
)

// exchange is one use of a connection by an attempt, from the wait for a connection to the end of the response's head.
// Its httptrace callbacks run in goroutines of the Transport.
type exchange struct {
	attempt *attempt
	body    *requestBody

	mu                 sync.Mutex
	request            requestState
	response           responseState
	connUnusable       bool          // the connection could not be used for the request, and nothing was written to it
	idleTime           time.Duration // how long the connection was idle before the exchange, or newConnIdleTime
	informationalHeads int           // number of complete 1xx heads received
	headTimer          *time.Timer   // cancels the attempt headTimeout after the response's first byte
	headTimerStopped   bool          // stopHeadTimer was called, so headTimer must not be started again
}

func newExchange(a *attempt) *exchange {
	return &exchange{attempt: a, body: a.body, idleTime: newConnIdleTime}
}

// roundTrip sends the call and waits for the response's head. The Transport does not notice if a replica begins a head
// and never ends it, so headTimer cancels the attempt then.
func (x *exchange) roundTrip() (*http.Response, error) {
	a := x.attempt
	call := a.spec.Call
	var req *http.Request
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.gotConn(info)
			// The wait for a connection may have taken most of the time that remained when the attempt was made. The
			// Transport calls GotConn from RoundTrip, before it writes the request's head.
			remaining := max(time.Until(a.deadline).Milliseconds(), 1)
			req.Header.Set(expiryHeader, strconv.FormatInt(remaining, 10)+"m")
		},
		WroteRequest:         func(info httptrace.WroteRequestInfo) { x.requestWritten(info.Err) },
		GotFirstResponseByte: x.gotFirstResponseByte,
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { return x.gotInformationalHead() },
	}
	req, err := newRequest(httptrace.WithClientTrace(a.ctx, trace), call.Method, a.spec.Target.Addr, call.Target)
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = x.body, int64(len(call.Body))
	req.Header.Set(traceHeader, call.ID)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	resp, err := a.client.transport.RoundTrip(req)
	if err != nil {
		x.stopHeadTimer()
	}
	return resp, err
}

// gotConn prepares the connection that the Transport chose.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	usable := prepareConn(info, x.admitFirstByte)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.connUnusable = !usable
	x.idleTime = newConnIdleTime
	if info.Reused {
		x.idleTime = info.IdleTime
	}
}

// admitFirstByte reports whether the exchange's first byte may be written. The connection calls it before that byte.
func (x *exchange) admitFirstByte() bool {
	if !x.attempt.admitFirstByte() {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.request == waitingForConn {
		x.request = writing
	}
	return true
}

// requestWritten records that the Transport has written the request, or has failed to write it.
func (x *exchange) requestWritten(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.request == waitingForConn: // the first byte was refused
	case err != nil:
		x.request = writeFailed
	default:
		x.request = written
	}
}

// gotFirstResponseByte records the first byte of a response, or of a 1xx head before it.
func (x *exchange) gotFirstResponseByte() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.response = readingHead
	if !x.headTimerStopped {
		x.headTimer = time.AfterFunc(headTimeout, x.attempt.cancel)
	}
}

// gotInformationalHead records a complete 1xx head. The replica sends the response's own head when it is ready, so
// headTimer does not run until that head begins.
func (x *exchange) gotInformationalHead() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.informationalHeads++
	if x.informationalHeads > maxInformationalHeads {
		x.response = readingHead
		return errTooManyInformationalHeads
	}
	x.response = waitingForHead
	if x.headTimer != nil {
		x.headTimer.Stop()
	}
	return nil
}

// stopHeadTimer ends the time limit for the rest of a head, or of a short response.
func (x *exchange) stopHeadTimer() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.headTimerStopped = true
	if x.headTimer != nil {
		x.headTimer.Stop()
	}
}

// connIdleTime returns how long the connection had been idle before the exchange, or newConnIdleTime.
func (x *exchange) connIdleTime() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.idleTime
}

// firstByteWritten reports whether the first byte may have been written.
func (x *exchange) firstByteWritten() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.request != waitingForConn
}

// responseBegan reports whether a response has begun. A complete 1xx head does not count as a response, unless it is
// one more than maxInformationalHeads. An incomplete head counts, since its status is not known.
func (x *exchange) responseBegan() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.response == readingHead
}

// connWasStale reports whether the call got a used connection that turned out to be closed before the last byte was
// written. Only then may the attempt use another connection: after the last byte the call may have run, and the failure
// of a new connection is evidence about its replica.
func (x *exchange) connWasStale() bool {
	return x.connIdleTime() >= 0 && x.failureOutcome() == routing.ConnectFailed
}

// failureOutcome returns routing.ConnectFailed for a call that never ran, since its last byte was not written, and
// routing.ConnectionReset for a call that may have run.
func (x *exchange) failureOutcome() routing.Outcome {
	x.body.mu.Lock()
	defer x.body.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.connUnusable, x.request == waitingForConn, x.request == writeFailed:
		return routing.ConnectFailed
	case x.request == written, x.body.consumed:
		return routing.ConnectionReset
	}
	return routing.ConnectFailed // writing was interrupted before the last byte
}
