package connlimit_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rampspread/internal/connlimit"
	"rampspread/internal/testutil"
)

// This test guards against request smuggling: the bytes of a body must never be read as another request, whether the
// header has both framings, a framing that is invalid or unsupported, or a body that is too long.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	const hidden = "POST /hidden HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\n{}"
	for head, want := range map[string]string{
		"Content-Length: 63\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": "400",
		"Transfer-Encoding: chunked\r\ncOntent-length:63\r\n\r\n0\r\n\r\n":  "400",
		"Transfer-Encoding: chunked\nContent-Length: 63\n\n0\r\n\r\n":       "400",
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                 "501",
		"Content-Length: 60000000\r\n\r\n":                                  "413",
		"Content-Length: 99999999999999999999\r\n\r\n":                      "400",
		"Content-Length: -2\r\n\r\n":                                        "400",
		"Content-Length: 2\r\nContent-Length: 3\r\n\r\n":                    "400",
	} {
		l, s := newLimitedServer(t, 1<<20, new(connlimit.Lifecycle), func(_ http.ResponseWriter, r *http.Request) {
			t.Errorf("%q: %s reached the handler", head, r.URL)
		})
		conn := dial(t, s)
		io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\n"+head+hidden)
		got, _ := io.ReadAll(conn)
		conn.Close()
		if !strings.HasPrefix(string(got), "HTTP/1.1 "+want) || strings.Count(string(got), "HTTP/1.1 ") != 1 {
			t.Errorf("%q: answered %q", head, got)
		}
		testutil.Eventually(t, "the count", func() bool { return l.Malformed() == 1 })
	}
}
