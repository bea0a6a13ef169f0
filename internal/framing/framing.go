// Package framing follows the framing of HTTP/1.1 messages (RFC 9112) in the raw bytes of a connection. It tells what
// net/http does not: how many lines the current head has before it is parsed, and how large a chunk is said to be before
// its data has come. It decides nothing about a message: net/http parses the same bytes and rejects malformed ones.
package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// recordedLineBytes is how much of a head's line is kept, which suffices for the fields that give a body's length.
const recordedLineBytes = 64

// messagePart is the part of a message that a byte belongs to.
type messagePart uint8

const (
	partHead      messagePart = iota
	partBody                  // a body with a Content-Length
	partChunkSize             // the line that begins a chunk
	partChunkData
	partChunkEnd // the line end behind a chunk's data
	partTrailer
)

// Scanner follows the messages of one direction of a connection. A message without a Content-Length and a chunked body
// has no body for it. Its zero value is at the beginning of a head; one goroutine at a time may use it.
type Scanner struct {
	// MaxLines is the number of lines in a head after which the Scanner reads no further, or 0 for no limit.
	MaxLines int

	largestChunk int64
	part         messagePart
	lines        int // of the current head
	headBytes    int // of the current head
	left         int64
	line         []byte // beginning of the current line
	lineBytes    int
	length       int64 // Content-Length of the current head
	chunked      bool
}

// Scan processes the next bytes, which may be split anywhere. It returns where in them the current head begins, or 0 if
// it has begun before them.
func (s *Scanner) Scan(p []byte) (headStart int) {
	size := len(p)
	for len(p) > 0 && !s.TooManyLines() {
		if s.atHeadStart() {
			headStart = size - len(p)
		}
		switch s.part {
		case partBody, partChunkData:
			n := min(int64(len(p)), s.left)
			p, s.left = p[n:], s.left-n
			if s.left == 0 {
				s.endData()
			}
		default:
			p = s.scanLine(p)
		}
	}
	return headStart
}

// atHeadStart reports whether the next byte is the first of a head.
func (s *Scanner) atHeadStart() bool {
	return s.part == partHead && s.lines == 0 && s.lineBytes == 0
}

// scanLine processes bytes up to the end of a line, and returns the others.
func (s *Scanner) scanLine(p []byte) (rest []byte) {
	n := len(p)
	end := bytes.IndexByte(p, '\n')
	if end >= 0 {
		n = end + 1
	}
	if s.atHeadStart() {
		s.headBytes, s.length, s.chunked = 0, 0, false
	}
	s.lineBytes += n
	s.line = append(s.line, p[:min(n, recordedLineBytes-len(s.line))]...)
	if s.part == partHead || s.part == partTrailer {
		s.headBytes += n
	}
	if end >= 0 {
		s.endLine(strings.TrimSpace(string(s.line)), s.lineBytes)
		s.line, s.lineBytes = s.line[:0], 0
	}
	return p[n:]
}

// endLine processes a whole line, whose end may be cut off.
func (s *Scanner) endLine(line string, lineBytes int) {
	empty := line == "" && lineBytes <= len("\r\n")
	switch s.part {
	case partChunkSize:
		size, _, _ := strings.Cut(line, ";")
		s.left, _ = strconv.ParseInt(strings.TrimSpace(size), 16, 64) // net/http rejects a malformed size
		s.largestChunk = max(s.largestChunk, s.left)
		s.part = partChunkData
		if s.left <= 0 {
			s.part = partTrailer
		}
	case partChunkEnd:
		s.part = partChunkSize
	case partTrailer:
		s.lines++
		if empty {
			s.endMessage()
		}
	default:
		s.lines++
		if empty {
			s.endHead()
			return
		}
		s.readField(line)
	}
}

// readField records a field that gives the body's length.
func (s *Scanner) readField(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(name) {
	case "content-length":
		s.length, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64) // net/http rejects a malformed length
	case "transfer-encoding":
		s.chunked = true
	}
}

// endHead begins the part behind a head.
func (s *Scanner) endHead() {
	switch {
	case s.chunked:
		s.part = partChunkSize
	case s.length > 0:
		s.part, s.left = partBody, s.length
	default:
		s.endMessage()
	}
}

// endData ends a body or the data of a chunk.
func (s *Scanner) endData() {
	if s.part == partChunkData {
		s.part = partChunkEnd
		return
	}
	s.endMessage()
}

func (s *Scanner) endMessage() { s.part, s.lines = partHead, 0 }

// TooManyLines reports whether the current head has more than MaxLines lines.
func (s *Scanner) TooManyLines() bool { return s.MaxLines > 0 && s.lines > s.MaxLines }

// InHead reports whether the next byte belongs to a head.
func (s *Scanner) InHead() bool { return s.part == partHead }

// HeadBytes returns the number of bytes of the current head so far, or of the last one behind it.
func (s *Scanner) HeadBytes() int { return s.headBytes }

// LargestChunk returns the size in bytes of the largest chunk that has begun.
func (s *Scanner) LargestChunk() int64 { return s.largestChunk }
