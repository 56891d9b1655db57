package once

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
	// maxBatch is the number of ops that are committed without a wait.
	maxBatch = 2048
	// idleTime is how long the content of an unused bucket is kept.
	idleTime = 10 * time.Second
	// maxWindow bounds the time between commits while the service refuses.
	maxWindow = 400 * time.Millisecond
	// maxRefusals is how often the service may refuse one commit.
	maxRefusals = 3
	// minPause and maxPause bound the waits between the tries of a commit.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// lateGrace is how far a slice is prolonged either way before its bucket
	// counts as late.
	lateGrace = 500 * time.Millisecond
	// downPause is how long claims are refused after the service refused
	// all tries of a commit.
	downPause = 150 * time.Millisecond
	// youngSlices is how many slices back a bucket that was never read is
	// first taken for absent.
	youngSlices = 1
)

// pending is an op that waits for its result.
type pending struct {
	op       *claimrpc.Op
	arrived  time.Time
	deadline time.Time
	done     chan *claimrpc.Result
}

func (p pending) answer(r *claimrpc.Result) { p.done <- r }

// committer gathers the ops of one bucket and writes them together.
type committer struct {
	s     *Store
	place place
	name  string
	// wake has room for one signal.
	wake chan struct{}
	// queue is guarded by the Store's lock.
	queue []pending

	// The rest belongs to the committer's goroutine.
	content  bucket
	revision uint64
	// known tells that content was the service's at some time.
	known  bool
	window time.Duration
	last   time.Time
}

// enqueue hands ops to the committer of a bucket on this node and returns a
// channel for each result.
func (s *Store) enqueue(p place, ops []*claimrpc.Op, deadline time.Time) []pending {
	now := time.Now()
	ps := make([]pending, len(ops))
	for i, o := range ops {
		ps[i] = pending{op: o, arrived: now, deadline: deadline, done: make(chan *claimrpc.Result, 1)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || now.Before(s.downUntil) {
		fail(ps, false)
		return ps
	}
	c := s.committers[p]
	if c == nil {
		c = s.newCommitter(p, now)
		s.committers[p] = c
		s.wait.Go(c.run)
	}
	c.queue = append(c.queue, ps...)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return ps
}

func (s *Store) newCommitter(p place, now time.Time) *committer {
	c := &committer{s: s, place: p, name: p.name(s.config.Slice), wake: make(chan struct{}, 1), window: s.config.Window}
	if p.slice >= now.UnixMilli()/s.config.Slice.Milliseconds()-youngSlices {
		// Most likely nobody wrote it so far; a conflict tells otherwise.
		c.known = true
	}
	return c
}

// fail answers that the service did not take the ops.
func fail(ps []pending, unsure bool) {
	for _, p := range ps {
		p.answer(&claimrpc.Result{Verdict: claimrpc.Verdict_STORE_DOWN, Unsure: unsure})
	}
}

// shed answers that the ops were not tried.
func shed(ps []pending) {
	for _, p := range ps {
		p.answer(&claimrpc.Result{Verdict: claimrpc.Verdict_SHED})
	}
}

func (c *committer) run() {
	for {
		b := c.gather()
		if b == nil {
			return
		}
		c.last = time.Now()
		c.commit(b)
	}
}

// gather waits until ops are due and takes them. It returns nil when the
// committer has gone idle or the Store is closed.
func (c *committer) gather() []pending {
	for {
		b, wait, over := c.take(time.Now())
		if len(b) > 0 || over {
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

// take returns the queued ops if they are due, or how long to wait, or that
// the committer is over.
func (c *committer) take(now time.Time) ([]pending, time.Duration, bool) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.ctx.Err() != nil {
		fail(c.queue, false)
		delete(c.s.committers, c.place)
		return nil, 0, true
	}
	if len(c.queue) == 0 {
		idle := c.last.Add(idleTime).Sub(now)
		if !c.last.IsZero() && idle <= 0 {
			delete(c.s.committers, c.place)
			return nil, 0, true
		}
		return nil, max(idle, time.Millisecond), false
	}
	if wait := c.due(now).Sub(now); wait > 0 && len(c.queue) < maxBatch {
		return nil, wait, false
	}
	b := c.queue
	c.queue = nil
	return b, 0, false
}

// due is when the queue is to be committed: with claims in it as soon as the
// window since the last commit is over, else when the oldest has waited long
// enough for claims to come.
func (c *committer) due(now time.Time) time.Time {
	for _, p := range c.queue {
		if p.op.Action == claimrpc.Action_CLAIM {
			return c.last.Add(c.pause(now))
		}
	}
	return c.queue[0].arrived.Add(c.s.config.RecordWindow)
}

// pause is the least time between two commits with claims.
func (c *committer) pause(now time.Time) time.Duration {
	if c.late(now) {
		return max(c.window, c.s.config.LateWindow)
	}
	return c.window
}

// late tells whether the slice of the bucket is over or to come. Most claims
// carry the present time, so late buckets are many and hold few claims each.
func (c *committer) late(now time.Time) bool {
	begin := time.UnixMilli(c.place.slice * c.s.config.Slice.Milliseconds())
	return now.Before(begin.Add(-lateGrace)) || now.After(begin.Add(c.s.config.Slice+lateGrace))
}

// commit writes a batch and answers it.
func (c *committer) commit(ps []pending) {
	if ps = dropOverdue(ps, time.Now()); len(ps) == 0 {
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
	if c.late(time.Now()) && !c.s.pace.wait(ctx, c.s.config.LateWrites, len(c.s.config.Members.Live())) {
		shed(ps)
		return
	}
	t := try{c: c, batch: ps}
	for n := 0; ; n++ {
		if n > 0 && !pause.Sleep(ctx, c.s.jitter(min(minPause<<min(n, 16), maxPause))) {
			break
		}
		if t.run(ctx) {
			return
		}
		if t.refusals >= maxRefusals {
			c.s.pauseClaims()
			c.window = min(2*c.window, maxWindow)
			break
		}
	}
	fail(ps, t.unsure)
}

// dropOverdue answers the ops that nobody waits for any more.
func dropOverdue(ps []pending, now time.Time) []pending {
	return slices.DeleteFunc(ps, func(p pending) bool {
		over := now.After(p.deadline)
		if over {
			fail([]pending{p}, false)
		}
		return over
	})
}

// read gets the bucket from the service.
func (c *committer) read(ctx context.Context) kv.Status {
	c.s.counts.reads.Add(1)
	e, st := c.s.config.Store.Get(ctx, c.name)
	switch st {
	case kv.OK:
		if !c.adopt(e) {
			return kv.Unavailable
		}
	case kv.NotFound:
		c.content, c.revision, c.known = bucket{}, 0, true
	}
	return st
}

// adopt takes over what the service has. A value that can't be read is left
// alone: whoever overwrote it might free keys that ran.
func (c *committer) adopt(e kv.Entry) bool {
	b, err := decode(e.Value)
	if err != nil {
		c.s.config.Events.Emit(event.InvariantBroken, c.name, err.Error())
		c.known = false
		return false
	}
	c.content, c.revision, c.known = b, e.Revision, true
	return true
}

// pauseClaims refuses ops on this node for a while.
func (s *Store) pauseClaims() {
	d := downPause/2 + s.jitter(downPause)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(d)
}
