package link

import "syscall"

// probe looks, without waiting, whether the peer closed an idle connection
// or sent bytes that nobody asked for.
type probe struct {
	raw  syscall.RawConn
	buf  [1]byte
	n    int
	err  error
	read func(fd uintptr) bool
}

// newProbe returns a probe of raw; raw may be nil, then all looks well.
func newProbe(raw syscall.RawConn) *probe {
	p := &probe{raw: raw}
	p.read = func(fd uintptr) bool {
		p.n, _, p.err = syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// quiet tells whether the connection is open and holds no unread byte.
func (p *probe) quiet() bool {
	if p.raw == nil {
		return true
	}
	if err := p.raw.Read(p.read); err != nil {
		return false
	}
	return p.err == syscall.EAGAIN || p.err == syscall.EINTR
}
