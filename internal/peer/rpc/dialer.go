package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/tcpdial"
)

const (
	// DefaultDialTimeout applies to the TCP connect and to the handshake, each
	// on its own.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdle is the maximum number of idle connections of a Dialer.
	DefaultMaxIdle = 1024
	// DefaultMaxIdlePerAddr is the maximum number of idle connections to one
	// address.
	DefaultMaxIdlePerAddr = 64
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	DefaultIdleTimeout = 30 * time.Second
)

// DialerConfig configures a Dialer. Zero values mean the defaults.
type DialerConfig struct {
	SharedKey      string
	DialTimeout    time.Duration
	MaxIdle        int
	MaxIdlePerAddr int
	IdleTimeout    time.Duration
	// MaxMessageBytes limits the size of one message.
	MaxMessageBytes int
	// Budget bounds the memory for the messages of all connections; nil means no bound.
	Budget *readbudget.Budget
}

// ErrUnreachable marks the error of a call for which no connection could be
// opened, so no part of the call was sent.
const ErrUnreachable = errors.ConstError("no connection to the peer")

// ErrRefused marks the error of a call whose connection the peer closed instead of
// accepting it. The peer is alive, but does not know this VM: one that has just
// registered is known within a moment.
const ErrRefused = errors.ConstError("the peer does not know this VM")

// Dialer opens and pools connections to other entry VMs.
type Dialer struct {
	c    DialerConfig
	pool *drpcpool.Pool[string, *conn]
	mu   sync.Mutex
	// open holds every connection that is not closed; it is nil after Close.
	open map[*countedConn]struct{}
	counters
}

// NewDialer returns a Dialer without connections.
func NewDialer(c DialerConfig) *Dialer {
	c.DialTimeout = valueOrDefault(c.DialTimeout, DefaultDialTimeout)
	c.MaxIdle = valueOrDefault(c.MaxIdle, DefaultMaxIdle)
	c.MaxIdlePerAddr = valueOrDefault(c.MaxIdlePerAddr, DefaultMaxIdlePerAddr)
	c.IdleTimeout = valueOrDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxMessageBytes = valueOrDefault(c.MaxMessageBytes, DefaultMaxMessageBytes)
	return &Dialer{c: c, open: map[*countedConn]struct{}{}, pool: drpcpool.New[string, *conn](drpcpool.Options{
		Expiration: c.IdleTimeout, Capacity: c.MaxIdle, KeyCapacity: c.MaxIdlePerAddr,
	})}
}

// Conn returns a drpc.Conn to addr for any number of concurrent calls. TCP
// connections are opened when a call needs one.
func (d *Dialer) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Trace(err)
	}
	return d.pool.Get(ctx, addr, d.dial), nil
}

// Counts returns the traffic so far.
func (d *Dialer) Counts() Counts { return d.read() }

// Close closes all connections, which ends the calls in progress.
func (d *Dialer) Close() error {
	d.mu.Lock()
	open := d.open
	d.open = nil
	d.mu.Unlock()
	err := d.pool.Close()
	for t := range open {
		t.Close()
	}
	return errors.Trace(err)
}

// track adds t to the open connections until it is closed. It returns false if
// the Dialer is closed.
func (d *Dialer) track(t *countedConn) bool {
	t.onClose = func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, t)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil {
		return false
	}
	d.open[t] = struct{}{}
	return true
}

// dial opens a connection. Its errors are of type ErrUnreachable.
func (d *Dialer) dial(ctx context.Context, addr string) (*conn, error) {
	c, err := d.connect(ctx, addr)
	if err != nil {
		return nil, errors.WithType(err, ErrUnreachable)
	}
	return c, nil
}

// connect opens a TCP connection and runs the handshake on it.
func (d *Dialer) connect(ctx context.Context, addr string) (*conn, error) {
	n := net.Dialer{Timeout: d.c.DialTimeout, KeepAliveConfig: keepAlive, Control: tcpdial.UserTimeout(userTimeout)}
	c, err := n.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := newCountedConn(c, &d.counters, d.c.Budget)
	if !d.track(t) {
		c.Close()
		return nil, errors.New("dialer is closed")
	}
	stop := context.AfterFunc(ctx, func() { t.Close() })
	err = clientHandshake(t, d.c.SharedKey, d.c.DialTimeout)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		d.refused.Add(1)
		t.Close()
		return nil, errors.Annotatef(err, "peer %s", addr)
	}
	d.conns.Add(1)
	return &conn{Conn: drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions(d.c.MaxMessageBytes)}), transport: t}, nil
}

// valueOrDefault returns v, or def if v is zero.
func valueOrDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
