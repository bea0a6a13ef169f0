package fleet

import (
	"bytes"
	"context"
	"log/slog"
)

// memberlistLog is an io.Writer that forwards memberlist's log to slog. It also counts packets that cannot be decoded
// or are not from this fleet, since memberlist reports them only in its log.
type memberlistLog struct{ node *Node }

// malformedPacketPatterns lists substrings of memberlist's log lines about packets that are counted as malformed.
var malformedPacketPatterns = [][]byte{
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

// Write implements io.Writer. Each call receives one line.
func (l *memberlistLog) Write(b []byte) (int, error) {
	line := bytes.TrimSpace(b)
	for _, malformed := range malformedPacketPatterns {
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
