package rpc

import (
	"net"
	"sync"
	"sync/atomic"

	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/readlimit"
)

// messageCost is the bytes of memory for each byte of a message: its encoded form and the
// decoded one.
const messageCost = 2

// readStep is the maximum number of bytes read at a time, before which they are not accounted
// for. drpc offers as much room as it has read before.
const readStep = 64 << 10

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
	// bytesRead and bytesWritten are the numbers of bytes on this connection.
	bytesRead, bytesWritten atomic.Uint64
	// served is set on a Server's connections. Their messages end with their calls, and the
	// Server calls release when nothing refers to drpc's buffers any more. The messages of a
	// Dialer's connections end with the next write: a connection carries one call at a time.
	served bool
	// claim accounts for the messages of the connection.
	claim *readbudget.Claim
	// onClose is called before the connection is closed; it may be nil.
	onClose func()

	// mu guards the rest. pending is the number of bytes that were read since the last
	// message ended, covered the number of those that claim accounts for.
	// kept is set while claim counts buffers without a message.
	mu               sync.Mutex
	pending, covered int64
	kept             bool
}

// newCountedConn returns a connection whose messages are accounted for in a budget.
func newCountedConn(c net.Conn, total *counters, b *readbudget.Budget) *countedConn {
	return &countedConn{Conn: c, total: total, claim: b.Open(func() { _ = c.Close() })}
}

// Read reads from the connection and counts the bytes. If there is no memory for them, it
// returns the error without them: drpc doubles its buffer before it looks at an error that
// comes with bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), readStep)])
	c.bytesRead.Add(uint64(n))
	c.total.bytesIn.Add(uint64(n))
	if err == nil {
		err = c.account(int64(n))
		if err != nil {
			n = 0
		}
	}
	if err != nil && !c.served {
		c.release()
	}
	return n, err
}

// account accounts for n bytes that were read. All but readlimit.FreeBytes are in claim.
func (c *countedConn) account(n int64) error {
	c.mu.Lock()
	c.pending += n
	missing := c.pending - c.covered
	if missing <= readlimit.FreeBytes {
		missing = 0
	}
	c.covered += missing
	again := c.kept
	c.kept = false
	c.mu.Unlock()
	if missing == 0 && !again {
		return nil
	}
	return c.claim.Grow(missing * messageCost)
}

// endMessage ends the message that was read, and releases its memory. A Server's connection
// on which a long one has arrived goes on to count as much, but gives way first: drpc keeps
// the buffers of its reader for as long as the connection, and a part of the next message may
// be in them.
func (c *countedConn) endMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = 0
	if c.served && c.covered > maxKeptBufferBytes {
		c.kept = true
		c.claim.Offer()
		return
	}
	c.covered = 0
	c.claim.Release()
}

// release releases all memory of the connection, which has ended.
func (c *countedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.covered, c.kept = 0, 0, false
	c.claim.Release()
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	if !c.served {
		c.endMessage()
	}
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(uint64(n))
	c.total.bytesOut.Add(uint64(n))
	return n, err
}

// Close calls onClose and closes the connection. It releases the memory of a Dialer's one.
func (c *countedConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	err := c.Conn.Close()
	if !c.served {
		c.release()
	}
	return err
}
