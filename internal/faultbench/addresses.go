package faultbench

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// addresses are a run's own part of the loopback range: a /16 that no other run on this machine has.
type addresses struct {
	net  int
	lock net.Listener
}

func newAddresses() (*addresses, error) {
	for try := range 230 {
		a := &addresses{net: 10 + (os.Getpid()+try*7)%230}
		var err error
		if a.lock, err = net.Listen("tcp4", a.at(255, 254, 47999)); err == nil {
			return a, nil
		}
	}
	return nil, errors.New("bench: no part of the loopback range is free")
}

func (a *addresses) at(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.net, third, fourth, port)
}

func (a *addresses) listen(d int) string       { return a.at(1, d+1, 9000) }
func (a *addresses) chat(d int) string         { return a.at(1, d+1, chatPort) }
func (a *addresses) admin(d int) string        { return a.at(1, d+1, 9600) }
func (a *addresses) discovery(d, i int) string { return a.at(2, d+1, 8500+i) } // the first, or the one that it moves to
func (a *addresses) replica(r, d int) string   { return a.at(20+r%200, d+1, 9100+r/200) }
