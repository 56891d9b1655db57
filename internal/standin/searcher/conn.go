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

// refusalTimeout limits how long a refused connection is read. Closing it
// with unread data would send a reset, which can discard the refusal.
const refusalTimeout = time.Second

// conn is an accepted connection. Its first read waits until readyAt.
type conn struct {
	*net.TCPConn
	s       *Searcher
	readyAt time.Time
	closed  atomic.Bool
	// silentSince is the Unix time in nanoseconds at which the connection was
	// silenced; 0 means that it is not silent.
	silentSince atomic.Int64
}

// Read waits until readyAt, then reads. On a silent connection it discards
// all data and returns only on an error.
func (c *conn) Read(b []byte) (int, error) {
	if d := time.Until(c.readyAt); d > 0 {
		time.Sleep(d)
	}
	for {
		n, err := c.TCPConn.Read(b)
		since := c.silentSince.Load()
		if err != nil || since == 0 {
			return n, err
		}
		if time.Since(time.Unix(0, since)) > DrainLimit {
			c.s.countLateSilentRead()
		}
	}
}

// Write sends b. On a silent connection it discards b and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silentSince.Load() != 0 {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close closes the connection once.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.s.removeConn(c)
	return c.TCPConn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// listener accepts connections up to MaxConnections.
type listener struct {
	*net.TCPListener
	s *Searcher
}

// Accept returns the next connection and refuses those above the limit.
func (l listener) Accept() (net.Conn, error) {
	for {
		t, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.s.admitConn(t); c != nil {
			return c, nil
		}
		l.s.wg.Go(func() { refuseConn(t) })
	}
}

// refuseConn sends a 503 Refusal and closes the connection.
func refuseConn(t *net.TCPConn) {
	defer t.Close()
	b, err := json.Marshal(back.Refusal{Reason: outcome.ConnectionRefused})
	if err != nil {
		panic(err)
	}
	_ = t.SetDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	_ = t.CloseWrite()
	_, _ = io.Copy(io.Discard, t)
}

// admitConn registers a connection, or returns nil if the limit is reached.
func (s *Searcher) admitConn(t *net.TCPConn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c.MaxConnections > 0 && len(s.conns) >= s.c.MaxConnections {
		s.stats.ConnectionsRefused++
		return nil
	}
	c := &conn{TCPConn: t, s: s, readyAt: time.Now().Add(s.c.ConnectDelay)}
	s.conns[c] = struct{}{}
	s.stats.Connections++
	s.stats.MaxConnections = max(s.stats.MaxConnections, len(s.conns))
	return c
}

func (s *Searcher) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// silenceConns makes all open connections silent.
func (s *Searcher) silenceConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().UnixNano()
	for c := range s.conns {
		c.silentSince.CompareAndSwap(0, now)
	}
}

func (s *Searcher) countLateSilentRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.LateSilentReads++
}
