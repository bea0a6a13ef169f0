package fleet

import (
	"bytes"
	"context"
	"log/slog"
)

// memberlistLog is an io.Writer that passes memberlist's log on to slog. Packets that cannot be read or are not of
// this fleet show only there, so it counts them.
type memberlistLog struct{ node *Node }

// malformedLines are parts of memberlist's log lines about packets that cannot be read.
var malformedLines = [][]byte{
	[]byte("failed to receive"),
	[]byte("Decrypt packet failed"),
	[]byte("label"),
	[]byte("UDP packet too short"),
	[]byte("Got invalid checksum"),
	[]byte("Msg type"),
	[]byte("Failed to decode"),
	[]byte("failed to decode"),
	[]byte("unpack"),
}

// Write implements io.Writer; it is called with one line at a time.
func (l *memberlistLog) Write(b []byte) (int, error) {
	line := bytes.TrimSpace(b)
	for _, malformed := range malformedLines {
		if bytes.Contains(line, malformed) {
			l.node.malformed.Add(1)
			slog.Debug("fleet_bad", "line", string(line))
			return len(b), nil
		}
	}
	level := slog.LevelDebug
	if bytes.Contains(line, []byte("[ERR]")) {
		level = slog.LevelInfo
	}
	slog.Log(context.Background(), level, "memberlist", "line", string(line))
	return len(b), nil
}
