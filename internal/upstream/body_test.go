package upstream

import (
	"io"
	"testing"
)

// An attempt that is aborted after its last byte was passed on must not look like a failed write. net/http reads the
// body once more after the last byte, and must get io.EOF then.
func TestBodyAbortedAfterItsLastByteStillEndsWithEOF(t *testing.T) {
	b := &requestBody{unread: []byte("ab")}
	if n, err := b.Read(make([]byte, 9)); n != 2 || err != io.EOF {
		t.Fatalf("%d bytes, %v", n, err)
	}
	b.aborted = true
	if n, err := b.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("read after the end: %d bytes, %v", n, err)
	}
	b = &requestBody{unread: []byte("ab"), aborted: true}
	if n, err := b.Read(make([]byte, 9)); n != 0 || err != errAborted {
		t.Errorf("aborted before the last byte: %d bytes, %v", n, err)
	}
}
