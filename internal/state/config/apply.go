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
	// applyTimeout bounds a change whose context has no deadline.
	applyTimeout = 10 * time.Second
	// applyRounds is how often a change without an expected revision is
	// rebased on a newer root.
	applyRounds = 8
	// swapTries is how often a swap is sent when its answer is lost.
	swapTries = 6
)

// Apply makes a change. It returns once the change is known to be accepted or
// not, or Unsure when that could not be found out.
func (m *Manager) Apply(ctx context.Context, c Change) Result {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if ps := m.problems(c); len(ps) > 0 {
		return Result{Verdict: Refused, ChangeID: c.ID, Revision: m.Current().Revision, Problems: ps}
	}
	var r Result
	for range applyRounds {
		var again bool
		if r, again = m.applyOnce(ctx, c); !again {
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

// attempt is one try of a change on top of one root.
type attempt struct {
	change Change
	root   Root
	// at is the service's revision of the root; 0 when there is none.
	at   uint64
	docs map[string][]byte
	next Root
	put  []Ref
}

// applyOnce tries a change on the root as it is now. It is true when another
// change came first and this one may be tried again.
func (m *Manager) applyOnce(ctx context.Context, c Change) (Result, bool) {
	a := attempt{change: c}
	if v, p := m.readRoot(ctx, &a); v != "" {
		return m.result(c, v, p), false
	}
	done, st := m.findApplied(ctx, a.root, c.ID)
	if st != kv.OK {
		return m.result(c, StoreDown, ""), false
	}
	if done > 0 {
		m.takeRootOf(ctx, a.root)
		return Result{Verdict: Accepted, ChangeID: c.ID, Revision: done}, false
	}
	if c.Expect > a.root.Index.Revision {
		return m.result(c, Refused, "the store has not reached the expected revision"), false
	}
	if c.Expect != 0 && c.Expect != a.root.Index.Revision {
		return m.conflict(ctx, a), false
	}
	if !a.prepare() {
		m.takeRootOf(ctx, a.root)
		return Result{Verdict: Unchanged, ChangeID: c.ID, Revision: a.root.Index.Revision}, false
	}
	if v := m.writeDocuments(ctx, a); v != "" {
		return m.result(c, v, "a document is above the largest value"), false
	}
	return m.commit(ctx, a)
}

// result is an answer that says nothing about the root.
func (m *Manager) result(c Change, v Verdict, problem string) Result {
	r := Result{Verdict: v, ChangeID: c.ID, Revision: m.Current().Revision}
	if v == Refused && problem != "" {
		r.Problems = []string{problem}
	}
	return r
}

// readRoot reads the root that the change builds on. A verdict means that it
// can't be built on.
func (m *Manager) readRoot(ctx context.Context, a *attempt) (Verdict, string) {
	e, st := m.c.Store.Get(ctx, RootKey)
	inForce := m.Current().Revision
	switch st {
	case kv.OK:
	case kv.NotFound:
		if inForce > 0 {
			return Refused, "the store has lost its root; restore it first"
		}
		return "", ""
	default:
		return StoreDown, ""
	}
	r, err := DecodeRoot(e.Value)
	if err != nil {
		m.refuse(string(FromStore), err)
		return Refused, "the root in the store is corrupt: " + err.Error()
	}
	if r.Index.Revision < inForce {
		_ = m.older(r.Index.Revision, r.Index.Digest(), m.current.Load(), string(FromStore))
		return Refused, "the store is behind what is in force; restore it first"
	}
	a.root, a.at = r, e.Revision
	return "", ""
}

// takeRootOf puts a root that was read in force.
func (m *Manager) takeRootOf(ctx context.Context, r Root) {
	h := m.current.Load()
	if r.Index.Revision <= h.index.Revision {
		return
	}
	if docs, ok := m.fetch(ctx, r.Index, h); ok {
		_, _ = m.adopt(r.Index, docs, FromStore, string(FromStore))
	}
}

// prepare works out the next root. It is false when nothing would change.
func (a *attempt) prepare() bool {
	a.docs = map[string][]byte{}
	rev := a.root.Index.Revision + 1
	e := HistoryEntry{Revision: rev, ChangeID: a.change.ID, Author: a.change.Author, At: time.Now().UTC()}
	for _, d := range a.change.Put {
		b := encodeDocument(d)
		if a.root.Index.equalDocument(d.Name, b, nil) {
			continue
		}
		a.docs[d.Name] = b
		a.put = append(a.put, Ref{Name: d.Name, Hash: HashOf(b), Written: rev})
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
	a.next.Index = a.root.Index.With(rev, a.change.ID, a.put, e.Deleted)
	a.next.Recent = append(slices.Clone(a.root.Recent), e)
	a.next.Recent = a.next.Recent[max(0, len(a.next.Recent)-recentLimit):]
	return true
}

// encodeDocument returns the stored form of a definition. A definition is
// plain data, which always has one.
func encodeDocument(d search.Definition) []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

// writeDocuments stores what the next root names. A verdict means that it
// could not.
func (m *Manager) writeDocuments(ctx context.Context, a attempt) Verdict {
	for _, r := range a.put {
		if v := m.writeDocument(ctx, r, a.docs[r.Name]); v != "" {
			return v
		}
	}
	if a.root.Index.Revision%archiveEvery == 0 && a.root.Index.Revision > 0 {
		if !m.archive(ctx, a.root) {
			return StoreDown
		}
	}
	return ""
}

func (m *Manager) writeDocument(ctx context.Context, r Ref, b []byte) Verdict {
	for i := range swapTries {
		_, st := m.c.Store.Swap(ctx, documentKey(r), 0, b)
		switch st {
		case kv.OK:
			return ""
		case kv.Conflict:
			// The key holds its hash: it is this document, or a corrupt one.
			e, st := m.c.Store.Get(ctx, documentKey(r))
			if st == kv.OK && HashOf(e.Value) == r.Hash {
				return ""
			}
			return StoreDown
		case kv.TooLarge:
			return Refused
		}
		if !m.pause(ctx, i) {
			break
		}
	}
	return StoreDown
}

// pause waits a random time that grows with the number of tries; it is false
// when ctx has ended.
func (m *Manager) pause(ctx context.Context, try int) bool {
	return pause.Sleep(ctx, m.jitter(retryFirst<<try))
}
