package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// keepAliveProbes is how many probes may go unanswered.
const keepAliveProbes = 3

// tcpUserTimeout is the number of Linux's TCP_USER_TIMEOUT option, which
// package syscall does not name.
const tcpUserTimeout = 0x12

// Dial opens a link.
func Dial(ctx context.Context, c Config) (*Link, error) {
	c = c.withDefaults()
	d := net.Dialer{
		Timeout: c.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: c.KeepAlive, Interval: c.KeepAlive, Count: keepAliveProbes,
		},
		Control: func(_, _ string, r syscall.RawConn) error {
			return setUserTimeout(r, c.UserTimeout)
		},
	}
	conn, err := d.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, errors.Annotatef(err, "open link to %s", c.Addr)
	}
	return New(conn, c), nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(r syscall.RawConn, d time.Duration) error {
	var err error
	cerr := r.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if cerr != nil {
		return errors.Trace(cerr)
	}
	return errors.Trace(err)
}
