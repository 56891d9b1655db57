package config

import (
	"context"
	"time"

	"egrethaven/internal/platform/kv"
)

// commit swaps the root. When the answer is lost it sends the same swap
// again: at most one of them can take effect, as both expect the same root.
// It is true when another change came first and this one may be tried again.
func (m *Manager) commit(ctx context.Context, a attempt) (Result, bool) {
	b, err := EncodeRoot(a.next)
	if err != nil {
		return m.result(a.change, Refused, err.Error()), false
	}
	lost := false
	for i := range swapTries {
		e, st := m.c.Store.Swap(ctx, RootKey, a.at, b)
		switch st {
		case kv.OK:
			return m.accepted(ctx, a, e), false
		case kv.Conflict:
			return m.overtaken(ctx, a, lost)
		case kv.TooLarge:
			return m.result(a.change, Refused, "the configuration is above the largest value"), false
		case kv.Unknown:
			lost = true
		}
		if !m.pause(ctx, i) {
			break
		}
	}
	if lost {
		return m.result(a.change, Unsure, ""), false
	}
	return m.result(a.change, StoreDown, ""), false
}

// accepted puts the change in force here. Others learn of it from the service
// and from peers.
func (m *Manager) accepted(ctx context.Context, a attempt, _ kv.Entry) Result {
	h := m.current.Load()
	docs := a.docs
	if h.index.Revision != a.root.Index.Revision {
		if more, ok := m.fetch(ctx, a.next.Index, h); ok {
			docs = more
		}
	}
	if _, err := m.adopt(a.next.Index, docs, FromChange, a.change.ID); err == nil {
		m.confirm()
	}
	m.sweep(ctx, a.next.Index)
	return Result{Verdict: Accepted, ChangeID: a.change.ID, Revision: a.next.Index.Revision}
}

// overtaken finds out what the conflict of a swap means: the change's own
// earlier swap, whose answer was lost, or another change.
func (m *Manager) overtaken(ctx context.Context, a attempt, lost bool) (Result, bool) {
	for i := range swapTries {
		var now attempt
		v, p := m.readRoot(ctx, &now)
		// A read that does not show what the swap met is stale.
		stale := v == "" && now.at <= a.at
		if v == "" && !stale {
			now.change = a.change
			return m.settle(ctx, a, now)
		}
		if v == Refused {
			return m.result(a.change, m.unsureIf(lost, Refused), p), false
		}
		if !m.pause(ctx, i) {
			break
		}
	}
	return m.result(a.change, m.unsureIf(lost, StoreDown), ""), false
}

// unsureIf returns Unsure when an answer was lost, else v.
func (m *Manager) unsureIf(lost bool, v Verdict) Verdict {
	if lost {
		return Unsure
	}
	return v
}

// settle compares the root that came first with the change.
func (m *Manager) settle(ctx context.Context, a, now attempt) (Result, bool) {
	done, st := m.findApplied(ctx, now.root, a.change.ID)
	if st != kv.OK {
		return m.result(a.change, Unsure, ""), false
	}
	if done > 0 {
		m.takeRootOf(ctx, now.root)
		return Result{Verdict: Accepted, ChangeID: a.change.ID, Revision: done}, false
	}
	if a.change.Expect == 0 {
		return m.result(a.change, Conflict, ""), true
	}
	return m.conflict(ctx, now), false
}

// conflict shows how the root as it is differs from what was asked.
func (m *Manager) conflict(ctx context.Context, a attempt) Result {
	m.takeRootOf(ctx, a.root)
	r := Result{Verdict: Conflict, ChangeID: a.change.ID, Revision: a.root.Index.Revision}
	r.Diff = Diff(m.Current(), a.change)
	return r
}

// sweepTimeout bounds the removal of documents that are no longer named.
const sweepTimeout = 2 * time.Second

// sweep removes documents that no root names any more, now and then. One that
// was written for a revision of the past can't be named by a later root.
func (m *Manager) sweep(ctx context.Context, x Index) {
	if x.Revision%pageSize != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	named := map[string]bool{}
	for _, r := range x.Refs {
		named[documentKey(r)] = true
	}
	oldest := documentKey(Ref{Written: x.Revision - recentLimit})
	es, _ := m.c.Store.List(ctx, DocumentPrefix)
	for _, e := range es {
		if !named[e.Key] && e.Key < oldest {
			m.c.Store.Delete(ctx, e.Key, e.Revision)
		}
	}
	m.sweepPages(ctx, x.Revision)
}

// sweepPages removes the oldest pages of the history.
func (m *Manager) sweepPages(ctx context.Context, revision uint64) {
	if revision < keptPages*pageSize {
		return
	}
	oldest := pageKey(revision - keptPages*pageSize)
	es, _ := m.c.Store.List(ctx, HistoryPrefix)
	for _, e := range es {
		if e.Key < oldest {
			m.c.Store.Delete(ctx, e.Key, e.Revision)
		}
	}
}
