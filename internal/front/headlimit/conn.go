package headlimit

import (
	"math/bits"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/front/framing"
	"egrethaven/internal/infra/connlimit"
	"egrethaven/internal/infra/readbudget"
)

const (
	// bufferSize is the size in bytes of the buffer that a connection may have without a
	// claim, and the maximum read at a time.
	bufferSize = 4 << 10
	// freeMemory is the memory in bytes of a parsed head that needs no claim, so that
	// ordinary requests cost nothing: 500 bytes in 20 lines.
	freeMemory = 8 << 10
	// maxEmpty is the maximum number of CR and LF before a request. RFC 9112 has readers
	// ignore an empty line; net/http ignores four bytes after a POST.
	maxEmpty = 4
	// refusalTimeout limits the time for writing a refusal.
	refusalTimeout = time.Second
	// lingerTime and lingerBytes limit how long, and for how many bytes, a refused client
	// may go on to send, so that it sees the refusal before its connection is reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// writeTimeout limits the time for each writeStep bytes of a response, so that a client
	// that does not read it does not hold it. The deadline is set again when less than half
	// of it is left, as setting it for each response took 0.2 µs.
	writeTimeout = 20 * time.Second
	writeStep    = 64 << 10
)

var (
	errMemory  = &framing.Fault{Status: http.StatusServiceUnavailable, Reason: "too much memory is in use for heads"}
	errTimeout = &framing.Fault{Status: http.StatusRequestTimeout, Reason: "the head did not arrive in time"}
	errEmpty   = &framing.Fault{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "too many empty lines before a request"}
	errCost    = &framing.Fault{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the head takes more memory than there is"}
)

// buffers are the buffers of connections of which a part of a head has arrived. largeBuffers
// are those of 2, 4 and 8 times the size, for heads of at most 32 KB. Making them anew for
// each head was a quarter of the memory that 400 clients with heads of 14 KB made a gateway
// allocate.
var (
	buffers      = sync.Pool{New: func() any { return new([bufferSize]byte) }}
	largeBuffers [3]sync.Pool
)

// Conn is a connection that checks the requests that it carries. It must be read by one
// goroutine at a time, as net/http does.
type Conn struct {
	net.Conn
	l     *Listener
	entry *connlimit.Entry
	// reading is the memory of buf, parsed that of the head of the request under way.
	reading, parsed *readbudget.Claim
	// base is the memory that the connection itself takes.
	base   *readbudget.Claim
	closed atomic.Bool
	// busy is set from the end of a request's head to the end of the request.
	busy atomic.Bool
	// writeDeadline is that of the connection, in nanoseconds since the Unix epoch.
	writeDeadline atomic.Int64

	// head, body and inBody are the state of the request that is being read, empty is the
	// number of CR and LF before it.
	head   framing.Head
	body   framing.Body
	inBody bool
	empty  int
	// buf holds bytes that were read and not passed on, apart from the first passed ones
	// of a head. Those up to ready may be passed on.
	buf           []byte
	passed, ready int
	// failed is the error of all further reads.
	failed error

	// mu guards the rest. waiting is set while a head has begun to arrive and no request is
	// under way; only then may the reader be interrupted. fault is the reason.
	mu      sync.Mutex
	waiting bool
	fault   *framing.Fault
	timer   *time.Timer
}

// Read reads checked bytes. It returns at most one request, and not before its whole head
// has arrived.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		switch {
		case c.failed != nil:
			return 0, c.failed
		case c.ready > c.passed:
			n := copy(p, c.buf[c.passed:c.ready])
			if c.passed += n; c.passed == c.ready {
				c.drop(c.ready)
			}
			return n, nil
		case c.inBody:
			return c.readBody(p)
		case c.busy.Load() && c.passed == 0:
			return c.readAhead(p)
		}
		if n, err := c.readHead(p[:min(len(p), bufferSize)]); n > 0 || err != nil {
			return n, err
		}
	}
}

// readHead reads more of a head. It returns 0 if Read has to go on.
func (c *Conn) readHead(p []byte) (int, error) {
	if len(c.buf) == 0 {
		n, err := c.read(p)
		if n == 0 {
			return 0, err
		}
		return c.checkDirect(p, n)
	}
	if done, err := c.checkHeld(); done || err != nil {
		return 0, err
	}
	c.wait()
	if len(c.buf) == cap(c.buf) {
		if !c.grow() {
			return 0, c.refuse(errMemory)
		}
	}
	n, err := c.read(c.buf[len(c.buf):min(cap(c.buf), len(c.buf)+bufferSize)])
	c.buf = c.buf[:len(c.buf)+n]
	if n == 0 {
		if f := c.interrupted(); f != nil {
			return 0, c.refuse(f)
		}
		return 0, err
	}
	return 0, nil
}

// checkDirect checks n bytes of p, where a request begins. It is for the usual case in which
// all of a head arrives at once: nothing is copied then.
func (c *Conn) checkDirect(p []byte, n int) (int, error) {
	if k := c.skipEmpty(p[:n]); k > 0 {
		n = copy(p, p[k:n])
	}
	if c.empty > maxEmpty {
		return 0, c.refuse(errEmpty)
	}
	if n == 0 {
		return 0, nil
	}
	limits, _ := c.l.limits()
	size, err := c.head.Scan(p[:n], limits)
	switch {
	case err != nil:
		return 0, c.refuse(err.(*framing.Fault))
	case size == 0:
		c.hold(p[:n])
		return 0, nil
	}
	if f := c.begin(size); f != nil {
		return 0, c.refuse(f)
	}
	if c.inBody {
		size += c.scanBody(p[size:n], limits)
	}
	c.hold(p[size:n])
	return size, nil
}

// checkHeld checks the bytes in the buffer, where a request begins. It returns true if a head
// has ended there.
func (c *Conn) checkHeld() (bool, error) {
	if c.passed == 0 {
		if k := c.skipEmpty(c.buf); k > 0 {
			c.drop(k)
		}
	}
	if c.empty > maxEmpty {
		return false, c.refuse(errEmpty)
	}
	if len(c.buf) == 0 {
		return true, nil
	}
	limits, _ := c.l.limits()
	size, err := c.head.Scan(c.buf, limits)
	if err != nil {
		return false, c.refuse(err.(*framing.Fault))
	}
	if size == 0 {
		return false, nil
	}
	if f := c.interrupted(); f != nil {
		return false, c.refuse(f)
	}
	if f := c.begin(size); f != nil {
		return false, c.refuse(f)
	}
	c.ready = size
	return true, nil
}

// begin takes the memory for a head that has ended, which then is the request under way.
func (c *Conn) begin(size int) *framing.Fault {
	if m := c.head.Memory(size); m > freeMemory {
		if limit := c.l.c.Budget.Limit(); limit > 0 && m > limit {
			return errCost
		}
		// What was read is held until it has been passed on, so that it cannot give way to
		// what parsing makes of it.
		if !c.reading.Pin() || !c.claim(c.parsed, m) {
			return errMemory
		}
	}
	c.body, c.head, c.empty = c.head.Body(), framing.Head{}, 0
	_, done, _ := c.body.Scan(nil, framing.Limits{})
	c.busy.Store(true)
	c.setInBody(!done)
	return nil
}

// setInBody records whether more of a body has to arrive. A request does not run before: until
// then its connection may be closed as a silent one.
func (c *Conn) setInBody(inBody bool) {
	c.inBody = inBody
	c.entry.SetBusy(!inBody)
}

// readBody reads a part of a body.
func (c *Conn) readBody(p []byte) (int, error) {
	limits, _ := c.l.limits()
	if len(c.buf) > 0 {
		n := c.scanBody(c.buf[:min(len(c.buf), len(p))], limits)
		copy(p, c.buf[:n])
		c.drop(n)
		if n == 0 {
			return 0, c.failed
		}
		return n, nil
	}
	// No more is read than may be held if it belongs to the next request.
	n, err := c.read(p[:min(len(p), max(bufferSize, c.body.Left()))])
	if n == 0 {
		return 0, err
	}
	k := c.scanBody(p[:n], limits)
	if k == 0 {
		return 0, c.failed
	}
	c.hold(p[k:n])
	return k, nil
}

// scanBody returns how many bytes belong to the body. A fault is left to the next Read, whose
// caller answers the request.
func (c *Conn) scanBody(b []byte, l framing.Limits) int {
	n, done, err := c.body.Scan(b, l)
	if f, ok := err.(*framing.Fault); ok {
		c.failed = f
		c.l.c.OnRefuse(c.RemoteAddr().String(), f)
	}
	if done {
		c.setInBody(false)
	}
	return n
}

// readAhead reads while a request is under way and its body has been read. net/http reads one
// byte then, to learn whether the client leaves. The byte is passed on, and is checked with
// the rest of its head once the request has ended.
func (c *Conn) readAhead(p []byte) (int, error) {
	for {
		if len(c.buf) > 0 {
			if k := c.skipEmpty(c.buf); k > 0 && c.empty <= maxEmpty {
				c.drop(k)
				continue
			}
			p[0] = c.buf[0]
			c.passed = 1
			return 1, nil
		}
		n, err := c.read(p[:1])
		if n == 0 {
			return 0, err
		}
		c.hold(p[:1])
	}
}

// skipEmpty counts the CR and LF at the beginning of b, of which it returns the number.
func (c *Conn) skipEmpty(b []byte) int {
	n := 0
	for n < len(b) && (b[n] == '\r' || b[n] == '\n') && c.empty <= maxEmpty {
		n++
		c.empty++
	}
	return n
}

// read reads from the network.
func (c *Conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.entry.Touch()
		return n, nil
	}
	return 0, err
}

// hold keeps bytes of a request that is not passed on yet, at most bufferSize.
func (c *Conn) hold(b []byte) {
	if len(b) > 0 {
		c.buf = append(buffers.Get().(*[bufferSize]byte)[:0], b...)
	}
}

// drop removes the first n bytes of the buffer. At most bufferSize are left, which need no
// claim.
func (c *Conn) drop(n int) {
	rest := c.buf[n:]
	c.passed, c.ready = 0, 0
	if cap(c.buf) == bufferSize && len(rest) > 0 {
		c.buf = c.buf[:copy(c.buf, rest)]
		return
	}
	old := c.buf
	c.buf = nil
	c.hold(rest)
	putBuffer(old)
	c.reading.Release()
}

// newBuffer returns an empty buffer of the given size, a power of two above bufferSize.
func newBuffer(size int) []byte {
	if p := largePool(size); p != nil {
		if b, ok := p.Get().(*[]byte); ok {
			return *b
		}
	}
	return make([]byte, 0, size)
}

// putBuffer makes a buffer available to other connections, unless it is very large.
func putBuffer(b []byte) {
	if cap(b) == bufferSize {
		buffers.Put((*[bufferSize]byte)(b[:bufferSize]))
	} else if p := largePool(cap(b)); p != nil {
		b = b[:0]
		p.Put(&b)
	}
}

// largePool returns the pool of buffers of the given size; nil if there is none.
func largePool(size int) *sync.Pool {
	i := bits.Len(uint(size/bufferSize)) - 2
	if i < 0 || i >= len(largeBuffers) || size != bufferSize<<(i+1) {
		return nil
	}
	return &largeBuffers[i]
}

// grow doubles the buffer.
func (c *Conn) grow() bool {
	size := 2 * cap(c.buf)
	if !c.claim(c.reading, int64(size-cap(c.buf))) {
		return false
	}
	b := append(newBuffer(size), c.buf...)
	putBuffer(c.buf)
	c.buf = b
	return true
}

// claim takes memory from the budget.
func (c *Conn) claim(k *readbudget.Claim, n int64) bool {
	if k.Grow(n) != nil {
		k.Release()
		return false
	}
	if c.closed.Load() {
		k.Release()
	}
	return true
}

// wait prepares for waiting for the rest of a head.
func (c *Conn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting || c.busy.Load() {
		return
	}
	c.waiting = true
	if _, timeout := c.l.limits(); timeout > 0 {
		c.timer = time.AfterFunc(timeout, func() { c.interrupt(errTimeout) })
	}
}

// interrupt ends the wait for the rest of a head.
func (c *Conn) interrupt(f *framing.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.fault != nil {
		return
	}
	c.fault = f
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// interrupted ends the wait for the rest of a head, unless the head goes on to arrive, and
// returns the reason of its interruption, or nil.
func (c *Conn) interrupted() *framing.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	return c.fault
}

// endRequest is called when the request under way has ended.
func (c *Conn) endRequest() {
	if f, ok := c.failed.(*framing.Fault); ok {
		// The request was answered; net/http must not answer the error once more.
		c.failed = c.readError(f)
	}
	c.parsed.Release()
	c.busy.Store(false)
	c.entry.SetBusy(false)
}

// refuse answers a request that was not passed on, and returns the error of all further
// reads, which net/http takes for one of the network.
func (c *Conn) refuse(f *framing.Fault) error {
	c.interrupted()
	c.failed = c.readError(f)
	if len(c.buf) > 0 {
		c.drop(len(c.buf))
	}
	c.l.c.OnRefuse(c.RemoteAddr().String(), f)
	if c.busy.Load() {
		return c.failed
	}
	writeRefusal(c.Conn, f)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	b := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(b)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(b[:])
		if err != nil {
			break
		}
		left -= n
	}
	return c.failed
}

// readError returns an error that net/http takes for one of the network.
func (c *Conn) readError(f *framing.Fault) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: f}
}

// Write writes a part of a response. It fails if the client does not read it.
func (c *Conn) Write(p []byte) (int, error) {
	total := 0
	for {
		n := min(len(p), writeStep)
		if now := time.Now(); c.writeDeadline.Load()-now.UnixNano() < int64(writeTimeout/2) {
			if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
				return total, err
			}
		}
		n, err := c.Conn.Write(p[:n])
		total += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return total, err
		}
	}
}

// SetWriteDeadline sets the deadline of writes. Each Write has one in any case, so that
// net/http does not need to remove it after each request.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	c.writeDeadline.Store(t.UnixNano())
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending side, if the connection can.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn returns the connection of the operating system.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("raw connection")
	}
	return s.SyscallConn()
}

// Close closes the connection and releases its memory.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closed.Store(true)
	c.interrupted()
	c.reading.Release()
	c.parsed.Release()
	c.base.Release()
	c.entry.Remove()
	return err
}
