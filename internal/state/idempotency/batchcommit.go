package idempotency

import (
	"context"

	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
)

// batchCommit writes one batch, with several swaps if necessary.
type batchCommit struct {
	c     *committer
	batch []pendingOp
	// unsure: the answer to a swap was lost, so the batch may be written.
	unsure bool
	// refusals is the number of calls that the key-value service refused.
	refusals int
}

// try makes one attempt to commit the batch and reports whether the batch was
// answered.
func (b *batchCommit) try(ctx context.Context) bool {
	justRead := !b.c.cached
	if justRead {
		if s := b.c.read(ctx); s != kv.OK && s != kv.NotFound {
			b.refusals++
			return false
		}
	}
	next, rs, v := b.apply()
	if v == alwaysValid || (v == validIfCurrent && justRead) {
		b.answer(rs)
		return true
	}
	if v == validIfCurrent {
		b.c.cached = false
		return false
	}
	return b.swap(ctx, next, rs)
}

// apply returns the bucket after the batch, the result of each op, and the
// strongest condition under which all the results hold.
func (b *batchCommit) apply() (bucket, []*claimrpc.Result, validity) {
	next := b.c.content.clone()
	rs := make([]*claimrpc.Result, len(b.batch))
	strongest := alwaysValid
	for i, p := range b.batch {
		r, v := next.apply(p.op, b.c.s.config.MaxBucketBytes)
		rs[i] = r
		strongest = max(strongest, v)
	}
	return next, rs, strongest
}

// swap writes the bucket. Success also proves that the cached content was
// current.
func (b *batchCommit) swap(ctx context.Context, next bucket, rs []*claimrpc.Result) bool {
	c := b.c
	v, err := next.encode()
	if err != nil {
		b.refusals = maxRefusals
		return false
	}
	c.s.counters.commits.Add(1)
	e, s := c.s.config.Store.Swap(ctx, c.storeKey, c.revision, v)
	switch s {
	case kv.OK:
		c.content, c.revision = next, e.Revision
		c.interval = max(c.s.config.CommitInterval, c.interval*9/10)
		b.answer(rs)
		return true
	case kv.Conflict:
		c.s.counters.conflicts.Add(1)
		c.cached = false
		// Not every key-value service returns the conflicting value.
		if e.Revision != 0 && len(e.Value) > 0 {
			c.setContent(e)
		}
	case kv.Unknown:
		// The bucket is read back: the batch's attempt IDs show whether the
		// swap took effect.
		b.unsure = true
		c.cached = false
	default:
		b.refusals++
	}
	return false
}

func (b *batchCommit) answer(rs []*claimrpc.Result) {
	for i, p := range b.batch {
		if rs[i].Verdict == claimrpc.Verdict_GRANTED && b.c.s.mayBeForgotten(key(p.op.Entry.Key)) {
			// The claim stays in the bucket, so the key is not granted later either.
			rs[i] = &claimrpc.Result{Verdict: claimrpc.Verdict_FORGOTTEN}
		}
		p.answer(rs[i])
	}
}
