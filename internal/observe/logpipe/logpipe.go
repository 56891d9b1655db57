// Package logpipe writes log lines in the background, so that no request waits for a
// slow or full pipe.
//
// Lines are collected in a buffer of fixed size and written in batches. If the buffer
// is full, lines are dropped and counted; the next batch ends with a line that holds
// the number of dropped lines.
//
// # Usage
//
//	w := logpipe.New(logpipe.Config{Out: os.Stdout})
//	l := logger.New(logger.Config{Out: w, Level: "info"})
//	w.Close()
package logpipe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// defaultBufferBytes holds more than a second of lines at the maximum rate of the
	// event log.
	defaultBufferBytes = 256 << 10
	// flushInterval is how long lines are collected into a batch, which lowers the cost
	// per line.
	flushInterval = 100 * time.Millisecond
	// closeTimeout limits how long Close waits for a full pipe.
	closeTimeout = 200 * time.Millisecond
)

// Config configures a Writer.
type Config struct {
	Out io.Writer
	// BufferBytes is the size of the buffer in bytes; 0 means 256 KiB.
	BufferBytes int
}

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
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

// New returns a Writer and starts the goroutine that writes to c.Out.
func New(c Config) *Writer {
	if c.BufferBytes <= 0 {
		c.BufferBytes = defaultBufferBytes
	}
	w := &Writer{c: c, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds one line to the buffer, or drops it if the buffer is full. The error is
// always nil.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(b) > w.c.BufferBytes {
		w.dropped++
		w.totalDropped++
		w.mu.Unlock()
		return len(b), nil
	}
	w.buf = append(w.buf, b...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Stats returns the number of dropped lines and the number of failed writes.
func (w *Writer) Stats() (droppedLines, failedWrites uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped, w.failedWrites
}

// Close writes the lines in the buffer, and gives up after 200 ms.
func (w *Writer) Close() {
	close(w.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}

// run writes batches until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			w.flush()
			return
		}
		t.Reset(flushInterval)
		select {
		case <-t.C:
		case <-w.stop:
		}
		w.flush()
	}
}

// flush writes the lines in the buffer.
func (w *Writer) flush() {
	w.mu.Lock()
	b := w.buf
	if w.dropped > 0 {
		b = fmt.Appendf(b, "{\"level\":\"warn\",\"name\":\"log_lines_dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	w.buf, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	var err error
	if len(b) > 0 {
		_, err = w.c.Out.Write(b)
	}
	w.mu.Lock()
	w.spare = b[:0]
	if err != nil {
		// The error is only counted: the log itself cannot report it.
		w.failedWrites++
	}
	w.mu.Unlock()
}
