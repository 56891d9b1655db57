package once

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/claimrpc"
)

const (
	// flushInterval is how long outcomes are gathered before they go out.
	flushInterval = 100 * time.Millisecond
	// maxFlushWait bounds the wait after failures.
	maxFlushWait = 5 * time.Second
	// flushTimeout bounds one round of writing outcomes.
	flushTimeout = 5 * time.Second
	// closeTimeout bounds the last round.
	closeTimeout = 2 * time.Second
	// maxWaiting is the number of outcomes that may wait; beyond it the
	// newest are dropped, and repeats of their keys stay in progress.
	maxWaiting = 1 << 16
	// maxRound is the number of outcomes in one round.
	maxRound = 2048
	// parallelFlushes is the number of buckets that are written at a time.
	parallelFlushes = 8
)

// letter is one outcome on its way to its bucket.
type letter struct {
	place place
	op    *claimrpc.Op
}

// outbox holds the outcomes that are not written so far.
type outbox struct {
	s       *Store
	stop    chan struct{}
	stopped chan struct{}
	// filled has room for one signal.
	filled chan struct{}

	mu      sync.Mutex
	waiting []letter
}

func newOutbox(s *Store) *outbox {
	o := &outbox{s: s, stop: make(chan struct{}), stopped: make(chan struct{}), filled: make(chan struct{}, 1)}
	s.wait.Go(o.run)
	return o
}

func (o *outbox) add(p place, op *claimrpc.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxWaiting {
		o.s.counts.dropped.Add(1)
		o.s.config.Events.Emit(event.WriteUnknown, p.name(o.s.config.Slice), "outcome not recorded: too many wait")
		return
	}
	o.waiting = append(o.waiting, letter{place: p, op: op})
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// close writes what waits, for a while, and ends the outbox.
func (o *outbox) close() {
	close(o.stop)
	<-o.stopped
}

func (o *outbox) run() {
	defer close(o.stopped)
	wait := flushInterval
	for {
		if o.size() == 0 {
			select {
			case <-o.filled:
			case <-o.stop:
				return
			}
		}
		t := time.NewTimer(wait/2 + o.s.jitter(wait/2))
		select {
		case <-t.C:
		case <-o.stop:
			t.Stop()
			o.flush(closeTimeout)
			return
		}
		if o.flush(flushTimeout) {
			wait = flushInterval
		} else {
			wait = min(2*wait, maxFlushWait)
		}
	}
}

// flush tries to write what waits and tells whether all of it was.
func (o *outbox) flush(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(o.s.ctx, timeout)
	defer cancel()
	slots := make(chan struct{}, parallelFlushes)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var back []letter
	for p, ops := range o.take(time.Now()) {
		slots <- struct{}{}
		wait.Go(func() {
			failed := o.send(ctx, p, ops)
			mu.Lock()
			back = append(back, failed...)
			mu.Unlock()
			<-slots
		})
	}
	wait.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting = append(back, o.waiting...)
	return len(back) == 0
}

// take removes what one round writes, by bucket. Outcomes of keys that are
// no longer kept are dropped.
func (o *outbox) take(now time.Time) map[place][]*claimrpc.Op {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.waiting), maxRound)
	groups := map[place][]*claimrpc.Op{}
	for _, l := range o.waiting[:n] {
		if !o.s.expired(key(l.op.Entry.Key), now) {
			groups[l.place] = append(groups[l.place], l.op)
		}
	}
	o.waiting = append([]letter(nil), o.waiting[n:]...)
	return groups
}

// send writes the outcomes of one bucket and returns those that failed.
func (o *outbox) send(ctx context.Context, p place, ops []*claimrpc.Op) []letter {
	var failed []letter
	for i, r := range o.s.submit(ctx, p, ops) {
		if r.Verdict == claimrpc.Verdict_STORED {
			o.s.counts.recorded.Add(1)
			continue
		}
		failed = append(failed, letter{place: p, op: ops[i]})
	}
	return failed
}

func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting)
}
