// Package conn is one HTTP/1.1 connection to a searcher that never sends a
// request by itself.
//
// A connection carries one exchange at a time. A reader goroutine waits for
// the answer, so many exchanges can be awaited by one caller, and a close or
// unsolicited bytes on an idle connection are noticed at once. An answer that
// does not belong to the exchange is discarded, and the connection is not
// used again after it.
//
// # Usage
//
//	c, err := conn.Dial(ctx, conn.Config{Addr: "10.0.0.7:8080"})
//	c.Start(conn.Request{Method: "GET", Bytes: b, Owns: owns, Done: done})
//	...
//	c.Close()
package conn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/world/tcpdial"
)

const (
	// readBuffer is the size of the read buffer, in bytes. Most answers of
	// one shard fit into it.
	readBuffer = 2 << 10
	// maxBody is the largest answer that is read, in bytes.
	maxBody = 16 << 20
	// maxForeign is how many answers of other exchanges are discarded while
	// one is awaited.
	maxForeign = 4
	// connectTimeout bounds the opening of a connection, as callers of the
	// tier allow a second for theirs.
	connectTimeout = time.Second
	// keepAlive is the time between probes of an idle connection, and
	// keepAliveProbes how many may go unanswered: a silent connection is
	// noticed within about four seconds.
	keepAlive       = time.Second
	keepAliveProbes = 3
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// idleMargin is how long before the searcher's idle timeout a connection
	// is no longer used, so that no request crosses the close.
	idleMargin = 500 * time.Millisecond
)

// The errors of an exchange that the connection itself ended.
const (
	// ErrClosed ends an exchange on a connection that this side closed.
	ErrClosed = errors.ConstError("connection closed by this side")
	// ErrTooLarge ends an exchange whose answer is larger than is read.
	ErrTooLarge = errors.ConstError("answer too large")
)

// Config tells how to open a connection.
type Config struct {
	// Addr is the searcher's IP and port.
	Addr string
	// Dial opens the network connection; nil is DialTCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnClosed is called once when the connection can carry no more exchanges
	// and none is in progress; nil for none.
	OnClosed func(*Conn)
}

// Request is one exchange.
type Request struct {
	// Method decides whether the answer has a body.
	Method string
	// Bytes is the whole request as it is sent.
	Bytes []byte
	// Matches tells whether an answer belongs to this exchange.
	Matches func(http.Header) bool
	// Done is called once with the result, from the connection's reader or
	// from Start.
	Done func(Result)
}

// Result is how an exchange ended.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Sent tells whether a byte of the request may have left.
	Sent bool
	// Elapsed is the time from the first byte sent to the end.
	Elapsed time.Duration
	// Err tells why there is no complete answer.
	Err error
}

// exchange is a request in progress.
type exchange struct {
	Request
	began time.Time
}

// Conn is one connection. Start may be called by one goroutine at a time,
// Close by any.
type Conn struct {
	c    Config
	conn net.Conn
	r    *bufio.Reader
	done chan struct{}

	mu sync.Mutex
	// now is the exchange in progress.
	now *exchange
	// writing is set while a request is being sent. A searcher may answer
	// before it has read a long body; it then reads the rest later.
	writing bool
	// retired connections carry no further exchange.
	retired bool
	closed  bool
	// idleUntil is when the searcher may close an idle connection; zero if
	// it has not said.
	idleUntil time.Time
	exchanges int
	// since is when the last exchange ended.
	since time.Time
}

// Dial opens a connection.
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

// dialer opens network connections that notice when the other end falls
// silent.
var dialer = tcpdial.New(tcpdial.Config{Timeout: connectTimeout, KeepAlive: keepAlive, Probes: keepAliveProbes, UserTimeout: userTimeout})

// DialTCP opens a network connection.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", addr)
}

// New runs exchanges over an open network connection.
func New(nc net.Conn, c Config) *Conn {
	k := &Conn{c: c, conn: nc, r: bufio.NewReaderSize(nc, readBuffer), done: make(chan struct{}), since: time.Now()}
	go k.read()
	return k
}

// Start sends a request. It reports false, without calling Done, if the
// connection carries no further exchange.
func (k *Conn) Start(q Request) bool {
	k.mu.Lock()
	if k.retired || k.closed || k.writing || k.now != nil {
		k.mu.Unlock()
		return false
	}
	x := &exchange{Request: q, began: time.Now()}
	k.now = x
	k.writing = true
	k.exchanges++
	k.mu.Unlock()
	n, err := k.conn.Write(q.Bytes)
	k.mu.Lock()
	k.writing = false
	k.mu.Unlock()
	if err != nil {
		k.finish(x, Result{Sent: n > 0, Err: errors.Annotate(err, "sending the request")}, false)
	}
	return true
}

// Readiness tells what a connection is good for.
type Readiness int

// The values of Readiness.
const (
	// Unusable connections carry no further exchange.
	Unusable Readiness = iota
	// Busy connections have an exchange, or the end of one, in progress.
	Busy
	// Usable connections may carry an exchange.
	Usable
)

// Readiness tells whether another exchange may be started. A connection that
// the searcher may close soon is spent.
func (k *Conn) Readiness(now time.Time) Readiness {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.retired || k.closed:
		return Unusable
	case k.now != nil || k.writing:
		return Busy
	case !k.idleUntil.IsZero() && now.After(k.idleUntil):
		return Unusable
	}
	return Usable
}

// Exchanges returns how many exchanges were started.
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
	return k.since
}

// Close closes the connection; an exchange in progress ends with ErrClosed.
// It does not wait for the reader, see Wait.
func (k *Conn) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	_ = k.conn.Close()
}

// Wait returns once the reader has ended after a close.
func (k *Conn) Wait() { <-k.done }

// read reads answers until the connection ends.
func (k *Conn) read() {
	defer close(k.done)
	defer k.down()
	for foreign := 0; ; {
		_, err := k.r.Peek(1)
		x := k.current()
		if err != nil {
			k.finish(x, Result{Sent: true, Err: errors.Annotate(err, "awaiting the answer")}, false)
			return
		}
		if x == nil {
			// Nothing was asked, so these bytes belong to no request.
			return
		}
		r, keep := k.answer(x)
		if r.Err == nil && !x.Matches(r.Header) {
			k.retire()
			if foreign++; foreign <= maxForeign && keep {
				continue
			}
			r.Err = errors.New("the answer belongs to another request")
		}
		if !k.finish(x, r, keep && r.Err == nil && foreign == 0) {
			return
		}
	}
}

// answer reads one answer. keep tells that another may follow on the
// connection.
func (k *Conn) answer(x *exchange) (r Result, keep bool) {
	r.Sent = true
	q := &http.Request{Method: x.Method}
	resp, err := http.ReadResponse(k.r, q)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(k.r, q)
	}
	if err != nil {
		r.Err = errors.Annotate(err, "reading the answer's header")
		return r, false
	}
	r.Status, r.Header = resp.StatusCode, resp.Header
	if r.Body, err = readBody(resp); err != nil {
		r.Err = errors.Annotate(err, "reading the answer's body")
		return r, false
	}
	k.mu.Lock()
	k.idleUntil = idleUntil(resp.Header)
	k.mu.Unlock()
	return r, !resp.Close && resp.StatusCode != http.StatusSwitchingProtocols
}

// idleUntil returns when a connection should no longer be used, from the
// timeout that the searcher announces; zero if it announces none.
func idleUntil(h http.Header) time.Time {
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

// readBody reads an answer's body to its end.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, ErrTooLarge
	}
	if resp.ContentLength >= 0 {
		b := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	}
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && n > maxBody {
		err = ErrTooLarge
	}
	return b.Bytes(), err
}

// current returns the exchange in progress.
func (k *Conn) current() *exchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// retire keeps the connection from carrying another exchange.
func (k *Conn) retire() {
	k.mu.Lock()
	k.retired = true
	k.mu.Unlock()
}

// finish ends an exchange. It reports whether the connection may carry
// another; if not, it is closed.
func (k *Conn) finish(x *exchange, r Result, keep bool) bool {
	k.mu.Lock()
	keep = keep && x != nil && !k.closed && !k.retired
	k.retired = !keep
	mine := x != nil && k.now == x
	if mine {
		k.now = nil
		k.since = time.Now()
	}
	if r.Err != nil && k.closed {
		r.Err = ErrClosed
	}
	k.mu.Unlock()
	if !keep {
		_ = k.conn.Close()
	}
	if mine {
		r.Elapsed = time.Since(x.began)
		x.Done(r)
	}
	return keep
}

// down tells the owner that the connection has ended.
func (k *Conn) down() {
	k.mu.Lock()
	k.retired = true
	k.mu.Unlock()
	_ = k.conn.Close()
	if k.c.OnClosed != nil {
		k.c.OnClosed(k)
	}
}
