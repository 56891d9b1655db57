// Package logpipe writes log lines in the background, so that no request waits for a
// slow or full pipe.
//
// Lines are collected in a buffer of fixed size and written in batches. If the buffer
// is full, lines are dropped and counted; the next batch ends with a line that holds
// the number of dropped lines.
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
	// defaultBufferBytes is the default size of the buffer. It holds more than a
	// second of log lines at the maximum rate of the event log.
	defaultBufferBytes = 256 << 10
	// flushInterval is how long lines are collected before a batch is written. Batches
	// lower the cost per line.
	flushInterval = 100 * time.Millisecond
	// closeTimeout limits how long Close waits for a full pipe.
	closeTimeout = 200 * time.Millisecond
)

// Config configures a Pipe.
type Config struct {
	Out io.Writer
	// Size is the size of the buffer in bytes; 0 means 256 KiB.
	Size int
}

// Pipe is an io.Writer that never blocks. It is safe for concurrent use.
type Pipe struct {
	c    Config
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buf     []byte // waiting lines
	spare   []byte // empty buffer that replaces buf at the next flush
	dropped uint64 // lines dropped since the last flush
	// totalDropped and failedWrites count since the start.
	totalDropped uint64
	failedWrites uint64
}

// New returns a pipe and starts the goroutine that writes to c.Out.
func New(c Config) *Pipe {
	if c.Size <= 0 {
		c.Size = defaultBufferBytes
	}
	p := &Pipe{c: c, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	return p
}

// Write adds one line to the buffer, or drops it if the buffer is full. The error is
// always nil.
func (p *Pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	if len(p.buf)+len(b) > p.c.Size {
		p.dropped++
		p.totalDropped++
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

// Dropped returns the number of dropped lines and the number of failed writes.
func (p *Pipe) Dropped() (lines, failedWrites uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalDropped, p.failedWrites
}

// Close writes the lines in the buffer, and gives up after 200 ms.
func (p *Pipe) Close() {
	close(p.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
	}
}

// run writes batches until the pipe is closed.
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

// flush writes the lines in the buffer.
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
		// The error is only counted: the log itself cannot report it.
		p.failedWrites++
	}
	p.mu.Unlock()
}
