package discovery

import "sync"

// address is where discovery is, and a signal to those that use it. It is safe for concurrent use.
type address struct {
	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed by the next move or interrupt, and then replaced
}

func newAddress(addr string) *address { return &address{addr: addr, moved: make(chan struct{})} }

// get returns the address, and a channel that is closed when it is to be used no more.
func (a *address) get() (addr string, moved <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.moved
}

// move changes the address. If that is another one than before it signals, and calls onMove before anybody can get the
// new one.
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

// interrupt signals as a move does, without changing the address.
func (a *address) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.signal()
}

// signal closes moved; the caller holds mu.
func (a *address) signal() {
	close(a.moved)
	a.moved = make(chan struct{})
}
