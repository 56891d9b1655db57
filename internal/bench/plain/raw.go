package plain

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"

	back "egrethaven/internal/back/searcher"

	"github.com/juju/errors"
)

// bufferBytes is the size of a read buffer, which holds a whole message.
const bufferBytes = 8 << 10

// Raw makes the same calls with one write and as few reads as possible. It parses
// only the Content-Length of the answer.
type Raw struct {
	calls []call

	mu   sync.Mutex
	idle map[string][]*rawConn
}

type rawConn struct {
	net.Conn
	buffer [bufferBytes]byte
}

// NewRaw returns a client that opens connections on demand.
func NewRaw(c Config) (*Raw, error) {
	cs, err := prepare(c)
	for i, c := range cs {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", back.SearchPath, len(c.body))
		cs[i].body = append([]byte(head), c.body...)
	}
	return &Raw{calls: cs, idle: map[string][]*rawConn{}}, err
}

// Fan calls every shard once, waits for all answers and returns the first error.
func (r *Raw) Fan(ctx context.Context) error { return fanOut(ctx, r.calls, r.send) }

// send makes one call and ignores its status.
func (r *Raw) send(ctx context.Context, addr string, body []byte) error {
	c, err := r.get(ctx, addr)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := c.Write(body); err != nil {
		return errors.Trace(err)
	}
	for filled := 0; ; {
		n, err := c.Read(c.buffer[filled:])
		if err != nil {
			return errors.Trace(err)
		}
		filled += n
		if isComplete(c.buffer[:filled]) {
			break
		}
	}
	r.put(addr, c)
	return nil
}

// isComplete reports whether b holds a complete message.
func isComplete(b []byte) bool {
	const name = "Content-Length: "
	headerEnd := bytes.Index(b, []byte("\r\n\r\n"))
	nameStart := bytes.Index(b, []byte(name))
	if headerEnd < 0 || nameStart < 0 || nameStart > headerEnd {
		return false
	}
	v := b[nameStart+len(name):]
	bodyLen, err := strconv.Atoi(string(v[:bytes.IndexByte(v, '\r')]))
	return err == nil && len(b) >= headerEnd+4+bodyLen
}

func (r *Raw) get(ctx context.Context, addr string) (*rawConn, error) {
	r.mu.Lock()
	if cs := r.idle[addr]; len(cs) > 0 {
		c := cs[len(cs)-1]
		r.idle[addr] = cs[:len(cs)-1]
		r.mu.Unlock()
		return c, nil
	}
	r.mu.Unlock()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return &rawConn{Conn: c}, errors.Trace(err)
}

func (r *Raw) put(addr string, c *rawConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle[addr] = append(r.idle[addr], c)
}

// Close closes the idle connections.
func (r *Raw) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cs := range r.idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
}
