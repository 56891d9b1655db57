// Package httpserver runs an HTTP server on one listener, with timeouts that
// limit how long a client can hold a connection open.
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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/front/framing"
	"egrethaven/internal/front/headlimit"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/observe/event"
)

const (
	// headerTimeout limits reading the headers of a request.
	headerTimeout = 5 * time.Second
	// readTimeout limits reading a whole request, including its body.
	readTimeout = 15 * time.Second
	// idleTimeout limits how long a keep-alive connection may stay idle.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of the request headers.
	maxHeaderBytes = 16 << 10
	// defaultMaxConns limits the open connections.
	defaultMaxConns = 1024
	// closeTimeout limits how long Close waits for requests in flight.
	closeTimeout = 2 * time.Second
)

// Config configures a Server.
type Config struct {
	// Addr is the IP and port to listen on.
	Addr    string
	Handler http.Handler
	Events  event.Sink
	// HeadBudget bounds the memory for heads of requests; nil means no bound. Each connection
	// takes ConnBytes of it.
	HeadBudget *readbudget.Budget
	ConnBytes  int64
	// MaxConns is the maximum number of open connections; 0 means 1024.
	MaxConns int
}

// Server is an HTTP server on one listener.
type Server struct {
	c   Config
	lis net.Listener
	srv *http.Server
	wg  sync.WaitGroup
}

// New opens the listener. No connection is accepted before Serve is called.
func New(c Config) (*Server, error) {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.MaxConns == 0 {
		c.MaxConns = defaultMaxConns
	}
	l, err := Listen(c.Addr, c.Events)
	if err != nil {
		return nil, err
	}
	limited := headlimit.New(headlimit.Config{Listener: l, Budget: c.HeadBudget, ConnBytes: c.ConnBytes, MaxConns: c.MaxConns, OnRefuse: RefusalLog(c.Events),
		Limits: func() headlimit.Limits {
			return headlimit.Limits{Bytes: maxHeaderBytes, HeadTimeout: headerTimeout}
		}})
	return &Server{c: c, lis: limited, srv: &http.Server{
		Handler: c.Handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, ConnState: headlimit.ConnState,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headlimit.NoMaxHeaderBytes, ErrorLog: ErrorLog(c.Events, c.Addr),
	}}, nil
}

// Listen opens a TCP listener on addr. It also emits an event on failure.
func Listen(addr string, events event.Sink) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		events.Emit(event.ListenerFailed, addr, err.Error())
		return nil, errors.Annotatef(err, "listening on %s", addr)
	}
	return l, nil
}

// Run serves l until s is shut down or closed. It emits an event if serving ends
// for any other reason.
func Run(s *http.Server, l net.Listener, addr string, events event.Sink) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		events.Emit(event.ListenerFailed, addr, err.Error())
	}
}

// Shutdown waits for requests in flight until ctx is done, then closes all
// remaining connections.
func Shutdown(ctx context.Context, s *http.Server) error {
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}

// ErrorLog returns a logger that emits each error logged by net/http as an event
// for addr.
func ErrorLog(events event.Sink, addr string) *stdlog.Logger {
	return stdlog.New(errorWriter{events, addr}, "", 0)
}

// RefusalLog returns a function that emits an event for each connection that is refused.
func RefusalLog(events event.Sink) func(client string, f *framing.Fault) {
	return func(client string, f *framing.Fault) {
		events.Emit(event.ClientRefused, client, strconv.Itoa(f.Status)+": "+f.Reason)
	}
}

// errorWriter emits each log line as an event.
type errorWriter struct {
	events event.Sink
	addr   string
}

// Write emits one log line.
func (s errorWriter) Write(b []byte) (int, error) {
	s.events.Emit(event.ListenerFailed, s.addr, strings.TrimSpace(string(b)))
	return len(b), nil
}

// Addr returns the IP and port of the listener.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Serve starts accepting connections and returns immediately.
func (s *Server) Serve() {
	s.wg.Go(func() { Run(s.srv, s.lis, s.c.Addr, s.c.Events) })
}

// Close stops listening, waits up to closeTimeout for requests in flight, closes
// all connections and waits for Serve's goroutine to end.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := Shutdown(ctx, s.srv)
	s.lis.Close()
	s.wg.Wait()
	return errors.Trace(err)
}
