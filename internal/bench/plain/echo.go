package plain

import (
	"fmt"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Echo answers each request at once with the same bytes, by raw reads and
// writes. Its processor time for a call is close to that of a raw client.
type Echo struct {
	listener net.Listener
	answer   []byte
	mu       sync.Mutex
	conns    []net.Conn
	wg       sync.WaitGroup
}

// NewEcho listens on a free port; its answers have a body of the given size.
func NewEcho(size int) (*Echo, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &Echo{listener: l, answer: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%*s", size, size, "")}
	e.wg.Go(e.accept)
	return e, nil
}

// Addr returns where it listens.
func (e *Echo) Addr() string { return e.listener.Addr().String() }

func (e *Echo) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, c)
		e.mu.Unlock()
		e.wg.Go(func() { e.serve(c) })
	}
}

// serve answers whenever the reads so far are a whole request.
func (e *Echo) serve(c net.Conn) {
	b := make([]byte, answerSize)
	for n := 0; ; {
		k, err := c.Read(b[n:])
		if err != nil {
			return
		}
		if n += k; !whole(b[:n]) {
			continue
		}
		n = 0
		if _, err := c.Write(e.answer); err != nil {
			return
		}
	}
}

// Close ends all connections and waits.
func (e *Echo) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}
