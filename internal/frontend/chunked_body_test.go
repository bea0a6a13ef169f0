package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"rampspread/internal/connlimit"
	"rampspread/internal/testutil"
)

// chunkedHead is a format for the header of a request with a chunked body, without the empty line at its end. Its only
// argument is the request's id.
const chunkedHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: %s\r\nX-Qos: frage\r\n" +
	"X-Expires-In: 30000m\r\nX-Props: " + validProps + "\r\nTransfer-Encoding: chunked\r\n"

// newChunkedServer starts a server behind a Limiter, with a deployment of its own. The last result is its address.
func newChunkedServer(t *testing.T) (*testutil.Deployment, *connlimit.Limiter, string) {
	t.Helper()
	deployment, handler, _ := startServer(t, testutil.ServePrefill, testutil.ServeDecode("a"))
	l, s := newLimitedServer(t, 1<<20, handler.ServeHTTP)
	return deployment, l, s.Listener.Addr().String()
}

// On a persistent connection, chunked bodies must be accepted alternately with bodies that have a Content-Length, and
// also with trailers. Replicas must receive each as one body with a Content-Length.
func TestChunkedBodyIsForwardedWithItsLength(t *testing.T) {
	deployment, l, addr := newChunkedServer(t)
	conn := dial(t, addr)
	responses := bufio.NewReader(conn)
	sized := strings.Replace(chunkedHead, "Transfer-Encoding: chunked", "Content-Length: 9", 1)
	want := `{"n": 12}`
	for i, text := range []string{
		chunkedHead + "\r\n9\r\n" + want + "\r\n0\r\n\r\n",
		sized + "\r\n" + want,
		chunkedHead + "\r\n4;x=y\r\n" + want[:4] + "\r\n5\r\n" + want[4:] + "\r\n0\r\n\r\n",
		chunkedHead + "Trailer: X-Sum\r\n\r\n9\r\n" + want + "\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		fmt.Fprintf(conn, text, fmt.Sprint("id", i))
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != testutil.EventStream("a") {
			t.Errorf("request %d: status %d, %q, %v", i, resp.StatusCode, body, err)
		}
		if h := deployment.Decode.Header(i); h.Get("Content-Length") != "9" {
			t.Errorf("request %d was forwarded without its length: %v", i, h)
		}
	}
	for i, body := range append(deployment.Prefill.Bodies(), deployment.Decode.Bodies()...) {
		if body != want {
			t.Errorf("body %d: %q", i, body)
		}
	}
	if l.Malformed() != 0 {
		t.Errorf("%d counted as malformed", l.Malformed())
	}
	// A request with both framings after them on the connection is rejected, and the connection is closed.
	fmt.Fprintf(conn, chunkedHead+"Content-Length: 9\r\n\r\n9\r\n"+want+"\r\n0\r\n\r\n", "both")
	if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Errorf("both framings on a persistent connection: %v, %v", resp, err)
	}
}

// A chunked request must be accepted however it is split into writes. An incomplete chunked request must never be
// accepted.
func TestChunkedRequestIsAcceptedOnlyWhole(t *testing.T) {
	deployment, _, addr := newChunkedServer(t)
	text := fmt.Sprintf(chunkedHead, "whole") + "\r\n4\r\n{\"n\"\r\n2\r\n:1\r\n1\r\n}\r\n0\r\n\r\n"
	conn := dial(t, addr)
	conn.SetNoDelay(true)
	for i := range text {
		io.WriteString(conn, text[i:i+1])
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("byte by byte: %v, %v", resp, err)
	}
	for at := range len(text) - 1 {
		conn := dial(t, addr)
		io.WriteString(conn, strings.Replace(text[:at], "whole", "parts", 1))
		conn.CloseWrite()
		got, _ := io.ReadAll(conn)
		if strings.HasPrefix(string(got), "HTTP/1.1 2") {
			t.Errorf("cut at %d: answered %q", at, got)
		}
		conn.Close()
	}
	if total, _ := deployment.Prefill.Calls(); total != 1 {
		t.Errorf("%d prefill calls, want only that of the complete request", total)
	}
}

// A chunked body over the limit must be rejected in the same way as other bodies, and not sent to a replica.
func TestTooLongChunkedBodyIsRejected(t *testing.T) {
	deployment, _, addr := newChunkedServer(t)
	conn := dial(t, addr)
	go func() {
		fmt.Fprintf(conn, chunkedHead+"\r\n", "long")
		for range 65 {
			if _, err := io.WriteString(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("response %v, error %v", resp, err)
	}
	if total, _ := deployment.Prefill.Calls(); total != 0 {
		t.Errorf("%d prefill calls, want none", total)
	}
}
