package config

import (
	"context"
	"time"

	"egrethaven/internal/platform/kv"
)

// commit swaps the root. If the answer is lost, it sends the same swap again:
// at most one takes effect, as both expect the same root. It returns true if
// another change was accepted first and this one may be tried again.
func (m *Manager) commit(ctx context.Context, a attempt) (Result, bool) {
	b, err := EncodeRoot(a.next)
	if err != nil {
		return m.result(a.change, Refused, err.Error()), false
	}
	answerLost := false
	for i := range maxAttempts {
		e, st := m.c.Store.Swap(ctx, RootKey, a.storeRevision, b)
		switch st {
		case kv.OK:
			return m.finishAccepted(ctx, a, e), false
		case kv.Conflict:
			return m.resolveConflict(ctx, a, answerLost)
		case kv.TooLarge:
			return m.result(a.change, Refused, "the configuration is above the largest value"), false
		case kv.Unknown:
			answerLost = true
		}
		if !m.sleepBackoff(ctx, i) {
			break
		}
	}
	if answerLost {
		return m.result(a.change, Unsure, ""), false
	}
	return m.result(a.change, StoreDown, ""), false
}

// finishAccepted puts an accepted change in force on this node. Other nodes learn
// of it from the store and from peers.
func (m *Manager) finishAccepted(ctx context.Context, a attempt, _ kv.Entry) Result {
	active := m.current.Load()
	docs := a.docs
	if active.index.Revision != a.root.Index.Revision {
		if fetched, ok := m.fetchDocuments(ctx, a.next.Index, active); ok {
			docs = fetched
		}
	}
	if _, err := m.adopt(a.next.Index, docs, FromChange, a.change.ID); err == nil {
		m.confirm()
	}
	m.deleteUnreferenced(ctx, a.next.Index)
	return Result{Verdict: Accepted, ChangeID: a.change.ID, Revision: a.next.Index.Revision}
}

// resolveConflict determines whether a swap conflicted with an earlier swap of
// the same change, whose answer was lost, or with another change.
func (m *Manager) resolveConflict(ctx context.Context, a attempt, answerLost bool) (Result, bool) {
	for i := range maxAttempts {
		var latest attempt
		v, p := m.readRoot(ctx, &latest)
		// The swap conflicted with a newer root, so a read that does not return
		// a newer one is stale.
		stale := v == "" && latest.storeRevision <= a.storeRevision
		if v == "" && !stale {
			latest.change = a.change
			return m.resolveAgainst(ctx, a, latest)
		}
		if v == Refused {
			return m.result(a.change, m.unsureIfLost(answerLost, Refused), p), false
		}
		if !m.sleepBackoff(ctx, i) {
			break
		}
	}
	return m.result(a.change, m.unsureIfLost(answerLost, StoreDown), ""), false
}

// unsureIfLost returns Unsure if the answer to a swap was lost, otherwise v.
func (m *Manager) unsureIfLost(answerLost bool, v Verdict) Verdict {
	if answerLost {
		return Unsure
	}
	return v
}

// resolveAgainst determines from the latest root whether the change was
// accepted or conflicts.
func (m *Manager) resolveAgainst(ctx context.Context, a, latest attempt) (Result, bool) {
	applied, st := m.findApplied(ctx, latest.root, a.change.ID)
	if st != kv.OK {
		return m.result(a.change, Unsure, ""), false
	}
	if applied > 0 {
		m.adoptRoot(ctx, latest.root)
		return Result{Verdict: Accepted, ChangeID: a.change.ID, Revision: applied}, false
	}
	if a.change.ExpectedRevision == 0 {
		return m.result(a.change, Conflict, ""), true
	}
	return m.conflictResult(ctx, latest), false
}

// conflictResult returns a Conflict with the differences between the current root
// and the change.
func (m *Manager) conflictResult(ctx context.Context, a attempt) Result {
	m.adoptRoot(ctx, a.root)
	r := Result{Verdict: Conflict, ChangeID: a.change.ID, Revision: a.root.Index.Revision}
	r.Diff = Diff(m.Current(), a.change)
	return r
}

// deleteTimeout bounds the deletion of unreferenced documents and old history
// pages.
const deleteTimeout = 2 * time.Second

// deleteUnreferenced deletes, every pageRevisions revisions, old documents that
// x does not reference. No later root can reference them.
func (m *Manager) deleteUnreferenced(ctx context.Context, x Index) {
	if x.Revision%pageRevisions != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	referenced := map[string]bool{}
	for _, r := range x.Refs {
		referenced[documentKey(r)] = true
	}
	oldest := documentKey(Ref{WrittenRevision: x.Revision - maxRecent})
	es, _ := m.c.Store.List(ctx, DocumentPrefix)
	for _, e := range es {
		if !referenced[e.Key] && e.Key < oldest {
			m.c.Store.Delete(ctx, e.Key, e.Revision)
		}
	}
	m.deleteOldPages(ctx, x.Revision)
}

// deleteOldPages deletes the history pages beyond the newest maxPages.
func (m *Manager) deleteOldPages(ctx context.Context, revision uint64) {
	if revision < maxPages*pageRevisions {
		return
	}
	oldest := pageKey(revision - maxPages*pageRevisions)
	es, _ := m.c.Store.List(ctx, HistoryPrefix)
	for _, e := range es {
		if e.Key < oldest {
			m.c.Store.Delete(ctx, e.Key, e.Revision)
		}
	}
}
