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

// answerSize is the size of a read buffer, in bytes; an answer fits.
const answerSize = 8 << 10

// Raw makes the same calls with one write and as few reads as there are,
// without parsing more than the length of the answer.
type Raw struct {
	calls []call

	mu   sync.Mutex
	idle map[string][]*rawConn
}

// rawConn is a connection and its buffer.
type rawConn struct {
	net.Conn
	buffer [answerSize]byte
}

// NewRaw returns a client that opens connections as it needs them.
func NewRaw(c Config) (*Raw, error) {
	cs, err := prepare(c)
	for i, c := range cs {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", back.SearchPath, len(c.body))
		cs[i].body = append([]byte(head), c.body...)
	}
	return &Raw{calls: cs, idle: map[string][]*rawConn{}}, err
}

// Fan calls every shard once and waits for all answers.
func (r *Raw) Fan(ctx context.Context) error { return fan(ctx, r.calls, r.do) }

func (r *Raw) do(ctx context.Context, addr string, body []byte) error {
	c, err := r.get(ctx, addr)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := c.Write(body); err != nil {
		return errors.Trace(err)
	}
	for n := 0; ; {
		k, err := c.Read(c.buffer[n:])
		if err != nil {
			return errors.Trace(err)
		}
		n += k
		if whole(c.buffer[:n]) {
			break
		}
	}
	r.put(addr, c)
	return nil
}

// whole tells whether b is a complete answer.
func whole(b []byte) bool {
	const name = "Content-Length: "
	end := bytes.Index(b, []byte("\r\n\r\n"))
	at := bytes.Index(b, []byte(name))
	if end < 0 || at < 0 || at > end {
		return false
	}
	v := b[at+len(name):]
	n, err := strconv.Atoi(string(v[:bytes.IndexByte(v, '\r')]))
	return err == nil && len(b) >= end+4+n
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

// Close closes the connections.
func (r *Raw) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cs := range r.idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
}
