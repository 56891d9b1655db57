// Package tcpdial makes dialers whose connections notice when the other end
// falls silent: idle ones by keep-alive probes, busy ones by a bound on how
// long sent bytes may stay unacknowledged.
//
// # Usage
//
//	d := tcpdial.New(tcpdial.Config{Timeout: time.Second, KeepAlive: time.Second, Probes: 3, UserTimeout: 3 * time.Second})
//	c, err := d.DialContext(ctx, "tcp", "10.0.0.7:8080")
package tcpdial

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Config sets up a dialer.
type Config struct {
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
	// KeepAlive is the time between probes of an idle connection, and Probes
	// how many may go unanswered.
	KeepAlive time.Duration
	Probes    int
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
}

// New returns a dialer.
func New(c Config) *net.Dialer {
	return &net.Dialer{
		Timeout:         c.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAlive, Interval: c.KeepAlive, Count: c.Probes},
		Control:         UserTimeout(c.UserTimeout),
	}
}

// UserTimeout returns the Control function of a dialer or listener that bounds
// how long sent bytes may stay unacknowledged.
func UserTimeout(d time.Duration) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		cerr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if cerr != nil {
			return errors.Trace(cerr)
		}
		return errors.Trace(err)
	}
}
