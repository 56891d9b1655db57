package idempotency

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/claimrpc"
)

const (
	// flushInterval bounds the jittered time for which outcomes are collected
	// before they are written.
	flushInterval = 100 * time.Millisecond
	// maxFlushBackoff bounds the wait between flushes after failures.
	maxFlushBackoff = 5 * time.Second
	// flushTimeout bounds one flush.
	flushTimeout = 5 * time.Second
	// finalFlushTimeout bounds the flush at Close.
	finalFlushTimeout = 2 * time.Second
	// maxQueued is the number of outcomes that may be queued. Further ones are
	// dropped, and repeats of their keys are answered as in progress.
	maxQueued = 1 << 16
	// maxFlushOps is the number of outcomes in one flush.
	maxFlushOps = 2048
	// maxConcurrentWrites is the number of buckets written concurrently.
	maxConcurrentWrites = 8
)

// outboxItem is an outcome or abandonment to be written to its bucket.
type outboxItem struct {
	bucket bucketID
	op     *claimrpc.Op
}

// outbox queues outcomes and abandonments and writes them in the background.
type outbox struct {
	s       *Store
	stop    chan struct{}
	stopped chan struct{}
	// added signals new items. It has capacity 1.
	added chan struct{}

	mu    sync.Mutex
	queue []outboxItem
}

func newOutbox(s *Store) *outbox {
	o := &outbox{s: s, stop: make(chan struct{}), stopped: make(chan struct{}), added: make(chan struct{}, 1)}
	s.wg.Go(o.run)
	return o
}

func (o *outbox) add(id bucketID, op *claimrpc.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) >= maxQueued {
		o.s.counters.dropped.Add(1)
		o.s.config.Events.Emit(event.WriteUnknown, id.storeKey(o.s.config.SliceDuration), "outcome not recorded: outbox full")
		return
	}
	o.queue = append(o.queue, outboxItem{bucket: id, op: op})
	select {
	case o.added <- struct{}{}:
	default:
	}
}

// close flushes the queue once, for at most finalFlushTimeout, and stops the
// outbox.
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
			case <-o.added:
			case <-o.stop:
				return
			}
		}
		t := time.NewTimer(wait/2 + o.s.jitter(wait/2))
		select {
		case <-t.C:
		case <-o.stop:
			t.Stop()
			o.flush(finalFlushTimeout)
			return
		}
		if o.flush(flushTimeout) {
			wait = flushInterval
		} else {
			wait = min(2*wait, maxFlushBackoff)
		}
	}
}

// flush writes up to maxFlushOps queued items and reports whether all of them
// were written. The others are queued again.
func (o *outbox) flush(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(o.s.ctx, timeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentWrites)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []outboxItem
	for id, ops := range o.take(time.Now()) {
		slots <- struct{}{}
		wg.Go(func() {
			unwritten := o.write(ctx, id, ops)
			mu.Lock()
			failed = append(failed, unwritten...)
			mu.Unlock()
			<-slots
		})
	}
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue = append(failed, o.queue...)
	return len(failed) == 0
}

// take removes the ops of one flush from the queue and returns them by bucket.
// Those of expired keys are dropped.
func (o *outbox) take(now time.Time) map[bucketID][]*claimrpc.Op {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.queue), maxFlushOps)
	groups := map[bucketID][]*claimrpc.Op{}
	for _, item := range o.queue[:n] {
		if !o.s.expired(key(item.op.Entry.Key), now) {
			groups[item.bucket] = append(groups[item.bucket], item.op)
		}
	}
	o.queue = append([]outboxItem(nil), o.queue[n:]...)
	return groups
}

// write submits the ops of one bucket and returns the items that were not
// stored.
func (o *outbox) write(ctx context.Context, id bucketID, ops []*claimrpc.Op) []outboxItem {
	var failed []outboxItem
	for i, r := range o.s.submit(ctx, id, ops) {
		if r.Verdict == claimrpc.Verdict_STORED {
			o.s.counters.recorded.Add(1)
			continue
		}
		failed = append(failed, outboxItem{bucket: id, op: ops[i]})
	}
	return failed
}

func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue)
}
