package searcher

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	back "egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// lingerTime is how long a refused connection is read from, so that its
// refusal isn't lost in a reset.
const lingerTime = time.Second

// conn is a connection of a caller. Its first read waits until the cost of
// the connection is paid.
type conn struct {
	*net.TCPConn
	s      *Searcher
	ready  time.Time
	closed atomic.Bool
	// silent is when the connection went silent, in nanoseconds; 0 is not.
	silent atomic.Int64
}

// Read reads what the caller sent; once the connection is silent, nothing.
func (c *conn) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	for {
		n, err := c.TCPConn.Read(b)
		since := c.silent.Load()
		if err != nil || since == 0 {
			return n, err
		}
		if time.Since(time.Unix(0, since)) > DrainLimit {
			c.s.countLateSilent()
		}
	}
}

// Write sends b, or drops it when the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() != 0 {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.s.forget(c)
	return c.TCPConn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// listener hands out connections up to the limit.
type listener struct {
	*net.TCPListener
	s *Searcher
}

// Accept waits for a connection and refuses those above the limit.
func (l listener) Accept() (net.Conn, error) {
	for {
		t, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.s.admit(t); c != nil {
			return c, nil
		}
		l.s.wg.Go(func() { refuse(t) })
	}
}

// refuse answers a connection that is above the limit.
func refuse(t *net.TCPConn) {
	defer t.Close()
	b, err := json.Marshal(back.Refusal{Reason: outcome.ConnectionRefused})
	if err != nil {
		panic(err)
	}
	_ = t.SetDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	_ = t.CloseWrite()
	_, _ = io.Copy(io.Discard, t)
}

// admit counts a connection; it returns nil above the limit.
func (s *Searcher) admit(t *net.TCPConn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c.MaxConnections > 0 && len(s.conns) >= s.c.MaxConnections {
		s.stats.ConnectionsRefused++
		return nil
	}
	c := &conn{TCPConn: t, s: s, ready: time.Now().Add(s.c.ConnectDelay)}
	s.conns[c] = struct{}{}
	s.stats.Connections++
	s.stats.MaxConnections = max(s.stats.MaxConnections, len(s.conns))
	return c
}

func (s *Searcher) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// silence makes the connections now open silent.
func (s *Searcher) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().UnixNano()
	for c := range s.conns {
		c.silent.CompareAndSwap(0, now)
	}
}

func (s *Searcher) countLateSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.LateSilentReads++
}
