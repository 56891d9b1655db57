// Package connlimit bounds the number of open connections of a listener. When one more
// comes, the connection that has been silent for longest is closed. Connections with a
// request under way are not closed, and those that have been silent for a moment only are
// given time to send one.
//
// # Usage
//
//	l := connlimit.New(2925)
//	e, ok := l.Add(func() { _ = conn.Close() }) // may wait
//	if !ok { ... }                              // all connections have a request under way
//	defer e.Remove()
//	e.Touch()       // whenever bytes have arrived
//	e.SetBusy(true) // while a request is under way
package connlimit

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

// minSilence is the time that a connection is given to send a request before it may be
// closed. It also bounds how fast connections replace each other, whose buffers are garbage
// for a while: at 375 connections and 425 clients that connect anew every 10 ms, a gateway
// took 6 MB more than with 800 connections that stayed.
const minSilence = 250 * time.Millisecond

const (
	// endingShare is the share of the maximum that connections may take that were closed,
	// but whose goroutines have not ended. Without a bound, a gateway without processor time
	// took 44 MB of 40.
	endingShare = 1. / 16
	// endingInterval is the time between two checks whether they have ended.
	endingInterval = 2 * time.Millisecond
)

// Limit is the open connections of a listener. It is safe for concurrent use.
type Limit struct {
	maximum int
	mu      sync.Mutex
	open    byTime
	// ending is the number of connections that were closed and not removed.
	ending int
}

// Entry is one open connection. Its methods are safe for concurrent use, and do nothing on a
// nil Entry.
type Entry struct {
	l   *Limit
	end func()
	// touched is when bytes last arrived, in nanoseconds since start.
	touched atomic.Int64
	busy    atomic.Bool
	// at is a value that touched had, by which the heap is ordered, and index the position
	// there; -1 if the entry was removed. Both are guarded by l.mu.
	at    int64
	index int
	// ending is set from the close to the removal. It is guarded by l.mu.
	ending bool
}

// start is the origin of times, which are monotonic.
var start = time.Now()

// New returns a limit of at most maximum connections.
func New(maximum int) *Limit { return &Limit{maximum: maximum} }

// Add adds a connection, and closes another one if there are too many. It waits until that
// one has been silent for a moment. end closes the connection; it must not block. Add
// returns false if there is no room, as all have a request under way.
func (l *Limit) Add(end func()) (*Entry, bool) {
	e := &Entry{l: l, end: end}
	for {
		wait, ok := l.add(e)
		if !ok || wait == 0 {
			return e, ok
		}
		time.Sleep(wait)
	}
}

// add adds a connection, or returns for how long to wait before.
func (l *Limit) add(e *Entry) (wait time.Duration, ok bool) {
	var victim *Entry
	defer func() {
		// Closing takes the lock.
		if victim != nil {
			victim.end()
		}
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending > int(endingShare*float64(l.maximum)) {
		return endingInterval, true
	}
	if len(l.open) >= l.maximum {
		longest := l.silent()
		if longest == nil {
			return 0, false
		}
		if silence := time.Since(start) - time.Duration(longest.at); silence < minSilence {
			return minSilence - silence, true
		}
		heap.Remove(&l.open, longest.index)
		victim = longest
		victim.ending = true
		l.ending++
	}
	e.Touch()
	e.at = e.touched.Load()
	heap.Push(&l.open, e)
	return 0, true
}

// silent returns the connection that has been silent for longest and has no request under
// way; nil if there is none. The lock is held.
func (l *Limit) silent() *Entry {
	now := int64(time.Since(start))
	for range 2 * len(l.open) {
		e := l.open[0]
		at := e.touched.Load()
		if e.busy.Load() {
			at = now
		}
		switch {
		case at > e.at:
			e.at = at
			heap.Fix(&l.open, 0)
		case e.busy.Load():
			// The least of all times is that of a request under way at this moment.
			return nil
		default:
			return e
		}
	}
	return nil
}

// Len returns the number of open connections.
func (l *Limit) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Touch records that bytes have arrived.
func (e *Entry) Touch() {
	if e != nil {
		e.touched.Store(int64(time.Since(start)))
	}
}

// SetBusy records whether a request is under way. The connection is silent from its end on.
func (e *Entry) SetBusy(busy bool) {
	if e == nil {
		return
	}
	if e.busy.Swap(busy) && !busy {
		e.Touch()
	}
}

// Remove removes the connection, unless it was removed before. It has to be called when the
// goroutine of the connection ends, also if the connection was closed for another one.
func (e *Entry) Remove() {
	if e == nil {
		return
	}
	e.l.mu.Lock()
	defer e.l.mu.Unlock()
	if e.ending {
		e.ending = false
		e.l.ending--
	}
	if e.index >= 0 {
		heap.Remove(&e.l.open, e.index)
	}
}

// byTime is a heap of connections, the one that was silent first at its root.
type byTime []*Entry

// Len returns the number of connections.
func (h byTime) Len() int { return len(h) }

// Less orders connections by time.
func (h byTime) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap swaps two connections.
func (h byTime) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a connection.
func (h *byTime) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last connection.
func (h *byTime) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	e.index = -1
	return e
}
