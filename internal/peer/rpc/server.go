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
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"egrethaven/internal/infra/connlimit"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/tcpdial"
	"egrethaven/internal/observe/event"
)

const (
	// DefaultMaxMessageBytes is the default limit for the size of one message.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultMaxPending is the default limit for the number of connections whose handshake is
	// not done.
	DefaultMaxPending = 256
	// handshakeTimeout is the deadline of a handshake on the server.
	handshakeTimeout = 2 * time.Second
	// acceptBackoff is the wait after a failed accept.
	acceptBackoff = 50 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks for calls in progress.
	drainPollInterval = 10 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listen is the IP:port to listen on.
	Listen string
	// SharedKey must be proven by every dialer; if it is empty, IsKnownAddr
	// decides.
	SharedKey string
	// IsKnownAddr reports whether an address belongs to a known VM; nil means
	// that none does.
	IsKnownAddr func(netip.Addr) bool
	Events      event.Sink
	// MaxMessageBytes limits the size of one message; 0 means
	// DefaultMaxMessageBytes.
	MaxMessageBytes int
	// Budget bounds the memory for the messages of all connections; nil means no bound.
	Budget *readbudget.Budget
	// MaxPending is the maximum number of connections whose handshake is not done; 0 means
	// DefaultMaxPending.
	MaxPending int
}

// Server accepts connections and runs calls from other entry VMs.
type Server struct {
	c           ServerConfig
	mux         *drpcmux.Mux
	pending     *connlimit.Limit
	listener    net.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	serve       sync.Once
	activeCalls atomic.Int64
	counters
}

// NewServer returns a Server that listens, but accepts no connection before
// Serve.
func NewServer(c ServerConfig) (*Server, error) {
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	c.MaxPending = valueOrDefault(c.MaxPending, DefaultMaxPending)
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: tcpdial.UserTimeout(userTimeout)}
	listener, err := lc.Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", c.Listen)
	}
	s := &Server{c: c, mux: drpcmux.New(), listener: listener, pending: connlimit.New(c.MaxPending)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Mux returns the mux. Services must be registered with it before Serve.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Addr returns the IP:port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counts returns the traffic so far.
func (s *Server) Counts() Counts { return s.read() }

// Serve starts accepting connections in the background.
func (s *Server) Serve() {
	s.serve.Do(func() { s.wg.Go(s.acceptLoop) })
}

// Drain stops accepting connections and waits until no call is in progress or
// ctx ends. It returns the number of calls still in progress.
func (s *Server) Drain(ctx context.Context) int {
	s.listener.Close()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.activeCalls.Load() > 0 {
		select {
		case <-ctx.Done():
			return int(s.activeCalls.Load())
		case <-t.C:
		}
	}
	return 0
}

// Close closes every connection and waits for all goroutines.
func (s *Server) Close() error {
	s.cancel()
	s.listener.Close()
	s.wg.Wait()
	return nil
}

func (s *Server) acceptLoop() {
	h := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions(s.c.MaxMessageBytes)})
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		e, _ := s.pending.Add(func() { _ = c.Close() })
		s.wg.Go(func() { s.serveConn(h, c, e) })
	}
}

// serveConn serves a connection, which is pending until its handshake is done.
func (s *Server) serveConn(h *drpcserver.Server, c net.Conn, pending *connlimit.Entry) {
	defer c.Close()
	stop := context.AfterFunc(s.ctx, func() { c.Close() })
	defer stop()
	t := newCountedConn(c, &s.counters, s.c.Budget)
	t.served = true
	defer t.release()
	err := serverHandshake(t, s.c.SharedKey, s.isKnownAddr(c), handshakeTimeout)
	pending.Remove()
	if err != nil {
		s.refused.Add(1)
		if s.ctx.Err() == nil {
			s.c.Events.Emit(event.PeerRefused, c.RemoteAddr().String(), err.Error())
		}
		return
	}
	s.conns.Add(1)
	// The error only says that the connection has ended.
	_ = h.ServeOne(s.ctx, t)
}

func (s *Server) isKnownAddr(c net.Conn) bool {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	return ok && s.c.IsKnownAddr != nil && s.c.IsKnownAddr(a.AddrPort().Addr().Unmap())
}

// HandleRPC runs one call and counts it as in progress. It is called by drpc.
func (s *Server) HandleRPC(st drpc.Stream, rpc string) error {
	s.activeCalls.Add(1)
	defer s.activeCalls.Add(-1)
	if t, ok := drpcctx.Transport(st.Context()); ok {
		if c, ok := t.(*countedConn); ok {
			defer c.endMessage()
		}
	}
	return s.mux.HandleRPC(st, rpc)
}
