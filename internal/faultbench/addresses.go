package faultbench

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// addresses are a run's own part of the loopback range: a /16 that no other run on this machine has. The third byte says
// what is at an address, the fourth whose it is.
type addresses struct {
	net  int
	lock net.Listener // held for as long as the part is in use
}

// The parts of the loopback range, and the address that holds one.
const (
	firstNet   = 10
	nets       = 230
	netStride  = 7 // so that runs of consecutive processes rarely compete
	lockSubnet = 255
	lockHost   = 254
	lockPort   = 47999
)

// Third bytes and ports of the addresses.
const (
	listenSubnet       = 1
	discoverySubnet    = 2
	peerSubnet         = 3
	relaySubnet        = 4
	firstReplicaSubnet = 20
	replicaSubnets     = 200
	listenPort         = 9000
	adminPort          = 9600
	discoveryPort      = 8500
	replicaPort        = 9100
	peerPort           = 7946
)

func newAddresses() (*addresses, error) {
	for n := range nets {
		a := &addresses{net: firstNet + (os.Getpid()+n*netStride)%nets}
		var err error
		if a.lock, err = net.Listen("tcp4", a.at(lockSubnet, lockHost, lockPort)); err == nil {
			return a, nil
		}
	}
	return nil, errors.New("bench: no part of the loopback range is free")
}

func (a *addresses) at(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.net, subnet, host, port)
}

func (a *addresses) listen(d int) string { return a.at(listenSubnet, d+1, listenPort) }
func (a *addresses) chat(d int) string   { return a.at(listenSubnet, d+1, chatPort) }
func (a *addresses) admin(d int) string  { return a.at(listenSubnet, d+1, adminPort) }

// discovery is one of the two addresses of a dispatcher's discovery.
func (a *addresses) discovery(d, i int) string { return a.at(discoverySubnet, d+1, discoveryPort+i) }

// replica is where a dispatcher finds a replica.
func (a *addresses) replica(r, d int) string {
	return a.at(firstReplicaSubnet+r%replicaSubnets, d+1, replicaPort+r/replicaSubnets)
}

// peerListen is where a dispatcher listens and sends from, peerRelay where others find it.
func (a *addresses) peerListen(d int) string { return a.at(peerSubnet, d+1, peerPort) }
func (a *addresses) peerRelay(d int) string  { return a.at(relaySubnet, d+1, peerPort) }
