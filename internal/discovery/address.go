package discovery

import "sync"

// address holds the address of discovery, and interrupts its users when they must stop using it. It is safe for
// concurrent use.
type address struct {
	mu          sync.Mutex
	addr        string
	interrupted chan struct{} // closed by the next move or interrupt, which also replaces it
}

func newAddress(addr string) *address { return &address{addr: addr, interrupted: make(chan struct{})} }

// get returns the address, and a channel that is closed when the caller must stop using the address and get it again.
func (a *address) get() (addr string, interrupted <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.interrupted
}

// move changes the address. If the new address differs from the old one, move signals the users of the old one, and
// calls onMove before any caller of get can receive the new one.
func (a *address) move(addr string, onMove func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	a.signal()
	onMove()
}

// interrupt signals the users of the address as move does, without changing the address.
func (a *address) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.signal()
}

// signal closes and replaces interrupted. The caller must hold mu.
func (a *address) signal() {
	close(a.interrupted)
	a.interrupted = make(chan struct{})
}
