package config

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"egrethaven/internal/platform/kv"
)

// History returns the accepted changes that the store still holds, oldest first.
func (m *Manager) History(ctx context.Context) ([]HistoryEntry, error) {
	e, st := m.c.Store.Get(ctx, RootKey)
	if st == kv.NotFound {
		return nil, nil
	}
	if st != kv.OK {
		return nil, errors.New("the store was not reached")
	}
	r, err := DecodeRoot(e.Value)
	if err != nil {
		return nil, err
	}
	keys, st := m.c.Store.List(ctx, HistoryPrefix)
	if st != kv.OK && st != kv.NotFound {
		return nil, errors.New("the store was not reached")
	}
	var all []HistoryEntry
	for _, k := range keys {
		p, _, st := m.readPage(ctx, k.Key)
		if st != kv.OK {
			return nil, errors.Errorf("history page %s could not be read", k.Key)
		}
		all = append(all, p...)
	}
	return appendNewer(all, r.Recent), nil
}

// appendNewer appends to a the entries of b with a higher revision than the last
// of a.
func appendNewer(a, b []HistoryEntry) []HistoryEntry {
	var last uint64
	if len(a) > 0 {
		last = a[len(a)-1].Revision
	}
	for _, e := range b {
		if e.Revision > last {
			a = append(a, e)
		}
	}
	return a
}

// readPage reads a history page and its key-value revision. An absent or
// corrupt page has no entries.
func (m *Manager) readPage(ctx context.Context, key string) ([]HistoryEntry, uint64, kv.Status) {
	e, st := m.c.Store.Get(ctx, key)
	if st == kv.NotFound {
		return nil, 0, kv.OK
	}
	if st != kv.OK {
		return nil, 0, st
	}
	var es []HistoryEntry
	if err := json.Unmarshal(e.Value, &es); err != nil {
		m.refuseCorrupt(key, err)
		return nil, e.Revision, kv.OK
	}
	return es, e.Revision, kv.OK
}

// findApplied returns the revision that a change created, or 0. It searches the
// changes listed in the root and the two newest history pages.
func (m *Manager) findApplied(ctx context.Context, r Root, id string) (uint64, kv.Status) {
	if e, ok := findChange(r.Recent, id); ok {
		return e.Revision, kv.OK
	}
	rev := r.Index.Revision
	if rev < archiveInterval {
		return 0, kv.OK
	}
	keys := []string{pageKey(rev)}
	if rev >= pageRevisions {
		keys = append(keys, pageKey(rev-pageRevisions))
	}
	for _, k := range keys {
		p, _, st := m.readPage(ctx, k)
		if st != kv.OK {
			return 0, st
		}
		if e, ok := findChange(p, id); ok {
			return e.Revision, kv.OK
		}
	}
	return 0, kv.OK
}

// archive copies the changes listed in the root to their history pages, before
// any of them drops out of the root.
func (m *Manager) archive(ctx context.Context, r Root) bool {
	pages := map[string][]HistoryEntry{}
	for _, e := range r.Recent {
		k := pageKey(e.Revision)
		pages[k] = append(pages[k], e)
	}
	for k, es := range pages {
		if !m.archivePage(ctx, k, es) {
			return false
		}
	}
	return true
}

// archivePage appends the new entries to a history page.
func (m *Manager) archivePage(ctx context.Context, key string, es []HistoryEntry) bool {
	for i := range maxAttempts {
		p, storeRevision, st := m.readPage(ctx, key)
		if st == kv.OK {
			merged := appendNewer(p, es)
			if len(merged) == len(p) {
				return true
			}
			b, err := json.Marshal(merged)
			if err != nil {
				return false
			}
			if _, st = m.c.Store.Swap(ctx, key, storeRevision, b); st == kv.OK {
				return true
			}
		}
		if !m.sleepBackoff(ctx, i) {
			return false
		}
	}
	return false
}
