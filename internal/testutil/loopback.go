package testutil

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// The second octets of the networks that LoopbackPrefix returns. The test bench uses lower ones.
const (
	firstTestOctet = 240
	testOctets     = 15
)

// LoopbackPrefix returns the first three octets of a loopback network, such as "127.240.7.", which it derives from the
// process ID, so that other test processes use other networks. The caller appends the fourth octet. On 127.0.0.1 the
// tests of other packages, which run at the same time, could take a port first.
func LoopbackPrefix() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", firstTestOctet+pid>>8%testOctets, pid&0xff)
}

// UnusedAddress returns a host and port at which nothing listens.
func UnusedAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// FreeAddr returns a host and port of LoopbackPrefix at which nothing listens. octet is the last octet of the host.
func FreeAddr(t testing.TB, octet int) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", LoopbackPrefix(), octet))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
