// Package ingress accepts requests from clients over HTTP/1.1 and passes them to
// an engine.
//
// Path, query, method and body are forwarded unchanged; nothing is cleaned,
// decoded or redirected. The limits on clients come from the current
// configuration and also apply to connections that are already open.
//
// # Usage
//
//	s, err := ingress.New(ingress.Config{Addr: "10.0.0.1:8226", Dialect: d, Do: engine.Do, Limits: limits})
//	s.Serve()
//	s.Stop(minEnd, deadline)
package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/reply"
	"egrethaven/internal/front/framing"
	"egrethaven/internal/front/headlimit"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/requestbody"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/tcprtt"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/routing"
)

const (
	// connCheckInterval is the time between two checks of the open connections.
	connCheckInterval = 500 * time.Millisecond
	// defaultIdleTimeout applies if the configuration sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// defaultBodyTimeout limits the time for a request's body if the client names none.
	defaultBodyTimeout = 30 * time.Second
	// retryAfterNoMemory is the Retry-After if there is no memory for a request's body: the
	// time in which most requests end.
	retryAfterNoMemory = 100 * time.Millisecond
)

var (
	errBodyMemory   = &framing.Fault{Status: http.StatusServiceUnavailable, Reason: "too much memory is in use for bodies"}
	errAnswerMemory = &framing.Fault{Reason: "the client did not read its response, whose memory is needed"}
)

// Dialect parses the headers of clients.
type Dialect interface {
	// ExtractAttempt returns the attempt ID and the client's timeout, 0 if
	// unknown, and removes both from the header.
	ExtractAttempt(h http.Header) (id string, timeout time.Duration)
}

// Config holds the settings of a Server.
type Config struct {
	// Addr is the IP and port to listen on.
	Addr    string
	Dialect Dialect
	// Do answers a request.
	Do func(context.Context, forward.Request) forward.Answer
	// Limits returns the current limits. A zero body size and a zero header timeout mean
	// no limit, a zero header size the default of headlimit.
	Limits func() routing.Limits
	// CloseConns reports whether each answer closes its connection, so that
	// clients connect anew through the balancer; nil means never.
	CloseConns func() bool
	// Budget bounds the memory that all clients hold: ConnBytes for each connection, heads and
	// bodies of requests, and responses until they have read them; nil means no bound.
	Budget    *readbudget.Budget
	ConnBytes int64
	// Responses is the budget for reading responses. A response counts there until it is
	// written to the client; nil means none.
	Responses *readbudget.Budget
	// MaxHeaderLines is the maximum number of header lines of a request; 0 means the default
	// of headlimit.
	MaxHeaderLines int
	// MaxConns is the maximum number of open connections; 0 means no limit.
	MaxConns int
	Events   event.Sink
}

// Server is the HTTP server for clients.
type Server struct {
	c        Config
	listener net.Listener
	srv      *http.Server
	bodies   *requestbody.Reader
	// logRefusal logs a client that is refused, or whose connection is closed for its memory.
	logRefusal func(client string, f *framing.Fault)
	wg         sync.WaitGroup
	done       chan struct{}

	stopping atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the state of one client connection.
type connState struct {
	// changedAt is when the state last changed.
	changedAt time.Time
	// idle is set while there is no request.
	idle bool
	// requests counts the requests whose header was read.
	requests int
	// rtt is the round-trip time to the client, measured at the first request; 0
	// if unknown.
	rtt time.Duration
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// New binds the address. Connections are not accepted before Serve.
func New(c Config) (*Server, error) {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.CloseConns == nil {
		c.CloseConns = func() bool { return false }
	}
	l, err := httpserver.Listen(c.Addr, c.Events)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{c: c, done: make(chan struct{}), conns: map[net.Conn]*connState{}, bodies: requestbody.New(requestbody.Config{Budget: c.Budget}), logRefusal: httpserver.RefusalLog(c.Events)}
	s.listener = headlimit.New(headlimit.Config{Listener: l, Limits: s.headLimits, Budget: c.Budget, ConnBytes: c.ConnBytes, MaxConns: c.MaxConns, OnRefuse: s.logRefusal})
	s.srv = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: s.onConnState,
		ConnContext:    func(ctx context.Context, k net.Conn) context.Context { return context.WithValue(ctx, connKey{}, k) },
		MaxHeaderBytes: headlimit.NoMaxHeaderBytes, ErrorLog: httpserver.ErrorLog(c.Events, c.Addr),
		DisableGeneralOptionsHandler: true,
	}
	return s, nil
}

// headLimits returns the current limits on heads.
func (s *Server) headLimits() headlimit.Limits {
	l := s.c.Limits()
	return headlimit.Limits{Bytes: l.MaxHeaderBytes, Lines: s.c.MaxHeaderLines, HeadTimeout: l.HeaderTimeout}
}

// Addr returns the IP and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve starts to accept connections and returns immediately.
func (s *Server) Serve() {
	s.wg.Go(func() { httpserver.Run(s.srv, s.listener, s.c.Addr, s.c.Events) })
	s.wg.Go(s.closeExpiredLoop)
}

// Stop shuts the server down. It serves until minEnd; each answer closes its
// connection. Then it takes no more requests, so that all that were taken have until
// the deadline to be answered, and closes the connections without a request.
func (s *Server) Stop(minEnd, deadline time.Time) error {
	s.stopping.Store(true)
	time.Sleep(time.Until(minEnd))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := httpserver.Shutdown(ctx, s.srv)
	close(s.done)
	s.wg.Wait()
	return errors.Trace(err)
}

// onConnState tracks the states of connections.
func (s *Server) onConnState(conn net.Conn, state http.ConnState) {
	headlimit.ConnState(conn, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.conns[conn]
	if k == nil {
		k = &connState{}
		s.conns[conn] = k
	}
	k.changedAt = time.Now()
	switch state {
	case http.StateNew, http.StateIdle:
		k.idle = true
	case http.StateActive:
		k.idle = false
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// markHeaderRead records that the header of a request has been read. It returns
// the time that the client spends on the network for this request: one round trip,
// and one more for the first request on a connection, which it had to open.
func (s *Server) markHeaderRead(r *http.Request) time.Duration {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.conns[conn]
	if k == nil {
		return 0
	}
	k.idle = false
	if k.requests++; k.requests > 1 {
		return k.rtt
	}
	k.rtt, _ = tcprtt.Of(conn)
	return 2 * k.rtt
}

// closeExpiredLoop closes expired connections periodically until the server is
// stopped.
func (s *Server) closeExpiredLoop() {
	t := time.NewTicker(connCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-t.C:
			s.closeExpired(now)
		}
	}
}

// closeExpired closes the connections that exceed the idle timeout.
func (s *Server) closeExpired(now time.Time) {
	limits := s.c.Limits()
	idleTimeout := limits.IdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		if state.idle && now.Sub(state.changedAt) > idleTimeout {
			_ = conn.Close()
			delete(s.conns, conn)
		}
	}
}

// handle answers one request.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	networkTime := s.markHeaderRead(r)
	h := w.Header()
	if s.stopping.Load() || s.c.CloseConns() {
		h.Set("Connection", "close")
	}
	limits := s.c.Limits()
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		refuse(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if IsBodyTooLarge(limits, r.ContentLength) {
		refuse(w, http.StatusRequestEntityTooLarge)
		return
	}
	q := forward.Request{Method: r.Method, Target: target(r), Host: r.Host, Header: r.Header, Client: r.RemoteAddr, Arrived: arrived, NetworkTime: networkTime}
	q.ID, q.Timeout = s.c.Dialect.ExtractAttempt(r.Header)
	dropHopHeaders(r.Header)
	body, status := s.readBody(w, r, limits, q.Timeout)
	if status != 0 {
		refuse(w, status)
		return
	}
	q.Body = body
	a := s.c.Do(r.Context(), q)
	if a.Reason == forward.ClientGone {
		// The client has disconnected; net/http closes the connection.
		panic(http.ErrAbortHandler)
	}
	if reply.Check(a.Status, len(a.Body)) != nil {
		// net/http panics below 100, and sends what no client expects above 599.
		a = forward.Answer{Status: http.StatusBadGateway}
	}
	defer s.holdAnswer(r, a.Body)()
	writeAnswer(w, a)
}

// holdAnswer counts the memory of an answer until the client has read it. If others need that
// memory, the connection is closed. The returned function ends the count.
func (s *Server) holdAnswer(r *http.Request, body []byte) (done func()) {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if len(body) <= requestbody.SmallBytes || !ok {
		return func() {}
	}
	k := s.c.Budget.Open(func() { headlimit.Abort(conn) })
	s.c.Responses.Disown(body)
	k.Force(int64(cap(body)))
	return func() {
		if k.Discard(body) {
			s.logRefusal(r.RemoteAddr, errAnswerMemory)
		}
	}
}

// IsBodyTooLarge reports whether a body of n bytes exceeds the limit.
func IsBodyTooLarge(l routing.Limits, n int64) bool { return l.MaxBodyBytes > 0 && n > l.MaxBodyBytes }

// refuse answers with the status and closes the connection.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		setRetryAfter(w.Header(), retryAfterNoMemory)
	}
	w.WriteHeader(status)
}

// target returns the path and query unchanged.
func target(r *http.Request) string {
	t := r.RequestURI
	if strings.HasPrefix(t, "/") {
		return t
	}
	// The absolute form contains scheme and host as well.
	if _, rest, ok := strings.Cut(t, "://"); ok {
		if i := strings.IndexAny(rest, "/?"); i >= 0 && rest[i] == '/' {
			return rest[i:]
		}
	}
	return t
}

// headerBytes returns the approximate size of a request's header in bytes.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads a request's body. If it can't be read, it returns the status
// to refuse the request with, otherwise 0.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits, timeout time.Duration) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, 0
	}
	c := http.NewResponseController(w)
	if timeout <= 0 {
		timeout = defaultBodyTimeout
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err == nil {
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	b, err := s.bodies.Read(w, r, limits.MaxBodyBytes)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, readbudget.ErrExhausted):
		s.logRefusal(r.RemoteAddr, errBodyMemory)
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case headlimit.Status(err) != 0:
		return nil, headlimit.Status(err)
	case err != nil:
		return nil, http.StatusRequestTimeout
	}
	return b, 0
}

// hopHeaders lists the hop-by-hop headers, and those that are set anew for each
// hop.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// dropHopHeaders removes the headers that must not be forwarded, including those
// named by Connection.
func dropHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// setRetryAfter sets the time after which a client may try again.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// writeAnswer writes an answer to the client.
func writeAnswer(w http.ResponseWriter, a forward.Answer) {
	h := w.Header()
	if a.Header != nil {
		dropHopHeaders(a.Header)
		for k, vs := range a.Header {
			h[k] = vs
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.RetryAfter > 0 {
		setRetryAfter(h, a.RetryAfter)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
