package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/reply"
	"egrethaven/internal/infra/readlimit"
)

const (
	// maxHeadBytes is the maximum size of a status line and header, and of what a
	// chunked body adds to its content.
	maxHeadBytes = 64 << 10
	// readBufferBytes is the size of a link's read buffer.
	readBufferBytes = 4 << 10
	// maxKeptBodyBytes is the largest body buffer that a link keeps between calls. A longer
	// body gets memory only as its bytes arrive, whatever length it announces.
	maxKeptBodyBytes = 64 << 10
	// writeBufferBytes is the size of a link's write buffer. A request that fits
	// is sent with one write.
	writeBufferBytes = 4 << 10
)

// Errors of a call, besides network and context errors.
const (
	// ErrSilent is returned by a call that was aborted because its connection
	// made no progress.
	ErrSilent = errors.ConstError("connection made no progress")
	// ErrClosed is returned by a call whose link was closed.
	ErrClosed = errors.ConstError("link closed")
	// ErrTooLarge is returned if the response body exceeds Config.MaxBody.
	ErrTooLarge = errors.ConstError("answer too large")
	// ErrBroken is returned by a call on a link that is not reusable.
	ErrBroken = errors.ConstError("link is not reusable")
)

// Link is one connection to a searcher. It must be used by one goroutine at a
// time, except for Abort, Close and CallStartedAt, which are safe for concurrent
// use.
type Link struct {
	conn net.Conn
	// limit limits the bytes read from conn, r buffers them.
	limit *readlimit.Reader
	r     *bufio.Reader
	w     *bufio.Writer
	sent  countingWriter
	probe *socketProbe
	// headers is the constant part of a request after its path, up to the value
	// of Content-Length.
	headers  string
	body     []byte
	maxBody  int
	broken   bool
	abortErr atomic.Pointer[error]
	// callStart is the start of the call in progress in Unix nanoseconds, or 0.
	callStart atomic.Int64
	idleSince time.Time
	calls     int
}

// Result is the result of a call.
type Result struct {
	// Status is the HTTP status code of the response.
	Status int
	// Body is the response body. It is valid until the next call on the link.
	Body []byte
	// Sent is true if any byte of the request may have been sent.
	Sent bool
	// Service is the time from the start of writing the request to the end of
	// the response.
	Service time.Duration
	// Err is nil if a complete response was read.
	Err error
}

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w io.Writer
	n int
}

// Write writes b to the underlying writer and counts the bytes written.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}

// New returns a link over the open connection conn.
func New(conn net.Conn, c Config) *Link {
	c = c.withDefaults()
	l := &Link{conn: conn, maxBody: c.MaxBody, idleSince: time.Now()}
	l.sent.w = conn
	l.limit = readlimit.New(conn)
	l.limit.Account(c.Budget.Open(func() { _ = conn.Close() }))
	l.r = bufio.NewReaderSize(l.limit, readBufferBytes)
	l.w = bufio.NewWriterSize(&l.sent, writeBufferBytes)
	var raw syscall.RawConn
	if s, ok := conn.(syscall.Conn); ok {
		raw, _ = s.SyscallConn()
	}
	l.probe = newSocketProbe(raw)
	l.headers = " HTTP/1.1\r\nHost: " + c.Addr + "\r\nUser-Agent: egrethaven\r\nContent-Type: application/json\r\nContent-Length: "
	return l
}

// Call sends one request and reads the response. If ctx ends before that, the
// link is closed.
func (l *Link) Call(ctx context.Context, method, path string, body []byte) Result {
	if l.broken || l.abortErr.Load() != nil {
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
	l.callStart.Store(start.UnixNano())
	before := l.sent.n
	r, reusable := l.roundTrip(method, path, body)
	l.callStart.Store(0)
	r.Sent = l.sent.n > before
	r.Service = time.Since(start)
	if !stop() {
		reusable = false
	}
	if r.Err != nil {
		r.Err = l.callError(ctx, r.Err)
		return r
	}
	l.broken = !reusable
	l.idleSince = start.Add(r.Service)
	return r
}

// roundTrip writes the request and reads the response. reusable is true if the
// connection can carry another request.
func (l *Link) roundTrip(method, path string, body []byte) (r Result, reusable bool) {
	r, reusable = l.exchange(method, path, body)
	if cap(l.body) > maxKeptBodyBytes {
		l.body = nil
	}
	aborted, err := l.limit.End(r.Body, r.Err)
	r.Err = err
	return r, reusable && !aborted
}

// exchange writes the request and reads the response.
func (l *Link) exchange(method, path string, body []byte) (r Result, reusable bool) {
	if err := l.writeRequest(method, path, body); err != nil {
		return Result{Err: errors.Annotate(err, "write request")}, false
	}
	l.limit.Allow(maxHeadBytes, readlimit.HeadCost)
	p, err := reply.Read(l.r, method)
	if err != nil {
		return Result{Err: errors.Annotate(readlimit.ShortError(err), "read answer")}, false
	}
	r.Status = p.Status
	l.limit.Allow(l.maxBody+maxHeadBytes, readlimit.BodyCost)
	if r.Body, err = l.readBody(p); err != nil {
		return Result{Err: errors.Annotate(err, "read answer body")}, false
	}
	return r, !p.Close && l.r.Buffered() == 0
}

// writeRequest sends the request. Apart from the method, path and content
// length the header is constant, so it is written without net/http.
func (l *Link) writeRequest(method, path string, body []byte) error {
	_, _ = l.w.WriteString(method)
	_ = l.w.WriteByte(' ')
	_, _ = l.w.WriteString(path)
	_, _ = l.w.WriteString(l.headers)
	_, _ = l.w.Write(strconv.AppendInt(l.w.AvailableBuffer(), int64(len(body)), 10))
	_, _ = l.w.WriteString("\r\n\r\n")
	_, _ = l.w.Write(body)
	return errors.Trace(l.w.Flush())
}

// readBody reads the complete response body into the link's buffer.
func (l *Link) readBody(p *reply.Reply) ([]byte, error) {
	if p.Length > int64(l.maxBody) {
		return nil, ErrTooLarge
	}
	if n := int(p.Length); n >= 0 && n <= maxKeptBodyBytes {
		if cap(l.body) < n {
			if err := l.limit.Cover(n + n/4); err != nil {
				return nil, err
			}
			l.body = make([]byte, n+n/4)
		}
		_, err := io.ReadFull(p.Body, l.body[:n])
		return l.body[:n], err
	}
	b := bytes.NewBuffer(l.body[:0])
	n, err := b.ReadFrom(io.LimitReader(p.Body, int64(l.maxBody)+1))
	if err == nil && n > int64(l.maxBody) {
		err = ErrTooLarge
	}
	l.body = b.Bytes()
	return l.body, err
}

// callError returns the error to report for a call that failed with err: the
// error passed to Abort, else the context's error, else err.
func (l *Link) callError(ctx context.Context, err error) error {
	if p := l.abortErr.Load(); p != nil {
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

// CallStartedAt returns the start time of the call in progress. ok is false if no
// call is in progress.
func (l *Link) CallStartedAt() (t time.Time, ok bool) {
	n := l.callStart.Load()
	return time.Unix(0, n), n != 0
}

// IdleSince returns when the last complete call ended, or when the link was
// opened.
func (l *Link) IdleSince() time.Time { return l.idleSince }

// Calls returns the number of calls started on the link.
func (l *Link) Calls() int { return l.calls }

// Reusable returns true if the link can carry another call. It does not check
// the connection itself.
func (l *Link) Reusable() bool {
	return !l.broken && l.abortErr.Load() == nil
}

// Alive returns true if the link is reusable, its connection is open and there
// are no unread bytes.
func (l *Link) Alive() bool {
	return l.Reusable() && l.r.Buffered() == 0 && l.probe.idle()
}

// Abort closes the connection. A call in progress returns err.
func (l *Link) Abort(err error) {
	if l.abortErr.CompareAndSwap(nil, &err) {
		_ = l.conn.Close()
	}
}

// Close closes the connection. A call in progress returns ErrClosed.
func (l *Link) Close() {
	l.Abort(ErrClosed)
}
