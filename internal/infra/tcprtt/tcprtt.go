// Package tcprtt reads the round-trip time that the kernel measured on a TCP
// connection.
//
// # Usage
//
//	if rtt, ok := tcprtt.Of(conn); ok { ... }
package tcprtt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Of returns the smoothed round-trip time of a connection. It returns false if
// the connection is no TCP connection, or the kernel does not tell.
func Of(c net.Conn) (time.Duration, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
