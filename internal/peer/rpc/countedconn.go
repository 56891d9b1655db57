package rpc

import (
	"net"
	"sync/atomic"

	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/readlimit"
)

// messageCost is the bytes of memory for each byte of a message: its encoded form and the
// decoded one.
const messageCost = 2

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
	// claim accounts for the message that is being read, unaccounted is the number of its
	// bytes that are not in claim.
	claim       *readbudget.Claim
	unaccounted atomic.Int64
	// onClose is called before the connection is closed; it may be nil.
	onClose func()
}

// newCountedConn returns a connection whose messages are accounted for in a budget.
func newCountedConn(c net.Conn, total *counters, b *readbudget.Budget) *countedConn {
	return &countedConn{Conn: c, total: total, claim: b.Open(func() { _ = c.Close() })}
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(uint64(n))
	c.total.bytesIn.Add(uint64(n))
	if err == nil && c.unaccounted.Add(int64(n)) > readlimit.FreeBytes {
		err = c.claim.Grow(c.unaccounted.Swap(0) * messageCost)
	}
	if err != nil {
		c.endMessage()
	}
	return n, err
}

// endMessage releases the memory of the message that was read.
func (c *countedConn) endMessage() {
	c.unaccounted.Store(0)
	c.claim.Release()
}

// Write writes to the connection and counts the bytes. What was read before has been
// processed: a connection carries one call at a time.
func (c *countedConn) Write(b []byte) (int, error) {
	c.endMessage()
	n, err := c.Conn.Write(b)
	c.total.bytesOut.Add(uint64(n))
	return n, err
}

// Close releases the memory, calls onClose and closes the connection.
func (c *countedConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	err := c.Conn.Close()
	c.endMessage()
	return err
}
