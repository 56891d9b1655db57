package plain

import (
	"fmt"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Echo is a server that answers each request with the same bytes through raw reads
// and writes. Its CPU time for a call is close to that of Raw.
type Echo struct {
	listener net.Listener
	answer   []byte
	mu       sync.Mutex
	conns    []net.Conn
	wg       sync.WaitGroup
}

// NewEcho starts a server on a free loopback port. Its answers have a body of
// bodyBytes spaces.
func NewEcho(bodyBytes int) (*Echo, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &Echo{listener: l, answer: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%*s", bodyBytes, bodyBytes, "")}
	e.wg.Go(e.accept)
	return e, nil
}

// Addr returns the IP:port that the server listens on.
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

// serve answers each complete request on a connection.
func (e *Echo) serve(c net.Conn) {
	b := make([]byte, bufferBytes)
	for filled := 0; ; {
		n, err := c.Read(b[filled:])
		if err != nil {
			return
		}
		if filled += n; !isComplete(b[:filled]) {
			continue
		}
		filled = 0
		if _, err := c.Write(e.answer); err != nil {
			return
		}
	}
}

// Close closes the listener and all connections and waits.
func (e *Echo) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}
