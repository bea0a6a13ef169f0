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
	// headTimeout runs from a response's first byte. A replica writes the head at once, with the first token: a head
	// that does not end within this time never will.
	headTimeout = 300 * time.Millisecond
	// maxInformational is how many heads with a status of 1xx may come before the response.
	maxInformational = 8
	// newConnIdleTime is the idle time recorded for a connection that had not been used before, or where there is none.
	newConnIdleTime time.Duration = -1
)

var errTooManyInformational = errors.New("too many 1xx heads")

// requestState says how far an exchange's request has been written.
//
//	waitingForConn -> writing       the first byte is about to be written (firstByteAdmitted)
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

// responseState says how far an exchange's response has come. It is separate from requestState because a replica may
// answer before it has read the whole request.
//
//	waitingForHead -> readingHead      the first byte came, or too many 1xx heads (headBegan, informationalHead)
//	readingHead    -> waitingForHead   the head was one of status 1xx (informationalHead)
//
// With the whole head the exchange is over: roundTrip returns, and the attempt reads a stream or a short body.
type responseState uint8

const (
	waitingForHead responseState = iota
	readingHead
)

// exchange is one use of a connection by an attempt: from the wait for a connection to the response's head. Its
// httptrace callbacks run in goroutines of the Transport.
type exchange struct {
	attempt *attempt
	body    *requestBody

	mu            sync.Mutex
	request       requestState
	response      responseState
	unusable      bool          // the connection could not take a request, and nothing was written to it
	idleTime      time.Duration // of the connection before the exchange; newConnIdleTime for a new one
	informational int           // 1xx heads
	headTimer     *time.Timer   // cancels the attempt headTimeout after the response's first byte
	headRead      bool          // headTimer is needed no more
}

func newExchange(a *attempt) *exchange {
	return &exchange{attempt: a, body: a.body, idleTime: newConnIdleTime}
}

// roundTrip sends the call and waits for the response's head. A replica may begin a head and never end it, which the
// Transport does not notice; headTimer does.
func (x *exchange) roundTrip() (*http.Response, error) {
	a := x.attempt
	call := a.spec.Call
	var req *http.Request
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.gotConn(info)
			// The wait for a connection may have taken most of the time that remained when the attempt was made. The
			// Transport calls this from RoundTrip, before it writes the head.
			remaining := max(time.Until(a.deadline).Milliseconds(), 1)
			req.Header.Set(expiryHeader, strconv.FormatInt(remaining, 10)+"m")
		},
		WroteRequest:         func(info httptrace.WroteRequestInfo) { x.requestWritten(info.Err) },
		GotFirstResponseByte: x.headBegan,
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { return x.informationalHead() },
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
	x.unusable = !usable
	x.idleTime = newConnIdleTime
	if info.Reused {
		x.idleTime = info.IdleTime
	}
}

// admitFirstByte is called before the exchange's first byte is written, and says whether it may be.
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

// requestWritten is called when the Transport has written the request, or failed in that.
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

// headBegan is called with the first byte of a response, or of a 1xx head before it.
func (x *exchange) headBegan() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.response = readingHead
	if !x.headRead {
		x.headTimer = time.AfterFunc(headTimeout, x.attempt.cancel)
	}
}

// informationalHead is called with each whole 1xx head. The response's own head comes when the replica is ready for it,
// so headTimer doesn't run until then.
func (x *exchange) informationalHead() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.informational++
	if x.informational > maxInformational {
		x.response = readingHead
		return errTooManyInformational
	}
	x.response = waitingForHead
	if x.headTimer != nil {
		x.headTimer.Stop()
	}
	return nil
}

// stopHeadTimer ends the wait for the remainder of a head, or of a short response.
func (x *exchange) stopHeadTimer() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.headRead = true
	if x.headTimer != nil {
		x.headTimer.Stop()
	}
}

// connIdleTime returns for how long the connection had been idle before the exchange, or newConnIdleTime.
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

// responseBegan reports whether the response itself has begun. A 1xx head is no response.
func (x *exchange) responseBegan() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.response == readingHead
}

// connWasStale reports whether the call was to go over a used connection that turned out to be closed before the last
// byte was written. Only then may the attempt take another connection: after the last byte the call may have run, and
// a new connection that fails says something about its replica.
func (x *exchange) connWasStale() bool {
	return x.connIdleTime() >= 0 && x.failureOutcome() == routing.ConnectFailed
}

// failureOutcome tells an exchange that never ran (routing.ConnectFailed) from one that may have run
// (routing.ConnectionReset), by whether the last byte was written.
func (x *exchange) failureOutcome() routing.Outcome {
	x.body.mu.Lock()
	defer x.body.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.unusable, x.request == waitingForConn, x.request == writeFailed:
		return routing.ConnectFailed
	case x.request == written, x.body.consumed:
		return routing.ConnectionReset
	}
	return routing.ConnectFailed // writing was cut off
}
