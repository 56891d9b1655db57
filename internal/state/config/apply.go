package config

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/state/search"
)

const (
	// applyTimeout bounds the time spent on a change.
	applyTimeout = 10 * time.Second
	// maxRebases is how often a change without an expected revision is tried
	// again on a newer root.
	maxRebases = 8
	// maxAttempts is how often a swap or the read after a conflict is sent.
	maxAttempts = 6
)

// Apply makes a change and puts it in force on this node. It returns when the
// change is known to be accepted or not, or Unsure when that can't be
// determined.
func (m *Manager) Apply(ctx context.Context, c Change) Result {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if ps := m.validateChange(c); len(ps) > 0 {
		return Result{Verdict: Refused, ChangeID: c.ID, Revision: m.Current().Revision, Problems: ps}
	}
	var r Result
	for range maxRebases {
		var retry bool
		if r, retry = m.applyOnce(ctx, c); !retry {
			break
		}
	}
	m.reportResult(c, r)
	return r
}

func (m *Manager) reportResult(c Change, r Result) {
	switch r.Verdict {
	case Accepted:
		m.c.Events.Emit(event.ConfigAccepted, c.ID, "by "+c.Author)
	case Conflict:
		m.c.Events.Emit(event.ConfigConflict, c.ID, "by "+c.Author)
	case Unsure:
		m.c.Events.Emit(event.ConfigUnsure, c.ID, "by "+c.Author)
	}
}

// attempt is an attempt to apply a change to one root.
type attempt struct {
	change Change
	root   Root
	// storeRevision is the key-value revision of the root; 0 if there is none.
	storeRevision uint64
	// docs holds the bodies of the changed documents by search name.
	docs map[string][]byte
	next Root
	put  []Ref
}

// applyOnce applies a change to the current root. It returns true if another
// change was accepted first and this one may be tried again.
func (m *Manager) applyOnce(ctx context.Context, c Change) (Result, bool) {
	a := attempt{change: c}
	if v, p := m.readRoot(ctx, &a); v != "" {
		return m.result(c, v, p), false
	}
	applied, st := m.findApplied(ctx, a.root, c.ID)
	if st != kv.OK {
		return m.result(c, StoreDown, ""), false
	}
	if applied > 0 {
		m.adoptRoot(ctx, a.root)
		return Result{Verdict: Accepted, ChangeID: c.ID, Revision: applied}, false
	}
	if c.ExpectedRevision > a.root.Index.Revision {
		return m.result(c, Refused, "the store has not reached the expected revision"), false
	}
	if c.ExpectedRevision != 0 && c.ExpectedRevision != a.root.Index.Revision {
		return m.conflictResult(ctx, a), false
	}
	if !a.prepare() {
		m.adoptRoot(ctx, a.root)
		return Result{Verdict: Unchanged, ChangeID: c.ID, Revision: a.root.Index.Revision}, false
	}
	if v := m.writeDocuments(ctx, a); v != "" {
		return m.result(c, v, "a document is above the largest value"), false
	}
	return m.commit(ctx, a)
}

// result returns a result with the revision in force, and with the problem if
// the change is refused.
func (m *Manager) result(c Change, v Verdict, problem string) Result {
	r := Result{Verdict: v, ChangeID: c.ID, Revision: m.Current().Revision}
	if v == Refused && problem != "" {
		r.Problems = []string{problem}
	}
	return r
}

// readRoot reads the root to which the change is applied. It returns a verdict
// on failure, and the problem if that is Refused.
func (m *Manager) readRoot(ctx context.Context, a *attempt) (Verdict, string) {
	e, st := m.c.Store.Get(ctx, RootKey)
	revisionInForce := m.Current().Revision
	switch st {
	case kv.OK:
	case kv.NotFound:
		if revisionInForce > 0 {
			return Refused, "the store has lost its root; restore it first"
		}
		return "", ""
	default:
		return StoreDown, ""
	}
	r, err := DecodeRoot(e.Value)
	if err != nil {
		m.refuseCorrupt(string(FromStore), err)
		return Refused, "the root in the store is corrupt: " + err.Error()
	}
	if r.Index.Revision < revisionInForce {
		_ = m.refuseUnlessSame(r.Index.Revision, r.Index.Digest(), m.current.Load(), string(FromStore))
		return Refused, "the store is behind what is in force; restore it first"
	}
	a.root, a.storeRevision = r, e.Revision
	return "", ""
}

// adoptRoot puts the configuration of a root in force if it is newer and its
// documents can be read.
func (m *Manager) adoptRoot(ctx context.Context, r Root) {
	active := m.current.Load()
	if r.Index.Revision <= active.index.Revision {
		return
	}
	if docs, ok := m.fetchDocuments(ctx, r.Index, active); ok {
		_, _ = m.adopt(r.Index, docs, FromStore, string(FromStore))
	}
}

// prepare computes the next root. It returns false if the change has no effect.
func (a *attempt) prepare() bool {
	a.docs = map[string][]byte{}
	rev := a.root.Index.Revision + 1
	e := HistoryEntry{Revision: rev, ChangeID: a.change.ID, Author: a.change.Author, At: time.Now().UTC()}
	for _, d := range a.change.Put {
		b := encodeDocument(d)
		if a.root.Index.hasDocument(d.Name, b, nil) {
			continue
		}
		a.docs[d.Name] = b
		a.put = append(a.put, Ref{Name: d.Name, Hash: HashOf(b), WrittenRevision: rev})
		e.Put = append(e.Put, d.Name)
	}
	for _, n := range a.change.Delete {
		if _, ok := a.root.Index.Find(n); ok {
			e.Deleted = append(e.Deleted, n)
		}
	}
	if len(e.Put)+len(e.Deleted) == 0 {
		return false
	}
	a.next.Index = a.root.Index.WithChanges(rev, a.change.ID, a.put, e.Deleted)
	a.next.Recent = append(slices.Clone(a.root.Recent), e)
	a.next.Recent = a.next.Recent[max(0, len(a.next.Recent)-maxRecent):]
	return true
}

// encodeDocument returns the stored form of a definition. Encoding plain data
// can't fail.
func encodeDocument(d search.Definition) []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

// writeDocuments writes the changed documents and archives the history when
// due. It returns a verdict on failure.
func (m *Manager) writeDocuments(ctx context.Context, a attempt) Verdict {
	for _, r := range a.put {
		if v := m.writeDocument(ctx, r, a.docs[r.Name]); v != "" {
			return v
		}
	}
	if a.root.Index.Revision%archiveInterval == 0 && a.root.Index.Revision > 0 {
		if !m.archive(ctx, a.root) {
			return StoreDown
		}
	}
	return ""
}

func (m *Manager) writeDocument(ctx context.Context, r Ref, b []byte) Verdict {
	for i := range maxAttempts {
		_, st := m.c.Store.Swap(ctx, documentKey(r), 0, b)
		switch st {
		case kv.OK:
			return ""
		case kv.Conflict:
			// The key includes the hash, so the stored value is the same
			// document or corrupt.
			e, st := m.c.Store.Get(ctx, documentKey(r))
			if st == kv.OK && HashOf(e.Value) == r.Hash {
				return ""
			}
			return StoreDown
		case kv.TooLarge:
			return Refused
		}
		if !m.sleepBackoff(ctx, i) {
			break
		}
	}
	return StoreDown
}

// sleepBackoff waits with exponential backoff and full jitter after the given
// attempt, counted from 0. It returns false when ctx has ended.
func (m *Manager) sleepBackoff(ctx context.Context, attempt int) bool {
	return pause.Sleep(ctx, m.jitter(minBackoff<<attempt))
}
