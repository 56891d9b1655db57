package rpc

import (
	"net"
	"sync/atomic"
)

// Counts is the traffic of one Server or Dialer, in bytes of TCP payload,
// and its connections.
type Counts struct {
	BytesIn  uint64
	BytesOut uint64
	// Connections is how many were opened.
	Connections uint64
	// Refused is how many were turned away.
	Refused uint64
}

// counters is the live form of Counts.
type counters struct {
	in, out, conns, refused atomic.Uint64
}

func (c *counters) read() Counts {
	return Counts{BytesIn: c.in.Load(), BytesOut: c.out.Load(), Connections: c.conns.Load(), Refused: c.refused.Load()}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	total *counters
	// read is the number of bytes read on this connection.
	read atomic.Uint64
	// gone runs when the connection is closed; it may be nil.
	gone func()
}

// Read counts what arrives.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(uint64(n))
	c.total.in.Add(uint64(n))
	return n, err
}

// Write counts what leaves.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.out.Add(uint64(n))
	return n, err
}

// Close ends the connection.
func (c *counted) Close() error {
	if c.gone != nil {
		c.gone()
	}
	return c.Conn.Close()
}
