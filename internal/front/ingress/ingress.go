// Package ingress takes requests from clients over HTTP/1.1 and answers them
// through an engine.
//
// Path, query, method and body go on exactly as they came; nothing is
// cleaned, decoded or redirected. The limits on clients come from the
// configuration in force and are held for connections that are already open.
//
// # Usage
//
//	s, err := ingress.New(ingress.Config{Addr: "10.0.0.1:8226", Dialect: d, Do: engine.Do, Limits: limits})
//	s.Serve()
//	s.Stop(linger, deadline)
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/routing"
)

const (
	// sweepInterval is the time between two looks at the open connections.
	sweepInterval = 500 * time.Millisecond
	// defaultHeaderBytes bounds a request's header before a configuration is
	// known, and is the least that net/http is told.
	defaultHeaderBytes = 64 << 10
	// defaultIdle closes idle connections before a configuration is known.
	defaultIdle = 15 * time.Second
	// stopPoll is the time between two looks at what is under way at a stop.
	stopPoll = 20 * time.Millisecond
)

// Dialect reads what a client's header says.
type Dialect interface {
	// Request returns the ID of the attempt and how long the client waits, 0
	// if it does not say, and removes both from the header.
	Request(h http.Header) (id string, patience time.Duration)
}

// Config sets up a Server.
type Config struct {
	// Addr is the IP and port to listen on.
	Addr    string
	Dialect Dialect
	// Do answers a request.
	Do func(context.Context, forward.Request) forward.Answer
	// Limits returns the limits in force; zero values are unbounded.
	Limits func() routing.Limits
	Events event.Sink
}

// Server is the listener for clients.
type Server struct {
	c    Config
	lis  net.Listener
	srv  *http.Server
	wg   sync.WaitGroup
	done chan struct{}

	stopping atomic.Bool
	active   atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]*clientConn
}

// clientConn is the state of one client connection.
type clientConn struct {
	// since is when the state began.
	since time.Time
	// reading is set from the first byte of a request until its header was
	// read, idle while there is no request.
	reading, idle bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New listens, but takes no connection before Serve.
func New(c Config) (*Server, error) {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	l, err := httpserver.Listen(c.Addr, c.Events)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{c: c, lis: l, done: make(chan struct{}), conns: map[net.Conn]*clientConn{}}
	s.srv = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: s.changed,
		ConnContext:    func(ctx context.Context, k net.Conn) context.Context { return context.WithValue(ctx, connKey{}, k) },
		MaxHeaderBytes: defaultHeaderBytes, ErrorLog: httpserver.ErrorLog(c.Events, c.Addr),
		DisableGeneralOptionsHandler: true,
	}
	return s, nil
}

// Addr is the IP and port that it listens on.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Serve starts to take connections and returns at once.
func (s *Server) Serve() {
	s.wg.Go(func() { httpserver.Run(s.srv, s.lis, s.c.Addr, s.c.Events) })
	s.wg.Go(s.sweep)
}

// Stop ends the server: it goes on answering until nothing is under way after
// linger, or until the deadline. Each answer from now on ends its connection.
func (s *Server) Stop(linger, deadline time.Time) error {
	s.stopping.Store(true)
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		if now.After(linger) && s.active.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	// What arrived at this moment is still answered.
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := httpserver.Shutdown(ctx, s.srv)
	close(s.done)
	s.wg.Wait()
	return errors.Trace(err)
}

// changed follows the states of connections.
func (s *Server) changed(k net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew, http.StateIdle:
		s.conns[k] = &clientConn{since: time.Now(), idle: true}
	case http.StateActive:
		s.conns[k] = &clientConn{since: time.Now(), reading: true}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, k)
	}
}

// headerRead notes that the header of a request was read.
func (s *Server) headerRead(r *http.Request) {
	k, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[k]; c != nil {
		c.reading, c.idle = false, false
	}
}

// sweep closes connections that are idle for too long or take too long for a
// header.
func (s *Server) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-t.C:
			s.closeLate(now)
		}
	}
}

// closeLate closes the connections that are over a limit.
func (s *Server) closeLate(now time.Time) {
	l := s.c.Limits()
	idle := l.IdleTimeout
	if idle <= 0 {
		idle = defaultIdle
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, c := range s.conns {
		late := c.idle && now.Sub(c.since) > idle ||
			c.reading && l.HeaderTimeout > 0 && now.Sub(c.since) > l.HeaderTimeout
		if late {
			_ = k.Close()
			delete(s.conns, k)
		}
	}
}

// handle answers one request.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.active.Add(1)
	defer s.active.Add(-1)
	s.headerRead(r)
	h := w.Header()
	if s.stopping.Load() {
		h.Set("Connection", "close")
	}
	l := s.c.Limits()
	if l.MaxHeaderBytes > 0 && headerBytes(r) > l.MaxHeaderBytes {
		refuse(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if l.MaxBodyBytes > 0 && r.ContentLength > l.MaxBodyBytes {
		refuse(w, http.StatusRequestEntityTooLarge)
		return
	}
	q := forward.Request{Method: r.Method, Target: target(r), Host: r.Host, Header: r.Header, Arrived: arrived}
	q.ID, q.Patience = s.c.Dialect.Request(r.Header)
	dropHopHeaders(r.Header)
	body, status := readBody(w, r, l, q.Patience)
	if status != 0 {
		refuse(w, status)
		return
	}
	q.Body = body
	a := s.c.Do(r.Context(), q)
	if a.Reason == forward.ClientGone {
		// Nobody reads an answer; net/http closes the connection.
		panic(http.ErrAbortHandler)
	}
	write(w, a)
}

// refuse ends a request that is not allowed, and its connection.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// target returns the path and query as the client sent them.
func target(r *http.Request) string {
	t := r.RequestURI
	if strings.HasPrefix(t, "/") {
		return t
	}
	// The absolute form names the host as well.
	if _, rest, ok := strings.Cut(t, "://"); ok {
		if i := strings.IndexAny(rest, "/?"); i >= 0 && rest[i] == '/' {
			return rest[i:]
		}
	}
	return t
}

// headerBytes is about the size of a request's header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads a request's body. A status other than 0 refuses it.
func readBody(w http.ResponseWriter, r *http.Request, l routing.Limits, patience time.Duration) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, 0
	}
	if patience > 0 {
		c := http.NewResponseController(w)
		if err := c.SetReadDeadline(time.Now().Add(patience)); err == nil {
			defer func() { _ = c.SetReadDeadline(time.Time{}) }()
		}
	}
	body := r.Body
	if l.MaxBodyBytes > 0 {
		body = http.MaxBytesReader(w, r.Body, l.MaxBodyBytes)
	}
	b, err := io.ReadAll(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusRequestTimeout
	}
	return b, 0
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// dropHopHeaders removes the headers that are not to go on.
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

// write sends an answer.
func write(w http.ResponseWriter, a forward.Answer) {
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
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
