package link

import "syscall"

// socketProbe checks without blocking whether the peer has closed an idle
// connection or sent unsolicited bytes.
type socketProbe struct {
	raw  syscall.RawConn
	buf  [1]byte
	n    int
	err  error
	read func(fd uintptr) bool
}

// newSocketProbe returns a probe of raw. With a nil raw, the connection always
// counts as open.
func newSocketProbe(raw syscall.RawConn) *socketProbe {
	p := &socketProbe{raw: raw}
	p.read = func(fd uintptr) bool {
		p.n, _, p.err = syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// idle returns true if the connection is open and has no unread bytes.
func (p *socketProbe) idle() bool {
	if p.raw == nil {
		return true
	}
	if err := p.raw.Read(p.read); err != nil {
		return false
	}
	return p.err == syscall.EAGAIN || p.err == syscall.EINTR
}
