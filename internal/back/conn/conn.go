// Package conn implements a persistent HTTP/1.1 client connection to a searcher
// that never retries a request.
//
// A connection carries one exchange at a time. A reader goroutine receives the
// answer and calls back, so that one goroutine can wait for many exchanges. A
// request that the searcher does not read at once is written by another goroutine,
// so that Start does not wait; the answer may come before it is written. The reader
// also detects a close or unsolicited bytes on an idle connection immediately. An
// answer that does not belong to the exchange is discarded, and the connection is
// not reused.
//
// # Usage
//
//	c, err := conn.Dial(ctx, conn.Config{Addr: "10.0.0.7:8080"})
//	c.Start(conn.Request{Method: "GET", Bytes: b, Matches: matches, Done: done})
//	...
//	c.Close()
package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/reply"
	"egrethaven/internal/infra/expiryset"
	"egrethaven/internal/infra/pagepool"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/readlimit"
	"egrethaven/internal/infra/tcpdial"
)

const (
	// readBufferSize is in bytes. Most answers of one shard fit.
	readBufferSize = 2 << 10
	// maxBodySize is the maximum size of an answer's body, in bytes.
	maxBodySize = 16 << 20
	// maxHeadSize is the maximum size in bytes of an answer's status line and
	// header, interim answers included, and of what a chunked body adds to its
	// content.
	maxHeadSize = 64 << 10
	// maxDirectSize is the size in bytes up to which a body with a length is read into a buffer
	// of that size. A longer one gets memory only as its bytes arrive, whatever length it
	// announces.
	maxDirectSize = 64 << 10
	// pageSize and maxIdlePages are for the pages of longer bodies.
	pageSize     = 32 << 10
	maxIdlePages = 16
	// maxMismatched is the maximum number of answers to other requests that are
	// discarded before an exchange fails.
	maxMismatched = 4
	// connectTimeout equals the time that callers of the tier allow for
	// connecting to it.
	connectTimeout = time.Second
	// keepAliveInterval and keepAliveProbes configure TCP keepalive: a dead idle
	// connection is detected within about 4 s.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// maxLateWrite is how long the rest of a request may take to be written after its
	// exchange has ended.
	maxLateWrite = 5 * time.Second
	// userTimeout (TCP_USER_TIMEOUT) is how long sent bytes may stay
	// unacknowledged.
	userTimeout = 3 * time.Second
	// idleMargin is subtracted from the searcher's idle timeout, so that no
	// request is sent while the searcher closes the connection.
	idleMargin = 500 * time.Millisecond
)

// The errors of an exchange that are detected by this package.
const (
	// ErrClosed means that Close was called during the exchange.
	ErrClosed = errors.ConstError("connection closed locally")
	// ErrTooLarge means that the answer's body exceeds maxBodySize. One without an
	// end may also fail with readlimit.ErrExceeded, and so does such a header.
	ErrTooLarge = errors.ConstError("answer body too large")
)

// Config configures a connection.
type Config struct {
	// Addr is the searcher's address, as IP:port.
	Addr string
	// Dial opens the network connection; nil means DialTCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Budget bounds the memory for the answers of all connections; nil means no bound.
	Budget *readbudget.Budget
	// OnReady is called when a request has been written whose exchange had ended before:
	// the connection may carry another one now. It may be nil.
	OnReady func()
	// OnClosed is called once when the connection is closed and no exchange is in
	// progress; may be nil.
	OnClosed func(*Conn)
}

// Request is one exchange.
type Request struct {
	// Attempt identifies the client's attempt, which all answers to it name; 0 for none.
	// Until is when it is sent for the last time.
	Attempt uint64
	Until   time.Time
	// Method determines whether the answer has a body.
	Method string
	// Bytes is the encoded request, up to Body if that is not empty. Body must not change until
	// the request has been written, which may be after the exchange.
	Bytes []byte
	Body  []byte
	// Matches reports whether an answer with this header belongs to the exchange.
	Matches func(http.Header) bool
	// Check returns an error if an answer with this header contradicts itself, so that the
	// exchange fails; nil accepts all.
	Check func(http.Header) error
	// Done is called once with the result, from the reader goroutine or from
	// Start.
	Done func(Result)
}

// Result is the result of an exchange.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Sent reports whether any byte of the request may have been sent.
	Sent bool
	// Elapsed is the time from the start of sending to the end of the exchange.
	Elapsed time.Duration
	// Err is the reason if there is no complete answer, else nil.
	Err error
}

// Lost reports whether the connection was lost, and not closed by Close, after the request
// had been sent.
func (r Result) Lost() bool { return r.Err != nil && r.Sent && r.Err != ErrClosed }

// exchange is a request in progress.
type exchange struct {
	Request
	startedAt time.Time
}

// Conn is a connection. Start must not be called concurrently; all other methods
// are safe for concurrent use.
type Conn struct {
	c    Config
	conn net.Conn
	// limit limits the bytes read from conn, r buffers them.
	limit *readlimit.Reader
	r     *bufio.Reader
	done  chan struct{}
	// writes holds the request that is being written.
	writes sync.WaitGroup

	mu sync.Mutex
	// inFlight is the exchange in progress, or nil.
	inFlight *exchange
	// writing is set while a request is being sent. A searcher may answer before
	// it has read the whole request, so writing may outlast the exchange.
	writing bool
	// retired is set when no further exchange may start.
	retired bool
	closed  bool
	// idleUntil is when the connection must no longer be used because the
	// searcher may close it; zero if it announced no idle timeout.
	idleUntil time.Time
	exchanges int
	// carried holds the attempts that were sent on the connection.
	carried expiryset.Set[uint64]
	// idleSince is when the last exchange ended, or the connection was opened.
	idleSince time.Time
}

// Dial connects to a searcher.
func Dial(ctx context.Context, c Config) (*Conn, error) {
	if c.Dial == nil {
		c.Dial = DialTCP
	}
	nc, err := c.Dial(ctx, c.Addr)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", c.Addr)
	}
	return New(nc, c), nil
}

// dialer opens TCP connections that detect an unresponsive peer.
var dialer = tcpdial.New(tcpdial.Config{Timeout: connectTimeout, KeepAlive: keepAliveInterval, Probes: keepAliveProbes, UserTimeout: userTimeout})

// DialTCP opens a TCP connection with keepalive and user timeout.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", addr)
}

// New returns a Conn that uses an open network connection, and starts its reader.
func New(nc net.Conn, c Config) *Conn {
	l := readlimit.New(nc)
	l.Account(c.Budget.Open(func() { _ = nc.Close() }))
	l.Allow(maxHeadSize, readlimit.HeadCost)
	k := &Conn{c: c, conn: nc, limit: l, r: bufio.NewReaderSize(l, readBufferSize), done: make(chan struct{}), idleSince: time.Now()}
	go k.readAnswers()
	return k
}

// Start sends a request, without waiting for the searcher to read it. It returns false,
// without calling Done, if the connection is busy or can carry no further exchange.
func (k *Conn) Start(q Request) bool {
	k.mu.Lock()
	if k.retired || k.closed || k.writing || k.inFlight != nil {
		k.mu.Unlock()
		return false
	}
	x := &exchange{Request: q, startedAt: time.Now()}
	// The encoded request is not kept until the answer: a fan-out has one for each shard.
	x.Bytes, x.Body = nil, nil
	k.inFlight = x
	k.writing = true
	k.writes.Add(1)
	k.exchanges++
	if q.Attempt != 0 {
		k.carried.Add(q.Attempt, x.startedAt, q.Until)
	}
	k.mu.Unlock()
	unwritten := net.Buffers{q.Bytes}
	if len(q.Body) > 0 {
		unwritten = append(unwritten, q.Body)
	}
	n, err := writeFitting(k.conn, &unwritten)
	if err != nil || len(unwritten) == 0 {
		k.endWrite(x, n, err)
		return true
	}
	go func() {
		more, err := unwritten.WriteTo(k.conn)
		k.endWrite(x, n+int(more), err)
	}()
	return true
}

// writeFitting writes as much of the buffers as fits into the connection's send buffer, and
// removes it from them. It returns the number of bytes.
func writeFitting(c net.Conn, unwritten *net.Buffers) (n int, err error) {
	for len(*unwritten) > 0 {
		first := &(*unwritten)[0]
		m, err := writeAvailable(c, *first)
		n += m
		if err != nil || m < len(*first) {
			*first = (*first)[m:]
			return n, err
		}
		*unwritten = (*unwritten)[1:]
	}
	return n, nil
}

// writeAvailable writes as much of b as fits into the connection's send buffer, and returns
// the number of bytes. If it cannot tell, it writes nothing.
func writeAvailable(c net.Conn, b []byte) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var werr error
	err = raw.Write(func(fd uintptr) bool {
		n, werr = syscall.Write(int(fd), b)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case werr == syscall.EAGAIN, werr == syscall.EINTR:
		return 0, nil
	case werr != nil:
		return 0, os.NewSyscallError("write", werr)
	}
	return n, nil
}

// endWrite records that n bytes of the request of x were written, all if err is nil.
func (k *Conn) endWrite(x *exchange, n int, err error) {
	defer k.writes.Done()
	k.mu.Lock()
	k.writing = false
	ended := k.inFlight != x
	k.mu.Unlock()
	switch {
	case err != nil:
		k.finish(x, Result{Sent: n > 0, Err: errors.Annotate(err, "sending the request")}, false)
	case ended:
		// Errors show at the next use of the connection.
		_ = k.conn.SetWriteDeadline(time.Time{})
		if k.c.OnReady != nil {
			k.c.OnReady()
		}
	}
}

// Readiness is whether a connection can start an exchange.
type Readiness int

// The values of Readiness.
const (
	// Unusable means that no further exchange can start.
	Unusable Readiness = iota
	// Busy means that an exchange is in progress, or its request is still being
	// sent.
	Busy
	// Usable means that an exchange can start now.
	Usable
)

// Readiness returns whether an exchange can start at time now. A connection that
// the searcher may close soon is Unusable.
func (k *Conn) Readiness(now time.Time) Readiness {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.retired || k.closed:
		return Unusable
	case k.inFlight != nil || k.writing:
		return Busy
	case !k.idleUntil.IsZero() && now.After(k.idleUntil):
		return Unusable
	}
	return Usable
}

// HasCarried reports whether an attempt was sent on the connection before. A second send must
// not follow: a searcher may send the answer to the first once more, late, and nothing tells it
// from the answer to the second.
func (k *Conn) HasCarried(attempt uint64, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return attempt != 0 && k.carried.Has(attempt, now)
}

// Exchanges returns the number of exchanges started.
func (k *Conn) Exchanges() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.exchanges
}

// IdleSince returns when the last exchange ended, or the connection was
// opened.
func (k *Conn) IdleSince() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.idleSince
}

// Close closes the connection; an exchange in progress ends with ErrClosed.
// It does not wait for the reader goroutine, see Wait.
func (k *Conn) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	_ = k.conn.Close()
}

// Wait waits until the goroutines of the connection have ended, which Close causes.
func (k *Conn) Wait() {
	<-k.done
	k.writes.Wait()
}

// readAnswers reads answers until the connection ends.
func (k *Conn) readAnswers() {
	defer close(k.done)
	defer k.notifyClosed()
	for mismatched := 0; ; {
		_, err := k.r.Peek(1)
		x := k.currentOrRetire(err)
		if err != nil {
			k.finish(x, Result{Sent: true, Err: errors.Annotate(err, "awaiting the answer")}, false)
			return
		}
		if x == nil {
			// No exchange is in progress, so these bytes are unsolicited.
			return
		}
		r, reusable := k.readAnswer(x)
		if r.Err == nil && !x.Matches(r.Header) {
			k.retire()
			if mismatched++; mismatched <= maxMismatched && reusable {
				continue
			}
			r.Err = errors.New("the answer belongs to another request")
		}
		// Bytes behind the answer belong to no exchange.
		if !k.finish(x, r, reusable && r.Err == nil && mismatched == 0 && k.r.Buffered() == 0) {
			return
		}
	}
}

// readAnswer reads one answer. reusable reports whether another answer may follow on the
// connection.
func (k *Conn) readAnswer(x *exchange) (r Result, reusable bool) {
	r, reusable = k.parseAnswer(x)
	aborted, err := k.limit.End(r.Body, r.Err)
	r.Err = err
	return r, reusable && !aborted
}

// parseAnswer reads one answer, skipping interim ones.
func (k *Conn) parseAnswer(x *exchange) (r Result, reusable bool) {
	r.Sent = true
	k.limit.Allow(maxHeadSize, readlimit.HeadCost)
	p, err := reply.Read(k.r, x.Method)
	if err != nil {
		r.Err = errors.Annotate(readlimit.ShortError(err), "reading the answer's header")
		return r, false
	}
	if x.Check != nil {
		if err := x.Check(p.Header); err != nil {
			r.Err = errors.Trace(err)
			return r, false
		}
	}
	r.Status, r.Header = p.Status, p.Header
	k.limit.Allow(maxBodySize+maxHeadSize, readlimit.BodyCost)
	body, err := readBody(p, k.limit.Cover)
	if err != nil {
		// The caller may keep the result for long, so it does not get what was read.
		r.Err = errors.Annotate(err, "reading the answer's body")
		return r, false
	}
	r.Body = body
	k.mu.Lock()
	k.idleUntil = parseIdleUntil(p.Header)
	k.mu.Unlock()
	return r, !p.Close
}

// parseIdleUntil returns when an idle connection must no longer be used, from the
// timeout in the Keep-Alive header; the zero time if there is none.
func parseIdleUntil(h http.Header) time.Time {
	v := h.Get("Keep-Alive")
	if v == "" {
		return time.Time{}
	}
	for f := range strings.SplitSeq(v, ",") {
		t, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if s, err := strconv.Atoi(t); ok && err == nil {
			return time.Now().Add(time.Duration(s)*time.Second - idleMargin)
		}
	}
	return time.Time{}
}

// pages hold the long bodies that have not arrived whole.
var pages = pagepool.New(pagepool.Config{PageSize: pageSize, MaxIdle: maxIdlePages})

// readBody reads an answer's body, or returns ErrTooLarge. cover accounts for the memory of
// a body of a known size.
func readBody(p *reply.Reply, cover func(n int) error) ([]byte, error) {
	if p.Length > maxBodySize {
		return nil, ErrTooLarge
	}
	if p.Length >= 0 && p.Length <= maxDirectSize {
		if err := cover(int(p.Length)); err != nil {
			return nil, err
		}
		b := make([]byte, p.Length)
		_, err := io.ReadFull(p.Body, b)
		return b, err
	}
	// The limit of the connection accounts for this memory.
	b, err := pages.ReadAll(io.LimitReader(p.Body, maxBodySize+1), func(int64) error { return nil })
	if err == nil && len(b) > maxBodySize {
		err = ErrTooLarge
	}
	return b, err
}

// currentOrRetire returns the exchange in progress, or nil. If the connection has ended, or
// bytes have come without an exchange, no further one may start: it would never end.
func (k *Conn) currentOrRetire(err error) *exchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = k.retired || err != nil || k.inFlight == nil
	return k.inFlight
}

// retire prevents further exchanges.
func (k *Conn) retire() {
	k.mu.Lock()
	k.retired = true
	k.mu.Unlock()
}

// finish ends exchange x, which may be nil. It returns whether the connection can
// carry another exchange; if not, it closes the connection.
func (k *Conn) finish(x *exchange, r Result, reusable bool) bool {
	k.mu.Lock()
	reusable = reusable && x != nil && !k.closed && !k.retired
	k.retired = !reusable
	current := x != nil && k.inFlight == x
	if current {
		k.inFlight = nil
		k.idleSince = time.Now()
	}
	if current && k.writing {
		// A searcher that reads nothing more must not hold the connection for good.
		_ = k.conn.SetWriteDeadline(k.idleSince.Add(maxLateWrite))
	}
	if r.Err != nil && k.closed {
		r.Err = ErrClosed
	}
	k.mu.Unlock()
	if !reusable {
		_ = k.conn.Close()
	}
	if current {
		r.Elapsed = time.Since(x.startedAt)
		x.Done(r)
	}
	return reusable
}

// notifyClosed closes the connection and calls Config.OnClosed.
func (k *Conn) notifyClosed() {
	k.mu.Lock()
	k.retired = true
	k.mu.Unlock()
	_ = k.conn.Close()
	if k.c.OnClosed != nil {
		k.c.OnClosed(k)
	}
}
