package upstream

import (
	"errors"
	"io"
	"sync"
)

var errAborted = errors.New("attempt aborted")

// requestBody passes a call's bytes to the Transport. It determines whether the last byte may have been written when an
// attempt is aborted. No byte is passed on after the abort, so an attempt whose last byte was not passed on never ran.
//
// net/http sets no GetBody for a body of this type, so the Transport cannot rewind the body and never resends a call by
// itself.
type requestBody struct {
	mu       sync.Mutex
	unread   []byte
	consumed bool // the last byte was passed on
	aborted  bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.consumed: // net/http reads once more after the last byte; an error would mean that the byte was not written
		return 0, io.EOF
	case b.aborted:
		return 0, errAborted
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if len(b.unread) == 0 {
		b.consumed = true
		return n, io.EOF
	}
	return n, nil
}

// drop ends the body, whose bytes were all passed on or will not be read any more.
func (b *requestBody) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread, b.aborted = nil, true
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// abort prevents further bytes from being passed on.
func (b *requestBody) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.aborted = true
}
