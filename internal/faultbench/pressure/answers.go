package pressure

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// answerReader reads one answer after the other from a connection.
type answerReader struct{ reader *bufio.Reader }

func newAnswerReader(conn net.Conn) answerReader {
	return answerReader{bufio.NewReaderSize(conn, answerBuffer)}
}

// next reads a whole answer and reports whether it is the connection's last.
func (a answerReader) next() (last bool, err error) {
	resp, err := http.ReadResponse(a.reader, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// hungUp reports whether the peer has closed or reset the connection, without reading from it.
func hungUp(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(fds, 0); err == nil {
			events = fds[0].Revents
		}
	})
	return err != nil || events != 0
}
