package testutil

import (
	"fmt"
	"strings"
)

// eventEnd is the empty line at the end of each server-sent event.
const eventEnd = "\n\n"

// EventStream returns the server-sent events with which a decode replica responds: one for each token, one for the
// finish reason, one for the usage, and the end mark.
func EventStream(tokens ...string) string {
	var b strings.Builder
	for _, token := range tokens {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", token)
	}
	b.WriteString("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(&b, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n", len(tokens))
	return b.String()
}

// CompleteEvents returns the part of a stream up to the end of its last complete event.
func CompleteEvents(stream string) string {
	return stream[:strings.LastIndex(eventEnd+stream, eventEnd)]
}

// ChunkedResponse returns the bytes of an HTTP response with the stream as its body, a chunk for each event, without
// the last chunk, which would end the body.
func ChunkedResponse(stream string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for event := range strings.SplitAfterSeq(stream, eventEnd) {
		if event != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		}
	}
	return b.String()
}
