package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"rampspread/internal/dispatch"
)

// Headers of requests.
const (
	traceHeader  = "X-Trace-Id"   // the call's ID
	expiryHeader = "X-Expires-In" // remaining time of the call in milliseconds, with the unit m as in grpc-timeout
	leaseHeader  = "X-Duty"       // the fleet's lease under which a replica is polled
)

const (
	userAgent    = "rampspread"
	maxShortBody = 64 << 10 // bytes of a response that is not a stream
)

// statusError is the error for a response status that says that the replica did not carry out the call.
type statusError int

// Error implements error.
func (status statusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

// newRequest returns a request to a replica, without a body. The target is a path with an optional query.
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
	req.Header.Set("User-Agent", userAgent)
	return req, nil
}

// shortCall makes a call without a body and reads its short response. The lease is the name of the fleet's lease under
// which the call is made; it is empty if the call is made for this process alone.
func (c *Client) shortCall(
	ctx context.Context, method string, target dispatch.EndpointAddress, path, lease string,
) (*http.Response, []byte, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { prepareConn(info, nil) },
	})
	req, err := newRequest(ctx, method, target.Addr, path)
	if err != nil {
		return nil, nil, err
	}
	if lease != "" {
		req.Header.Set(leaseHeader, lease)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	data, err := readShortBody(resp.Body)
	return resp, data, err
}

// readShortBody reads at most maxShortBody bytes of a body, and closes it. It reads a short body to its end, so that
// the connection can be reused.
func readShortBody(body io.ReadCloser) ([]byte, error) {
	defer body.Close()
	return io.ReadAll(io.LimitReader(body, maxShortBody))
}
