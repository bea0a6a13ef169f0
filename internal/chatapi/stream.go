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
	maxEventBytes      = 256 << 10
	initialEventBuffer = 4 << 10
	// writeTimeout is how long one write to a client may take: a client that reads nothing for so long has stalled.
	writeTimeout = 10 * time.Second

	// doneMarker is the data of a stream's last event.
	doneMarker = "[DONE]"
)

// eventWriter writes a streamed answer as server-sent events. Once the client has gone, it writes nothing more.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	exchange   *exchange
	clientGone bool
}

func newEventWriter(w http.ResponseWriter, x *exchange) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w), exchange: x}
}

// begin writes the head of the answer and the chunk that names the role.
func (e *eventWriter) begin() {
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.writeChunk(&chatCompletionChunk{Choices: []chunkChoice{{Delta: delta{Role: assistantRole}}}})
}

// end writes the last event, by which a client knows that it has the whole answer.
func (e *eventWriter) end() { e.writeEvent([]byte(doneMarker)) }

// forward passes a server's chunk on with the fields that clients expect; its other fields stay as they are.
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

// writeChunk writes a chunk under the identity of this answer.
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

// writeEvent writes and flushes one event with the given data.
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

// readEvents calls handle with the data of each event except the last, [DONE]. It returns nil only after the whole
// stream.
func readEvents(stream io.Reader, handle func(data []byte) error) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, initialEventBuffer), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if data = bytes.TrimSpace(data); !ok || string(data) == doneMarker {
			continue // comments and blank lines too
		}
		if err := handle(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}
