package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the maximum size of a chunk that is forwarded at a time.
const chunkBytes = 16 << 10

// throttledChunksPerSecond is the chunk rate when the throughput is limited.
const throttledChunksPerSecond = 50

// silencePollInterval is the time between checks whether a direction is still
// silent.
const silencePollInterval = 5 * time.Millisecond

// pair holds the client and the target side of one proxied connection.
type pair struct {
	fault  atomic.Pointer[Fault]
	client *net.TCPConn
	done   chan struct{} // closed when both sides are closed

	mu       sync.Mutex
	target   *net.TCPConn
	closed   bool
	halfOpen bool
}

func newPair(client *net.TCPConn, f Fault) *pair {
	c := &pair{client: client, done: make(chan struct{})}
	c.setFault(f)
	return c
}

func (c *pair) setFault(f Fault) { c.fault.Store(&f) }

// run connects to the target and forwards data in both directions until both
// have ended. While the upstream direction is silent, it doesn't connect to
// the target.
func (c *pair) run(target string) {
	if !c.waitWhileSilent(func(f *Fault) Direction { return f.Upstream }) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		c.reset()
		return
	}
	c.mu.Lock()
	c.target = t.(*net.TCPConn)
	closed := c.closed
	c.mu.Unlock()
	if closed {
		_ = t.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(c.target, c.client, func(f *Fault) Direction { return f.Upstream }) })
	wg.Go(func() { c.forward(c.client, c.target, func(f *Fault) Direction { return f.Downstream }) })
	wg.Wait()
	c.closeBoth()
}

// forward copies data from one side to the other with the faults of one
// direction.
func (c *pair) forward(to, from *net.TCPConn, direction func(*Fault) Direction) {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if d := direction(c.fault.Load()); n > 0 && !d.Silent {
			if !c.sleep(d.delay()) || !c.send(to, b[:n], d) {
				return
			}
		}
		if err != nil {
			c.forwardClose(to, direction)
			return
		}
	}
}

// forwardClose forwards the close of one side unless the pair is half-open.
// On a silent direction it waits for the end of the silence, when a
// retransmitted FIN would arrive.
func (c *pair) forwardClose(to *net.TCPConn, direction func(*Fault) Direction) {
	c.mu.Lock()
	halfOpen := c.halfOpen
	c.mu.Unlock()
	if !halfOpen && c.waitWhileSilent(direction) {
		_ = to.CloseWrite()
	}
}

// waitWhileSilent waits while a direction is silent. It returns false if the
// pair is closed.
func (c *pair) waitWhileSilent(direction func(*Fault) Direction) bool {
	for direction(c.fault.Load()).Silent {
		if !c.sleep(silencePollInterval) {
			return false
		}
	}
	return true
}

// send writes b, in small chunks if the throughput is limited. It returns
// false on failure.
func (c *pair) send(to *net.TCPConn, b []byte, d Direction) bool {
	if d.BytesPerSecond == 0 {
		_, err := to.Write(b)
		return err == nil
	}
	size := max(1, d.BytesPerSecond/throttledChunksPerSecond)
	for len(b) > 0 {
		n := min(size, len(b))
		if _, err := to.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		if !c.sleep(time.Duration(n) * time.Second / time.Duration(d.BytesPerSecond)) {
			return false
		}
	}
	return true
}

// sleep waits for d. It returns false if the pair is closed.
func (c *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-c.done:
		return false
	}
}

// closeBoth closes both sides without a reset.
func (c *pair) closeBoth() { c.closeWithLinger(-1) }

// reset closes both sides with a TCP reset.
func (c *pair) reset() { c.closeWithLinger(0) }

// closeWithLinger closes both sides once, with the given SO_LINGER time in
// seconds; -1 keeps the default.
func (c *pair) closeWithLinger(linger int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	for _, t := range []*net.TCPConn{c.client, c.target} {
		if t != nil {
			_ = t.SetLinger(linger)
			_ = t.Close()
		}
	}
}

// closeTarget resets the target side only. From then on it drops what the
// client sends.
func (c *pair) closeTarget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == nil || c.closed {
		return
	}
	c.halfOpen = true
	c.setFault(Blackhole)
	_ = c.target.SetLinger(0)
	_ = c.target.Close()
}
