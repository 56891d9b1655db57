package rpc

import (
	"net"
	"sync/atomic"
)

// Counts holds the traffic of one Server or Dialer in bytes of TCP payload, and
// its connections.
type Counts struct {
	BytesIn  uint64
	BytesOut uint64
	// Connections is the number of connections that completed the handshake.
	Connections uint64
	// Refused is the number of connections whose handshake failed.
	Refused uint64
}

// counters holds the atomic counters behind Counts.
type counters struct {
	bytesIn, bytesOut, conns, refused atomic.Uint64
}

func (c *counters) read() Counts {
	return Counts{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), Connections: c.conns.Load(), Refused: c.refused.Load()}
}

// countedConn is a connection that counts bytes read and written.
type countedConn struct {
	net.Conn
	total *counters
	// bytesRead is the number of bytes read on this connection.
	bytesRead atomic.Uint64
	// onClose is called before the connection is closed; it may be nil.
	onClose func()
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(uint64(n))
	c.total.bytesIn.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.bytesOut.Add(uint64(n))
	return n, err
}

// Close calls onClose and closes the connection.
func (c *countedConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}
