package faultbench

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// addresses provides the addresses of a run, all in a /16 of the loopback range that no other run on this machine uses.
// The third octet says what listens at an address, and the fourth is the dispatcher's index plus one.
type addresses struct {
	secondOctet int
	lock        net.Listener // reserves the /16 until the run ends
}

// Second octets of the /16 networks that runs use, and the address in each network whose listener reserves it.
const (
	firstBenchOctet = 10
	benchOctets     = 230
	octetStride     = 7 // step between attempts, so that runs with consecutive process IDs rarely try the same network
	lockSubnet      = 255
	reservationHost = 254 // fourth octet of the address whose listener reserves the network
	lockPort        = 47999
)

// Third octets and ports of the addresses.
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

// newAddresses reserves the first free /16, beginning with one that depends on the process ID.
func newAddresses() (*addresses, error) {
	for n := range benchOctets {
		a := &addresses{secondOctet: firstBenchOctet + (os.Getpid()+n*octetStride)%benchOctets}
		var err error
		if a.lock, err = net.Listen("tcp4", a.address(lockSubnet, reservationHost, lockPort)); err == nil {
			return a, nil
		}
	}
	return nil, errors.New("bench: no part of the loopback range is free")
}

func (a *addresses) address(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.secondOctet, subnet, host, port)
}

func (a *addresses) listen(d int) string { return a.address(listenSubnet, d+1, listenPort) }
func (a *addresses) chat(d int) string   { return a.address(listenSubnet, d+1, chatPort) }
func (a *addresses) admin(d int) string  { return a.address(listenSubnet, d+1, adminPort) }

// discovery returns address i, 0 or 1, of the two at which dispatcher d reaches discovery.
func (a *addresses) discovery(d, i int) string {
	return a.address(discoverySubnet, d+1, discoveryPort+i)
}

// replica returns the address at which dispatcher d reaches replica r.
func (a *addresses) replica(r, d int) string {
	return a.address(firstReplicaSubnet+r%replicaSubnets, d+1, replicaPort+r/replicaSubnets)
}

// peerListen returns the address at which dispatcher d listens for its peers and from which it sends to them. peerRelay
// returns the address of the relay through which its peers reach it.
func (a *addresses) peerListen(d int) string { return a.address(peerSubnet, d+1, peerPort) }
func (a *addresses) peerRelay(d int) string  { return a.address(relaySubnet, d+1, peerPort) }
