package idempotency

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/pause"
)

const (
	// fullBatchOps is the queue length that is committed without waiting.
	fullBatchOps = 2048
	// idleTimeout is how long the content of an unused bucket is cached.
	idleTimeout = 10 * time.Second
	// maxCommitInterval bounds the interval between commits, which doubles
	// while the key-value service refuses them.
	maxCommitInterval = 400 * time.Millisecond
	// maxRefusals is the number of refused calls after which a commit fails.
	maxRefusals = 3
	// minBackoff and maxBackoff bound the waits between the attempts of a
	// commit.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// sliceGrace extends a time slice at both ends before its bucket counts as
	// backlog.
	sliceGrace = 500 * time.Millisecond
	// outageCooldown is the mean time for which this node refuses ops after
	// the key-value service refused a commit maxRefusals times.
	outageCooldown = 150 * time.Millisecond
	// assumedAbsentSlices is the age, in time slices, up to which a bucket
	// that was never read is assumed to be absent.
	assumedAbsentSlices = 1
)

// pendingOp is an op that waits for its result.
type pendingOp struct {
	op       *claimrpc.Op
	arrived  time.Time
	deadline time.Time
	done     chan *claimrpc.Result
}

func (p pendingOp) answer(r *claimrpc.Result) { p.done <- r }

// committer batches the ops of one bucket and writes them together.
type committer struct {
	s        *Store
	id       bucketID
	storeKey string
	// wake signals new ops. It has capacity 1.
	wake chan struct{}
	// queue is guarded by Store.mu.
	queue []pendingOp

	// The fields below are used only by the committer's goroutine.
	content  bucket
	revision uint64
	// cached reports whether content and revision can be swapped against
	// without a read. They may be out of date.
	cached     bool
	interval   time.Duration
	lastCommit time.Time
}

// enqueue passes ops to this node's committer of a bucket. The returned ops
// receive the results.
func (s *Store) enqueue(id bucketID, ops []*claimrpc.Op, deadline time.Time) []pendingOp {
	now := time.Now()
	ps := make([]pendingOp, len(ops))
	for i, o := range ops {
		ps[i] = pendingOp{op: o, arrived: now, deadline: deadline, done: make(chan *claimrpc.Result, 1)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || now.Before(s.cooldownUntil) {
		answerStoreDown(ps, false)
		return ps
	}
	c := s.committers[id]
	if c == nil {
		c = s.newCommitter(id, now)
		s.committers[id] = c
		s.wg.Go(c.run)
	}
	c.queue = append(c.queue, ps...)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return ps
}

func (s *Store) newCommitter(id bucketID, now time.Time) *committer {
	c := &committer{s: s, id: id, storeKey: id.storeKey(s.config.SliceDuration), wake: make(chan struct{}, 1), interval: s.config.CommitInterval}
	if id.slice >= now.UnixMilli()/s.config.SliceDuration.Milliseconds()-assumedAbsentSlices {
		// A recent bucket has most likely not been written yet. If it has, the
		// first swap conflicts.
		c.cached = true
	}
	return c
}

// answerStoreDown answers that the key-value service did not accept the ops.
// unsure tells that they may still take effect.
func answerStoreDown(ps []pendingOp, unsure bool) {
	for _, p := range ps {
		p.answer(&claimrpc.Result{Verdict: claimrpc.Verdict_STORE_DOWN, Unsure: unsure})
	}
}

// answerShed answers that the ops were not tried.
func answerShed(ps []pendingOp) {
	for _, p := range ps {
		p.answer(&claimrpc.Result{Verdict: claimrpc.Verdict_SHED})
	}
}

func (c *committer) run() {
	for {
		b := c.waitBatch()
		if b == nil {
			return
		}
		c.lastCommit = time.Now()
		c.commit(b)
	}
}

// waitBatch waits until the queue is due and takes it. It returns nil when the
// committer has gone idle or the Store is closed.
func (c *committer) waitBatch() []pendingOp {
	for {
		b, wait, stopped := c.takeBatch(time.Now())
		if len(b) > 0 || stopped {
			return b
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-c.wake:
		case <-c.s.ctx.Done():
		}
		t.Stop()
	}
}

// takeBatch returns the queued ops if they are due, otherwise how long to wait,
// or true if the committer has to stop.
func (c *committer) takeBatch(now time.Time) ([]pendingOp, time.Duration, bool) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.ctx.Err() != nil {
		answerStoreDown(c.queue, false)
		delete(c.s.committers, c.id)
		return nil, 0, true
	}
	if len(c.queue) == 0 {
		idle := c.lastCommit.Add(idleTimeout).Sub(now)
		if !c.lastCommit.IsZero() && idle <= 0 {
			delete(c.s.committers, c.id)
			return nil, 0, true
		}
		return nil, max(idle, time.Millisecond), false
	}
	if wait := c.dueAt(now).Sub(now); wait > 0 && len(c.queue) < fullBatchOps {
		return nil, wait, false
	}
	b := c.queue
	c.queue = nil
	return b, 0, false
}

// dueAt returns when the queue is to be committed: with claims in it, one
// interval after the last commit; otherwise when its oldest op has waited
// RecordDelay for claims to be written with.
func (c *committer) dueAt(now time.Time) time.Time {
	for _, p := range c.queue {
		if p.op.Action == claimrpc.Action_CLAIM {
			return c.lastCommit.Add(c.minInterval(now))
		}
	}
	return c.queue[0].arrived.Add(c.s.config.RecordDelay)
}

// minInterval returns the minimum time between two commits with claims.
func (c *committer) minInterval(now time.Time) time.Duration {
	if c.isBacklog(now) {
		return max(c.interval, c.s.config.BacklogCommitInterval)
	}
	return c.interval
}

// isBacklog reports whether the time slice of the bucket is past or in the
// future. Keys usually carry the current time; others are spread over many
// buckets.
func (c *committer) isBacklog(now time.Time) bool {
	begin := time.UnixMilli(c.id.slice * c.s.config.SliceDuration.Milliseconds())
	return now.Before(begin.Add(-sliceGrace)) || now.After(begin.Add(c.s.config.SliceDuration+sliceGrace))
}

// commit writes a batch and answers its ops.
func (c *committer) commit(ps []pendingOp) {
	if ps = dropExpired(ps, time.Now()); len(ps) == 0 {
		return
	}
	end := ps[0].deadline
	for _, p := range ps {
		if p.deadline.After(end) {
			end = p.deadline
		}
	}
	ctx, cancel := context.WithDeadline(c.s.ctx, end)
	defer cancel()
	if c.isBacklog(time.Now()) && !c.s.backlogLimiter.wait(ctx, c.s.config.BacklogCommitsPerSecond, len(c.s.config.Members.Live())) {
		answerShed(ps)
		return
	}
	bc := batchCommit{c: c, batch: ps}
	for n := 0; ; n++ {
		if n > 0 && !pause.Sleep(ctx, c.s.jitter(min(minBackoff<<min(n, 16), maxBackoff))) {
			break
		}
		if bc.try(ctx) {
			return
		}
		if bc.refusals >= maxRefusals {
			c.s.startCooldown()
			c.interval = min(2*c.interval, maxCommitInterval)
			break
		}
	}
	answerStoreDown(ps, bc.unsure)
}

// dropExpired answers the ops whose deadline has passed and returns the others.
func dropExpired(ps []pendingOp, now time.Time) []pendingOp {
	return slices.DeleteFunc(ps, func(p pendingOp) bool {
		expired := now.After(p.deadline)
		if expired {
			answerStoreDown([]pendingOp{p}, false)
		}
		return expired
	})
}

// read loads the bucket from the key-value service. It returns kv.Unavailable for a
// corrupt value.
func (c *committer) read(ctx context.Context) kv.Status {
	c.s.counters.reads.Add(1)
	e, st := c.s.config.Store.Get(ctx, c.storeKey)
	switch st {
	case kv.OK:
		if !c.setContent(e) {
			return kv.Unavailable
		}
	case kv.NotFound:
		c.content, c.revision, c.cached = bucket{}, 0, true
	}
	return st
}

// setContent caches the stored bucket. It returns false for a corrupt value,
// which is never overwritten as it may hold keys of requests that ran.
func (c *committer) setContent(e kv.Entry) bool {
	b, err := decode(e.Value)
	if err != nil {
		c.s.config.Events.Emit(event.InvariantBroken, c.storeKey, err.Error())
		c.cached = false
		return false
	}
	c.content, c.revision, c.cached = b, e.Revision, true
	return true
}

// startCooldown makes this node refuse ops for a jittered outageCooldown.
func (s *Store) startCooldown() {
	d := outageCooldown/2 + s.jitter(outageCooldown)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cooldownUntil = time.Now().Add(d)
}
