// Package headlimit checks and limits what clients send, in front of net/http.
//
// net/http keeps a request's head until it has ended, and checks a fixed limit only while it
// parses. A connection of a Listener passes a head on once all of it has arrived and was
// found to be within the limits in force and to have one reading (package framing). What
// does not pass is refused here, before it is parsed, so that a refused request has not run.
// At most one request is passed on at a time; later ones on the same connection wait, of
// which at most 4 KB are held.
//
// What unfinished heads hold, and what parsing makes of finished ones, is taken from a
// budget over all connections. Unfinished ones give way to others; requests under way do
// not, and end by themselves.
//
// # Usage
//
//	l := headlimit.New(headlimit.Config{Listener: lis, Limits: limits, Budget: b, MaxConns: 2925})
//	s := http.Server{MaxHeaderBytes: headlimit.NoMaxHeaderBytes, ConnState: headlimit.ConnState, ...}
//	err := s.Serve(l)
package headlimit

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/front/framing"
	"egrethaven/internal/infra/connlimit"
	"egrethaven/internal/infra/readbudget"
)

const (
	// NoMaxHeaderBytes is a limit of http.Server that is never reached.
	NoMaxHeaderBytes = 1 << 30
	// DefaultBytes limits a head in bytes if Limits do not.
	DefaultBytes = 64 << 10
	// DefaultLines limits the lines of a head if Limits do not. A head of 16 KB cannot
	// have more.
	DefaultLines = 4096
	// retryAfter is the Retry-After in seconds if there is no memory or connection for a
	// request: the time in which most requests end.
	retryAfter = "0.100"
)

// Limits limits heads. Zero values mean the defaults, and no limit for HeadTimeout.
type Limits struct {
	// Bytes is the maximum size of a head, Lines the maximum number of its lines.
	Bytes, Lines int
	// HeadTimeout is the time in which a head has to arrive from its first byte on.
	HeadTimeout time.Duration
}

// Config configures a Listener.
type Config struct {
	Listener net.Listener
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Budget bounds the memory for heads; nil means no bound. Each connection takes ConnBytes
	// of it.
	Budget    *readbudget.Budget
	ConnBytes int64
	// MaxConns is the maximum number of open connections; 0 means no limit.
	MaxConns int
	// OnRefuse is called for each connection that is refused; nil for none.
	OnRefuse func(client string, f *framing.Fault)
}

// Listener is a listener whose connections check the requests that they carry.
type Listener struct {
	net.Listener
	c     Config
	conns *connlimit.Limit
}

// New returns a listener around that of the configuration.
func New(c Config) *Listener {
	if c.Limits == nil {
		c.Limits = func() Limits { return Limits{} }
	}
	if c.OnRefuse == nil {
		c.OnRefuse = func(string, *framing.Fault) {}
	}
	l := &Listener{Listener: c.Listener, c: c}
	if c.MaxConns > 0 {
		l.conns = connlimit.New(c.MaxConns)
	}
	return l
}

// errConns refuses a connection if all others have a request under way.
var errConns = &framing.Fault{Status: http.StatusServiceUnavailable, Reason: "all connections are in use"}

// Accept returns the next connection. If there are too many, it closes the one that has been
// silent for longest.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: n, l: l, parsed: l.c.Budget.Open(nil)}
		c.reading = l.c.Budget.Open(func() { c.interrupt(errMemory) })
		if l.conns == nil {
			return c, nil
		}
		var ok bool
		if c.entry, ok = l.conns.Add(func() { _ = n.Close() }); ok {
			c.base = l.c.Budget.Open(nil)
			c.base.Force(l.c.ConnBytes)
			return c, nil
		}
		l.c.OnRefuse(n.RemoteAddr().String(), errConns)
		writeRefusal(n, errConns)
		_ = n.Close()
	}
}

// limits returns the limits in force.
func (l *Listener) limits() (framing.Limits, time.Duration) {
	v := l.c.Limits()
	if v.Bytes <= 0 {
		v.Bytes = DefaultBytes
	}
	if v.Lines <= 0 {
		v.Lines = DefaultLines
	}
	return framing.Limits{Bytes: v.Bytes, Lines: v.Lines}, v.HeadTimeout
}

// Abort closes a connection whose memory others need. Unlike Close it does not use the budget,
// which may call it.
func Abort(n net.Conn) {
	if c, ok := n.(*Conn); ok {
		n = c.Conn
	}
	_ = n.Close()
}

// ConnState has to be called for each change of the state of a connection.
func ConnState(n net.Conn, s http.ConnState) {
	if c, ok := n.(*Conn); ok && s == http.StateIdle {
		c.endRequest()
	}
}

// Status returns the status of the refusal if a request's body could not be read because of
// its framing; 0 otherwise.
func Status(err error) int {
	var f *framing.Fault
	if errors.As(err, &f) {
		return f.Status
	}
	return 0
}

// writeRefusal writes the response to a refused request. The connection is unusable then.
func writeRefusal(c net.Conn, f *framing.Fault) {
	more := ""
	if f.Status == http.StatusServiceUnavailable {
		more = "Retry-After: " + retryAfter + "\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", f.Status, http.StatusText(f.Status), more)
}
