// Package pagepool reads messages of unknown size into pages that are used again.
//
// A buffer that grows leaves a copy of its content as garbage each time it does. Many peers
// whose messages are not complete then make more garbage than the collector can remove within
// a memory limit. Pages are given back as soon as a message has ended, whether it was read
// whole or not.
//
// # Usage
//
//	p := pagepool.New(pagepool.Config{PageSize: 8 << 10, MaxIdle: 64})
//	b, err := p.ReadAll(r, claim.Grow)
package pagepool

import (
	"io"
	"sync"
)

// Config configures a Pool.
type Config struct {
	// PageSize is the size of a page in bytes.
	PageSize int
	// MaxIdle is the number of pages up to which unused ones are kept, beside as many as are
	// in use.
	MaxIdle int
}

// Pool holds pages. It is safe for concurrent use.
type Pool struct {
	c     Config
	mu    sync.Mutex
	idle  [][]byte
	inUse int
}

// New returns a pool without pages.
func New(c Config) *Pool { return &Pool{c: c} }

// ReadAll reads until the end of r, and returns all of it. Before it takes memory it calls grow
// with the number of bytes: for each page, and once more for the result. The pages have been
// given back when it returns. The error is that of r, or that of grow.
func (p *Pool) ReadAll(r io.Reader, grow func(n int64) error) ([]byte, error) {
	var pages [][]byte
	defer func() { p.put(pages) }()
	size, room := 0, 0
	for {
		if room == 0 {
			if err := grow(int64(p.c.PageSize)); err != nil {
				return nil, err
			}
			pages = append(pages, p.get())
			room = p.c.PageSize
		}
		n, err := r.Read(pages[len(pages)-1][p.c.PageSize-room:])
		size += n
		room -= n
		switch {
		case err == io.EOF:
			return p.join(pages, size, grow)
		case err != nil:
			return nil, err
		}
	}
}

// join returns the first size bytes of the pages in one piece.
func (p *Pool) join(pages [][]byte, size int, grow func(n int64) error) ([]byte, error) {
	if err := grow(int64(size)); err != nil {
		return nil, err
	}
	b := make([]byte, 0, size)
	for _, page := range pages {
		b = append(b, page[:min(len(page), size-len(b))]...)
	}
	return b, nil
}

// InUse returns the number of pages in use.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse
}

// Idle returns the number of pages that are kept.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// get returns a page.
func (p *Pool) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse++
	if n := len(p.idle) - 1; n >= 0 {
		b := p.idle[n]
		p.idle[n] = nil
		p.idle = p.idle[:n]
		return b
	}
	return make([]byte, p.c.PageSize)
}

// put gives pages back.
func (p *Pool) put(pages [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse -= len(pages)
	for _, b := range pages {
		if len(p.idle) >= p.inUse+p.c.MaxIdle {
			return
		}
		p.idle = append(p.idle, b)
	}
}
