// Package httpserver runs one HTTP listener with bounds on what a client may
// hold open.
//
// # Usage
//
//	s, err := httpserver.New(httpserver.Config{Addr: "127.0.0.1:7800", Handler: h, Events: log})
//	s.Serve()
//	defer s.Close()
package httpserver

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
)

const (
	// headerTimeout bounds how long a client may take for its headers.
	headerTimeout = 5 * time.Second
	// readTimeout bounds how long a client may take for a whole request.
	readTimeout = 15 * time.Second
	// idleTimeout closes a connection that has no request.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the headers of a request, in bytes.
	maxHeader = 16 << 10
	// closeTimeout bounds how long Close waits for answers being sent.
	closeTimeout = 2 * time.Second
)

// Config sets up a Server.
type Config struct {
	// Addr is the IP and port to listen on.
	Addr    string
	Handler http.Handler
	Events  event.Sink
}

// Server is one HTTP listener.
type Server struct {
	c   Config
	lis net.Listener
	srv *http.Server
	wg  sync.WaitGroup
}

// New listens, but takes no connection before Serve.
func New(c Config) (*Server, error) {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	l, err := Listen(c.Addr, c.Events)
	if err != nil {
		return nil, err
	}
	return &Server{c: c, lis: l, srv: &http.Server{
		Handler: c.Handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: ErrorLog(c.Events, c.Addr),
	}}, nil
}

// Listen listens on an address. A failure is an event as well.
func Listen(addr string, events event.Sink) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		events.Emit(event.ListenerFailed, addr, err.Error())
		return nil, errors.Annotatef(err, "listening on %s", addr)
	}
	return l, nil
}

// Run serves until the server is told to end. Any other end is an event.
func Run(s *http.Server, l net.Listener, addr string, events event.Sink) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		events.Emit(event.ListenerFailed, addr, err.Error())
	}
}

// Shutdown lets answers that are being sent end until ctx does, and ends every
// connection.
func Shutdown(ctx context.Context, s *http.Server) error {
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}

// ErrorLog returns a logger that turns what net/http complains of at an address
// into events.
func ErrorLog(events event.Sink, addr string) *stdlog.Logger {
	return stdlog.New(sink{events, addr}, "", 0)
}

// sink turns the server's own complaints into events.
type sink struct {
	events event.Sink
	addr   string
}

// Write emits one line.
func (s sink) Write(b []byte) (int, error) {
	s.events.Emit(event.ListenerFailed, s.addr, strings.TrimSpace(string(b)))
	return len(b), nil
}

// Addr is the IP and port that it listens on.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Serve starts to take connections and returns at once.
func (s *Server) Serve() {
	s.wg.Go(func() { Run(s.srv, s.lis, s.c.Addr, s.c.Events) })
}

// Close stops listening, lets answers that are being sent end for a short
// time, ends every connection and waits for the listener.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := Shutdown(ctx, s.srv)
	s.lis.Close()
	s.wg.Wait()
	return errors.Trace(err)
}
