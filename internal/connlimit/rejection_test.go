package connlimit

import "testing"

// A connection for which there is no capacity is sent exactly these bytes.
func TestGoldenRejection(t *testing.T) {
	const want = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if rejectionResponse != want {
		t.Errorf("%q, want %q", rejectionResponse, want)
	}
}
