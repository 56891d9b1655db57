package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pieceSize is the most that is passed on at a time, in bytes.
const pieceSize = 16 << 10

// slowPieces is how many pieces a second a bounded connection passes on.
const slowPieces = 50

// silentPoll is the time between two looks at whether a way is still silent.
const silentPoll = 5 * time.Millisecond

// pair is the two sides of one connection.
type pair struct {
	fault  atomic.Pointer[Fault]
	caller *net.TCPConn
	done   chan struct{} // closed when the pair ends

	mu     sync.Mutex
	target *net.TCPConn
	ended  bool
	half   bool
}

func newPair(caller *net.TCPConn, f Fault) *pair {
	c := &pair{caller: caller, done: make(chan struct{})}
	c.set(f)
	return c
}

func (c *pair) set(f Fault) { c.fault.Store(&f) }

// run connects to the target and passes data both ways until both end. While
// the way to the target is silent, nothing of the connection gets there.
func (c *pair) run(target string) {
	if !c.awaken(func(f *Fault) Direction { return f.Upstream }) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		c.reset()
		return
	}
	c.mu.Lock()
	c.target = t.(*net.TCPConn)
	ended := c.ended
	c.mu.Unlock()
	if ended {
		_ = t.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.pass(c.target, c.caller, func(f *Fault) Direction { return f.Upstream }) })
	wg.Go(func() { c.pass(c.caller, c.target, func(f *Fault) Direction { return f.Downstream }) })
	wg.Wait()
	c.cut()
}

// pass copies from one side to the other, with the faults of one way.
func (c *pair) pass(to, from *net.TCPConn, way func(*Fault) Direction) {
	b := make([]byte, pieceSize)
	for {
		n, err := from.Read(b)
		if w := way(c.fault.Load()); n > 0 && !w.Silent {
			if !c.sleep(w.delay()) || !c.send(to, b[:n], w) {
				return
			}
		}
		if err != nil {
			c.sideEnded(to, way)
			return
		}
	}
}

// sideEnded passes the end of one side on. Where its way is silent, it gets
// through once the way is healed, as a repeated segment would.
func (c *pair) sideEnded(to *net.TCPConn, way func(*Fault) Direction) {
	c.mu.Lock()
	half := c.half
	c.mu.Unlock()
	if !half && c.awaken(way) {
		_ = to.CloseWrite()
	}
}

// awaken waits while a way is silent; it is false once the pair has ended.
func (c *pair) awaken(way func(*Fault) Direction) bool {
	for way(c.fault.Load()).Silent {
		if !c.sleep(silentPoll) {
			return false
		}
	}
	return true
}

// send writes b, in small pieces when the throughput is bounded.
func (c *pair) send(to *net.TCPConn, b []byte, w Direction) bool {
	if w.BytesPerSecond == 0 {
		_, err := to.Write(b)
		return err == nil
	}
	size := max(1, w.BytesPerSecond/slowPieces)
	for len(b) > 0 {
		n := min(size, len(b))
		if _, err := to.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		if !c.sleep(time.Duration(n) * time.Second / time.Duration(w.BytesPerSecond)) {
			return false
		}
	}
	return true
}

// sleep waits; it is false once the pair has ended.
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

// cut closes both sides.
func (c *pair) cut() { c.end(-1) }

// reset closes both sides with a TCP reset.
func (c *pair) reset() { c.end(0) }

// end closes both sides once, with the given linger time.
func (c *pair) end(linger int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	close(c.done)
	for _, t := range []*net.TCPConn{c.caller, c.target} {
		if t != nil {
			_ = t.SetLinger(linger)
			_ = t.Close()
		}
	}
}

// halfOpen closes the target's side only. What the caller sends is lost.
func (c *pair) halfOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == nil || c.ended {
		return
	}
	c.half = true
	c.set(Blackhole)
	_ = c.target.SetLinger(0)
	_ = c.target.Close()
}
