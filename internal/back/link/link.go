package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// readBuffer is the size of a link's read buffer, in bytes.
	readBuffer = 4 << 10
	// writeBuffer is the size of a link's write buffer, in bytes; a request
	// that fits leaves in one piece.
	writeBuffer = 4 << 10
)

// The errors of a call that the link itself ended.
const (
	// ErrSilent ends a call whose connection made no progress.
	ErrSilent = errors.ConstError("connection silent")
	// ErrClosed ends a call on a link that was closed.
	ErrClosed = errors.ConstError("link closed")
	// ErrTooLarge ends a call whose answer is larger than MaxBody.
	ErrTooLarge = errors.ConstError("answer too large")
	// ErrBroken refuses a call on a link that cannot be reused.
	ErrBroken = errors.ConstError("link broken")
)

// Link is one connection to a searcher. One goroutine at a time may call it;
// Abort and Close may be called from any.
type Link struct {
	conn     net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	sent     counter
	probe    *probe
	head     string
	body     []byte
	maxBody  int
	broken   bool
	aborted  atomic.Pointer[error]
	began    atomic.Int64
	idleFrom time.Time
	calls    int
}

// Result is how a call ended.
type Result struct {
	// Status is the HTTP status of the answer.
	Status int
	// Body of the answer; valid until the next call on the link.
	Body []byte
	// Sent tells whether a byte of the request may have left.
	Sent bool
	// Service is the time from the request's first byte to the answer's last.
	Service time.Duration
	// Err tells why there is no answer.
	Err error
}

// counter counts the bytes that a connection took.
type counter struct {
	w io.Writer
	n int
}

// Write passes b on and counts what was taken.
func (c *counter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}

// New returns a link over an open connection.
func New(conn net.Conn, c Config) *Link {
	c = c.withDefaults()
	l := &Link{conn: conn, maxBody: c.MaxBody, idleFrom: time.Now()}
	l.sent.w = conn
	l.r = bufio.NewReaderSize(conn, readBuffer)
	l.w = bufio.NewWriterSize(&l.sent, writeBuffer)
	var raw syscall.RawConn
	if s, ok := conn.(syscall.Conn); ok {
		raw, _ = s.SyscallConn()
	}
	l.probe = newProbe(raw)
	l.head = " HTTP/1.1\r\nHost: " + c.Addr + "\r\nUser-Agent: egrethaven\r\nContent-Type: application/json\r\nContent-Length: "
	return l
}

// Call sends one request and reads its answer. When ctx ends first, the link
// is closed.
func (l *Link) Call(ctx context.Context, method, path string, body []byte) Result {
	if l.broken || l.aborted.Load() != nil {
		return Result{Err: ErrBroken}
	}
	if err := ctx.Err(); err != nil {
		return Result{Err: err}
	}
	l.broken = true
	l.calls++
	d, _ := ctx.Deadline()
	if err := l.conn.SetDeadline(d); err != nil {
		return Result{Err: errors.Trace(err)}
	}
	stop := context.AfterFunc(ctx, func() { l.Abort(ctx.Err()) })
	start := time.Now()
	l.began.Store(start.UnixNano())
	before := l.sent.n
	r, whole := l.roundTrip(method, path, body)
	l.began.Store(0)
	r.Sent = l.sent.n > before
	r.Service = time.Since(start)
	if !stop() {
		whole = false
	}
	if r.Err != nil {
		r.Err = l.cause(ctx, r.Err)
		return r
	}
	l.broken = !whole
	l.idleFrom = start.Add(r.Service)
	return r
}

// roundTrip writes the request and reads the answer. whole tells that the
// connection may carry another request.
func (l *Link) roundTrip(method, path string, body []byte) (r Result, whole bool) {
	if err := l.write(method, path, body); err != nil {
		return Result{Err: errors.Annotate(err, "write request")}, false
	}
	resp, err := http.ReadResponse(l.r, nil)
	if err != nil {
		return Result{Err: errors.Annotate(err, "read answer")}, false
	}
	r.Status = resp.StatusCode
	if r.Body, err = l.readBody(resp); err != nil {
		return Result{Err: errors.Annotate(err, "read answer body")}, false
	}
	return r, !resp.Close && l.r.Buffered() == 0
}

// write sends the request. Its head has no part that varies but the length of
// the body, so it is laid out by hand.
func (l *Link) write(method, path string, body []byte) error {
	_, _ = l.w.WriteString(method)
	_ = l.w.WriteByte(' ')
	_, _ = l.w.WriteString(path)
	_, _ = l.w.WriteString(l.head)
	_, _ = l.w.Write(strconv.AppendInt(l.w.AvailableBuffer(), int64(len(body)), 10))
	_, _ = l.w.WriteString("\r\n\r\n")
	_, _ = l.w.Write(body)
	return errors.Trace(l.w.Flush())
}

// readBody reads the answer's body to its end into the link's buffer.
func (l *Link) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > int64(l.maxBody) {
		return nil, ErrTooLarge
	}
	if resp.ContentLength >= 0 {
		n := int(resp.ContentLength)
		if cap(l.body) < n {
			l.body = make([]byte, n+n/4)
		}
		_, err := io.ReadFull(resp.Body, l.body[:n])
		return l.body[:n], err
	}
	b := bytes.NewBuffer(l.body[:0])
	n, err := b.ReadFrom(io.LimitReader(resp.Body, int64(l.maxBody)+1))
	if err == nil && n > int64(l.maxBody) {
		err = ErrTooLarge
	}
	l.body = b.Bytes()
	return l.body, err
}

// cause returns why a call failed: the reason of an abort if there was one.
func (l *Link) cause(ctx context.Context, err error) error {
	if p := l.aborted.Load(); p != nil {
		return *p
	}
	if cerr := ctx.Err(); cerr != nil {
		return cerr
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return context.DeadlineExceeded
	}
	return err
}

// CallStart returns when the call in progress began; ok is false when none is.
func (l *Link) CallStart() (t time.Time, ok bool) {
	n := l.began.Load()
	return time.Unix(0, n), n != 0
}

// IdleSince returns when the last call ended. Only the link's user may ask.
func (l *Link) IdleSince() time.Time { return l.idleFrom }

// Calls returns how many calls the link has carried. Only the link's user
// may ask.
func (l *Link) Calls() int { return l.calls }

// Reusable tells whether the link may carry another call, without looking at
// the connection.
func (l *Link) Reusable() bool {
	return !l.broken && l.aborted.Load() == nil
}

// Alive looks at the connection: it is open, and no unread byte waits.
func (l *Link) Alive() bool {
	return l.Reusable() && l.r.Buffered() == 0 && l.probe.quiet()
}

// Abort closes the connection; a call in progress ends with err.
func (l *Link) Abort(err error) {
	if l.aborted.CompareAndSwap(nil, &err) {
		_ = l.conn.Close()
	}
}

// Close closes the connection.
func (l *Link) Close() {
	l.Abort(ErrClosed)
}
