package network_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"rampspread/internal/faultbench/network"
	"rampspread/internal/testutil"
)

// loopbackAddr returns an address in the loopback network of this test process.
func loopbackAddr(host, port int) string {
	return fmt.Sprintf("%s%d:%d", testutil.LoopbackPrefix(), 1+host, port)
}

// serveEcho starts a server on a link that sends received bytes back, until the test ends.
func serveEcho(t *testing.T, addr string, l *network.Link) *network.Listener {
	t.Helper()
	s, err := network.Listen(addr, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	go func() {
		for {
			c, err := s.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return s
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func roundTrip(c net.Conn, wait time.Duration) error {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against cuts that let bytes or new connections pass, and against bytes that are lost, or connections that
// still fail, after a cut has ended.
func TestCutAndHeal(t *testing.T) {
	addr, l := loopbackAddr(0, 4001), network.NewLink(1)
	serveEcho(t, addr, l)
	c, err := net.Dial("tcp", addr)
	if err != nil || roundTrip(c, 5*time.Second) != nil {
		t.Fatal("no answer over a healthy link", err)
	}
	for _, conditions := range [][2]network.Condition{{{Cut: true}, {}}, {{}, {Cut: true}}} {
		l.Set(conditions[0], conditions[1])
		if err := roundTrip(c, 100*time.Millisecond); !timedOut(err) {
			t.Errorf("%v: round trip on an open connection during a cut: %v, want a timeout", conditions, err)
		}
		if _, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); !timedOut(err) {
			t.Errorf("%v: new connection during a cut: %v, want a timeout", conditions, err)
		}
		l.Set(network.Condition{}, network.Condition{})
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%v: the bytes held back by a cut did not arrive after it: %v", conditions, err)
		}
		d, err := net.DialTimeout("tcp", addr, 5*time.Second)
		if err != nil || roundTrip(d, 5*time.Second) != nil {
			t.Errorf("%v: new connection after the cut: %v", conditions, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	l.Set(network.Condition{Cut: true}, network.Condition{})
	if _, err := network.Dial(ctx, addr, l); err == nil {
		t.Error("Dial connected during a cut")
	}
}

// Guards against delays, bandwidth limits, downtimes and resets that have no effect or the wrong one on a connection.
func TestDelayDownAndReset(t *testing.T) {
	addr, l := loopbackAddr(1, 4002), network.NewLink(1)
	s := serveEcho(t, addr, l)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l.Set(network.Condition{}, network.Condition{Delay: 80 * time.Millisecond})
	start := time.Now()
	if err := roundTrip(c, 5*time.Second); err != nil || time.Since(start) < 80*time.Millisecond {
		t.Errorf("answer over a link with a delay of 80 ms after %v, error %v", time.Since(start), err)
	}
	l.Set(network.Condition{BytesPerS: 10}, network.Condition{})
	if start = time.Now(); roundTrip(c, 5*time.Second) != nil || time.Since(start) < 100*time.Millisecond {
		t.Errorf("a link of 10 bytes per second transferred a byte in %v", time.Since(start))
	}
	l.Set(network.Condition{}, network.Condition{})
	if err := s.SetDown(true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", addr, time.Second); err == nil || timedOut(err) {
		t.Errorf("connection to a party that is down: %v, want a refusal", err)
	}
	l.Reset()
	if err := roundTrip(c, 5*time.Second); err == nil || timedOut(err) {
		t.Errorf("round trip on a reset connection: %v, want a reset", err)
	}
	if err := s.SetDown(false); err != nil {
		t.Fatal(err)
	}
	if c, err = net.Dial("tcp", addr); err != nil || roundTrip(c, 5*time.Second) != nil {
		t.Errorf("connection to a party that is up again: %v", err)
	}
}

// Guards against a relay that applies one sender's cut to other senders, or forwards datagrams of a cut or unknown
// sender.
func TestRelay(t *testing.T) {
	healthyLink, cutLink := network.NewLink(1), network.NewLink(2)
	relayAddr, receiverAddr := loopbackAddr(2, 4003), loopbackAddr(3, 4003)
	sender := func(host int) net.IP { ip, _, _ := net.SplitHostPort(loopbackAddr(host, 1)); return net.ParseIP(ip) }
	r, err := network.NewRelay(relayAddr, receiverAddr, func(from net.IP) *network.Link {
		switch {
		case from.Equal(sender(4)):
			return healthyLink
		case from.Equal(sender(5)):
			return cutLink
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	serveEcho(t, receiverAddr, network.NewLink(3))
	packets, err := net.ListenPacket("udp4", receiverAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer packets.Close()
	cutLink.Set(network.Condition{Cut: true}, network.Condition{})
	for _, host := range []int{5, 6, 4} { // only the datagram of host 4 must arrive
		u, err := net.ListenPacket("udp4", sender(host).String()+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer u.Close()
		dst, _ := net.ResolveUDPAddr("udp4", relayAddr)
		u.WriteTo([]byte{byte(host)}, dst)
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: sender(host)}}
		c, err := d.Dial("tcp4", relayAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := roundTrip(c, 200*time.Millisecond); (err == nil) != (host == 4) {
			t.Errorf("round trip of sender %d over TCP: %v", host, err)
		}
	}
	buf := make([]byte, 9)
	packets.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, _, err := packets.ReadFrom(buf); err != nil || n != 1 || buf[0] != 4 {
		t.Errorf("received datagram %v, error %v, want 4", buf[:n], err)
	}
}
