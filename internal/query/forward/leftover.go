package forward

import (
	"sync"
	"time"

	"egrethaven/internal/back/instance"
)

// leftoverInterval is the time between two looks at the sends that were left
// behind.
const leftoverInterval = 100 * time.Millisecond

// leftovers are sends whose request has been answered. Their answers are read
// and dropped, as closing a connection costs the searcher more than an
// answer; only those that stay away have their connections closed.
type leftovers struct {
	mu     sync.Mutex
	sends  map[*flight]time.Time
	wake   chan struct{}
	stop   chan struct{}
	closed sync.Once
	wg     sync.WaitGroup
}

// newLeftovers starts the goroutine that looks after them.
func newLeftovers() *leftovers {
	l := &leftovers{sends: map[*flight]time.Time{}, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	l.wg.Go(l.run)
	return l
}

// add leaves a send until a time.
func (l *leftovers) add(f *flight, until time.Time) {
	l.mu.Lock()
	if f.ended.Load() {
		l.mu.Unlock()
		return
	}
	l.sends[f] = until
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// remove forgets a send that has ended.
func (l *leftovers) remove(f *flight) {
	l.mu.Lock()
	delete(l.sends, f)
	l.mu.Unlock()
}

// run ends the sends whose time is over. It sleeps while there are none.
func (l *leftovers) run() {
	t := time.NewTicker(leftoverInterval)
	t.Stop()
	defer t.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.wake:
			t.Reset(leftoverInterval)
		case now := <-t.C:
			if l.sweep(now) == 0 {
				t.Stop()
			}
		}
	}
}

// sweep ends the sends whose time is over and returns how many are left.
func (l *leftovers) sweep(now time.Time) int {
	l.mu.Lock()
	var late []*flight
	for f, until := range l.sends {
		if now.After(until) {
			late = append(late, f)
			delete(l.sends, f)
		}
	}
	n := len(l.sends)
	l.mu.Unlock()
	for _, f := range late {
		f.abandon()
	}
	return n
}

// close ends all sends and the goroutine.
func (l *leftovers) close() {
	l.closed.Do(func() { close(l.stop) })
	l.wg.Wait()
	l.sweep(time.Now().Add(time.Hour))
}

// abandon closes the connection of a send that had no answer in time.
func (f *flight) abandon() {
	if f.ended.Load() {
		return
	}
	f.at.RecordOutcome(instance.TimedOut, time.Since(f.began), f.part.run.usual)
	f.send.Abort()
}
