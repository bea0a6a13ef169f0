package chatapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
)

const (
	maxEventBytes      = 256 << 10 // limit of one line of a replica's stream
	initialEventBuffer = 4 << 10   // bytes
	// writeTimeout limits one write to a client. A client that reads nothing for that long has stalled.
	writeTimeout = 10 * time.Second

	// doneMarker is the data of a stream's last event.
	doneMarker = "[DONE]"
)

// eventWriter writes a streamed answer as server-sent events. After a failed write it writes nothing more.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	exchange   *exchange
	clientGone bool // a write failed
}

func newEventWriter(w http.ResponseWriter, x *exchange) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w), exchange: x}
}

// begin writes the header of the answer and the first chunk, which contains the role.
func (e *eventWriter) begin() {
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.writeChunk(&chatCompletionChunk{Choices: []chunkChoice{{Delta: delta{Role: assistantRole}}}})
}

// end writes the last event, which tells the client that the answer is complete.
func (e *eventWriter) end() { e.writeEvent([]byte(doneMarker)) }

// forward forwards a replica's chunk. It sets the fields that clients expect and leaves the chunk's other fields
// unchanged. If the client did not request the usage, forward removes it, and drops a chunk without choices.
func (e *eventWriter) forward(chunk *chatCompletionChunk, fields map[string]json.RawMessage) {
	if !e.exchange.request.StreamOptions.IncludeUsage {
		if delete(fields, "usage"); len(chunk.Choices) == 0 {
			return
		}
	} else if chunk.Usage != nil {
		setField(fields, "usage", chunk.Usage)
	}
	setField(fields, "id", e.exchange.id)
	setField(fields, "object", chunkObject)
	setField(fields, "created", e.exchange.created)
	setField(fields, "model", e.exchange.request.Model)
	e.writeValue(fields)
}

func setField(fields map[string]json.RawMessage, name string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		slog.Warn("encode_failed", "err", err)
		return
	}
	fields[name] = encoded
}

// writeChunk writes a chunk with the id, creation time and model of this answer.
func (e *eventWriter) writeChunk(chunk *chatCompletionChunk) {
	chunk.ID, chunk.Object = e.exchange.id, chunkObject
	chunk.Created, chunk.Model = e.exchange.created, e.exchange.request.Model
	e.writeValue(chunk)
}

func (e *eventWriter) writeValue(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		slog.Warn("encode_failed", "err", err)
		return
	}
	e.writeEvent(data)
}

// writeEvent writes and flushes one event with the given data, unless the client has gone.
func (e *eventWriter) writeEvent(data []byte) {
	if e.clientGone {
		return
	}
	event := append(append([]byte("data: "), data...), "\n\n"...)
	e.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := e.w.Write(event)
	if err == nil {
		err = e.controller.Flush()
	}
	e.controller.SetWriteDeadline(time.Time{})
	e.clientGone = err != nil
}

// readEvents calls handle with the data of each event except the last, [DONE]. It returns nil only if it has read the
// stream to its end.
func readEvents(stream io.Reader, handle func(data []byte) error) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, initialEventBuffer), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if data = bytes.TrimSpace(data); !ok || string(data) == doneMarker {
			continue // also skips comments and blank lines
		}
		if err := handle(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read event stream: %w", err)
	}
	return nil
}
