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

func loopbackAddr(host, port int) string {
	return fmt.Sprintf("%s%d:%d", testutil.LoopbackPrefix(), 1+host, port)
}

// serveEcho answers each line on a link until the test ends.
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

// A cut holds back what is under way and lets no connection come up; its end lets both go on.
func TestCutAndHeal(t *testing.T) {
	addr, l := loopbackAddr(0, 4001), network.NewLink(1)
	serveEcho(t, addr, l)
	c, err := net.Dial("tcp", addr)
	if err != nil || roundTrip(c, 5*time.Second) != nil {
		t.Fatal("a sound link does not answer", err)
	}
	for _, conditions := range [][2]network.Condition{{{Cut: true}, {}}, {{}, {Cut: true}}} {
		l.Set(conditions[0], conditions[1])
		if err := roundTrip(c, 100*time.Millisecond); !timedOut(err) {
			t.Errorf("%v: an open connection over a cut: %v", conditions, err)
		}
		if _, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); !timedOut(err) {
			t.Errorf("%v: a new connection over a cut: %v", conditions, err)
		}
		l.Set(network.Condition{}, network.Condition{})
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%v: what was held back did not come: %v", conditions, err)
		}
		d, err := net.DialTimeout("tcp", addr, 5*time.Second)
		if err != nil || roundTrip(d, 5*time.Second) != nil {
			t.Errorf("%v: after the cut: %v", conditions, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	l.Set(network.Condition{Cut: true}, network.Condition{})
	if _, err := network.Dial(ctx, addr, l); err == nil {
		t.Error("a call from this side came up over a cut")
	}
}

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
		t.Errorf("a late link answered after %v, %v", time.Since(start), err)
	}
	l.Set(network.Condition{BytesPerS: 10}, network.Condition{})
	if start = time.Now(); roundTrip(c, 5*time.Second) != nil || time.Since(start) < 100*time.Millisecond {
		t.Errorf("a slow link took %v for a byte", time.Since(start))
	}
	l.Set(network.Condition{}, network.Condition{})
	if err := s.SetDown(true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", addr, time.Second); err == nil || timedOut(err) {
		t.Errorf("a party that is down: %v", err)
	}
	l.Reset()
	if err := roundTrip(c, 5*time.Second); err == nil || timedOut(err) {
		t.Errorf("a reset connection: %v", err)
	}
	if err := s.SetDown(false); err != nil {
		t.Fatal(err)
	}
	if c, err = net.Dial("tcp", addr); err != nil || roundTrip(c, 5*time.Second) != nil {
		t.Errorf("back again: %v", err)
	}
}

// A relay tells senders apart by their source: one's cut does not stop another, nor the other direction.
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
	for _, host := range []int{5, 6, 4} { // the last one's datagram is the only one that comes
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
			t.Errorf("sender %d over TCP: %v", host, err)
		}
	}
	buf := make([]byte, 9)
	packets.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, _, err := packets.ReadFrom(buf); err != nil || n != 1 || buf[0] != 4 {
		t.Errorf("got %v, %v", buf[:n], err)
	}
}
