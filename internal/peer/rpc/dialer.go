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

	"egrethaven/internal/infra/tcpdial"
)

const (
	// DefaultDialTimeout bounds opening a connection, its first exchange
	// included.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdle bounds the idle connections of a Dialer.
	DefaultMaxIdle = 1024
	// DefaultMaxIdlePerAddr bounds the idle connections to one address.
	DefaultMaxIdlePerAddr = 64
	// DefaultIdleTimeout is how long a connection may stay idle.
	DefaultIdleTimeout = 30 * time.Second
)

// DialerConfig configures a Dialer. Zero values mean the defaults.
type DialerConfig struct {
	SharedKey      string
	Timeout        time.Duration
	MaxIdle        int
	MaxIdlePerAddr int
	IdleTimeout    time.Duration
	// MaxMessage bounds one message, in bytes.
	MaxMessage int
}

// ErrUnreachable is the type of the error of a call for which no connection
// came about: nothing of it was sent.
const ErrUnreachable = errors.ConstError("no connection to the peer")

// Dialer opens and keeps connections to other entry VMs.
type Dialer struct {
	c    DialerConfig
	pool *drpcpool.Pool[string, *conn]
	mu   sync.Mutex
	// open holds every connection that is not closed; nil after Close.
	open map[*counted]struct{}
	counters
}

// NewDialer returns a Dialer without connections.
func NewDialer(c DialerConfig) *Dialer {
	c.Timeout = or(c.Timeout, DefaultDialTimeout)
	c.MaxIdle = or(c.MaxIdle, DefaultMaxIdle)
	c.MaxIdlePerAddr = or(c.MaxIdlePerAddr, DefaultMaxIdlePerAddr)
	c.IdleTimeout = or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxMessage = or(c.MaxMessage, DefaultMaxMessage)
	return &Dialer{c: c, open: map[*counted]struct{}{}, pool: drpcpool.New[string, *conn](drpcpool.Options{
		Expiration: c.IdleTimeout, Capacity: c.MaxIdle, KeyCapacity: c.MaxIdlePerAddr,
	})}
}

// Conn returns a connection to addr for any number of concurrent calls. It
// opens TCP connections as the calls need them.
func (d *Dialer) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Trace(err)
	}
	return d.pool.Get(ctx, addr, d.dial), nil
}

// Counts returns the traffic so far.
func (d *Dialer) Counts() Counts { return d.read() }

// Close ends all connections and with them the calls in progress.
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

// track remembers t until it is closed. It is false after Close.
func (d *Dialer) track(t *counted) bool {
	t.gone = func() {
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

// dial opens a connection. Its errors are ErrUnreachable.
func (d *Dialer) dial(ctx context.Context, addr string) (*conn, error) {
	c, err := d.connect(ctx, addr)
	if err != nil {
		return nil, errors.WithType(err, ErrUnreachable)
	}
	return c, nil
}

// connect opens a connection and makes the first exchange on it.
func (d *Dialer) connect(ctx context.Context, addr string) (*conn, error) {
	n := net.Dialer{Timeout: d.c.Timeout, KeepAliveConfig: keepAlive, Control: tcpdial.UserTimeout(userTimeout)}
	c, err := n.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &counted{Conn: c, total: &d.counters}
	if !d.track(t) {
		c.Close()
		return nil, errors.New("dialer is closed")
	}
	stop := context.AfterFunc(ctx, func() { t.Close() })
	err = answer(t, d.c.SharedKey, d.c.Timeout)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		d.refused.Add(1)
		t.Close()
		return nil, errors.Annotatef(err, "peer %s", addr)
	}
	d.conns.Add(1)
	return &conn{Conn: drpcconn.NewWithOptions(t, drpcconn.Options{Manager: manager(d.c.MaxMessage)}), tr: t}, nil
}

// or returns v, or d when v is zero.
func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
