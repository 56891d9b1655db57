package forward

import (
	"sync"
	"time"

	"egrethaven/internal/back/instance"
)

// orphanSweepInterval is the time between two checks for expired sends.
const orphanSweepInterval = 100 * time.Millisecond

// orphanedSends tracks sends whose request has been answered already. Their
// answers are read and discarded, as closing a connection costs the searcher
// more than an answer. Only sends that exceed their time are aborted.
type orphanedSends struct {
	mu        sync.Mutex
	sends     map[*attempt]time.Time
	added     chan struct{}
	stop      chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
}

// newOrphanedSends starts the goroutine that aborts expired sends.
func newOrphanedSends() *orphanedSends {
	l := &orphanedSends{sends: map[*attempt]time.Time{}, added: make(chan struct{}, 1), stop: make(chan struct{})}
	l.wg.Go(l.run)
	return l
}

// add tracks a send, to be aborted at the given time.
func (l *orphanedSends) add(f *attempt, until time.Time) {
	l.mu.Lock()
	if f.finished.Load() {
		l.mu.Unlock()
		return
	}
	l.sends[f] = until
	l.mu.Unlock()
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// remove stops tracking a send.
func (l *orphanedSends) remove(f *attempt) {
	l.mu.Lock()
	delete(l.sends, f)
	l.mu.Unlock()
}

// run aborts expired sends. The ticker is stopped while nothing is tracked.
func (l *orphanedSends) run() {
	t := time.NewTicker(orphanSweepInterval)
	t.Stop()
	defer t.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.added:
			t.Reset(orphanSweepInterval)
		case now := <-t.C:
			if l.sweep(now) == 0 {
				t.Stop()
			}
		}
	}
}

// sweep aborts expired sends and returns the number of remaining ones.
func (l *orphanedSends) sweep(now time.Time) int {
	l.mu.Lock()
	var late []*attempt
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

// close stops the goroutine and aborts all sends.
func (l *orphanedSends) close() {
	l.closeOnce.Do(func() { close(l.stop) })
	l.wg.Wait()
	l.sweep(time.Now().Add(time.Hour))
}

// abandon aborts a send that was not answered in time and records the timeout.
func (f *attempt) abandon() {
	if f.finished.Load() {
		return
	}
	f.searcher.RecordOutcome(instance.TimedOut, time.Since(f.startedAt), f.subrequest.dispatch.medianLatency)
	f.send.Abort()
}
