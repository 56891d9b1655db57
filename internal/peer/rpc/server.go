package rpc

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"egrethaven/internal/infra/tcpdial"
	"egrethaven/internal/observe/event"
)

const (
	// DefaultMaxMessage bounds one message, in bytes.
	DefaultMaxMessage = 4 << 20
	// helloTimeout bounds the first exchange of a connection.
	helloTimeout = 2 * time.Second
	// acceptPause is the wait after a failed accept.
	acceptPause = 50 * time.Millisecond
	// drainPoll is how often Drain looks for calls in progress.
	drainPoll = 10 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listen is the IP and port to listen on.
	Listen string
	// SharedKey has to be proven by whoever connects; empty: Known decides.
	SharedKey string
	// Known tells whether an address belongs to a known VM. nil: none does.
	Known  func(netip.Addr) bool
	Events event.Sink
	// MaxMessage bounds one message, in bytes; 0 means DefaultMaxMessage.
	MaxMessage int
}

// Server takes calls from other entry VMs.
type Server struct {
	c      ServerConfig
	mux    *drpcmux.Mux
	lis    net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	serve  sync.Once
	busy   atomic.Int64
	counters
}

// NewServer listens, but takes no connection before Serve.
func NewServer(c ServerConfig) (*Server, error) {
	if c.MaxMessage == 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: tcpdial.UserTimeout(userTimeout)}
	l, err := lc.Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", c.Listen)
	}
	s := &Server{c: c, mux: drpcmux.New(), lis: l}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Mux is where services are registered, before Serve.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Addr is the IP and port that it listens on.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Counts returns the traffic so far.
func (s *Server) Counts() Counts { return s.read() }

// Serve starts to take connections and returns at once.
func (s *Server) Serve() {
	s.serve.Do(func() { s.wg.Go(s.accept) })
}

// Drain stops taking connections and waits until no call is in progress, or
// ctx ends. It returns the number of calls still in progress.
func (s *Server) Drain(ctx context.Context) int {
	s.lis.Close()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.busy.Load() > 0 {
		select {
		case <-ctx.Done():
			return int(s.busy.Load())
		case <-t.C:
		}
	}
	return 0
}

// Close ends every connection and waits for all goroutines.
func (s *Server) Close() error {
	s.cancel()
	s.lis.Close()
	s.wg.Wait()
	return nil
}

func (s *Server) accept() {
	h := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: manager(s.c.MaxMessage)})
	for {
		c, err := s.lis.Accept()
		if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.wg.Go(func() { s.serveOne(h, c) })
	}
}

func (s *Server) serveOne(h *drpcserver.Server, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(s.ctx, func() { c.Close() })
	defer stop()
	t := &counted{Conn: c, total: &s.counters}
	if err := challenge(t, s.c.SharedKey, s.known(c), helloTimeout); err != nil {
		s.refused.Add(1)
		if s.ctx.Err() == nil {
			s.c.Events.Emit(event.PeerRefused, c.RemoteAddr().String(), err.Error())
		}
		return
	}
	s.conns.Add(1)
	// The error says only that the connection ended.
	_ = h.ServeOne(s.ctx, t)
}

func (s *Server) known(c net.Conn) bool {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	return ok && s.c.Known != nil && s.c.Known(a.AddrPort().Addr().Unmap())
}

// HandleRPC runs one call. It is called by drpc.
func (s *Server) HandleRPC(st drpc.Stream, rpc string) error {
	s.busy.Add(1)
	defer s.busy.Add(-1)
	return s.mux.HandleRPC(st, rpc)
}
