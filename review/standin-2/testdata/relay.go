package main

import (
	"flag"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// relay stands between the members of a fleet: each member is reached at a public address, from which packets and
// connections go on to the address at which it listens. Each member has a loopback address of its own, so a sender is
// known by its source. A member that is cut off (cut=IP) gets nothing and nothing of it arrives: packets are dropped,
// new connections never come up, open ones are silent. cut= ends the cut.
type relay struct {
	record *record

	mu     sync.Mutex
	cutOff string // loopback address of the member that is cut off, or none
}

// relays runs the relays until it is killed. Its arguments are PUBLIC=LISTEN pairs.
func relays(args []string) {
	var file, control string
	f := parse("relay", args, func(f *flag.FlagSet) {
		f.StringVar(&file, "record", "", "the record file")
		f.StringVar(&control, "control", "", "the address for calls that cut and mend")
	})
	r := &relay{record: newRecord(file)}
	for _, pair := range f.Args() {
		public, listen, _ := strings.Cut(pair, "=")
		packets, err := net.ListenPacket("udp", public)
		if err != nil {
			fail("%v", err)
		}
		connections, err := net.Listen("tcp", public)
		if err != nil {
			fail("%v", err)
		}
		go r.forwardPackets(packets, listen)
		go r.forwardConnections(connections, listen)
	}
	fail("%v", http.ListenAndServe(control, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cutOff = req.URL.Query().Get("cut")
		r.record.add("relay", "cut off: %q", r.cutOff)
	})))
}

// cut reports whether nothing passes between two addresses.
func (r *relay) cut(from net.Addr, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff != "" && (host(from.String()) == r.cutOff || host(to) == r.cutOff)
}

func host(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}

func (r *relay) forwardPackets(from net.PacketConn, to string) {
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		fail("%v", err)
	}
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := from.ReadFrom(buffer)
		if err == nil && !r.cut(source, to) {
			from.WriteTo(buffer[:n], target)
		}
	}
}

func (r *relay) forwardConnections(l net.Listener, to string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			fail("%v", err)
		}
		go r.forwardConnection(conn, to)
	}
}

func (r *relay) forwardConnection(conn net.Conn, to string) {
	defer conn.Close()
	source := conn.RemoteAddr()
	for r.cut(source, to) {
		time.Sleep(50 * time.Millisecond)
	}
	target, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn) {
		io.Copy(&cutWriter{dst, r, source, to}, src)
		if tcp, ok := dst.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		done <- struct{}{}
	}
	go pipe(target, conn)
	go pipe(conn, target)
	<-done
	<-done
}

// cutWriter holds bytes back while its link is cut.
type cutWriter struct {
	net.Conn
	relay  *relay
	source net.Addr
	to     string
}

func (w *cutWriter) Write(p []byte) (int, error) {
	for w.relay.cut(w.source, w.to) {
		time.Sleep(50 * time.Millisecond)
	}
	return w.Conn.Write(p)
}
