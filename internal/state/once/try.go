package once

import (
	"context"

	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
)

// try is the writing of one batch, over several swaps if need be.
type try struct {
	c     *committer
	batch []pending
	// unsure tells that a swap whose answer was lost may hold the batch.
	unsure bool
	// refusals of the service so far.
	refusals int
}

// run makes one attempt and tells whether the batch was answered.
func (t *try) run(ctx context.Context) bool {
	fresh := !t.c.known
	if fresh {
		if s := t.c.read(ctx); s != kv.OK && s != kv.NotFound {
			t.refusals++
			return false
		}
	}
	next, rs, f := t.apply()
	if f == settled || (f == current && fresh) {
		t.answer(rs)
		return true
	}
	if f == current {
		t.c.known = false
		return false
	}
	return t.swap(ctx, next, rs)
}

// apply works out the bucket and the results after the batch. The effect is
// the strongest of all ops'.
func (t *try) apply() (bucket, []*claimrpc.Result, effect) {
	next := t.c.content.clone()
	rs := make([]*claimrpc.Result, len(t.batch))
	strongest := settled
	for i, p := range t.batch {
		r, f := next.apply(p.op, t.c.s.config.MaxBucket)
		rs[i] = r
		strongest = max(strongest, f)
	}
	return next, rs, strongest
}

// swap writes the bucket. A swap that succeeds also proves that the content
// it was worked out from was current.
func (t *try) swap(ctx context.Context, next bucket, rs []*claimrpc.Result) bool {
	c := t.c
	v, err := next.encode()
	if err != nil {
		t.refusals = maxRefusals
		return false
	}
	c.s.counts.commits.Add(1)
	e, s := c.s.config.Store.Swap(ctx, c.name, c.revision, v)
	switch s {
	case kv.OK:
		c.content, c.revision = next, e.Revision
		c.window = max(c.s.config.Window, c.window*9/10)
		t.answer(rs)
		return true
	case kv.Conflict:
		c.s.counts.conflicts.Add(1)
		c.known = false
		// Not every service tells the value that is in the way.
		if e.Revision != 0 && len(e.Value) > 0 {
			c.adopt(e)
		}
	case kv.Unknown:
		// Read back: the batch's own attempt ids tell whether it took effect.
		t.unsure = true
		c.known = false
	default:
		t.refusals++
	}
	return false
}

func (t *try) answer(rs []*claimrpc.Result) {
	for i, p := range t.batch {
		p.answer(rs[i])
	}
}
