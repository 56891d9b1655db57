// Package logpipe writes log lines in the background, so that no request
// waits for a slow or full pipe.
//
// Lines are collected in a buffer of fixed size and written together. Lines
// that find no room are dropped and counted; a line tells how many once there
// is room again.
//
// # Usage
//
//	p := logpipe.New(logpipe.Config{Out: os.Stdout})
//	l := logger.New(logger.Config{Out: p, Level: "info"})
//	p.Close()
package logpipe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// defaultSize bounds the lines that wait to be written, in bytes: more
	// than a second of the most that the event log lets through.
	defaultSize = 256 << 10
	// flushInterval is how long lines are collected before they are written
	// together, so that a write costs little per line.
	flushInterval = 100 * time.Millisecond
	// closeTimeout bounds how long Close waits for a pipe that is full.
	closeTimeout = 200 * time.Millisecond
)

// Config sets up a Pipe.
type Config struct {
	Out io.Writer
	// Size bounds the lines that wait, in bytes; 0 is the default.
	Size int
}

// Pipe is a writer that does not block. It is safe for concurrent use.
type Pipe struct {
	c    Config
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped uint64
	total   uint64
	failed  uint64
}

// New starts the goroutine that writes.
func New(c Config) *Pipe {
	if c.Size <= 0 {
		c.Size = defaultSize
	}
	p := &Pipe{c: c, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	return p
}

// Write takes one line, or drops it if there is no room. It never fails.
func (p *Pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	if len(p.buf)+len(b) > p.c.Size {
		p.dropped++
		p.total++
		p.mu.Unlock()
		return len(b), nil
	}
	p.buf = append(p.buf, b...)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Dropped returns how many lines found no room, and how many writes failed.
func (p *Pipe) Dropped() (lines, failed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total, p.failed
}

// Close writes what is left, unless the pipe stays full.
func (p *Pipe) Close() {
	close(p.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
	}
}

// run writes lines until the pipe is closed.
func (p *Pipe) run() {
	defer close(p.done)
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-p.wake:
		case <-p.stop:
			p.flush()
			return
		}
		t.Reset(flushInterval)
		select {
		case <-t.C:
		case <-p.stop:
		}
		p.flush()
	}
}

// flush writes the lines that wait.
func (p *Pipe) flush() {
	p.mu.Lock()
	b := p.buf
	if p.dropped > 0 {
		b = fmt.Appendf(b, "{\"level\":\"warn\",\"name\":\"log_lines_dropped\",\"count\":%d}\n", p.dropped)
		p.dropped = 0
	}
	p.buf, p.spare = p.spare[:0], nil
	p.mu.Unlock()
	var err error
	if len(b) > 0 {
		_, err = p.c.Out.Write(b)
	}
	p.mu.Lock()
	p.spare = b[:0]
	if err != nil {
		// There is nowhere to report it but the metrics.
		p.failed++
	}
	p.mu.Unlock()
}
