// Package tcpdial creates dialers whose connections detect an unresponsive peer: idle
// connections by keep-alive probes, busy ones by TCP_USER_TIMEOUT, which limits the time
// for which sent data may remain unacknowledged.
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

// Config configures a dialer.
type Config struct {
	// Timeout limits the time to open a connection.
	Timeout time.Duration
	// KeepAlive is the idle time before the first keep-alive probe and the
	// interval between probes. A connection fails after Probes unanswered probes.
	KeepAlive time.Duration
	Probes    int
	// UserTimeout is the time for which sent data may remain unacknowledged.
	UserTimeout time.Duration
}

// New returns a dialer for c.
func New(c Config) *net.Dialer {
	return &net.Dialer{
		Timeout:         c.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAlive, Interval: c.KeepAlive, Count: c.Probes},
		Control:         UserTimeout(c.UserTimeout),
	}
}

// UserTimeout returns a Control function for a dialer or listener that sets
// TCP_USER_TIMEOUT, the time for which sent data may remain unacknowledged, to d.
func UserTimeout(d time.Duration) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(optErr)
	}
}
